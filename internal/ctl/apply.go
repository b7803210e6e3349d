package ctl

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/config/codec"
	v2 "github.com/kingcupreel/kingcupreel/internal/config/v2"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/opapi"
)

const (
	// waitPoll is the interval at which --wait asks.
	waitPoll = 300 * time.Millisecond
	// drainAttempts bounds the tries of a drain that meets other writers.
	drainAttempts = 5
)

// result is what became of one record.
type result struct {
	Kind config.Kind `json:"kind"`
	Name string      `json:"name"`
	// Revision is the configuration's revision that has the change; 0 when
	// nothing changed.
	Revision int64 `json:"revision"`
	Changed  bool  `json:"changed"`
}

func (t *tool) apply(ctx context.Context) error {
	docs, err := load(t.files)
	if err != nil {
		return err
	}
	var results []result
	for _, d := range docs {
		r, err := t.applyOne(ctx, d)
		if err != nil {
			_ = t.report(results)
			return err
		}
		results = append(results, r)
	}
	if err := t.report(results); err != nil {
		return err
	}
	return t.await(ctx, results)
}

// applyOne writes a document over what is stored now, or over the revision that
// the file names.
func (t *tool) applyOne(ctx context.Context, d document) (result, error) {
	key := d.object.Key()
	stored, err := t.present(ctx, key)
	if err != nil {
		return result{}, err
	}
	if d.base != noBase && d.base != stored.Revision {
		return result{}, t.conflict(d, d.base, stored, d.object)
	}
	after, err := d.outcomeOf(stored.Record)
	if err != nil {
		return result{}, err
	}
	before := decodeStored(stored.Record)
	if before != nil && len(compare(before, after)) == 0 && sameForm(stored.Record, d.json) {
		return result{Kind: key.Kind, Name: key.Name}, nil
	}
	written, err := t.client.Put(ctx, key, d.json, stored.Revision)
	if fault.KindOf(err) == fault.Conflict {
		now, readErr := t.present(ctx, key)
		if readErr != nil {
			return result{}, err
		}
		return result{}, t.conflict(d, stored.Revision, now, before)
	}
	return result{Kind: key.Kind, Name: key.Name, Revision: written.Revision, Changed: true}, err
}

// sameForm says whether a write leaves the stored record's form as it is: an
// old-form record over a new-form one does.
func sameForm(stored, written []byte) bool {
	a, err := codec.Version(stored)
	if err != nil {
		return false
	}
	b, err := codec.Version(written)
	return err == nil && (a == b || b == codec.OldVersion)
}

// conflict shows the operator what changed under them.
func (t *tool) conflict(d document, based int64, now opapi.ConfigRecord, from config.Object) error {
	key := d.object.Key()
	var changes strings.Builder
	to := decodeStored(now.Record)
	if now.Revision == 0 {
		changes.WriteString("  the record was deleted\n")
	}
	printChanges(&changes, compare(from, to))
	what := "since then"
	if from == d.object {
		what = "from your file to what is stored"
	}
	return fault.New(fault.Conflict, fmt.Sprintf("take the change into your file, set its revision to %d or leave the revision out, and apply it again", now.Revision),
		"%s %q changed under you: you based on revision %d, it is at %d; %s:\n%s", key.Kind, key.Name, based, now.Revision, what, changes.String())
}

func (t *tool) report(results []result) error {
	return t.print(results, func() {
		for _, r := range results {
			if r.Changed {
				fmt.Fprintf(t.out, "%s %s written at revision %d\n", r.Kind, r.Name, r.Revision)
				continue
			}
			fmt.Fprintf(t.out, "%s %s unchanged\n", r.Kind, r.Name)
		}
	})
}

// await waits, with --wait, until the highest revision is in force everywhere.
func (t *tool) await(ctx context.Context, results []result) error {
	var revision int64
	for _, r := range results {
		revision = max(revision, r.Revision)
	}
	if !t.wait || revision == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, t.waitTimeout)
	defer cancel()
	last := fmt.Sprintf("revision %d: no entry answered in time", revision)
	for {
		d, err := t.client.Deployment(ctx, revision)
		if err == nil {
			if len(d.Processes) == 0 && len(d.Missing) == 0 {
				return t.print(map[string]int64{"in_force": revision}, func() { fmt.Fprintf(t.out, "revision %d is in force everywhere\n", revision) })
			}
			last = lacking(revision, d)
		}
		select {
		case <-ctx.Done():
			return &exitError{ExitNotInForce, last}
		case <-time.After(waitPoll):
		}
	}
}

// lacking names the processes without the revision.
func lacking(revision int64, d opapi.Deployment) string {
	var names []string
	for _, p := range d.Processes {
		names = append(names, fmt.Sprintf("%s (at revision %d)", p.Process, p.Revision))
	}
	for _, m := range d.Missing {
		names = append(names, fmt.Sprintf("%s (%s)", m.Process, m.Reason))
	}
	return fmt.Sprintf("revision %d is written but not in force at: %s; check them with kingcupreelctl status", revision, strings.Join(names, ", "))
}

func (t *tool) key() (config.Key, error) {
	key := config.Key{Kind: config.Kind(t.kind), Name: t.name}
	_, err := config.ParseKey(key.Path())
	return key, err
}

func (t *tool) delete(ctx context.Context) error {
	key, err := t.key()
	if err != nil {
		return err
	}
	stored, err := t.client.Record(ctx, key)
	if err != nil {
		return err
	}
	written, err := t.client.Delete(ctx, key, stored.Revision)
	if err != nil {
		return err
	}
	r := result{Kind: key.Kind, Name: key.Name, Revision: written.Revision, Changed: true}
	err = t.print(r, func() { fmt.Fprintf(t.out, "%s %s removed at revision %d\n", r.Kind, r.Name, r.Revision) })
	if err != nil {
		return err
	}
	return t.await(ctx, []result{r})
}

// drain sets one field of the stored record, whoever else writes it.
func (t *tool) drain(ctx context.Context) error {
	key := config.Key{Kind: config.KindUpstream, Name: t.name}
	var err error
	for range drainAttempts {
		var r result
		if r, err = t.drainOnce(ctx, key); err == nil {
			if err := t.report([]result{r}); err != nil {
				return err
			}
			return t.await(ctx, []result{r})
		}
		if fault.KindOf(err) != fault.Conflict {
			return err
		}
	}
	return err
}

func (t *tool) drainOnce(ctx context.Context, key config.Key) (result, error) {
	r := result{Kind: key.Kind, Name: key.Name}
	stored, err := t.client.Record(ctx, key)
	if err != nil {
		return r, err
	}
	obj, err := codec.DecodeAny(stored.Record)
	if err != nil {
		return r, err
	}
	u, ok := obj.(*config.Upstream)
	if !ok || u.Drain != t.undo {
		return r, nil
	}
	u.Drain = !t.undo
	record, err := v2.Encode(u)
	if err != nil {
		return r, err
	}
	written, err := t.client.Put(ctx, key, record, stored.Revision)
	r.Revision, r.Changed = written.Revision, true
	return r, err
}

func (t *tool) adopt(ctx context.Context) error {
	w, err := t.client.Adopt(ctx)
	if err != nil {
		return err
	}
	return t.print(w, func() {
		fmt.Fprintf(t.out, "what the key-value service holds goes into force at revision %d\n", w.Revision)
	})
}
