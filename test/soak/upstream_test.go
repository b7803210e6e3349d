package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/standin/link"
)

const (
	account = "clinic"
	key     = "soak-key"
	// pieces is the number of events of a stream.
	pieces = 8
)

// ledger keeps what upstreams did, over all of them.
type ledger struct {
	mu     sync.Mutex
	runs   map[string]int
	faults []string
	calm   bool
}

func newLedger() *ledger { return &ledger{runs: map[string]int{}} }

func (l *ledger) ran(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
}

func (l *ledger) count(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// broken notes a promise that was not kept.
func (l *ledger) broken(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, fmt.Sprintf(format, args...))
}

func (l *ledger) isCalm() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calm
}

// upstream is a replica whose behaviour changes from request to request.
type upstream struct {
	s       *site
	link    *link.Link
	address string

	mu   sync.Mutex
	id   string
	rand *rand.Rand
}

func (s *site) addUpstream(i int) {
	u := &upstream{s: s, rand: rand.New(rand.NewPCG(s.seed, uint64(100+i)))}
	srv := httptest.NewServer(u)
	s.t.Cleanup(srv.CloseClientConnections)
	u.link, u.address = s.listen("127.0.0.1", srv.Listener.Addr().String())
	s.upstreams = append(s.upstreams, u)
	u.renew()
}

// renew registers a new incarnation at the same address, and ends the one before.
func (u *upstream) renew() {
	u.mu.Lock()
	before := u.id
	u.id = fmt.Sprintf("i-%s-%d", u.address[len(u.address)-5:], u.rand.Uint32())
	id := u.id
	u.mu.Unlock()
	entry := map[string]any{"service": "s", "address": u.address, "zone": "a", "slots": 8, "state": "ready", "born": time.Now().UnixMilli()}
	u.s.put("servers/"+id, entry)
	if before != "" {
		if item, err := u.s.state.Get("servers/" + before); err == nil {
			_, _ = u.s.state.Delete(item.Key, item.ModRevision) // only this test removes entries
		}
	}
}

// draw returns the incarnation and a number for the behaviour.
func (u *upstream) draw() (id string, x float64, pause time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	x = u.rand.Float64()
	if u.s.ledger.isCalm() {
		x = 1
	}
	return u.id, x, time.Duration(u.rand.IntN(60)) * time.Millisecond
}

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, x, pause := u.draw()
	request := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", request)
	w.Header().Set("Instance-Id", id)
	if want := r.Header.Get("Expect-Instance"); want != id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.Header.Get("Tenant") != account || r.Header.Get("Authorization") != "" {
		u.s.ledger.broken("request %s reached an upstream for %q, with the key %q", request, r.Header.Get("Tenant"), r.Header.Get("Authorization"))
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // it has not run
	}
	if x < 0.05 {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.s.ledger.ran(request)
	time.Sleep(pause)
	w.Header().Set("Server-Stamp", "stamp")
	switch {
	case x < 0.10:
		panic(http.ErrAbortHandler) // it has run and its answer is lost
	case x < 0.13:
		w.WriteHeader(http.StatusInternalServerError)
	case len(r.URL.Path) > 8 && r.URL.Path[:8] == "/stream/":
		u.stream(w, r, x < 0.25)
	default:
		fmt.Fprintf(w, "%s %s", request, body)
	}
}

// stream sends the events after the caller's last one, and breaks off within one.
func (u *upstream) stream(w http.ResponseWriter, r *http.Request, breaks bool) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 without one
	w.Header().Set("Content-Type", "text/event-stream")
	for i := last + 1; i <= pieces; i++ {
		if breaks && i == last+3 {
			fmt.Fprintf(w, "id: %d\nda", i)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", i, r.Header.Get("Request-Id"), i)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(5 * time.Millisecond)
	}
}
