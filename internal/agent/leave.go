package agent

import (
	"context"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/timeline"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// handOverTimeout bounds the wait for the entries to release the attempts that
// a leaving agent has handed over.
const handOverTimeout = 2 * time.Second

// errHandedOver ends a run that has not completed when the agent's drain ends.
var errHandedOver = fault.New(fault.Unavailable, "no action needed: the entry continues the request at another upstream", "the upstream shut down before the answer was complete")

// Leave drains the agent: it refuses new attempts, notifies every entry, and
// waits until the attempts in flight have ended and the entries have released
// them. Attempts that remain when ctx is done are handed over: they end with an
// error that lets the entry continue them at another upstream. A non-idempotent
// call that is running can't be handed over, so Leave waits for it to end or to
// reach its timeout.
func (a *Agent) Leave(ctx context.Context) error {
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	a.opts.Events.Add(timeline.Event{Kind: timeline.UpstreamLeaving, Object: a.opts.Hello.Upstream})
	a.broadcast(&wire.Leaving{})
	ended := make(chan struct{})
	go func() {
		a.active.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
	}
	for a.handOver() {
		select {
		case <-ended:
			return nil
		case <-a.opts.Clock.After(handOverTimeout):
		}
	}
	select {
	case <-ended:
		return nil
	case <-a.opts.Clock.After(handOverTimeout):
		return ctx.Err()
	}
}

// handOver ends every attempt that another upstream may continue. It reports
// whether a non-idempotent call is still running.
func (a *Agent) handOver() bool {
	a.mu.Lock()
	runs := make([]*run, 0, len(a.runs))
	for _, r := range a.runs {
		runs = append(runs, r)
	}
	a.mu.Unlock()
	callsRunning := false
	for _, r := range runs {
		switch {
		case r.withdraw():
			a.journal.set(r.dispatch.ID, wire.NeverRun)
			a.finishRun(r, outcome.NotRun, errHandedOver)
		case !r.dispatch.NonIdempotent:
			r.cancel(errHandedOver)
		case r.runs():
			callsRunning = true
		}
	}
	return callsRunning
}
