package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// refusalRepeater is an upstream that refuses every second request of a connection and keeps
// it. Before the answer to a request that it runs, it writes its last refusal again.
type refusalRepeater struct {
	copies int
	// withoutID leaves the id out of repeated refusals.
	withoutID bool

	mu   sync.Mutex
	runs map[string]int
	// repeated counts the refusals that were written once more.
	repeated int
}

// answer returns what the upstream writes for the n-th request of a connection, with last as
// its last refusal there.
func (u *refusalRepeater) answer(n int, id string, last *string) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	refusal := "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n"
	if n%2 == 1 {
		*last = refusal + "Request-Id: " + id + "\r\n\r\n"
		if u.withoutID {
			*last = refusal + "\r\n"
		}
		return refusal + "Request-Id: " + id + "\r\n\r\n"
	}
	u.runs[id]++
	written := ""
	for range u.copies {
		if *last != "" {
			written += *last
			u.repeated++
		}
	}
	return written + "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: stamp\r\nContent-Length: 4\r\n\r\ndone"
}

func (u *refusalRepeater) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.ReadAll(r.Body)
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	last := ""
	for n := 1; err == nil; n++ {
		if _, err = io.WriteString(conn, u.answer(n, r.Header.Get("Request-Id"), &last)); err != nil {
			return
		}
		if r, err = http.ReadRequest(bufio.NewReader(buf)); err == nil {
			_, _ = io.ReadAll(r.Body)
		}
	}
}

// Upstreams write an earlier refusal once more on a kept connection. Guards against callers
// that are told "not run" for a request that runs, and against a request that must not be
// repeated but is then sent to another upstream.
func TestRepeatedRefusalIsNoAnswer(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x"} {
		for _, copies := range []int{1, 2, 3} {
			for _, withoutID := range []bool{false, true} {
				t.Run(fmt.Sprint(path, " ", copies, " copies, without id ", withoutID), func(t *testing.T) {
					g := NewWithT(t)
					u := &refusalRepeater{copies: copies, withoutID: withoutID, runs: map[string]int{}}
					f := newFixture(t, u.serve, u.serve)
					c := configuration()
					c.Version, c.Services[0].MaxConnections = 2, 1 // unsafe requests use a kept connection too
					f.routes.Apply(c, time.Now())
					for i := range 24 {
						r := f.request(http.MethodPost, path, "order")
						id := fmt.Sprint("r", i)
						r.Header.Set("Request-Id", id)
						status, _, _, _ := f.send(r)
						u.mu.Lock()
						ran := u.runs[id]
						u.mu.Unlock()
						if ran > 0 {
							g.Expect(status).NotTo(BeElementOf(http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest), id)
						}
						if path == "/unsafe/x" {
							g.Expect(ran).To(BeNumerically("<=", 1), id)
						}
					}
					g.Expect(u.repeated).To(BeNumerically(">", 0), "the fault was provoked")
				})
			}
		}
	}
}
