package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/standin/link"
)

const (
	// strikes is the number of faults of a seed; they overlap.
	strikes = 14
	callers = 8
	// recovery is how soon after the last fault every process has to serve.
	recovery = 20 * time.Second
)

// failed seeds stay here as regression cases, with a line on their cause.
var failed = map[uint64]string{}

func TestSoak(t *testing.T) {
	list := []uint64{}
	for seed := range failed {
		list = append(list, seed)
	}
	for i := range *seeds {
		list = append(list, *first+uint64(i))
	}
	for _, seed := range list {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			soak(t, seed)
		})
	}
}

func soak(t *testing.T, seed uint64) {
	g := NewWithT(t)
	s := newSite(t, seed)
	t.Cleanup(func() {
		if t.Failed() {
			s.keepLogs()
		}
	})
	for _, p := range s.processes {
		g.Eventually(p.ready, recovery).Should(BeTrue(), p.name)
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	unsafe := &requests{sent: map[string]int{}}
	for i := range callers {
		c := &caller{s: s, id: i, rand: rand.New(rand.NewPCG(seed, uint64(i))), unsafe: unsafe, client: &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{}}}
		running.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
					c.call(n)
				}
			}
		})
	}
	s.strikeAll(rand.New(rand.NewPCG(seed, 7)))
	s.ledger.mu.Lock()
	s.ledger.calm = true
	s.ledger.mu.Unlock()
	probe := &caller{s: s, id: 1000, rand: rand.New(rand.NewPCG(seed, 8)), unsafe: unsafe, client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	n := 0
	for _, p := range s.processes {
		g.Eventually(func() int {
			n++
			status, _ := probe.send(p, "/safe/", fmt.Sprintf("probe-%d", n))
			return status
		}, recovery).Should(Equal(http.StatusOK), "%s serves again", p.name)
	}
	close(stop)
	running.Wait()
	unsafe.check(s.ledger)
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	t.Logf("%d requests ran, %d requests told not to have run", len(s.ledger.runs), len(unsafe.sent))
	g.Expect(s.ledger.faults).To(BeEmpty())
	g.Expect(len(s.ledger.runs)).To(BeNumerically(">", 20), "the callers were served")
}

// keepLogs copies the processes' logs into the test's output.
func (s *site) keepLogs() {
	for _, p := range s.processes {
		text, err := os.ReadFile(p.settings + ".log")
		s.t.Logf("log of %s (%v):\n%s", p.name, err, text)
	}
}

// strikeAll strikes faults that overlap and ends them all.
func (s *site) strikeAll(rng *rand.Rand) {
	var running sync.WaitGroup
	busy := make([]sync.Mutex, gateways)
	for range strikes {
		i, kind, lasts := rng.IntN(gateways), rng.IntN(9), time.Duration(200+rng.IntN(1300))*time.Millisecond
		u := s.upstreams[rng.IntN(len(s.upstreams))]
		running.Go(func() {
			busy[i].Lock()
			defer busy[i].Unlock()
			s.strike(kind, s.processes[i], u, lasts)
		})
		time.Sleep(time.Duration(100+rng.IntN(400)) * time.Millisecond)
	}
	running.Wait()
}

// strike does one fault and ends it after a while.
func (s *site) strike(kind int, p *process, u *upstream, lasts time.Duration) {
	mode := func(l *link.Link, m link.Mode) {
		_ = l.SetMode(m) // every mode used is known
		time.Sleep(lasts)
		_ = l.SetMode(link.Pass)
	}
	switch kind {
	case 0:
		p.signal(syscall.SIGSTOP)
		time.Sleep(lasts)
		p.signal(syscall.SIGCONT)
	case 1:
		_ = p.end(syscall.SIGKILL)
		p.start(s)
	case 2:
		// One that is still starting has nothing to end in order.
		up := p.started()
		if err := p.end(syscall.SIGTERM); err != nil && up {
			s.ledger.broken("%s did not end in order at SIGTERM: %v", p.name, err)
		}
		p.start(s)
	case 3:
		p.started()
		p.signal(syscall.SIGHUP)
	case 4:
		mode(u.link, link.Drop)
	case 5:
		mode(u.link, link.SilenceOpen)
	case 6:
		mode(p.store, link.Silence)
	case 7:
		mode(p.store, link.Drop)
	case 8:
		u.renew()
		s.ledger.mu.Lock()
		s.configure()
		s.ledger.mu.Unlock()
	}
}

// caller sends requests of all kinds over kept connections.
type caller struct {
	s      *site
	id     int
	rand   *rand.Rand
	client *http.Client
	unsafe *requests
}

// requests keeps the ids of which callers were told that they did not run, with the
// status, and of calls that must not run twice.
type requests struct {
	mu   sync.Mutex
	sent map[string]int
	once []string
}

// check looks at the end again: what was told not to have run must not have run later.
func (r *requests) check(l *ledger) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, status := range r.sent {
		if n := l.count(id); n > 0 {
			l.broken("request %s was answered %d and ran %d times", id, status, n)
		}
	}
	for _, id := range r.once {
		if n := l.count(id); n > 1 {
			l.broken("request %s must run once and ran %d times", id, n)
		}
	}
}

func (c *caller) call(n int) {
	p := c.s.processes[c.rand.IntN(gateways)]
	prefix := []string{"/safe/", "/unsafe/", "/stream/"}[c.rand.IntN(3)]
	id := fmt.Sprintf("r-%d-%d", c.id, n)
	status, body := c.send(p, prefix, id)
	l := c.s.ledger
	c.unsafe.mu.Lock()
	if prefix == "/unsafe/" {
		c.unsafe.once = append(c.unsafe.once, id)
	}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest {
		c.unsafe.sent[id] = status
	}
	c.unsafe.mu.Unlock()
	switch {
	case status == http.StatusOK && prefix == "/stream/":
		if body != wholeStream(id) {
			l.broken("stream %s ended as complete with %q", id, body)
		}
	case status == http.StatusOK:
		if body != id+" body of "+id {
			l.broken("request %s got %q", id, body)
		}
	case status >= 300 && status < 500 && status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests && status != http.StatusRequestTimeout && status != http.StatusMisdirectedRequest:
		l.broken("request %s was denied with %d: %s", id, status, body)
	}
}

func wholeStream(id string) string {
	var b strings.Builder
	for i := 1; i <= pieces; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s %d\n\n", i, id, i)
	}
	return b.String()
}

// send sends a request and returns the status, 0 for no whole answer.
func (c *caller) send(p *process, prefix, id string) (int, string) {
	r, err := http.NewRequest(http.MethodPost, "http://"+p.ip+":8227"+prefix+"x", strings.NewReader("body of "+id))
	if err != nil {
		c.s.t.Error(err)
		return 0, ""
	}
	r.Host = "h"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", "3000")
	r.Header.Set("Authorization", "Bearer "+key)
	resp, err := c.client.Do(r)
	if err != nil {
		time.Sleep(20 * time.Millisecond) // a process that has ended refuses at once
		return 0, ""
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(body)
}
