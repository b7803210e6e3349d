package agent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/expertmap"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/httphead"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// framings are the ways in which HTTP tells the end of a body: by its length, by chunks and
// a trailer, and by the end of the connection.
var framings = map[string]func(head, body string) string{
	"length": func(head, body string) string {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	},
	"chunks": func(head, body string) string {
		var b strings.Builder
		b.WriteString(head + "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n")
		for len(body) > 0 {
			part := body[:min(16, len(body))]
			body = body[len(part):]
			fmt.Fprintf(&b, "%x\r\n%s\r\n", len(part), part)
		}
		return b.String() + "0\r\nX-Sum: 1\r\n\r\n"
	},
	"connection": func(head, body string) string { return head + "\r\n" + body },
}

// cutAnswer is an answer of which the upstream writes the first n bytes.
type cutAnswer struct {
	body, wire string
	n          int
	reset      bool
	// killed ends the upstream after these bytes; else only the connection ends.
	killed bool
}

func (c *cutAnswer) write(p *testProcess, conn net.Conn) {
	_, _ = io.WriteString(conn, c.wire[:c.n])
	if c.killed {
		p.end(nil)
	}
}

// start starts the upstream. It listens on a Unix socket, since thousands of TCP connections
// would use up the machine's ports.
func (c *cutAnswer) start(t *testing.T) (p *testProcess, dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	dir, err := os.MkdirTemp("", "cut")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	started := *c // c is changed for the next answer while the process may still run
	p = startProcess(t, dir+"/s", &testProcess{answer: started.write})
	return p, func(ctx context.Context, _, _ string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "unix", dir+"/s")
		if err != nil || !started.reset {
			return conn, err
		}
		return resetConn{conn}, nil
	}
}

// resetConn is a connection that the upstream resets where it would end it.
type resetConn struct{ net.Conn }

// Read implements net.Conn.
func (c resetConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		err = syscall.ECONNRESET
	}
	return n, err
}

// run returns the status and the body that the agent sends to the entry, and the outcome.
func (c *cutAnswer) run(t *testing.T, stream bool) (int, string, outcome.Outcome) {
	p, dial := c.start(t)
	defer p.end(nil)
	r := newRun(&wire.Dispatch{Method: http.MethodPost, Path: "/", Stream: stream}, nil)
	defer r.close()
	u := newUpstream("http://upstream", time.Minute, clockwork.NewRealClock())
	u.dialContext = dial
	o, _ := u.run(r)
	var body strings.Builder
	for _, chunk := range r.replay.chunks {
		body.Write(chunk.Data)
	}
	status := 0
	if r.head != nil {
		status = r.head.Status
	}
	return status, body.String(), o
}

// An upstream stops anywhere in its answer, also in its head, and its connection ends in
// order or is reset. Guards against callers that get a short or empty body that is framed
// as whole. A living upstream that ends the connection within a body without length or
// chunks can't be told from one that has written all of it.
func TestAnswerCutAtAnyByteIsNotComplete(t *testing.T) {
	for name, frame := range framings {
		for _, stream := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/stream=%t", name, stream), func(t *testing.T) {
				t.Parallel()
				contentType, body := "application/json", `{"done":"one two three four five"}`
				if stream {
					contentType, body = "text/event-stream", "data: {\"text\":\"one\"}\n\ndata: two\n\ndata: [DONE]\n\n"
				}
				c := cutAnswer{body: body, wire: frame("HTTP/1.1 200 OK\r\nContent-Type: "+contentType+"\r\n", body)}
				head := strings.Index(c.wire, "\r\n\r\n") + len("\r\n\r\n")
				for c.n = range len(c.wire) {
					for _, c.reset = range []bool{false, true} {
						for _, c.killed = range []bool{false, true} {
							if name == "connection" && !stream && !c.reset && !c.killed && c.n >= head {
								continue
							}
							c.expectNotComplete(t, stream)
						}
					}
				}
				c.n, c.reset, c.killed = len(c.wire), false, false
				g := NewWithT(t)
				status, got, o := c.run(t, stream)
				g.Expect(o).To(Equal(outcome.Completed))
				g.Expect(status).To(Equal(http.StatusOK))
				g.Expect(got).To(Equal(body))
			})
		}
	}
}

