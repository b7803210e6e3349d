package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/settings"
)

const (
	// testGrace is the grace period that testSite sets.
	testGrace = 4 * time.Second
	// eventInterval is the time between two events of a replica's stream.
	eventInterval = 50 * time.Millisecond
	// endlessEvents is the number of events of a stream that lasts longer than the grace
	// period.
	endlessEvents = 400
)

// slowReplica answers /stream/N/ with a stream of N events, and anything else after a time
// longer than the grace period.
func slowReplica(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Server-Stamp", "stamp")
	var count int
	if _, err := fmt.Sscanf(r.URL.Path, "/stream/%d/", &count); err != nil {
		select {
		case <-r.Context().Done():
		case <-time.After(2 * testGrace):
		}
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range count {
		fmt.Fprintf(w, "id: %d\ndata: piece\n\n", i+1)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventInterval):
		}
	}
}

// newSlowSite is newTestSite with a slow replica and resumable streams.
func newSlowSite(t *testing.T) *testSite {
	t.Helper()
	s := newTestSite(t)
	replica := httptest.NewServer(http.HandlerFunc(slowReplica))
	t.Cleanup(func() {
		replica.CloseClientConnections()
		replica.Close()
	})
	s.put("servers/i-2", map[string]any{"service": "slow", "address": replica.Listener.Addr().String(), "zone": "a", "slots": 8, "state": "ready", "born": 5})
	route := func(prefix, kind string) map[string]any {
		return map[string]any{"name": prefix, "host": "h", "path-prefix": prefix, "kind": kind, "timeout-ms": 60000, "service": "slow", "max-attempts": 2, "resumable": kind == "streaming"}
	}
	s.put("op/config", map[string]any{
		"version": 2, "routes": []any{route("/stream/", "streaming"), route("/safe/", "safe")}, "services": []any{map[string]any{"name": "slow"}},
		"tenants": []any{map[string]any{"name": "clinic", "api-keys": []string{"k"}}},
	})
	return s
}

// callerAnswer is what a caller has received by the end of its connection.
type callerAnswer struct {
	status int
	header http.Header
	body   string
	err    error
	// closes is set if the answer announces that the connection is closed.
	closes  bool
	endedAt time.Time
}

// call sends a request on a connection of its own.
func (s *testSite) call(path string) <-chan callerAnswer {
	answers := make(chan callerAnswer, 1)
	go func() {
		var a callerAnswer
		defer func() {
			a.endedAt = time.Now()
			answers <- a
		}()
		c, err := net.Dial("tcp", fmt.Sprintf("127.0.0.1:%d", s.ports[1]))
		if a.err = err; err != nil {
			return
		}
		defer c.Close()
		fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nAuthorization: Bearer k\r\nDeadline-Ms: 60000\r\n\r\n", path)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if a.err = err; err != nil {
			return
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		a.status, a.header, a.body, a.err, a.closes = resp.StatusCode, resp.Header, string(body), err, resp.Close
	}()
	return answers
}

// Guards against stopped gateways that are killed at the end of their grace period with
// streams in flight that their callers sent after SIGTERM.
func TestStoppedGatewayEndsWithinItsGrace(t *testing.T) {
	g := NewWithT(t)
	s := newSlowSite(t)
	done := make(chan error, 1)
	go func() {
		done <- RunGateway(context.Background(), settings.Hosted{LogLevel: "info", MetricsPort: s.ports[3]}, &output{})
	}()
	g.Eventually(s.readyStatus, "10s").Should(Equal(http.StatusOK))
	g.Eventually(func() string { return s.get("/stream/1/") }, "5s").Should(HavePrefix("200"))

	stream := func(events int) <-chan callerAnswer { return s.call(fmt.Sprintf("/stream/%d/", events)) }
	complete := map[string]<-chan callerAnswer{"begun before": stream(40)}
	tooLong := map[string]<-chan callerAnswer{"begun before": stream(endlessEvents)}
	unanswered := s.call("/safe/x")
	// The first event of each has passed when the signal comes.
	time.Sleep(4 * eventInterval)
	g.Expect(syscall.Kill(os.Getpid(), syscall.SIGTERM)).To(Succeed())
	signalledAt := time.Now()

	time.Sleep(testGrace / 8)
	complete["begun after"] = stream(30)
	tooLong["begun after"] = stream(endlessEvents)
	// A connection without a request doesn't keep the process.
	idle, err := net.Dial("tcp", fmt.Sprintf("127.0.0.1:%d", s.ports[1]))
	g.Expect(err).NotTo(HaveOccurred())
	defer idle.Close()

	g.Eventually(done, testGrace).Should(Receive(BeNil()))
	endedAt := time.Now()
	g.Expect(endedAt).To(BeTemporally("<", signalledAt.Add(testGrace)))
	for name, answers := range complete {
		a := <-answers
		g.Expect(a.err).NotTo(HaveOccurred(), name)
		g.Expect(a.status).To(Equal(http.StatusOK), name)
	}
	for name, answers := range tooLong {
		a := <-answers
		g.Expect(a.endedAt).To(BeTemporally("<", endedAt.Add(eventInterval)), "the caller of a stream "+name+" the signal learns of its end from the gateway")
		if a.status == http.StatusServiceUnavailable {
			g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty(), name)
			g.Expect(a.closes).To(BeTrue(), name)
			continue
		}
		g.Expect(a.err).To(HaveOccurred(), "a broken stream "+name+" the signal doesn't look complete")
		g.Expect(a.body).To(And(HavePrefix("id: 1\n"), HaveSuffix("\n\n")), "a stream "+name+" the signal ends with a whole event, so that it can be resumed")
	}
	a := <-unanswered
	g.Expect(a.err).NotTo(HaveOccurred())
	g.Expect(a.status).To(Equal(http.StatusBadGateway), "the request may have run")
	g.Expect(a.closes).To(BeTrue())
	g.Expect(strings.TrimSpace(a.body)).NotTo(BeEmpty())
}
