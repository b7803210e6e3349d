package ctl

import (
	"cmp"
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/config/codec"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/opapi"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// timeFormat is the layout of event times: UTC, in microseconds.
const timeFormat = "2006-01-02T15:04:05.000000Z"

func (t *tool) get(ctx context.Context) error {
	if t.kind != "" && t.name != "" {
		return t.getOne(ctx)
	}
	list, err := t.client.Config(ctx)
	if err != nil {
		return err
	}
	if t.schema1Only {
		list.Records = schema1Records(list.Records)
	}
	if t.kind != "" {
		list.Records = recordsOfKind(list.Records, config.Kind(t.kind))
	}
	return t.print(list, func() {
		fmt.Fprintf(t.out, "revision %d\n", list.Revision)
		for _, r := range list.Records {
			fmt.Fprintf(t.out, "%s @%d %s\n", r.Key, r.Revision, r.Record)
		}
	})
}

// getOne prints a record as a file for apply.
func (t *tool) getOne(ctx context.Context) error {
	key, err := t.key()
	if err != nil {
		return err
	}
	r, err := t.client.Record(ctx, key)
	if err != nil {
		return err
	}
	text, err := toYAML(r.Record, r.Revision)
	if err != nil {
		return err
	}
	return t.print(r, func() { fmt.Fprint(t.out, text) })
}

func schema1Records(records []opapi.ConfigRecord) []opapi.ConfigRecord {
	var selected []opapi.ConfigRecord
	for _, r := range records {
		if v, err := codec.Version(r.Record); err == nil && v == codec.SchemaVersion1 {
			selected = append(selected, r)
		}
	}
	return selected
}

func recordsOfKind(records []opapi.ConfigRecord, kind config.Kind) []opapi.ConfigRecord {
	var selected []opapi.ConfigRecord
	for _, r := range records {
		if k, err := config.ParseKey(r.Key); err == nil && k.Kind == kind {
			selected = append(selected, r)
		}
	}
	return selected
}

func (t *tool) status(ctx context.Context) error {
	d, err := t.client.Deployment(ctx, 0)
	if err != nil {
		return err
	}
	return t.print(d, func() { t.printDeployment(d) })
}

func (t *tool) printDeployment(d opapi.Deployment) {
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "PROCESS\tROLE\tDATA CENTRE\tREVISION\tSTALENESS\tIN FLIGHT\tRUNNING\tQUEUED\tSTATE")
	for _, p := range d.Processes {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%d\t%s\t%s\t%s\n", p.Process, p.Role, p.DataCentre, p.Revision, formatStaleness(p),
			p.InFlight, formatRunning(p), formatQueued(p), stateOf(p))
	}
	w.Flush()
	for _, m := range d.Missing {
		fmt.Fprintf(t.out, "missing: %s: %s\n", m.Process, m.Reason)
	}
	printed := map[string]bool{}
	for _, p := range d.Processes {
		for _, r := range p.Rejected {
			message := fmt.Sprintf("rejected: %s at revision %d: %s (in force: %s)\n", r.Key, r.Revision, r.Reason, formatInForce(r))
			if !printed[message] {
				fmt.Fprint(t.out, message)
			}
			printed[message] = true
		}
		if p.Restored != "" {
			fmt.Fprintf(t.out, "restored: %s: %s\n", p.Process, p.Restored)
		}
	}
}

func formatInForce(r config.Rejected) string {
	if r.InForce == 0 {
		return "none"
	}
	return fmt.Sprintf("the record of revision %d", r.InForce)
}

func formatStaleness(p opapi.ProcessStatus) string {
	if p.StalenessMS < 0 {
		return "-"
	}
	return (time.Duration(p.StalenessMS) * time.Millisecond).String()
}

func formatRunning(p opapi.ProcessStatus) string {
	if p.Role != string(wire.RoleAgent) {
		return "-"
	}
	return fmt.Sprintf("%d/%d", p.Running, p.Capacity)
}

func formatQueued(p opapi.ProcessStatus) string {
	if p.Role != string(wire.RoleAgent) {
		return "-"
	}
	return fmt.Sprint(p.Queued)
}

func stateOf(p opapi.ProcessStatus) string {
	switch {
	case p.Draining && p.Role == string(wire.RoleAgent):
		return "leaving"
	case p.Draining:
		return "stopping"
	case p.Evacuated:
		return "evacuated"
	case p.Drain:
		return "drained"
	}
	return "serving"
}

func (t *tool) plan(ctx context.Context) error {
	p, err := t.client.Plan(ctx)
	if fault.KindOf(err) == fault.NotFound {
		return fault.New(fault.NotFound, "use an entry whose version supports expert plans; kingcupreelctl get expert-plan shows the stored records", "the entry has no plan state")
	}
	if err != nil {
		return err
	}
	return t.print(p, func() { t.printPlan(p) })
}

func (t *tool) timeline(ctx context.Context) error {
	tl, err := t.client.Timeline(ctx)
	if err != nil {
		return err
	}
	if t.filter.group != "" {
		list, err := t.client.Config(ctx)
		if err != nil {
			return err
		}
		t.filter.members = members(list.Records, t.filter.group)
	}
	tl.Events = t.filter.apply(tl)
	return t.print(tl, func() { t.printTimeline(tl) })
}

func (t *tool) printTimeline(tl opapi.Timeline) {
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "TIME (UTC)\tPROCESS\tEVENT\tOBJECT\tREVISION\tREQUEST\tATTEMPT\tDETAIL")
	for _, e := range tl.Events {
		wallTime := time.UnixMicro(e.At.WallUS).UTC().Format(timeFormat)
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", wallTime, e.Process, e.Kind, cmp.Or(e.Object, "-"),
			formatNumber(e.Revision), cmp.Or(e.Request, "-"), formatNumber(int64(e.Attempt)), e.Detail)
	}
	w.Flush()
	for _, m := range tl.Missing {
		fmt.Fprintf(t.errOut, "missing: %s: %s\n", m.Process, m.Reason)
	}
}

func formatNumber(n int64) string {
	if n == 0 {
		return "-"
	}
	return fmt.Sprint(n)
}
