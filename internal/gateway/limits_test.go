package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/dispatch"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// limitedUpstream answers requests and names a limit, in requests a second, while it isn't 0.
type limitedUpstream struct {
	limit    atomic.Int64
	requests atomic.Int64
}

func (u *limitedUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.requests.Add(1)
	if limit := u.limit.Load(); limit > 0 {
		w.Header().Set("Server-Limit", strconv.FormatInt(limit, 10))
	}
	stamped(w, r, http.StatusOK, "done")
}

func newLimited(limit int64) *limitedUpstream {
	u := &limitedUpstream{}
	u.limit.Store(limit)
	return u
}

// windowBound returns how many requests an upstream with a limit may get within the given
// time.
func windowBound(limit int64, d time.Duration) float64 { return 1.5*float64(limit)*d.Seconds() + 5 }

// sendFor sends requests one after the other and returns how many got each status.
func (f *fixture) sendFor(d, pause time.Duration) map[int]int {
	statuses := map[int]int{}
	for start := time.Now(); time.Since(start) < d; time.Sleep(pause) {
		status, _, _, _ := f.send(f.request(http.MethodGet, "/safe/x", ""))
		statuses[status]++
	}
	return statuses
}

// Guards against requests to an upstream beyond the limit that it has named while others have
// room: nobody is refused or waits for a permit.
func TestLimitOfAnUpstreamSteersRequestsToOthers(t *testing.T) {
	g := NewWithT(t)
	const limit, duration = 2, 2 * time.Second
	limited, free := newLimited(limit), newLimited(0)
	f := newFixture(t, limited.ServeHTTP, free.ServeHTTP)
	f.gateway.SetEntryCount(1)
	statuses := f.sendFor(duration, 5*time.Millisecond)
	g.Expect(statuses).To(HaveLen(1))
	g.Expect(statuses[http.StatusOK]).To(BeNumerically(">", 100))
	g.Expect(float64(limited.requests.Load())).To(BeNumerically("<=", windowBound(limit, duration)))
}

// Guards against requests beyond the limits where every upstream has named one: a request
// waits for a permit that comes soon, and is refused at once otherwise, with the time of
// the next one.
func TestRequestsAreRefusedWhereEveryUpstreamIsAtItsLimit(t *testing.T) {
	g := NewWithT(t)
	const limit, entries = 2, 10000
	limited := newLimited(limit)
	f := newFixture(t, limited.ServeHTTP)
	f.gateway.SetEntryCount(entries) // the next permit comes after an hour or so
	status, _, _, _ := f.send(f.request(http.MethodGet, "/safe/x", ""))
	g.Expect(status).To(Equal(http.StatusOK), "no limit is known yet")

	start := time.Now()
	status, header, _, _ := f.send(f.request(http.MethodGet, "/safe/x", ""))
	g.Expect(time.Since(start)).To(BeNumerically("<", 250*time.Millisecond))
	g.Expect(status).To(Equal(http.StatusServiceUnavailable))
	delay, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(delay).To(BeNumerically(">", 0))

	f.gateway.SetEntryCount(1)
	const duration = 2 * time.Second
	before := limited.requests.Load()
	statuses := f.sendFor(duration, 0)
	g.Expect(statuses[http.StatusOK]).To(BeNumerically(">=", 1), "requests wait for permits")
	g.Expect(float64(limited.requests.Load() - before)).To(BeNumerically("<=", windowBound(limit, duration)))
}

// A limit ends with the first answer without one, and outlasts a change of the registration.
func TestLimitHoldsAsLongAsItIsNamed(t *testing.T) {
	g := NewWithT(t)
	const limit = 5
	limited := newLimited(limit)
	f := newFixture(t, limited.ServeHTTP)
	f.gateway.SetEntryCount(1)
	f.sendFor(100*time.Millisecond, 0)
	f.gateway.Pools.Reconcile(nil)
	f.gateway.Pools.Reconcile(f.upstreams)
	before := limited.requests.Load()
	f.sendFor(time.Second, 0)
	g.Expect(float64(limited.requests.Load() - before)).To(BeNumerically("<=", windowBound(limit, time.Second)))

	limited.limit.Store(0)
	f.sendFor(500*time.Millisecond, 0) // one of these tells
	g.Expect(f.sendFor(300*time.Millisecond, 0)[http.StatusOK]).To(BeNumerically(">", 30))
}

