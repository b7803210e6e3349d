package balance

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Upstream identifies an upstream of a pool.
type Upstream struct {
	Name       string
	DataCentre string
	// Group is the model group; its ranks share their steps. It is empty for a
	// plain service.
	Group string
}

// Load is an upstream's report of its load.
type Load struct {
	// Work is the number of requests running and queued.
	Work int
	// Capacity is the number of requests that run at once; 0 means unknown.
	Capacity int
	// Silent says that the engine doesn't answer.
	Silent bool
}

const (
	// reportAging is the time constant at which a report loses its weight; an
	// unchanged load is reported again in that time.
	reportAging = 4 * time.Second
	// othersWeight is the weight of a new report in the mean of the others'
	// work. It is low, since entries that all follow a report that lags make a
	// herd.
	othersWeight = 0.1
	// paceAging is the time constant at which a measured pace returns to the
	// pool's mean, so that a slow upstream is tried again.
	paceAging = 10 * time.Second
	// paceWeight is the weight of a new gap between tokens in the mean.
	paceWeight = 0.1
	// minPace and maxPace bound an upstream's pace relative to the pool's.
	minPace = 0.5
	maxPace = 8
	// assumedCapacity stands for the capacity of a rank that has not reported
	// yet. It is low, so that an entry that has just started does not flood it.
	assumedCapacity = 4
	// defaultCapacity stands for an unknown capacity, in requests.
	defaultCapacity = 32
)

// Node is an entry's view of one upstream.
type Node struct {
	Upstream
	pool  *Pool
	group *group
	hash  uint64

	usable   bool
	usableAt time.Time
	inFlight int

	capacity   int
	reportedAt time.Time
	silent     bool
	// others is the moving mean of the reported work less this entry's own.
	others float64

	gap      float64 // mean gap between tokens in seconds, 0 for unknown
	gapAt    time.Time
	gaps     int
	progress time.Time // the last sign of work done, or the start of work

	failures     int
	ejections    int
	ejectedUntil time.Time
	// held says that the ejection lasts until a report that isn't silent.
	held bool
}

// group is what the ranks of a model group share.
type group struct {
	nodes []*Node
	// peak is the work of the busiest rank, which sets the time of a step.
	peak float64
}

func newNode(p *Pool, u Upstream) *Node {
	return &Node{Upstream: u, pool: p, hash: xxhash.Sum64String(u.Name)}
}

// InFlight returns this entry's own attempts at the upstream.
func (n *Node) InFlight() int { return n.inFlight }

// Ejected says whether the upstream is out of use for now.
func (n *Node) Ejected() bool { return n.pool.clock.Now().Before(n.ejectedUntil) }

// SetUsable says whether the upstream is connected and takes work.
func (n *Node) SetUsable(usable bool) {
	if n.usable == usable {
		return
	}
	n.usable = usable
	n.usableAt = n.pool.clock.Now()
	n.failures = 0
	n.gaps = 0
	n.reportedAt = time.Time{}
	n.others = 0
	n.silent = false
	n.held = false
	n.ejectedUntil = time.Time{}
	n.pool.index()
}

// MarkSent counts an attempt sent to the upstream.
func (n *Node) MarkSent() {
	now := n.pool.clock.Now()
	if n.inFlight == 0 {
		n.progress = now
	}
	n.inFlight++
	n.group.raise(n.workAt(now))
}

// Finish counts the end of an attempt.
func (n *Node) Finish() {
	n.inFlight--
	n.progress = n.pool.clock.Now()
}

// UpdateLoad takes a report of the upstream's load.
func (n *Node) UpdateLoad(r Load) {
	now := n.pool.clock.Now()
	others := float64(max(r.Work-n.inFlight, 0))
	if n.reportedAt.IsZero() {
		n.others = others
	}
	n.others += othersWeight * (others - n.others)
	n.reportedAt = now
	n.pool.reporting = true
	n.silent = r.Silent
	if n.held && !n.silent {
		n.held = false
		n.ejectedUntil = time.Time{}
		n.pool.index()
	}
	if r.Capacity != n.capacity {
		n.pool.setCapacity(n, r.Capacity)
	}
	n.pool.meanOthers += (n.others - n.pool.meanOthers) / float64(max(len(n.pool.near), 1))
	n.group.lower(now)
}

// MarkProgress takes the gap between two parts of an answer; 0 means that the
// first part has come.
func (n *Node) MarkProgress(gap time.Duration) {
	now := n.pool.clock.Now()
	n.progress = now
	n.failures = 0
	if gap <= 0 {
		return
	}
	g := gap.Seconds()
	n.gaps++
	n.gapAt = now
	n.gap = blend(n.gap, g)
	n.pool.meanGap = blend(n.pool.meanGap, g)
	n.ejectIfSlow(now)
}

func blend(mean, sample float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + paceWeight*(sample-mean)
}

// MarkFailed counts a failed attempt.
func (n *Node) MarkFailed() {
	n.failures++
	if n.failures >= maxFailures {
		n.pool.eject(n, n.pool.clock.Now())
	}
}

// workAt returns the expected work: this entry's own and the reported work of
// others, which ages towards the pool's mean so that a silent upstream looks
// neither idle nor busy.
func (n *Node) workAt(now time.Time) float64 {
	if n.reportedAt.IsZero() {
		return float64(n.inFlight) + n.pool.meanOthers
	}
	fresh := math.Exp(-now.Sub(n.reportedAt).Seconds() / reportAging.Seconds())
	return float64(n.inFlight) + n.pool.meanOthers + (n.others-n.pool.meanOthers)*fresh
}

// paceAt returns how slow the upstream is relative to the pool, 1 for the mean.
func (n *Node) paceAt(now time.Time) float64 {
	if n.gap == 0 || n.pool.meanGap == 0 {
		return 1
	}
	pace := min(max(n.gap/n.pool.meanGap, minPace), maxPace)
	fresh := math.Exp(-now.Sub(n.gapAt).Seconds() / paceAging.Seconds())
	return 1 + (pace-1)*fresh
}

func (n *Node) slots() float64 {
	if n.capacity == 0 {
		return defaultCapacity
	}
	return float64(n.capacity)
}

// firstCapacity returns the reported capacity, or what is assumed of a rank
// before; 0 for a plain service, which reports none.
func (n *Node) firstCapacity() int {
	if n.capacity == 0 && n.group != nil {
		return assumedCapacity
	}
	return n.capacity
}

// costAt returns the expected time of one more request, in full batches.
func (n *Node) costAt(now time.Time) float64 {
	return (n.workAt(now) + 1) / n.slots() * n.paceAt(now)
}

func (g *group) raise(work float64) {
	if g != nil {
		g.peak = max(g.peak, work)
	}
}

// lower finds the present peak.
func (g *group) lower(now time.Time) {
	if g == nil {
		return
	}
	g.peak = 0
	for _, n := range g.nodes {
		if n.usable {
			g.peak = max(g.peak, n.workAt(now))
		}
	}
}

// straggles says whether one more request would make the rank its group's
// busiest.
func (n *Node) straggles(now time.Time) bool {
	return n.group != nil && n.workAt(now)+1 > n.group.peak
}
