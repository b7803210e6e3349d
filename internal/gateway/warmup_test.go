package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/directory"
	"github.com/kingcupreel/kingcupreel/internal/dispatch"
	"github.com/kingcupreel/kingcupreel/internal/gateway"
	"github.com/kingcupreel/kingcupreel/internal/routing"
)

const testWarmup = 3 * time.Second

// warmupFleet is one entry of several before upstreams in data centres a, b and c.
type warmupFleet struct {
	*gateway.Pools
	clock     *clockwork.FakeClock
	upstreams []directory.Upstream
}

// newWarmupFleet returns an entry that doesn't know the others yet. Its upstreams started long
// before.
func newWarmupFleet(upstreams int) *warmupFleet {
	clock := clockwork.NewFakeClock()
	f := &warmupFleet{Pools: gateway.NewPools(clock, rand.New(rand.NewPCG(1, 1))), clock: clock}
	f.SetWarmupBound(1.5, 5)
	f.Configure([]routing.Service{{Name: "s", Warmup: testWarmup, WarmupRate: 14}})
	for i := range upstreams {
		f.upstreams = append(f.upstreams, directory.Upstream{ID: fmt.Sprint("u", i), Service: "s", Address: fmt.Sprint("u", i), DataCentre: string(rune('a' + i%3)), Slots: 100, Started: clock.Now().Add(-time.Hour).UnixMilli()})
	}
	f.Reconcile(f.upstreams)
	return f
}

// know tells the entry that there are n of them.
func (f *warmupFleet) know(n int) {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprint("e", i)
	}
	f.SetEntries("e0", names)
}

// turnCold lets the records of a data centre's upstreams say that they are cold.
func (f *warmupFleet) turnCold(dataCentre string) {
	for i := range f.upstreams {
		if f.upstreams[i].DataCentre == dataCentre {
			f.upstreams[i].Warmup = testWarmup
		}
	}
	f.Reconcile(f.upstreams)
}

// sent picks upstreams for n requests and returns how many each data centre gets; "" stands for
// requests without an upstream.
func (f *warmupFleet) sent(n int, d dispatch.Demand) map[string]int {
	counts := map[string]int{}
	for range n {
		if m, _ := f.Pick("s", d); m != nil {
			counts[m.DataCentre]++
			m.Finish(true, false)
			continue
		}
		counts[""]++
	}
	return counts
}

// Two of three data centres are given back cold before one of 43 entries, and a burst comes:
// their upstreams get no more than the entry's permits, the rest goes to the warm ones. An
// entry that has just started doesn't know the others, and sends none there.
func TestTwoColdDataCentres(t *testing.T) {
	g := NewWithT(t)
	f := newWarmupFleet(63)
	g.Expect(f.Cold()).To(BeZero(), "their records were written long after their start")
	f.turnCold("b")
	f.turnCold("c")
	g.Expect(f.sent(1000, dispatch.Demand{})).To(Equal(map[string]int{"a": 1000}))
	f.know(43)
	counts := f.sent(40, dispatch.Demand{})
	g.Expect(counts["b"]+counts["c"]).To(BeNumerically("~", 42*13/43, 6), "most permits find a request at once")
	g.Expect(counts["a"]).To(Equal(40 - counts["b"] - counts["c"]))
	f.clock.Advance(testWarmup)
	g.Expect(f.sent(1000, dispatch.Demand{})["b"]).To(BeNumerically(">", 200), "the load is back")
}

// Requests whose callers would notice a slow answer stay with warm upstreams while these have
// room. In a burst they don't queue up there beside an idle cold one.
func TestColdUpstreamsGetPatientRequests(t *testing.T) {
	g := NewWithT(t)
	f := newWarmupFleet(2)
	f.know(1)
	f.turnCold("b")
	g.Expect(f.sent(20, dispatch.Demand{Urgent: true})).To(Equal(map[string]int{"a": 20}))
	g.Expect(f.sent(20, dispatch.Demand{})["b"]).To(Equal(1))
	f.clock.Advance(time.Second)
	counts := map[string]int{}
	for range 80 {
		m, _ := f.Pick("s", dispatch.Demand{Urgent: true})
		counts[m.DataCentre]++
	}
	g.Expect(counts).To(Equal(map[string]int{"a": 79, "b": 1}))
}

// An upstream counts as cold by more than its record: a later incarnation starts under its ID,
// or its data centre is given back unheard. That outlasts a change of its registration.
func TestUpstreamCountsAsCold(t *testing.T) {
	g := NewWithT(t)
	f := newWarmupFleet(6)
	f.UpdateLoad("u0", f.clock.Now().UnixMilli(), dispatch.Load{})
	g.Expect(f.Cold()).To(Equal(1))
	f.SetEvacuated(func(dataCentre string) bool { return dataCentre == "b" })
	f.SetEvacuated(func(string) bool { return false })
	f.Reconcile(nil)
	f.Reconcile(f.upstreams)
	g.Expect(f.Cold()).To(Equal(3))
	f.upstreams[0].Started, f.upstreams[0].Warmup = f.clock.Now().UnixMilli(), testWarmup
	f.clock.Advance(testWarmup)
	f.Reconcile(f.upstreams)
	g.Expect(f.Cold()).To(Equal(1))
	f.Configure([]routing.Service{{Name: "s"}})
	g.Expect(f.Cold()).To(BeZero(), "the service declares no warm-up any more")
}

// A burst meets a service whose only upstream is cold, as its answer says: requests wait for
// permits that come in time, and the others are refused at once.
func TestServiceWithColdUpstreamsOnly(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Warmup-Ms", "3000")
		stamped(w, r, http.StatusOK, "done")
	})
	c := configuration()
	c.Version, c.Services = 2, []routing.Service{{Name: "s", Warmup: testWarmup, WarmupRate: 3}}
	f.routes.Apply(c, time.Now())
	g.Expect(f.sendFor(50*time.Millisecond, 0)[http.StatusOK]).To(Equal(1), "the others aren't known yet")
	f.gateway.Pools.SetEntries("e", []string{"e"})
	f.gateway.SetEntryCount(1)
	served := 0
	answers := make([]<-chan answer, 20)
	for i := range answers {
		answers[i] = f.sendAsync(f.request(http.MethodGet, "/safe/x", ""))
	}
	for _, a := range answers {
		if (<-a).Status == http.StatusOK {
			served++
		}
	}
	g.Expect(served).To(And(BeNumerically(">=", 1), BeNumerically("<=", 4)), "these had or awaited a permit")
}
