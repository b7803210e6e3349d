package agent

import (
	"github.com/google/uuid"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/quarantine"
	"github.com/kingcupreel/kingcupreel/internal/timeline"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

func suspectOf(d *wire.Dispatch) quarantine.Suspect {
	return quarantine.Suspect{Fingerprint: quarantine.FingerprintOf(d.Account, d.Path, d.Body), Account: d.Account}
}

// isolate waits until no other suspect runs here, if the run is a suspect, and
// returns the function that lets the next one run.
func (a *Agent) isolate(r *run) func() {
	if !r.dispatch.Isolated {
		return func() {}
	}
	a.isolation.Lock()
	return a.isolation.Unlock
}

// checkQuarantine refuses a run whose request was convicted since it was dispatched.
func (a *Agent) checkQuarantine(r *run) error {
	if a.quarantine.Empty() {
		return nil
	}
	return a.quarantine.Check(suspectOf(r.dispatch).Fingerprint)
}

// callUpstream runs an attempt at the upstream and attributes a crash to all that the
// upstream had. The report is sent before the attempt's end.
func (a *Agent) callUpstream(r *run) (outcome.Outcome, error) {
	f := a.inFlight.Start(suspectOf(r.dispatch))
	defer a.inFlight.End(f)
	o, err := a.upstream.run(r)
	if fault.KindOf(err) == fault.Crashed {
		a.inFlight.Crashed(f, a.reportCrash)
	}
	return o, err
}

// reportCrash reports a crash to every entry.
func (a *Agent) reportCrash(suspects []quarantine.Suspect) {
	report := quarantine.Report{ID: uuid.NewString(), Upstream: a.opts.Hello.Upstream, AtMS: a.opts.Clock.Now().UnixMilli(), Suspects: suspects}
	a.count("upstream.crashes")
	a.opts.Events.Add(timeline.Event{Kind: timeline.UpstreamCrashed, Object: report.Upstream})
	a.quarantine.Add(report)
	a.broadcast(crashMessage(report))
}

// sendCrashReports tells an entry that has connected of the crashes that still
// count.
func (a *Agent) sendCrashReports(c *wire.Conn) {
	for _, r := range a.quarantine.Reports() {
		_ = c.Send(crashMessage(r))
	}
}

func crashMessage(r quarantine.Report) *wire.CrashReport {
	m := wire.CrashReport(r)
	return &m
}