// Entries learn limits from load reports too, since each of many entries seldom meets an
// upstream. An engine whose reports don't name its limit isn't taken for one without.
func TestLimitInLoadReports(t *testing.T) {
	g := NewWithT(t)
	const limit, duration = 2, 1500 * time.Millisecond
	a, b := newLimited(limit), newLimited(0)
	f := newFixture(t, a.ServeHTTP, b.ServeHTTP)
	f.gateway.SetEntryCount(9)
	member := f.gateway.Pools.Get(f.upstreams[0].Address, f.upstreams[0].Started)
	f.gateway.ApplyReportedLimit(member, limit)
	before := a.requests.Load()
	f.sendFor(duration, 5*time.Millisecond)
	g.Expect(a.requests.Load()-before).To(BeNumerically("<=", 2), "the share of one of nine entries")

	b.limit.Store(limit)
	f.sendFor(100*time.Millisecond, 0)
	other := f.gateway.Pools.Get(f.upstreams[1].Address, f.upstreams[1].Started)
	time.Sleep(1200 * time.Millisecond)
	f.gateway.ApplyReportedLimit(other, 0)
	before = b.requests.Load()
	f.sendFor(300*time.Millisecond, 0)
	g.Expect(b.requests.Load() - before).To(BeNumerically("<=", 2))
}

// Guards against a group at its limits that is taken for one that can't serve: its callers
// would be told to come back after an outage.
func TestGroupAtItsLimitsIsNoOutage(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, threeEvents)
	f.gateway.MinOutage = time.Hour
	f.gateway.SetEntryCount(1)
	f.routes.Apply(groupConfiguration(), time.Now())
	f.report(dispatch.Load{GroupServing: true, Slowness: 1})
	f.gateway.ApplyReportedLimit(f.gateway.Pools.Get(f.upstreams[0].Address, f.upstreams[0].Started), 5)
	for i := range 4 {
		r := f.request(http.MethodPost, "/stream/x", "prompt")
		r.Header.Set("Deadline-Ms", "20000")
		status, _, body, _ := f.send(r)
		g.Expect(status).To(Equal(http.StatusOK), fmt.Sprint("request ", i))
		g.Expect(body).To(Equal(threeEventsBody))
	}
}

// Entries tell each other the limits that they hear of: where each of many entries seldom
// meets an upstream, most requests would come from entries that don't know.
func TestEntriesShareLimits(t *testing.T) {
	g := NewWithT(t)
	const limit = 2
	limited, free := newLimited(limit), newLimited(0)
	f := newFixture(t, limited.ServeHTTP, free.ServeHTTP)
	other := newFixture(t)
	other.upstreams = f.upstreams
	other.gateway.Pools.Reconcile(f.upstreams)
	f.gateway.SetEntryCount(100)
	other.gateway.SetEntryCount(100)
	f.sendFor(200*time.Millisecond, 0)
	news := f.gateway.Pools.RecentLimits(16)
	g.Expect(news).To(ConsistOf(HaveField("Limit", float64(limit))))
	other.gateway.ApplySharedLimits(news)
	before := limited.requests.Load()
	g.Expect(other.sendFor(300*time.Millisecond, 0)).To(HaveLen(1))
	g.Expect(limited.requests.Load() - before).To(BeNumerically("<=", 1))

	// Older news changes nothing; the news of the end does.
	stale := []wire.UpstreamLimit{{ID: news[0].ID, Started: news[0].Started, AgeMS: 60000}}
	other.gateway.ApplySharedLimits(stale)
	g.Expect(other.gateway.Pools.RecentLimits(16)).To(ConsistOf(HaveField("Limit", float64(limit))))
	stale[0].AgeMS = 0
	other.gateway.ApplySharedLimits(stale)
	g.Expect(other.gateway.Pools.RecentLimits(16)).To(ConsistOf(HaveField("Limit", 0.0)), "passed on")
	limited.limit.Store(0)
	other.sendFor(300*time.Millisecond, 0)
	g.Expect(limited.requests.Load() - before).To(BeNumerically(">", 20))
}

// Guards against a request to an upstream that has asked for none, or has left, while the
// request waited for a permit.
func TestPermitOfAnUpstreamThatRestsMeanwhileIsNotUsed(t *testing.T) {
	g := NewWithT(t)
	const limit = 2
	limited := newLimited(limit)
	f := newFixture(t, limited.ServeHTTP)
	f.gateway.SetEntryCount(1)
	for { // until a request waits
		f.send(f.request(http.MethodGet, "/safe/x", ""))
		before := limited.requests.Load()
		r := f.request(http.MethodGet, "/safe/x", "")
		r.Header.Set("Deadline-Ms", "20000")
		answers := f.sendAsync(r)
		member := f.gateway.Pools.Get(f.upstreams[0].Address, f.upstreams[0].Started)
		time.Sleep(20 * time.Millisecond)
		if limited.requests.Load() > before {
			g.Eventually(answers).Should(Receive())
			continue
		}
		member.Rest(time.Minute)
		g.Eventually(answers, "5s").Should(Receive(HaveField("Status", http.StatusServiceUnavailable)))
		g.Expect(limited.requests.Load()).To(Equal(before))
		return
	}
}
