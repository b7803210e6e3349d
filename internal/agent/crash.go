package agent

import (
	"errors"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/httphead"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/quarantine"
	"github.com/kingcupreel/kingcupreel/internal/timeline"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// suspectOf returns the quarantine's identification of the dispatched request.
func suspectOf(d *wire.Dispatch) quarantine.Suspect {
	return quarantine.Suspect{Fingerprint: quarantine.FingerprintOf(d.Account, d.Path, d.Body), Account: d.Account, Parts: d.SharedParts}
}

// isolate waits, if the run is marked as isolated, until no other isolated run
// is executing here. It returns the function that lets the next one start.
func (a *Agent) isolate(r *run) func() {
	if !r.dispatch.Isolated {
		return func() {}
	}
	a.isolation.Lock()
	return a.isolation.Unlock
}

// checkQuarantine returns an error if the run's request has been convicted, which
// may have happened after it was dispatched.
func (a *Agent) checkQuarantine(r *run) error {
	if a.quarantine.Empty() {
		return nil
	}
	return a.quarantine.Check(suspectOf(r.dispatch))
}

// callUpstream runs an attempt at the upstream. A crash is attributed to all
// requests in flight there, and reported before the attempt's outcome is sent.
// An invalid head is no crash: the upstream that sent it is running.
func (a *Agent) callUpstream(r *run) (outcome.Outcome, error) {
	f := a.inFlight.Start(suspectOf(r.dispatch), r.answerStarted)
	defer a.inFlight.End(f)
	o, err := a.upstream.run(r)
	invalidHead := errors.Is(err, httphead.ErrInvalid)
	if invalidHead || fault.KindOf(err) == fault.TooLarge {
		a.upstream.log.Warn("upstream's answer is broken; ending the call", zap.String("request", r.dispatch.ID.Request), zap.Uint32("attempt", r.dispatch.ID.Attempt), zap.String("outcome", string(o)), zap.Error(err))
	}
	if fault.KindOf(err) == fault.Crashed && !invalidHead {
		a.inFlight.Crashed(f, a.reportCrash)
	}
	return o, err
}

// reportCrash records a crash of the upstream and reports it to every connected
// entry.
func (a *Agent) reportCrash(suspects []quarantine.Suspect) {
	report := quarantine.Report{ID: uuid.NewString(), Upstream: a.opts.Hello.Upstream, AtMS: a.opts.Clock.Now().UnixMilli(), Suspects: suspects}
	a.count("upstream.crashes")
	a.opts.Events.Add(timeline.Event{Kind: timeline.UpstreamCrashed, Object: report.Upstream})
	a.quarantine.Add(report)
	a.broadcast(crashMessage(report))
}

// sendCrashReports sends an entry that has connected the crash reports that have
// not expired.
func (a *Agent) sendCrashReports(c *wire.Conn) {
	for _, r := range a.quarantine.Reports() {
		_ = c.Send(crashMessage(r))
	}
}

func crashMessage(r quarantine.Report) *wire.CrashReport {
	m := wire.CrashReport(r)
	return &m
}
