package agent

import (
	"context"
	"sync"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// run is one attempt at the upstream.
type run struct {
	dispatch *wire.Dispatch
	ctx      context.Context
	cancel   context.CancelFunc

	mu   sync.Mutex
	sink *wire.Conn
	seq  uint64
}

func newRun(ctx context.Context, d *wire.Dispatch, sink *wire.Conn) *run {
	ctx, cancel := context.WithCancel(ctx)
	return &run{dispatch: d, ctx: ctx, cancel: cancel, sink: sink, seq: d.ResumeFrom}
}

// send passes a message to the entry. A lost connection loses the message; the
// entry finds the gap.
func (r *run) send(m wire.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.sink.Send(m)
}

// head sends the status line of the answer.
func (r *run) head(status int, contentType string) {
	r.send(&wire.Head{ID: r.dispatch.ID, Status: status, ContentType: contentType})
}

// chunk sends the next part of the answer.
func (r *run) chunk(data []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	_ = r.sink.Send(&wire.Chunk{ID: r.dispatch.ID, Seq: r.seq, Data: data})
}

// done ends the attempt.
func (r *run) done(o outcome.Outcome, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := &wire.Done{ID: r.dispatch.ID, Chunks: r.seq, Outcome: o}
	if err != nil {
		e := fault.As(err)
		m.Reason, m.Message = e.Kind, e.Error()
	}
	_ = r.sink.Send(m)
}
