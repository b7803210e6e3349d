package gateway_test

import (
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/directory"
	"github.com/kingcupreel/kingcupreel/internal/standin/raw"
	"github.com/kingcupreel/kingcupreel/internal/upstream"
)

// uploadSize is the size of a body that doesn't fit into the buffers of a connection, in bytes.
const uploadSize = 4 << 20

var uploadBody = strings.Repeat("u", uploadSize)

// collectUploads frees the memory of uploads at the end of a test, of which TestBytesWithoutEnd
// would measure a part.
func collectUploads(t *testing.T) { t.Cleanup(runtime.GC) }

// newRawFixture returns a gateway before upstreams that write answers as given, also to its
// liveness calls. No time limit matters with it.
func newRawFixture(t *testing.T, upstreams int, answer func(r *http.Request) raw.Answer) *fixture {
	t.Helper()
	f := newFixture(t)
	f.gateway.SetEntryCount(1)
	for i := range upstreams {
		s, err := raw.Serve(func(r *http.Request) raw.Answer {
			f.mu.Lock()
			f.arrivals = append(f.arrivals, arrival{fmt.Sprint("u", i), r})
			f.mu.Unlock()
			return answer(r)
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		f.upstreams = append(f.upstreams, directory.Upstream{ID: fmt.Sprint("u", i), Service: "s", Address: s.Address(), Slots: 4})
	}
	f.gateway.Pools.Reconcile(f.upstreams)
	c := configuration()
	c.Version, c.Limits.BodyBytes = 2, uploadSize
	for i := range c.Routes {
		c.Routes[i].Timeout, c.Routes[i].TargetLatency = time.Minute, time.Minute
	}
	f.routes.Apply(c, time.Now())
	return f
}

// rawHead returns the head of an answer that an upstream confirms, without the blank line that
// ends it.
func rawHead(r *http.Request) string {
	return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: " + r.Header.Get("Request-Id") + "\r\nServer-Stamp: s\r\n"
}

// answerLivenessCall answers a liveness call as an upstream does that is running.
func answerLivenessCall() raw.Answer {
	return raw.Answer{Text: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"}
}

// upload sends an upload and returns what the caller received.
func (f *fixture) upload(path string) callerView {
	f.t.Helper()
	r := f.request(http.MethodPost, path, uploadBody)
	r.Header.Set("Deadline-Ms", "60000")
	status, h, body, err := f.send(r)
	return callerView{status, h.Get("Server-Stamp"), body, err == nil}
}

// An upstream answers an upload before it has read it, without a length, writes a part of the
// body and resets the connection. Guards against a part that the caller gets as a whole answer,
// since the reset was reported to the writer of the upload.
func TestEarlyAnswerThatIsResetIsNotWhole(t *testing.T) {
	collectUploads(t)
	for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x", "/once/x"} {
		for _, delay := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond} {
			t.Run(fmt.Sprint(path, " ", delay), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				f := newRawFixture(t, 2, func(r *http.Request) raw.Answer {
					if r.URL.Path == livenessPath {
						return answerLivenessCall()
					}
					return raw.Answer{Text: rawHead(r) + "\r\n" + threeEventsBody[:len(threeEventsBody)/3*2], Delay: delay, End: raw.Reset}
				})
				whole := 0
				for range 20 {
					if view := f.upload(path); view.complete && view.status == http.StatusOK {
						whole++
					}
				}
				g.Expect(whole).To(BeZero(), "parts that the caller got as whole answers, of 20")
			})
		}
	}
}

// Guards against whole answers that are lost since they came before the upload was read.
func TestEarlyAnswerIsWhole(t *testing.T) {
	collectUploads(t)
	for name, a := range map[string]raw.Answer{
		"the upload is read afterwards":          {Text: "\r\n" + threeEventsBody, ReadLast: true, End: raw.Close},
		"a direction is ended, the upload read":  {Text: "\r\n" + threeEventsBody, ReadLast: true, End: raw.CloseWrite},
		"a direction is ended, then reset":       {Text: "\r\n" + threeEventsBody, End: raw.CloseWrite, Delay: 50 * time.Millisecond},
		"a direction is ended, kept for a while": {Text: "\r\n" + threeEventsBody, End: raw.CloseWrite, Delay: 500 * time.Millisecond},
		"a length is stated, then reset":         {Text: fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(threeEventsBody), threeEventsBody), End: raw.Reset},
		"chunks are written, then reset":         {Text: fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(threeEventsBody), threeEventsBody), End: raw.Reset},
	} {
		for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x", "/once/x"} {
			t.Run(path+" "+name, func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				f := newRawFixture(t, 1, func(r *http.Request) raw.Answer {
					if r.URL.Path == livenessPath {
						return answerLivenessCall()
					}
					early := a
					early.Text = rawHead(r) + a.Text
					return early
				})
				for range 10 {
					g.Expect(f.upload(path)).To(Equal(callerView{http.StatusOK, "s", threeEventsBody, true}))
				}
			})
		}
	}
}

// An upstream writes a part of an early answer and then stands still, so that the kernel ends the
// connection with a time-out. Guards against a part that the caller gets as a whole answer, since the
// time-out was reported to the writer of the upload.
func TestEarlyAnswerThatTimesOutIsNotWhole(t *testing.T) {
	collectUploads(t)
	for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x", "/once/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			f := newRawFixture(t, 1, func(r *http.Request) raw.Answer {
				if r.URL.Path == livenessPath {
					return answerLivenessCall()
				}
				return raw.Answer{Text: rawHead(r) + "\r\n" + threeEventsBody[:len(threeEventsBody)/3*2], Delay: 4 * upstream.DefaultAckTimeout, End: raw.Reset}
			})
			view := f.upload(path)
			g.Expect(view.complete && view.status == http.StatusOK).To(BeFalse(), "%+v", view)
		})
	}
}
