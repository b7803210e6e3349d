package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupreel/kingcupreel/internal/admission"
	"github.com/kingcupreel/kingcupreel/internal/balance"
	"github.com/kingcupreel/kingcupreel/internal/kvstore"
	"github.com/kingcupreel/kingcupreel/internal/membership"
)

const (
	// policyModels is the number of models that the upstreams are spread over.
	policyModels      = 28
	policyDataCentres = 11
	// policyPicks, policyOffers and policyDigests are the numbers of calls that a
	// measured mean is taken over.
	policyPicks   = 200_000
	policyOffers  = 100_000
	policyDigests = 200
)

// policyMeasurement measures one value at several sizes.
type policyMeasurement struct {
	name, unit string
	sizes      []float64
	measure    func(size int) float64
}

var (
	upstreamSizes = []float64{650, 1300, 2600, 5200}
	accountSizes  = []float64{200, 400, 800, 1600}
	entrySizes    = []float64{30, 90, 330}
)

// PolicySlopes measures the decision packages at several sizes: time per
// decision, memory, and bytes per second of the usage digests.
func PolicySlopes(context.Context) ([]Slope, error) {
	list := []policyMeasurement{
		{"balance.pick by upstreams", "ns", upstreamSizes, pickNanoseconds},
		{"membership.subset by upstreams", "ns", upstreamSizes, subsetNanoseconds},
		{"balance.memory by upstreams", "bytes", upstreamSizes, poolHeapBytes},
		{"admission.offer by accounts", "ns", accountSizes, offerNanoseconds},
		{"admission.digest by accounts", "ns", accountSizes, digestNanoseconds},
		{"admission.memory by accounts", "bytes", accountSizes, usageHeapBytes},
		{"usage bytes out of an entry by entries", "bytes/s", entrySizes, usageBytesOut},
		{"usage bytes into the busiest entry by entries", "bytes/s", entrySizes, usageBytesIn},
	}
	var slopes []Slope
	for _, m := range list {
		var values []float64
		for _, size := range m.sizes {
			values = append(values, m.measure(int(size)))
		}
		s, err := Fit(m.name, m.unit, m.sizes, values)
		if err != nil {
			return nil, err
		}
		slopes = append(slopes, s)
	}
	return slopes, nil
}

// entryPools is the pools of one entry, with its subset of all members.
type entryPools struct {
	members []membership.PoolMember
	pools   []*balance.Pool
}

// newMembers returns upstreams spread over models and data centres.
func newMembers(upstreams int) []membership.PoolMember {
	var members []membership.PoolMember
	for i := range upstreams {
		members = append(members, membership.PoolMember{
			Name: fmt.Sprintf("upstream-%d", i), DataCentre: fmt.Sprintf("dc%d", i/policyModels%policyDataCentres),
			Pool: fmt.Sprint(i % policyModels),
		})
	}
	return members
}

// newEntryPools builds the pools that an entry has in a fleet with the given number
// of upstreams.
func newEntryPools(upstreams int) *entryPools {
	entry := &entryPools{members: newMembers(upstreams)}
	subset := membership.Subset(entry.members, nil, "entry", policyDataCentre)
	pools := map[string]*balance.Pool{}
	for _, m := range entry.members {
		if !subset[m.Name] {
			continue
		}
		p := pools[m.Pool]
		if p == nil {
			p = balance.NewPool(clockwork.NewRealClock(), rand.New(rand.NewPCG(1, 2)), policyDataCentre)
			pools[m.Pool] = p
			entry.pools = append(entry.pools, p)
		}
		n := p.Add(balance.Upstream{Name: m.Name, DataCentre: m.DataCentre})
		n.SetUsable(true)
		n.UpdateLoad(balance.Load{Work: len(m.Name), Capacity: 64})
	}
	return entry
}

// nanosecondsPerCall returns the mean time of n calls of f, in nanoseconds.
func nanosecondsPerCall(n int, f func(i int)) float64 {
	start := time.Now()
	for i := range n {
		f(i)
	}
	return float64(time.Since(start)) / float64(n)
}

func pickNanoseconds(upstreams int) float64 {
	entry := newEntryPools(upstreams)
	prefixes := make([]string, 1000)
	for i := range prefixes {
		prefixes[i] = fmt.Sprintf("prefix-%d", i)
	}
	return nanosecondsPerCall(policyPicks, func(i int) {
		p := entry.pools[i%len(entry.pools)]
		balance.LeastWork{}.Pick(p, balance.Request{Prefix: prefixes[i%len(prefixes)]})
	})
}

// policyEntries returns the target's number of entries, spread over the data
// centres of the upstreams.
func policyEntries() []kvstore.VM {
	entries := make([]kvstore.VM, 0, targetEntries)
	for i := range int(targetEntries) {
		entries = append(entries, kvstore.VM{ID: fmt.Sprintf("entry-%d", i), DataCentre: fmt.Sprintf("dc%d", i%targetDataCentres)})
	}
	return entries
}

func subsetNanoseconds(upstreams int) float64 {
	members := newMembers(upstreams)
	return nanosecondsPerCall(20, func(int) { membership.Subset(members, policyEntries(), "entry", policyDataCentre) })
}

// heapBytes returns the heap memory that f's result occupies.
func heapBytes[T any](f func() T) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	v := f()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(v)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

func poolHeapBytes(upstreams int) float64 {
	return heapBytes(func() []*balance.Pool { return newEntryPools(upstreams).pools })
}

// newPolicyUsage returns the usage of accounts near their limits, after an
// exchange with nine peers.
func newPolicyUsage(accounts int) *admission.Usage {
	u := admission.NewUsage()
	u.SetEntries(330, 330)
	for i := range accounts {
		key := admission.AccountKey(fmt.Sprintf("account-%d", i))
		u.SetLimit(key, 330)
		u.Add(key, 1+i%3)
		for p := range 9 {
			u.Receive(fmt.Sprintf("peer-%d", p), []admission.Item{{Key: key, Mean: 1}})
		}
	}
	for range 50 {
		u.Tick()
	}
	return u
}

func offerNanoseconds(accounts int) float64 {
	u := newPolicyUsage(accounts)
	c := admission.NewController(clockwork.NewRealClock(), rand.New(rand.NewPCG(1, 2)), u, admission.Options{})
	names := make([]string, accounts)
	for i := range names {
		names[i] = fmt.Sprintf("account-%d", i)
	}
	c.SetCapacity(policyPool, 1000)
	return nanosecondsPerCall(policyOffers, func(i int) {
		t := c.Offer(admission.Request{
			Pool: policyPool, Account: names[i%accounts], Priority: i % 10, MaxInFlight: 3300,
			OnDecision: func(admission.Decision) {},
		})
		c.Finish(t, true)
	})
}

func digestNanoseconds(accounts int) float64 {
	u := newPolicyUsage(accounts)
	return nanosecondsPerCall(policyDigests, func(i int) { u.Digest(fmt.Sprintf("peer-%d", i%9)) })
}

func usageHeapBytes(accounts int) float64 {
	return heapBytes(func() *admission.Usage { return newPolicyUsage(accounts) })
}

func usageBytesOut(entries int) float64 { return RunLimit(1, entries, entries, 1000).OutBytesPerS }

func usageBytesIn(entries int) float64 { return RunLimit(1, entries, entries, 1000).MaxInBytesPerS }
