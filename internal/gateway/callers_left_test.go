package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/dispatch"
)

// queueingEngine runs as many requests at once as it has slots and queues the others. Runs
// end with their callers' connections only.
type queueingEngine struct {
	slots int

	mu              sync.Mutex
	running, queued int
	// beyondSlots counts the requests that have arrived while all slots were taken.
	beyondSlots int
	// still is set while the engine's VM stands still. withoutCaller counts the requests
	// that go on because their connections have ended meanwhile.
	still         bool
	withoutCaller int
}

func (e *queueingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.arrive() {
		events(w, r, 1, 1, false)
		<-r.Context().Done()
		e.leave(&e.running)
		return
	}
	<-r.Context().Done()
	e.leave(&e.queued)
}

// arrive counts a request and reports whether it can begin at once.
func (e *queueingEngine) arrive() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running == e.slots {
		e.queued++
		e.beyondSlots++
		return false
	}
	e.running++
	return true
}

func (e *queueingEngine) leave(count *int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	*count--
	if e.still {
		e.withoutCaller++
	}
}

func (e *queueingEngine) standStill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.still = true
}

func (e *queueingEngine) load() dispatch.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return dispatch.Load{Active: e.running, Queued: e.queued, GroupServing: true, Slowness: 1}
}

// patientCaller sends a stream's request and keeps its answer open until it leaves.
type patientCaller struct {
	leave    context.CancelFunc
	answered chan struct{}
}

func (f *fixture) newPatientCaller() *patientCaller {
	f.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel)
	c := &patientCaller{leave: cancel, answered: make(chan struct{})}
	r := f.request(http.MethodPost, "/stream/x", "").WithContext(ctx)
	r.Header.Del("Deadline-Ms")
	go func() {
		resp, err := callers.RoundTrip(r)
		if err != nil {
			return
		}
		defer resp.Body.Close()
		_, _ = bufio.NewReader(resp.Body).ReadString('\n')
		close(c.answered)
		<-ctx.Done()
	}()
	return c
}

func (c *patientCaller) hasAnswer() bool {
	select {
	case <-c.answered:
		return true
	default:
		return false
	}
}

// Guards against runs without callers: requests sent to an upstream whose slots are taken wait
// in its queue until their callers leave, and run there once its VM, which stood still, goes on.
func TestRequestsDontOutliveTheirCallersInTheQueueOfAnUpstreamThatStandsStill(t *testing.T) {
	g := NewWithT(t)
	const upstreams, slots, waiting = 3, 4, 12
	var engines []*queueingEngine
	var handlers []http.HandlerFunc
	for range upstreams {
		e := &queueingEngine{slots: slots}
		engines, handlers = append(engines, e), append(handlers, e.ServeHTTP)
	}
	f := newFixtureWithClock(t, clockwork.NewFakeClock(), handlers...)
	f.routes.Apply(groupConfiguration(), time.Now())
	reportLoads := func() {
		for i, u := range f.upstreams {
			f.gateway.Pools.UpdateLoad(u.Address, u.Started, engines[i].load())
		}
	}
	sum := func(count func(*queueingEngine) int) (total int) {
		for _, e := range engines {
			e.mu.Lock()
			total += count(e)
			e.mu.Unlock()
		}
		return total
	}
	reportLoads()
	for range upstreams * slots {
		g.Eventually(f.newPatientCaller().answered, "10s").Should(BeClosed())
	}
	g.Expect(sum(func(e *queueingEngine) int { return e.running })).To(Equal(upstreams * slots))
	reportLoads()
	// Answers last far longer than a caller waits for an event.
	m := f.gateway.Pools.Get(f.upstreams[0].Address, f.upstreams[0].Started)
	m.RecordPart(300 * time.Millisecond)
	m.RecordAnswerParts(2000, true)

	var patient []*patientCaller
	answered := func() (n int) {
		for _, c := range patient {
			if c.hasAnswer() {
				n++
			}
		}
		return n
	}
	for i := range waiting {
		patient = append(patient, f.newPatientCaller())
		g.Eventually(func() int {
			return sum(func(e *queueingEngine) int { return e.queued }) + f.gateway.Pools.Waiting("s") + answered()
		}, "10s").Should(Equal(i + 1))
	}
	engines[0].standStill()
	left := waiting - answered()
	for _, c := range patient {
		if !c.hasAnswer() {
			c.leave()
		}
	}
	g.Eventually(f.gateway.InFlight, "10s").Should(Equal(upstreams * slots))
	g.Eventually(func() int { return sum(func(e *queueingEngine) int { return e.queued }) }, "10s").Should(BeZero())
	runs := sum(func(e *queueingEngine) int { return e.withoutCaller })
	beyondSlots := sum(func(e *queueingEngine) int { return e.beyondSlots })
	g.Expect(4*runs).To(BeNumerically("<=", left),
		fmt.Sprintf("%d of %d requests go on after their callers have left, more than a quarter; %d of the %d were sent to upstreams whose slots were taken", runs, left, beyondSlots, left))
}
