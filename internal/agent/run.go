package agent

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupreel/kingcupreel/internal/claim"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// phase is where a run stands.
type phase int

// The phases. A run goes from waiting to running to ended, or from waiting to
// withdrawn.
const (
	waiting phase = iota
	running
	ended
	withdrawn
)

// run is one attempt at the upstream, with what the entry needs to attach to it
// again.
type run struct {
	dispatch *wire.Dispatch
	ctx      context.Context
	cancel   context.CancelCauseFunc

	// ledger is the ledger that has a non-idempotent call.
	ledger *claim.Ledger

	mu    sync.Mutex
	phase phase
	// sink is the connection that gets the answer; nil while there is none.
	sink      *wire.Conn
	seq       uint64
	head      *wire.Head
	replay    replay
	finalDone *wire.Done
	// answer is a non-idempotent call's answer so far.
	answer claim.Answer
	// timer ends a run without a sink, or removes one that has ended.
	timer clockwork.Timer
}

// newRun returns a waiting run whose context ends at the caller's deadline.
func newRun(d *wire.Dispatch, sink *wire.Conn) *run {
	ctx, cancel := context.WithCancelCause(context.Background())
	if d.TimeoutMS > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, runTimeout(d))
		context.AfterFunc(ctx, stop)
	}
	r := &run{dispatch: d, ctx: ctx, cancel: cancel, sink: sink, seq: d.ResumeFrom}
	r.replay.startAt(d.ResumeFrom)
	return r
}

// start moves a waiting run to running; false means that it must not run.
func (r *run) start() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.phase != waiting || r.ctx.Err() != nil {
		return false
	}
	r.phase = running
	return true
}

// runs says whether the upstream has the run.
func (r *run) runs() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.phase == running
}

// withdraw ends a waiting run before the upstream has it; false means that it
// is too late.
func (r *run) withdraw() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.phase != waiting {
		return false
	}
	r.phase = withdrawn
	r.withdrawCall()
	return true
}

// sendHead sends the status line of the answer.
func (r *run) sendHead(status int, contentType string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.head = &wire.Head{ID: r.dispatch.ID, Status: status, ContentType: contentType}
	r.recordHead(status, contentType)
	r.send(r.head)
}

// sendChunk sends the next part of the answer and keeps it for a repetition.
func (r *run) sendChunk(data []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordChunk(data)
	r.seq++
	c := &wire.Chunk{ID: r.dispatch.ID, Seq: r.seq, Data: data}
	r.replay.add(c, replayLimit)
	r.send(c)
}

// finish ends the attempt.
func (r *run) finish(o outcome.Outcome, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.phase = ended
	r.finalDone = &wire.Done{ID: r.dispatch.ID, Chunks: r.seq, Outcome: o}
	if err != nil {
		e := fault.As(err)
		r.finalDone.Reason, r.finalDone.Message = e.Kind, e.Error()
	}
	r.endCall(o, err)
	finalDone := *r.finalDone
	r.send(&finalDone)
}

// send passes a message to the entry, if there is one. The caller holds mu.
func (r *run) send(m wire.Message) {
	if r.sink != nil {
		_ = r.sink.Send(m)
	}
}

// attach makes c the sink, says so with an Accepted and repeats the answer after
// number seq; false means that the run no longer keeps all of it.
func (r *run) attach(c *wire.Conn, seq uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	chunks, ok := r.replay.after(seq)
	if !ok {
		return false
	}
	r.sink = c
	if r.phase != ended {
		r.stopTimer()
	}
	r.send(&wire.Accepted{ID: r.dispatch.ID})
	if r.head != nil {
		r.send(r.head)
	}
	for _, chunk := range chunks {
		r.send(chunk)
	}
	if r.finalDone != nil {
		finalDone := *r.finalDone
		r.send(&finalDone)
	}
	return true
}

// detach takes c away as the sink; false means that it wasn't the sink.
func (r *run) detach(c *wire.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sink != c {
		return false
	}
	r.sink = nil
	return true
}

// orphaned says whether a run that has not ended has no sink.
func (r *run) orphaned() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sink == nil && r.phase != ended
}

// setTimer replaces the run's timer.
func (r *run) setTimer(clock clockwork.Clock, d time.Duration, f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopTimer()
	r.timer = clock.AfterFunc(d, f)
}

// stopTimer stops the run's timer. The caller holds mu.
func (r *run) stopTimer() {
	if r.timer != nil {
		r.timer.Stop()
	}
}

// close frees the run's timer and context.
func (r *run) close() {
	r.mu.Lock()
	r.stopTimer()
	r.mu.Unlock()
	r.cancel(context.Canceled)
}
