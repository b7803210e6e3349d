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
	// waitPollInterval is the interval at which --wait polls the entry.
	waitPollInterval = 300 * time.Millisecond
	// maxDrainAttempts bounds the attempts of drain if other writers change the
	// record meanwhile.
	maxDrainAttempts = 5
)

// writeResult is the result of writing one record.
type writeResult struct {
	Kind config.Kind `json:"kind"`
	Name string      `json:"name"`
	// Revision is the configuration revision that contains the change, or 0 if
	// nothing changed.
	Revision int64 `json:"revision"`
	Changed  bool  `json:"changed"`
}

func (t *tool) apply(ctx context.Context) error {
	docs, err := loadDocuments(t.files)
	if err != nil {
		return err
	}
	var results []writeResult
	for _, d := range docs {
		r, err := t.applyOne(ctx, d)
		if err != nil {
			_ = t.printResults(results)
			return err
		}
		results = append(results, r)
	}
	if err := t.printResults(results); err != nil {
		return err
	}
	return t.waitInForce(ctx, results)
}

// applyOne writes a document. The write succeeds if the stored record still has
// the revision that the file names or, if the file names none, the one that
// applyOne reads.
func (t *tool) applyOne(ctx context.Context, d document) (writeResult, error) {
	key := d.object.Key()
	stored, err := t.readStored(ctx, key)
	if err != nil {
		return writeResult{}, err
	}
	if d.baseRevision != noBaseRevision && d.baseRevision != stored.Revision {
		return writeResult{}, t.conflictError(d, d.baseRevision, stored, d.object)
	}
	after, err := d.mergeInto(stored.Record)
	if err != nil {
		return writeResult{}, err
	}
	before := decodeStored(stored.Record)
	if before != nil && len(compare(before, after)) == 0 && keepsSchemaVersion(stored.Record, d.json) {
		return writeResult{Kind: key.Kind, Name: key.Name}, nil
	}
	written, err := t.client.Put(ctx, key, d.json, stored.Revision)
	if fault.KindOf(err) == fault.Conflict {
		current, readErr := t.readStored(ctx, key)
		if readErr != nil {
			return writeResult{}, err
		}
		return writeResult{}, t.conflictError(d, stored.Revision, current, before)
	}
	return writeResult{Kind: key.Kind, Name: key.Name, Revision: written.Revision, Changed: true}, err
}

// keepsSchemaVersion reports whether writing record leaves the schema version
// of the stored record unchanged. A record in version 1 never changes it: its
// fields are merged into a stored record in version 2.
func keepsSchemaVersion(stored, record []byte) bool {
	storedVersion, err := codec.Version(stored)
	if err != nil {
		return false
	}
	recordVersion, err := codec.Version(record)
	return err == nil && (storedVersion == recordVersion || recordVersion == codec.SchemaVersion1)
}

// conflictError returns an error that lists the changes from base to the
// current record. base is the record that the change is based on, or the
// operator's own record if the file names an older revision.
func (t *tool) conflictError(d document, baseRevision int64, current opapi.ConfigRecord, base config.Object) error {
	key := d.object.Key()
	var changes strings.Builder
	currentObject := decodeStored(current.Record)
	if current.Revision == 0 {
		changes.WriteString("  the record was deleted\n")
	}
	printChanges(&changes, compare(base, currentObject))
	changeScope := "since then"
	if base == d.object {
		changeScope = "from your file to what is stored"
	}
	return fault.New(fault.Conflict, fmt.Sprintf("merge the change into your file, set its revision to %d or leave the revision out, and apply it again", current.Revision),
		"%s %q has changed: your change is based on revision %d, the record is at revision %d; %s:\n%s", key.Kind, key.Name, baseRevision, current.Revision, changeScope, changes.String())
}

func (t *tool) printResults(results []writeResult) error {
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

// waitInForce waits, with --wait, until the highest revision of the results is
// in force everywhere.
func (t *tool) waitInForce(ctx context.Context, results []writeResult) error {
	var revision int64
	for _, r := range results {
		revision = max(revision, r.Revision)
	}
	if !t.wait || revision == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, t.waitTimeout)
	defer cancel()
	message := fmt.Sprintf("revision %d: no entry answered in time", revision)
	for {
		d, err := t.client.Deployment(ctx, revision)
		if err == nil {
			if len(d.Processes) == 0 && len(d.Missing) == 0 {
				return t.print(map[string]int64{"in_force": revision}, func() { fmt.Fprintf(t.out, "revision %d is in force everywhere\n", revision) })
			}
			message = notInForceMessage(revision, d)
		}
		select {
		case <-ctx.Done():
			return &exitError{ExitNotInForce, message}
		case <-time.After(waitPollInterval):
		}
	}
}

// notInForceMessage names the processes that lack the revision.
func notInForceMessage(revision int64, d opapi.Deployment) string {
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
	r := writeResult{Kind: key.Kind, Name: key.Name, Revision: written.Revision, Changed: true}
	err = t.print(r, func() { fmt.Fprintf(t.out, "%s %s removed at revision %d\n", r.Kind, r.Name, r.Revision) })
	if err != nil {
		return err
	}
	return t.waitInForce(ctx, []writeResult{r})
}

// drain sets or clears the drain field of the stored record and retries if
// another writer changes the record meanwhile.
func (t *tool) drain(ctx context.Context) error {
	key := config.Key{Kind: config.KindUpstream, Name: t.name}
	var err error
	for range maxDrainAttempts {
		var r writeResult
		if r, err = t.drainOnce(ctx, key); err == nil {
			if err := t.printResults([]writeResult{r}); err != nil {
				return err
			}
			return t.waitInForce(ctx, []writeResult{r})
		}
		if fault.KindOf(err) != fault.Conflict {
			return err
		}
	}
	return err
}

func (t *tool) drainOnce(ctx context.Context, key config.Key) (writeResult, error) {
	r := writeResult{Kind: key.Kind, Name: key.Name}
	stored, err := t.client.Record(ctx, key)
	if err != nil {
		return r, err
	}
	obj, err := codec.DecodeAny(stored.Record)
	if err != nil {
		return r, err
	}
	u, ok := obj.(*config.Upstream)
	if !ok || u.Drain != t.undoDrain {
		return r, nil
	}
	u.Drain = !t.undoDrain
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
		fmt.Fprintf(t.out, "the records of the key-value service come into force at revision %d\n", w.Revision)
	})
}
