package agent

import (
	"time"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/timeline"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

const (
	// refusalRetryAfter is the Retry-After of a refusal by an agent that is full or
	// shutting down.
	refusalRetryAfter = 1 * time.Second
	// releaseTimeout bounds how long an ended run is kept for its entry's Release.
	releaseTimeout = 10 * time.Second
)

// dispatch queues an attempt, or sends the entry a refusal.
func (a *Agent) dispatch(c *wire.Conn, d *wire.Dispatch) {
	if err := a.enqueue(c, d); err != nil {
		e := fault.As(err)
		a.count("attempts.refused")
		a.opts.Events.Add(timeline.Event{Kind: timeline.AttemptRefused, Request: d.ID.Request, Attempt: d.ID.Attempt, Detail: e.Message})
		_ = c.Send(&wire.Refused{ID: d.ID, Reason: e.Kind, Message: e.Error(), RetryAfterMS: e.RetryAfter.Milliseconds()})
	}
}

func (a *Agent) enqueue(c *wire.Conn, d *wire.Dispatch) error {
	if d.ID.Incarnation != a.opts.Hello.Incarnation {
		return fault.New(fault.Stale, "dispatch to the agent's current incarnation", "the attempt is addressed to another incarnation of the agent")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.journal.begin(c.Peer().Incarnation, d.ID) {
		return fault.New(fault.Conflict, "use a new attempt number", "the attempt number was already used or withdrawn, or is too old")
	}
	r, err := a.admit(c, d)
	if err != nil {
		a.journal.set(d.ID, wire.NeverRun)
		return err
	}
	a.runs[d.ID] = r
	a.active.Add(1)
	_ = c.Send(&wire.Accepted{ID: d.ID})
	return nil
}

// admit puts a run in the queue, or returns why it is refused. The caller holds
// mu.
func (a *Agent) admit(c *wire.Conn, d *wire.Dispatch) (*run, error) {
	if a.leaving {
		return nil, fault.New(fault.Unavailable, "use another upstream", "the upstream is leaving").After(refusalRetryAfter)
	}
	r := newRun(d, c)
	if err := r.beginCall(a.ledger); err != nil {
		r.close()
		return nil, err
	}
	select {
	case a.queue <- r:
		return r, nil
	default:
		r.withdraw()
		r.close()
		return nil, fault.New(fault.Overloaded, "use another upstream", "the upstream's queue is full").After(refusalRetryAfter)
	}
}

// cancel stops an attempt, or fences it if it has not arrived, and sends the
// entry its state.
func (a *Agent) cancel(c *wire.Conn, m *wire.Cancel) {
	_ = c.Send(&wire.Verdict{ID: m.ID, State: a.stop(c, m)})
}

func (a *Agent) stop(c *wire.Conn, m *wire.Cancel) wire.AttemptState {
	if m.ID.Incarnation != a.opts.Hello.Incarnation {
		return wire.Forgotten
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.runs[m.ID]
	if r == nil {
		return a.journal.fence(c.Peer().Incarnation, m.ID)
	}
	if r.withdraw() {
		a.journal.set(m.ID, wire.NeverRun)
		a.remove(r)
		return wire.NeverRun
	}
	state := a.journal.fence(c.Peer().Incarnation, m.ID)
	if !m.OnlyIfWaiting {
		a.remove(r)
		r.abandon()
	}
	return state
}

// attach sends an attempt's answer on another connection of its entry. An
// attempt that can't be attached is fenced and its state is sent.
func (a *Agent) attach(c *wire.Conn, m *wire.Attach) {
	if m.ID.Incarnation != a.opts.Hello.Incarnation {
		_ = c.Send(&wire.Verdict{ID: m.ID, State: wire.Forgotten})
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count("attempts.attached")
	if r := a.runs[m.ID]; r != nil && r.attach(c, m.AfterSeq) {
		return
	}
	_ = c.Send(&wire.Verdict{ID: m.ID, State: a.journal.fence(c.Peer().Incarnation, m.ID)})
}

// release drops a run after the entry has received its outcome.
func (a *Agent) release(m *wire.Release) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r := a.runs[m.ID]; r != nil {
		a.remove(r)
	}
}

// remove drops a run and cancels it if it is still running. A non-idempotent
// call that the upstream is executing is left to complete. The caller holds mu.
func (a *Agent) remove(r *run) {
	if a.runs[r.dispatch.ID] != r || r.mustFinish() {
		return
	}
	delete(a.runs, r.dispatch.ID)
	r.close()
	a.active.Done()
}

// execute runs one attempt until it ends.
func (a *Agent) execute(r *run) {
	id := r.dispatch.ID
	defer a.isolate(r)()
	if err := a.checkQuarantine(r); err != nil && r.withdraw() {
		a.journal.set(id, wire.NeverRun)
		a.finishRun(r, outcome.NotRun, err)
		return
	}
	if !r.start() {
		if r.withdraw() {
			a.journal.set(id, wire.NeverRun)
			a.finishRun(r, outcome.NotRun, fault.New(fault.Timeout, "allow more time with Request-Timeout", "the deadline passed before the attempt ran"))
		}
		return
	}
	a.opts.Events.Add(timeline.Event{Kind: timeline.AttemptStarted, Request: id.Request, Attempt: id.Attempt})
	o, err := a.callUpstream(r)
	state := wire.Ended
	if o == outcome.NotRun {
		state = wire.NeverRun
	}
	a.journal.set(id, state)
	a.finishRun(r, o, err)
}

// finishRun sends the entry the outcome of an attempt and keeps the answer until
// the entry releases it, for releaseTimeout at most.
func (a *Agent) finishRun(r *run, o outcome.Outcome, err error) {
	id := r.dispatch.ID
	a.count("attempts." + string(o))
	// The event precedes the message, so that the entry's answer comes after it on the
	// time line.
	a.opts.Events.Add(timeline.Event{Kind: timeline.AttemptEnded, Request: id.Request, Attempt: id.Attempt, Detail: string(o)})
	r.finish(o, err)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.runs[id] != r {
		return
	}
	if r.isAbandoned() {
		a.remove(r)
		return
	}
	r.setTimer(a.opts.Clock, releaseTimeout, func() { a.release(&wire.Release{ID: id}) })
}

// detachRuns removes the sink of the runs of a lost connection. Runs that are
// not reattached within OrphanTimeout are stopped, except a non-idempotent call
// that the upstream is executing: it continues to its deadline.
func (a *Agent) detachRuns(c *wire.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range a.runs {
		if r.detach(c) && r.orphaned() {
			r.setTimer(a.opts.Clock, a.opts.OrphanTimeout, func() { a.stopOrphan(r) })
		}
	}
}

// stopOrphan removes a run if it is still an orphan.
func (a *Agent) stopOrphan(r *run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.runs[r.dispatch.ID] != r || !r.orphaned() {
		return
	}
	if r.withdraw() {
		a.journal.set(r.dispatch.ID, wire.NeverRun)
	} else if r.dispatch.NonIdempotent {
		return
	}
	a.count("attempts.orphaned")
	a.remove(r)
}
