package agent

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/config/codec"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/standin/heap"
	"github.com/kingcupreel/kingcupreel/internal/standin/raw"
	"github.com/kingcupreel/kingcupreel/internal/timeline"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// maxHeapBytes bounds the heap of an agent beside answers without end, in bytes. It is the bound
// of the gateway's test.
const maxHeapBytes = 160 << 20

// entryPeer is an entry's connection to an agent. It cancels an attempt once, when the entry
// doesn't want more of its answer, and collects the ends of attempts.
type entryPeer struct {
	t    *testing.T
	conn *wire.Conn
	// dispatched counts the attempts.
	dispatched uint64
	done       chan *wire.Done

	mu       sync.Mutex
	received map[wire.AttemptID]int
}

// startAgent starts an agent before an upstream and connects an entry to it.
func startAgent(t *testing.T, target string, workers int) *entryPeer {
	t.Helper()
	a := New(Options{
		Hello:  wire.Hello{Process: "a", Incarnation: testIncarnation, Role: wire.RoleAgent, Upstream: "u"},
		Target: target, Workers: workers, Store: config.NewStore(codec.Decode),
		Events: timeline.NewRing("a", 16, clockwork.NewRealClock()), Metrics: metrics.NewRegistry(), Log: zap.NewNop(),
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = a.Serve(ctx, l) }()
	nc, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	p := &entryPeer{t: t, done: make(chan *wire.Done, 1024), received: map[wire.AttemptID]int{}}
	p.conn = wire.NewConn(nc, p, wire.Options{})
	go func() { _ = p.conn.Run(ctx) }()
	p.send(&wire.Hello{Process: "e", Incarnation: "e1", Role: wire.RoleEntry})
	return p
}

func (p *entryPeer) send(m wire.Message) {
	p.t.Helper()
	if err := p.conn.Send(m); err != nil {
		p.t.Fatal(err)
	}
}

// dispatch sends an attempt. once is set for a call that must not run twice.
func (p *entryPeer) dispatch(path string, once bool) wire.AttemptID {
	p.t.Helper()
	p.dispatched++
	id := wire.AttemptID{Request: fmt.Sprint("r", p.dispatched), Attempt: 1, Incarnation: testIncarnation, DispatchNumber: p.dispatched}
	d := &wire.Dispatch{ID: id, Method: http.MethodPost, Path: path, Body: []byte(id.Request), NonIdempotent: once, TimeoutMS: 60_000}
	if once {
		d.Key, d.Ticket = id.Request, wire.Ticket{Generation: 1, Incarnation: testIncarnation}
	}
	p.send(d)
	return id
}

// Receive implements wire.Handler.
func (p *entryPeer) Receive(c *wire.Conn, m wire.Message) {
	switch m := m.(type) {
	case *wire.Chunk:
		p.mu.Lock()
		defer p.mu.Unlock()
		before := p.received[m.ID]
		p.received[m.ID] += len(m.Data)
		if before <= maxWanted && p.received[m.ID] > maxWanted {
			_ = c.Send(&wire.Cancel{ID: m.ID})
		}
	case *wire.Done:
		_ = c.Send(&wire.Release{ID: m.ID})
		p.done <- m
	}
}

// maxWanted is the size of an answer at which entryPeer cancels its attempt, in bytes.
const maxWanted = 256 << 10

// serveEndless starts an upstream with an answer without end, and sound ones on the path /sound.
func serveEndless(t *testing.T, endless raw.Answer) *upstream {
	t.Helper()
	return newRawUpstream(t, func(r *http.Request) raw.Answer {
		if r.URL.Path == "/sound" {
			return raw.Answer{Text: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", ReadFirst: true, End: raw.Close}
		}
		return endless
	})
}

// endlessHeads are answers whose heads don't end.
var endlessHeads = map[string]raw.Answer{
	"a head":              {Text: "HTTP/1.1 200 OK\r\n", Repeat: strings.Repeat("X-Junk: junk\r\n", 1<<10)},
	"a head of one line":  {Text: "HTTP/1.1 200 OK\r\nX-Junk: ", Repeat: strings.Repeat("junk", 1<<12)},
	"a status line":       {Text: "HTTP/1.1 200 ", Repeat: strings.Repeat("junk", 1<<12)},
	"informational heads": {Repeat: strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1<<10)},
}

// An upstream sends bytes that are no answer without end until its connection is closed. Guards
// against an agent that keeps them, and against other requests that end with them.
func TestHeadWithoutEnd(t *testing.T) {
	for name, a := range endlessHeads {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			const requests = 32
			p := startAgent(t, serveEndless(t, a).base, requests+1)
			peak := heap.Peak(func() {
				for range requests {
					p.dispatch("/odd", true)
				}
				sound := p.dispatch("/sound", false)
				for range requests + 1 {
					d := p.nextDone()
					g.Expect(d.Outcome == outcome.Completed).To(Equal(d.ID == sound), "%v", d)
				}
			})
			g.Expect(peak).To(BeNumerically("<", maxHeapBytes))
		})
	}
}

