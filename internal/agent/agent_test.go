package agent

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/config/codec"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/timeline"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

const testIncarnation = "agent-1"

// rig is an agent with a fake clock and an engine that answers each call with one
// event and then blocks until the call is cancelled.
type rig struct {
	t       *testing.T
	clock   *clockwork.FakeClock
	address string
	agent   *Agent
	// started gets one value for each call that reaches the engine, stopped one
	// for each that the agent cancels.
	started, stopped chan struct{}
}

func newRig(t *testing.T) *rig {
	r := &rig{t: t, clock: clockwork.NewFakeClock(), started: make(chan struct{}, 8), stopped: make(chan struct{}, 8)}
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = w.Write([]byte("data: {}\n\n"))
		_ = http.NewResponseController(w).Flush()
		r.started <- struct{}{}
		<-req.Context().Done()
		r.stopped <- struct{}{}
	}))
	t.Cleanup(engine.Close)
	r.agent = New(Options{
		Hello:  wire.Hello{Process: "a", Incarnation: testIncarnation, Role: wire.RoleAgent, Upstream: "u"},
		Target: engine.URL, Workers: 4, Clock: r.clock, Store: config.NewStore(codec.Decode),
		Events: timeline.NewRing("a", 16, r.clock), Metrics: metrics.NewRegistry(), Log: zap.NewNop(),
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.address = l.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = r.agent.Serve(ctx, l) }()
	return r
}

// peer is an entry's connection; in collects the messages that it receives.
type peer struct {
	t    *testing.T
	conn *wire.Conn
	in   chan wire.Message
}

func (p *peer) Receive(_ *wire.Conn, m wire.Message) { p.in <- m }

func (r *rig) connect(entry string) *peer {
	nc, err := net.Dial("tcp", r.address)
	if err != nil {
		r.t.Fatal(err)
	}
	p := &peer{t: r.t, in: make(chan wire.Message, 64)}
	p.conn = wire.NewConn(nc, p, wire.Options{})
	r.t.Cleanup(p.conn.Close)
	go func() { _ = p.conn.Run(context.Background()) }()
	p.send(&wire.Hello{Process: "e", Incarnation: entry, Role: wire.RoleEntry})
	return p
}

func (p *peer) send(m wire.Message) {
	if err := p.conn.Send(m); err != nil {
		p.t.Fatal(err)
	}
}

// receive waits for a message of type M and drops all others.
func receive[M wire.Message](p *peer) M {
	for m := range p.in {
		if want, ok := m.(M); ok {
			return want
		}
	}
	panic("closed")
}

func testDispatch(n uint64) *wire.Dispatch {
	id := wire.AttemptID{Request: "r", Attempt: uint32(n), Incarnation: testIncarnation, DispatchNumber: n}
	return &wire.Dispatch{ID: id, Method: http.MethodPost, Path: "/", Stream: true}
}

func TestLateDispatchOfCancelledAttemptIsRefused(t *testing.T) {
	r := newRig(t)
	p := r.connect("e1")
	d := testDispatch(1)
	p.send(&wire.Cancel{ID: d.ID})
	if v := receive[*wire.Verdict](p); v.State != wire.NeverSeen {
		t.Fatalf("verdict %s", v.State)
	}
	p.send(d)
	if m := receive[*wire.Refused](p); m.Reason != fault.Conflict {
		t.Fatalf("refused with %s", m.Reason)
	}
}

func TestAttachFencesLostDispatch(t *testing.T) {
	r := newRig(t)
	d := testDispatch(1)
	p := r.connect("e1")
	p.send(&wire.Attach{ID: d.ID})
	if v := receive[*wire.Verdict](p); v.State != wire.NeverSeen {
		t.Fatalf("verdict %s", v.State)
	}
	p.send(d)
	receive[*wire.Refused](p)
}

func TestAttemptOfAnotherIncarnationIsRefusedAndForgotten(t *testing.T) {
	r := newRig(t)
	p := r.connect("e1")
	d := testDispatch(1)
	d.ID.Incarnation = "agent-0"
	p.send(d)
	if m := receive[*wire.Refused](p); m.Reason != fault.Stale {
		t.Fatalf("refused with %s", m.Reason)
	}
	p.send(&wire.Cancel{ID: d.ID})
	if v := receive[*wire.Verdict](p); v.State != wire.Forgotten {
		t.Fatalf("verdict %s", v.State)
	}
	p.send(&wire.Attach{ID: d.ID})
	if v := receive[*wire.Verdict](p); v.State != wire.Forgotten {
		t.Fatalf("verdict %s", v.State)
	}
}

func TestReattachReplaysAnswerAndOrphanIsStopped(t *testing.T) {
	r := newRig(t)
	first := r.connect("e1")
	d := testDispatch(1)
	first.send(d)
	receive[*wire.Chunk](first)
	<-r.started
	first.conn.Close()

	second := r.connect("e1")
	second.send(&wire.Attach{ID: d.ID})
	receive[*wire.Head](second)
	if c := receive[*wire.Chunk](second); c.Seq != 1 {
		t.Fatalf("replay starts with chunk %d, want 1", c.Seq)
	}
	second.conn.Close()
	r.awaitOrphan(d.ID)
	r.clock.Advance(DefaultOrphanTimeout)
	<-r.stopped
}

// awaitOrphan waits until the agent has detached the run from its lost
// connection.
func (r *rig) awaitOrphan(id wire.AttemptID) {
	for {
		r.agent.mu.Lock()
		run := r.agent.runs[id]
		orphaned := run != nil && run.orphaned()
		r.agent.mu.Unlock()
		if orphaned {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func TestPausedStreamIsCancelledAfterStallTimeout(t *testing.T) {
	r := newRig(t)
	p := r.connect("e1")
	p.send(testDispatch(1))
	receive[*wire.Chunk](p)
	r.clock.Advance(DefaultStallTimeout)
	if m := receive[*wire.Done](p); m.Reason != fault.Unavailable {
		t.Fatalf("done with %s %s", m.Outcome, m.Reason)
	}
	<-r.stopped
}

func TestLeavingAgentHandsOverAfterDrainTimeout(t *testing.T) {
	r := newRig(t)
	p := r.connect("e1")
	p.send(testDispatch(1))
	receive[*wire.Chunk](p)
	drain, endDrain := context.WithCancel(context.Background())
	leaveErr := make(chan error)
	go func() { leaveErr <- r.agent.Leave(drain) }()
	receive[*wire.Leaving](p)
	p.send(testDispatch(2))
	if m := receive[*wire.Refused](p); m.Reason != fault.Unavailable {
		t.Fatalf("refused with %s", m.Reason)
	}
	endDrain()
	done := receive[*wire.Done](p)
	if done.Reason != fault.Unavailable {
		t.Fatalf("done with %s", done.Reason)
	}
	p.send(&wire.Release{ID: done.ID})
	if err := <-leaveErr; err != nil {
		t.Fatal(err)
	}
}