// expectNotComplete checks an answer that was cut. A stream is complete with its last
// event, whatever the framing lacks.
func (c *cutAnswer) expectNotComplete(t *testing.T, stream bool) {
	_, got, o := c.run(t, stream)
	if o == outcome.Completed && !(stream && got == c.body) {
		t.Errorf("%d bytes, reset=%t, killed=%t: complete with %q", c.n, c.reset, c.killed, got)
	}
	if o == outcome.NotRun {
		t.Errorf("%d bytes, reset=%t, killed=%t: not run", c.n, c.reset, c.killed)
	}
}

// An upstream answers with 101, which nobody asked for. Guards against bytes of another
// protocol that are stored and delivered as the answer once the connection ends.
func TestSwitchOfProtocolsIsNoAnswer(t *testing.T) {
	g := NewWithT(t)
	p := startProcess(t, "127.0.0.1:0", &testProcess{answer: func(_ *testProcess, conn net.Conn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\nbytes")
	}})
	r, o, err := callPlain(newUpstream(p.url(), time.Minute, clockwork.NewRealClock()), nil)
	g.Expect(o).To(Equal(outcome.Failed))
	g.Expect(fault.KindOf(err)).To(Equal(fault.Crashed))
	g.Expect(r.head).To(BeNil())
}

// An engine stops anywhere in its answer about a map or its load. Guards against a vote or a
// load that is read from a part of it.
func TestVoteOrLoadCutAtAnyByteIsNone(t *testing.T) {
	for name, frame := range framings {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			vote, load := `{"yes":true}`, `{"running":11,"queued":12,"capacity":13}`
			head := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
			call := func(body string, n int) (bool, error, wire.Load, error) {
				c := cutAnswer{wire: frame(head, body)}
				c.n = len(c.wire) - n
				p, dial := c.start(t)
				defer p.end(nil)
				engine, u := newMapEngine("http://engine"), newUpstream("http://engine", time.Minute, clockwork.NewRealClock())
				engine.http.Transport.(httphead.Transport).DialContext, u.dialContext = dial, dial
				yes, voteErr := engine.Hold(expertmap.SwitchID{Round: 1, Version: 2, Step: 9}, 1)
				l, loadErr := u.load(t.Context())
				return yes, voteErr, l, loadErr
			}
			end := len(frame(head, "x")) - strings.Index(frame(head, "x"), "x") - 1
			for n := range len(frame(head, vote)) {
				yes, err, _, _ := call(vote, n)
				g.Expect(err == nil).To(Equal(n <= end), "vote without its last %d bytes", n)
				g.Expect(yes).To(Equal(n <= end), "vote without its last %d bytes", n)
			}
			for n := range len(frame(head, load)) {
				_, _, l, err := call(load, n)
				g.Expect(err == nil).To(Equal(n <= end), "load without its last %d bytes", n)
				if err == nil {
					g.Expect(l).To(Equal(wire.Load{Running: 11, Queued: 12, Capacity: 13}))
				}
			}
		})
	}
}

// Guards against a sign of life being asked of an upstream whose answer has no body, which
// ends with its head.
func TestAnswerWithoutBodyIsComplete(t *testing.T) {
	for status, method := range map[string]string{"200 OK": http.MethodHead, "204 No Content": http.MethodPost, "304 Not Modified": http.MethodGet} {
		g := NewWithT(t)
		p := startProcess(t, "127.0.0.1:0", &testProcess{answer: func(p *testProcess, conn net.Conn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 "+status+"\r\n\r\n")
			p.end(nil)
		}})
		r := newRun(&wire.Dispatch{Method: method, Path: "/"}, nil)
		o, err := newUpstream(p.url(), time.Minute, clockwork.NewRealClock()).run(r)
		r.close()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(o).To(Equal(outcome.Completed))
		g.Expect(r.seq).To(BeZero())
	}
}
