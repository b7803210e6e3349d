package agent

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/config/codec"
	"github.com/kingcupreel/kingcupreel/internal/expertmap"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/standin/raw"
	"github.com/kingcupreel/kingcupreel/internal/timeline"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// expectNoAnswer checks that nothing of an answer is sent to the entry, whether or not the request
// asks for a stream, and that no call of the agent's own takes it for an answer. answer returns
// the whole answer with a content type and a body.
func expectNoAnswer(t *testing.T, answer func(contentType, body string) string) {
	t.Helper()
	g := NewWithT(t)
	for contentType, body := range map[string]string{"text/plain": "whole", "text/event-stream": "data: {}\n\ndata: [DONE]\n\n"} {
		u := newRawUpstream(t, func(*http.Request) raw.Answer {
			return raw.Answer{Text: answer(contentType, body), ReadFirst: true, End: raw.Close}
		})
		r, o, err := callWith(u, []byte("order"), contentType == "text/event-stream")
		g.Expect(o).To(BeElementOf(outcome.Failed, outcome.Unknown), contentType)
		g.Expect(err).To(HaveOccurred())
		g.Expect(r.head).To(BeNil(), "%s: %s", contentType, r.received())
	}
	load := newRawUpstream(t, func(*http.Request) raw.Answer {
		return raw.Answer{Text: answer("application/json", `{"running":11,"queued":12,"capacity":13}`), End: raw.Close}
	})
	_, err := load.load(t.Context())
	g.Expect(err).To(HaveOccurred(), "load")
	vote := newRawUpstream(t, func(*http.Request) raw.Answer {
		return raw.Answer{Text: answer("application/json", `{"yes":true}`), End: raw.Close}
	})
	_, err = newMapEngine(vote.base).Hold(expertmap.SwitchID{Round: 1, Version: 2, Step: 9}, 1)
	g.Expect(err).To(HaveOccurred(), "vote")
	ping, err := raw.Serve(func(*http.Request) raw.Answer {
		return raw.Answer{Text: answer("text/plain", ""), End: raw.Close}
	})
	g.Expect(err).NotTo(HaveOccurred())
	defer ping.Close()
	load.base = "http://" + ping.Address()
	conn, err := load.dial(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	g.Expect(load.ping(t.Context(), conn)).To(HaveOccurred(), "liveness check")
}

// An upstream's status is none that HTTP has. Guards against such an answer being sent on.
func TestStatusOutsideOfItsRangeIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "600", "999", "101"} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			expectNoAnswer(t, func(contentType, body string) string {
				return fmt.Sprintf("HTTP/1.1 %s Odd\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", status, contentType, len(body), body)
			})
		})
	}
}

// A line in the head of an answer isn't a field. Guards against such an answer being sent on, with
// a body that isn't the upstream's where the line states the framing.
func TestHeadWithAnOddFieldIsNoAnswer(t *testing.T) {
	for _, line := range []string{
		"X Odd: 1", "X-Odd : 1", "X\tOdd: 1", "X-Odd\t: 1", "X\x00Odd: 1", "X\x7fOdd: 1", "X\x80Odd: 1", ": 1", "X-Odd", "X-Odd: \x01",
	} {
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) {
			t.Parallel()
			expectNoAnswer(t, func(contentType, body string) string {
				return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", line, contentType, len(body), body)
			})
		})
	}
	for _, line := range []string{"Content-Length : 3", "Content Length: 3", "Transfer-Encoding : chunked", "Transfer Encoding: chunked"} {
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) {
			t.Parallel()
			expectNoAnswer(t, func(contentType, body string) string {
				if strings.HasPrefix(line, "Transfer") {
					body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
				}
				return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s\r\nContent-Type: %s\r\n\r\n%s", line, contentType, body)
			})
		})
	}
}

// An answer of HTTP/1.0, which has no transfer codings, names one. Guards against chunks that are
// sent on as the body.
func TestTransferCodingOfHTTP10IsNoAnswer(t *testing.T) {
	for name, start := range map[string]string{
		"short":                         "HTTP/1.0 200 OK\r\n",
		"long line":                     "HTTP/1.0 200 OK\r\nX-Long: " + strings.Repeat("x", 5000) + "\r\n",
		"after an informational answer": "HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\nHTTP/1.0 200 OK\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			expectNoAnswer(t, chunkedAfter(start))
		})
	}
}

// Guards against an answer of a version that isn't spoken.
func TestOddVersionIsNoAnswer(t *testing.T) {
	for _, version := range []string{"HTTP/0.9", "HTTP/2.0", "HTTP/3.1"} {
		t.Run(version, func(t *testing.T) {
			t.Parallel()
			expectNoAnswer(t, chunkedAfter(version+" 200 OK\r\n"))
		})
	}
}

// Guards against requests that are suspected of crashing an upstream which is running.
func TestInvalidHeadIsNoCrash(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 000 Odd\r\n\r\n",
		"HTTP/1.1 600 Odd\r\n\r\n",
		"HTTP/1.1 101 Switching Protocols\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX Odd: 1\r\n\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		g := NewWithT(t)
		u := newRawUpstream(t, func(*http.Request) raw.Answer { return raw.Answer{Text: answer, ReadFirst: true, End: raw.Close} })
		core, logged := observer.New(zap.WarnLevel)
		a := New(Options{
			Target: u.base, Workers: 1, Store: config.NewStore(codec.Decode),
			Events: timeline.NewRing("a", 16, clockwork.NewRealClock()), Metrics: metrics.NewRegistry(), Log: zap.New(core),
		})
		r := newRun(&wire.Dispatch{Method: http.MethodPost, Path: "/", Body: []byte("order")}, nil)
		o, err := a.callUpstream(r)
		r.close()
		g.Expect(o).To(Equal(outcome.Failed), answer)
		g.Expect(err).To(HaveOccurred(), answer)
		g.Expect(a.quarantine.Empty()).To(BeTrue(), answer)
		g.Expect(logged.FilterMessageSnippet("answer is broken").Len()).To(Equal(1), answer)
	}
}

// chunkedAfter returns a function that returns an answer with chunks, whose head begins with start.
func chunkedAfter(start string) func(contentType, body string) string {
	return func(contentType, body string) string {
		return fmt.Sprintf("%sContent-Type: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", start, contentType, len(body), body)
	}
}
