package agent

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupreel/kingcupreel/internal/claim"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// phase is the state of a run.
type phase int

// The phases. A run goes from waiting to running to ended, or from waiting to
// withdrawn, if the upstream never gets it.
const (
	waiting phase = iota
	running
	ended
	withdrawn
)

// run is one attempt at the upstream, with the part of the answer that is needed
// to replay it when the entry reattaches after a lost connection.
type run struct {
	dispatch *wire.Dispatch
	ctx      context.Context
	cancel   context.CancelCauseFunc

	// ledger records a non-idempotent call; nil for an idempotent one.
	ledger *claim.Ledger

	mu    sync.Mutex
	phase phase
	// sink is the connection that gets the answer; nil while there is none.
	sink *wire.Conn
	// seq is the number of the last chunk sent. head and finalDone are nil until
	// they have been sent.
	seq       uint64
	head      *wire.Head
	replay    replay
	finalDone *wire.Done
	// abandoned is set once the entry has cancelled the run. A non-idempotent call that the
	// upstream is executing goes on without a sink and a replay.
	abandoned bool
	// undelivered is the size of the chunks since the last sink was lost, in bytes.
	undelivered int
	// answer is a non-idempotent call's answer so far, for the ledger.
	answer claim.Answer
	// timer stops a run that has no sink, or removes one that has ended.
	timer clockwork.Timer
}

// newRun returns a waiting run. If the dispatch has a timeout, the run's context
// ends after runTimeout.
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

// start moves a waiting run to running. It returns false if the run must not
// start: it was withdrawn, or its context is done.
func (r *run) start() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.phase != waiting || r.ctx.Err() != nil {
		return false
	}
	r.phase = running
	return true
}

// runs reports whether the upstream is executing the run.
func (r *run) runs() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.phase == running
}

// withdraw moves a waiting run to withdrawn, so that the upstream never gets it.
// It returns false if the run is not waiting.
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

// sendHead sends the status and the content type of the answer.
func (r *run) sendHead(status int, contentType string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.head = &wire.Head{ID: r.dispatch.ID, Status: status, ContentType: contentType}
	r.recordHead(status, contentType)
	r.send(r.head)
}

// answerStarted reports whether a part of the answer has been sent.
func (r *run) answerStarted() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.seq > r.dispatch.ResumeFrom
}

// awaitRoom waits until the sink has room for another chunk. Without a sink it doesn't wait.
func (r *run) awaitRoom() {
	r.mu.Lock()
	sink := r.sink
	r.mu.Unlock()
	if sink != nil {
		sink.AwaitRoom(r.ctx)
	}
}

// sendChunk sends the next part of the answer and keeps it for a replay.
func (r *run) sendChunk(data []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordChunk(data)
	if r.sink == nil {
		r.undelivered += len(data)
	}
	if r.abandoned {
		return
	}
	r.seq++
	c := &wire.Chunk{ID: r.dispatch.ID, Seq: r.seq, Data: data}
	r.replay.add(c, replayLimit)
	r.send(c)
}

// errUndelivered ends a stream that has had no entry for too long.
var errUndelivered = fault.New(fault.TooLarge, "ask for a smaller answer", "more than %d bytes of the answer had no receiver", wire.MaxAnswerBody)

// checkDelivered returns an error once more than wire.MaxAnswerBody has come without a sink. A
// replay holds less.
func (r *run) checkDelivered() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.undelivered > wire.MaxAnswerBody {
		return errUndelivered
	}
	return nil
}

// finish marks the run as ended and sends the entry its outcome.
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

// send sends a message to the sink, if there is one. The caller holds mu.
func (r *run) send(m wire.Message) {
	if r.sink != nil {
		_ = r.sink.Send(m)
	}
}

// attach makes c the sink, sends Accepted and replays the answer from the chunk
// after number seq. It returns false, and leaves the sink as it is, if some of
// these chunks are no longer kept.
func (r *run) attach(c *wire.Conn, seq uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	chunks, ok := r.replay.after(seq)
	if !ok {
		return false
	}
	r.sink, r.undelivered = c, 0
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

// detach removes the sink if it is c, and reports whether it was.
func (r *run) detach(c *wire.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sink != c {
		return false
	}
	r.sink = nil
	return true
}

// abandon removes the sink and the replay of a run that its entry has cancelled.
func (r *run) abandon() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sink, r.abandoned = nil, true
	r.replay = replay{}
	r.replay.startAt(math.MaxUint64) // no chunk is kept
}

func (r *run) isAbandoned() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.abandoned
}

// orphaned reports whether the run has no sink and has not ended.
func (r *run) orphaned() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sink == nil && r.phase != ended
}

// setTimer stops the run's timer and sets a new one that calls f after d.
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

// close stops the run's timer and cancels its context.
func (r *run) close() {
	r.mu.Lock()
	r.stopTimer()
	r.mu.Unlock()
	r.cancel(context.Canceled)
}
