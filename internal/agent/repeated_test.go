package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/expertmap"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// startRepeater starts an engine that keeps connections although the agent asks it to close
// them. Before an answer it writes the earlier ones of the connection once more. answer
// returns the status and the body for the n-th call, counted from 1.
func startRepeater(t *testing.T, answer func(n int) (int, string)) (url string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for n := 0; ; {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			br, written := bufio.NewReader(conn), ""
			for {
				r, err := http.ReadRequest(br)
				if err != nil {
					break
				}
				_, _ = io.ReadAll(r.Body)
				n++
				status, body := answer(n)
				text := fmt.Sprintf("HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
				if _, err := io.WriteString(conn, written+text); err != nil {
					break
				}
				written += text
			}
			conn.Close()
		}
	}()
	return "http://" + l.Addr().String()
}

// An engine writes an earlier refusal once more on a connection that it keeps. Guards
// against callers that get it as the answer to a call that the engine has run.
func TestRepeatedRefusalIsNoAnswer(t *testing.T) {
	g := NewWithT(t)
	u := newUpstream(startRepeater(t, func(n int) (int, string) {
		if n%2 == 1 {
			return http.StatusServiceUnavailable, "full"
		}
		return http.StatusOK, "done"
	}), time.Minute, clockwork.NewRealClock())
	for n := 1; n <= 10; n++ {
		r := newRun(&wire.Dispatch{Method: http.MethodPost, Path: "/order", Body: []byte("order"), NonIdempotent: true, Key: "k"}, nil)
		o, err := u.run(r)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(o).To(Equal(outcome.Completed))
		want := http.StatusOK
		if n%2 == 1 {
			want = http.StatusServiceUnavailable
		}
		g.Expect(r.head.Status).To(Equal(want))
	}
}

// An engine writes an earlier vote once more on a connection that it keeps. Guards against a
// vote on one switch of the map that counts for another.
func TestRepeatedVoteIsNoVote(t *testing.T) {
	g := NewWithT(t)
	e := newMapEngine(startRepeater(t, func(n int) (int, string) { return http.StatusOK, fmt.Sprintf(`{"yes":%t}`, n%2 == 1) }))
	for n := 1; n <= 10; n++ {
		yes, err := e.Hold(expertmap.SwitchID{Round: 1, Version: int64(n), Step: 9}, 1)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(yes).To(Equal(n%2 == 1), "call %d", n)
	}
}
