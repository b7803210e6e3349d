package agent

import (
	"context"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/timeline"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// handOverTimeout bounds the wait for the entries to take over what a leaving
// agent hands on.
const handOverTimeout = 2 * time.Second

// errHandedOver ends a run that outlasts a leaving agent.
var errHandedOver = fault.New(fault.Unavailable, "the stream goes on at another upstream", "the upstream left before the answer was whole")

// Leave refuses new work, tells every entry, and waits until the work in
// flight has ended and the entries have it. What is left when ctx is done is
// handed on: waiting and running attempts end with an error that lets the
// entry go on elsewhere. A call that must not run twice can't be handed on, so
// Leave waits for it, for onceTimeout at most.
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

// handOver ends every attempt that may go on elsewhere, and says whether a call
// that must not run twice still runs.
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
