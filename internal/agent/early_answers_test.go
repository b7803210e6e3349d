package agent

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/standin/raw"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// upload is a body that doesn't fit into the buffers of a connection.
var upload = bytes.Repeat([]byte("u"), 4<<20)

// newRawUpstream returns a client of an upstream that writes answers as given, and answers pings.
func newRawUpstream(t *testing.T, answer func(r *http.Request) raw.Answer) *upstream {
	t.Helper()
	s, err := raw.Serve(func(r *http.Request) raw.Answer {
		if r.Method == http.MethodOptions {
			return raw.Answer{Text: pingAnswer, End: raw.Close}
		}
		return answer(r)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return newUpstream("http://"+s.Address(), time.Minute, clockwork.NewRealClock())
}

// callWith runs a call with a body at an upstream and returns it with its outcome.
func callWith(u *upstream, body []byte, stream bool) (*run, outcome.Outcome, error) {
	r := newRun(&wire.Dispatch{Method: http.MethodPost, Path: "/", Body: body, Stream: stream}, nil)
	defer r.close()
	o, err := u.run(r)
	return r, o, err
}

// received returns what the agent has sent the entry of an answer's body.
func (r *run) received() string {
	var body bytes.Buffer
	for _, c := range r.replay.chunks {
		body.Write(c.Data)
	}
	return body.String()
}

// An upstream answers an upload before it has read it, without a length, writes a part of the
// body and resets the connection. Guards against a part that is sent as a whole answer, since
// the reset was reported to the writer of the upload.
func TestEarlyAnswerThatIsResetIsNotWhole(t *testing.T) {
	for contentType, part := range map[string]string{"text/plain": "one two", "text/event-stream": "data: {\"text\":\"a\"}\n\n"} {
		for _, delay := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond} {
			t.Run(fmt.Sprint(contentType, " ", delay), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				u := newRawUpstream(t, func(*http.Request) raw.Answer {
					return raw.Answer{Text: "HTTP/1.1 200 OK\r\nContent-Type: " + contentType + "\r\n\r\n" + part, Delay: delay, End: raw.Reset}
				})
				completed := 0
				for range 50 {
					_, o, _ := callWith(u, upload, contentType == "text/event-stream")
					g.Expect(o).NotTo(Equal(outcome.NotRun))
					if o == outcome.Completed {
						completed++
					}
				}
				g.Expect(completed).To(BeZero(), "parts that were sent as whole answers, of 50")
			})
		}
	}
}

// Guards against whole answers that are lost since they came before the upload was read.
func TestEarlyAnswerIsWhole(t *testing.T) {
	for name, a := range map[string]raw.Answer{
		"the upload is read afterwards":          {Text: plainAnswer, ReadLast: true, End: raw.Close},
		"a direction is ended, the upload read":  {Text: plainAnswer, ReadLast: true, End: raw.CloseWrite},
		"a direction is ended, then reset":       {Text: plainAnswer, End: raw.CloseWrite, Delay: 50 * time.Millisecond},
		"a direction is ended, kept for a while": {Text: plainAnswer, End: raw.CloseWrite, Delay: 500 * time.Millisecond},
		"a length is stated, reset later":        {Text: "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\none two three", Delay: 50 * time.Millisecond, End: raw.Reset},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			u := newRawUpstream(t, func(*http.Request) raw.Answer {
				return a
			})
			for range 20 {
				r, o, err := callWith(u, upload, false)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(o).To(Equal(outcome.Completed))
				g.Expect(r.received()).To(Equal("one two three"))
			}
		})
	}
}
