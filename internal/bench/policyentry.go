package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/admission"
	"github.com/kingcupreel/kingcupreel/internal/balance"
)

const (
	policyPool       = "model/m"
	policyDataCentre = "dc1"
	// policyExchange is the interval of usage digests and of limits.
	policyExchange = 500 * time.Millisecond
)

// signal is how the replicas' load reports reach the entries.
type signal struct {
	interval, lag time.Duration
	loss          float64
	// silentFrom is when all reports stop; 0 means never.
	silentFrom time.Duration
}

// policyEntry is the decision state of one entry.
type policyEntry struct {
	pool       *balance.Pool
	nodes      map[*balance.Node]*replica
	controller *admission.Controller
	usage      *admission.Usage
}

// policyFleet is entries before replicas.
type policyFleet struct {
	loop     *loop
	entries  []*policyEntry
	replicas []*replica
}

// newPolicyFleet builds entries that know every replica. Each group of ranks
// consecutive replicas steps together.
func newPolicyFleet(l *loop, entries int, opts []replicaOptions, ranks int, s signal) *policyFleet {
	f := &policyFleet{loop: l}
	for i, o := range opts {
		f.replicas = append(f.replicas, newReplica(l, o))
		if (i+1)%ranks == 0 {
			group := f.replicas[i+1-ranks:]
			for _, r := range group {
				r.ranks = group
			}
		}
	}
	for range entries {
		f.entries = append(f.entries, f.newEntry(ranks))
	}
	for i, r := range f.replicas {
		l.every(s.interval, func() { f.report(i, r, s) })
	}
	for i := range f.entries {
		l.every(policyExchange, func() { f.exchange(i) })
	}
	return f
}

func (f *policyFleet) newEntry(ranks int) *policyEntry {
	rng := func() *rand.Rand { return rand.New(rand.NewPCG(f.loop.rand.Uint64(), 2)) }
	e := &policyEntry{
		pool:  balance.NewPool(f.loop.clock, rng(), policyDataCentre),
		nodes: map[*balance.Node]*replica{},
		usage: admission.NewUsage(),
	}
	e.controller = admission.NewController(f.loop.clock, rng(), e.usage, admission.Options{})
	for i, r := range f.replicas {
		u := balance.Upstream{Name: fmt.Sprintf("r%d", i), DataCentre: policyDataCentre}
		if ranks > 1 {
			u.Group = fmt.Sprintf("g%d", i/ranks)
		}
		n := e.pool.Add(u)
		e.nodes[n] = r
		n.SetUsable(true)
		n.UpdateLoad(balance.Load{Capacity: r.opts.capacity})
	}
	e.controller.SetCapacity(policyPool, e.pool.Capacity())
	return e
}

// report sends a replica's load to the entries, late or never.
func (f *policyFleet) report(i int, r *replica, s signal) {
	if s.silentFrom > 0 && f.loop.now() > s.silentFrom {
		return
	}
	load := balance.Load{Work: r.work(), Capacity: r.opts.capacity}
	for _, e := range f.entries {
		if f.loop.rand.Float64() < s.loss {
			continue
		}
		f.loop.after(s.lag, func() {
			for n, o := range e.nodes {
				if o == f.replicas[i] {
					n.UpdateLoad(load)
				}
			}
		})
	}
}

// exchange sends an entry's digest to a random other one and brings its
// limits up to date.
func (f *policyFleet) exchange(i int) {
	e := f.entries[i]
	e.usage.SetEntries(len(f.entries), len(f.entries))
	if len(f.entries) > 1 {
		j := (i + 1 + f.loop.rand.IntN(len(f.entries)-1)) % len(f.entries)
		items := e.usage.Digest(fmt.Sprint(j))
		e.usage.Receive(fmt.Sprint(j), f.entries[j].usage.Receive(fmt.Sprint(i), items))
	}
	e.pool.Tick()
	e.controller.SetCapacity(policyPool, e.pool.Capacity())
	e.usage.Tick()
	e.controller.Tick()
}

// dispatch sends a job to the replica that a picker chooses. It returns how to
// withdraw the job.
func (e *policyEntry) dispatch(p balance.Picker, prefix string, j *job) (withdraw func()) {
	n := p.Pick(e.pool, balance.Request{Prefix: prefix})
	r := e.nodes[n]
	n.MarkSent()
	first, ended := j.first, j.ended
	j.first = func(cached bool) {
		n.MarkProgress(0)
		first(cached)
	}
	j.ended = func(gap time.Duration) {
		n.MarkProgress(gap)
		n.Finish()
		ended(gap)
	}
	r.submit(j)
	return func() {
		if !j.over {
			r.cancel(j)
			n.Finish()
		}
	}
}

// percentile returns the p-th percentile of sorted values, 0 for none.
func percentile(sorted []float64, p float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(math.Ceil(p/100*float64(len(sorted))))-1, len(sorted)-1)]
}