// Guards against an agent that keeps an answer without end to a call of its own: about the load,
// about a map, or whether the upstream is alive.
func TestAnswerWithoutEndToACallOfTheAgent(t *testing.T) {
	answers := map[string]raw.Answer{
		"a body": {Text: "HTTP/1.1 200 OK\r\n\r\n{\"junk\":\"", Repeat: strings.Repeat("junk", 1<<12)},
		"digits": {Text: "HTTP/1.1 200 OK\r\n\r\n", Repeat: strings.Repeat("1", 1<<14)},
		"chunks": {Text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n[\r\n", Repeat: "4000\r\n" + strings.Repeat("[", 1<<14) + "\r\n"},
	}
	for name, a := range endlessHeads {
		answers[name] = a
	}
	for name, a := range answers {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s, err := raw.Serve(func(*http.Request) raw.Answer { return a })
			g.Expect(err).NotTo(HaveOccurred())
			defer s.Close()
			u := newUpstream("http://"+s.Address(), time.Minute, clockwork.NewRealClock())
			peak := heap.Peak(func() {
				_, err := u.load(t.Context())
				g.Expect(err).To(HaveOccurred(), "load")
				_, err = newMapEngine(u.base).status()
				g.Expect(err).To(HaveOccurred(), "map")
				conn, err := u.dial(t.Context())
				g.Expect(err).NotTo(HaveOccurred())
				defer conn.Close()
				_ = u.ping(t.Context(), conn) // any head is a sign of life
			})
			g.Expect(peak).To(BeNumerically("<", maxHeapBytes))
		})
	}
}

// Guards against an agent that keeps bodies without end, closes its connection to the entry, which
// other requests share, or reads on when nobody wants the answer.
func TestBodyWithoutEnd(t *testing.T) {
	const plain, stream = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	junk := strings.Repeat("junkjunk", 4<<10)
	for name, a := range map[string]raw.Answer{
		"without a length": {Text: plain + "\r\n", Repeat: junk},
		"chunks":           {Text: plain + "Transfer-Encoding: chunked\r\n\r\n", Repeat: "400\r\n" + strings.Repeat("j", 1024) + "\r\n"},
		"a chunk's size":   {Text: plain + "Transfer-Encoding: chunked\r\n\r\n", Repeat: strings.Repeat("0", 1<<15)},
		"a trailer":        {Text: plain + "Transfer-Encoding: chunked\r\n\r\n0\r\n", Repeat: strings.Repeat("X-Junk: junk\r\n", 1<<10)},
		"an event":         {Text: stream + "data: ", Repeat: junk},
		"events":           {Text: stream, Repeat: strings.Repeat("data: "+strings.Repeat("junk", 12)+"\n\n", 1<<10)},
		"long events":      {Text: stream, Repeat: "data: " + junk + "\n\n"},
	} {
		for _, once := range []bool{false, true} {
			t.Run(fmt.Sprint(name, " once=", once), func(t *testing.T) {
				g := NewWithT(t)
				const requests, sound = 32, 20
				var open atomic.Int64
				u := newRawUpstream(t, func(r *http.Request) raw.Answer {
					if r.URL.Path == "/sound" {
						return raw.Answer{Text: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", ReadFirst: true, End: raw.Close}
					}
					open.Add(1)
					endless := a
					endless.Ended = func() { open.Add(-1) }
					return endless
				})
				p := startAgent(t, u.base, requests+1)
				peak := heap.Peak(func() {
					for range requests {
						p.dispatch("/odd", once)
					}
					for range sound {
						id, d := p.dispatch("/sound", false), p.nextDone()
						for d.ID != id { // an answer without end has been ended
							d = p.nextDone()
						}
						g.Expect(d.Outcome).To(Equal(outcome.Completed))
					}
					g.Eventually(open.Load, "30s").Should(BeZero(), "connections on which answers without end are read")
				})
				g.Expect(p.conn.Closed()).NotTo(BeClosed())
				g.Expect(peak).To(BeNumerically("<", maxHeapBytes))
				t.Logf("heap of up to %d MB", peak>>20)
			})
		}
	}
}

// nextDone returns the next end of an attempt.
func (p *entryPeer) nextDone() *wire.Done {
	p.t.Helper()
	select {
	case d := <-p.done:
		return d
	case <-p.conn.Closed():
		p.t.Fatal("the agent closed its connection")
	case <-time.After(30 * time.Second):
		p.t.Fatal("no attempt has ended")
	}
	return nil
}

// zeros is an endless reader.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// Guards against an answer of the largest size that isn't delivered, and against a larger one that
// is read to its end.
func TestLargestAnswer(t *testing.T) {
	g := NewWithT(t)
	for size, want := range map[int64]error{wire.MaxAnswerBody: nil, wire.MaxAnswerBody + 1: errAnswerTooLarge} {
		r := newRun(&wire.Dispatch{}, nil)
		err := relayBody(r, io.LimitReader(zeros{}, size))
		r.close()
		if want == nil {
			g.Expect(err).NotTo(HaveOccurred())
			continue
		}
		g.Expect(err).To(MatchError(want))
	}
}

// A long stream loses its entry for a moment again and again. Guards against the losses adding up
// until the stream is ended although its entry takes it.
func TestReattachedStreamIsDelivered(t *testing.T) {
	g := NewWithT(t)
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	c := wire.NewConn(near, &entryPeer{}, wire.Options{})
	r := newRun(&wire.Dispatch{Stream: true}, nil)
	defer r.close()
	for range 2*wire.MaxAnswerBody/bodyChunkSize + 1 {
		r.sendChunk(make([]byte, bodyChunkSize))
		g.Expect(r.attach(c, r.seq-1)).To(BeTrue())
		g.Expect(r.checkDelivered()).To(Succeed())
		g.Expect(r.detach(c)).To(BeTrue())
	}
}
