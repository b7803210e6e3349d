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
	// policyDigestInterval is the time between an entry's usage digests and
	// between its updates of limits.
	policyDigestInterval = 500 * time.Millisecond
)

// loadReporting describes how the replicas' load reports reach the entries: their
// interval, their delay and the probability that one is lost.
type loadReporting struct {
	interval, delay time.Duration
	lossProbability float64
	// silentFrom is the time at which all reports stop; 0 means that they never
	// stop.
	silentFrom time.Duration
}

// policyEntry is the decision state of one simulated entry.
type policyEntry struct {
	pool       *balance.Pool
	nodes      map[*balance.Node]*replica
	controller *admission.Controller
	usage      *admission.Usage
}

// policyFleet is the simulated entries and the replicas that they dispatch to.
type policyFleet struct {
	eventLoop *eventLoop
	entries   []*policyEntry
	replicas  []*replica
}

// newPolicyFleet builds entries that know every replica. Each run of ranks
// consecutive replicas forms a group that steps in lock step.
func newPolicyFleet(l *eventLoop, entries int, opts []replicaOptions, ranks int, reporting loadReporting) *policyFleet {
	f := &policyFleet{eventLoop: l}
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
		l.scheduleEvery(reporting.interval, func() { f.sendLoadReport(i, r, reporting) })
	}
	for i := range f.entries {
		l.scheduleEvery(policyDigestInterval, func() { f.exchangeUsage(i) })
	}
	return f
}

func (f *policyFleet) newEntry(ranks int) *policyEntry {
	rng := func() *rand.Rand { return rand.New(rand.NewPCG(f.eventLoop.rand.Uint64(), 2)) }
	e := &policyEntry{
		pool:  balance.NewPool(f.eventLoop.clock, rng(), policyDataCentre),
		nodes: map[*balance.Node]*replica{},
		usage: admission.NewUsage(),
	}
	e.controller = admission.NewController(f.eventLoop.clock, rng(), e.usage, admission.Options{})
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

// sendLoadReport delivers the load of replica r, the i-th, to each entry after
// the reporting delay, or loses the report.
func (f *policyFleet) sendLoadReport(i int, r *replica, reporting loadReporting) {
	if reporting.silentFrom > 0 && f.eventLoop.now() > reporting.silentFrom {
		return
	}
	load := balance.Load{Work: r.work(), Capacity: r.opts.capacity}
	for _, e := range f.entries {
		if f.eventLoop.rand.Float64() < reporting.lossProbability {
			continue
		}
		f.eventLoop.after(reporting.delay, func() {
			for n, o := range e.nodes {
				if o == f.replicas[i] {
					n.UpdateLoad(load)
				}
			}
		})
	}
}

// exchangeUsage exchanges digests between entry i and a random other entry, then
// updates the capacity and the limits of entry i.
func (f *policyFleet) exchangeUsage(i int) {
	e := f.entries[i]
	e.usage.SetEntries(len(f.entries), len(f.entries))
	if len(f.entries) > 1 {
		peer := (i + 1 + f.eventLoop.rand.IntN(len(f.entries)-1)) % len(f.entries)
		items := e.usage.Digest(fmt.Sprint(peer))
		e.usage.Receive(fmt.Sprint(peer), f.entries[peer].usage.Receive(fmt.Sprint(i), items))
	}
	e.pool.Tick()
	e.controller.SetCapacity(policyPool, e.pool.Capacity())
	e.usage.Tick()
	e.controller.Tick()
}

// dispatch submits a job to the replica that the picker chooses. It returns a
// function that cancels the job.
func (e *policyEntry) dispatch(p balance.Picker, prefix string, j *job) (cancelJob func()) {
	n := p.Pick(e.pool, balance.Request{Prefix: prefix})
	r := e.nodes[n]
	n.MarkSent()
	onFirstToken, onCompletion := j.onFirstToken, j.onCompletion
	j.onFirstToken = func(cached bool) {
		n.MarkProgress(0)
		onFirstToken(cached)
	}
	j.onCompletion = func(gap time.Duration) {
		n.MarkProgress(gap)
		n.Finish()
		onCompletion(gap)
	}
	r.submit(j)
	return func() {
		if !j.done {
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
