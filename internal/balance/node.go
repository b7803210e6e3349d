package balance

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcupreel/kingcupreel/internal/ratelimit"
)

// Upstream identifies an upstream of a pool.
type Upstream struct {
	Name       string
	DataCentre string
	// Group is the model group, whose ranks run their steps together. It is
	// empty for a plain service.
	Group string
}

// Load is an upstream's load report.
type Load struct {
	// Work is the number of requests running and queued.
	Work int
	// Capacity is the number of requests that can run at once; 0 means unknown.
	Capacity int
	// Silent is set if the engine doesn't answer.
	Silent bool
}

const (
	// reportDecay is the time constant with which a report loses its weight. An
	// unchanged load is reported again within that time.
	reportDecay = 4 * time.Second
	// otherWorkWeight is the weight of a new report in the moving average of
	// other entries' work. It is low, because entries that all follow a delayed
	// report would all choose the same upstream.
	otherWorkWeight = 0.1
	// slownessDecay is the time constant with which a measured slowness returns
	// to the pool's mean, so that a slow upstream is tried again.
	slownessDecay = 10 * time.Second
	// gapWeight is the weight of a new gap between tokens in the moving
	// average.
	gapWeight = 0.1
	// minSlowness and maxSlowness limit an upstream's slowness, the ratio of
	// its mean gap to the pool's.
	minSlowness = 0.5
	maxSlowness = 8
	// assumedCapacity is the capacity, in requests, of a rank that has not
	// reported yet. It is low, so that an entry that has just started does not
	// overload the rank.
	assumedCapacity = 4
	// defaultCapacity is used for an unknown capacity, in requests.
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

	capacity     int
	reportedAt   time.Time
	engineSilent bool
	// otherWork is the moving average of the reported work less this entry's
	// own.
	otherWork float64

	gap          float64 // moving average of the gap between tokens in seconds, 0 if unknown
	gapAt        time.Time
	gapCount     int
	lastProgress time.Time // when work last progressed or began

	failures     int
	ejections    int
	ejectedUntil time.Time
	// awaitsReport is set if the ejection lasts until a load report that isn't
	// silent.
	awaitsReport bool
	// limit is this entry's share of the limit that the upstream has named.
	limit ratelimit.Share
}

// group is the state shared by the ranks of a model group.
type group struct {
	nodes []*Node
	// peak is the work of the busiest rank, which determines the duration of a
	// step.
	peak float64
}

func newNode(p *Pool, u Upstream) *Node {
	return &Node{Upstream: u, pool: p, hash: xxhash.Sum64String(u.Name)}
}

// InFlight returns the number of this entry's attempts in flight at the
// upstream.
func (n *Node) InFlight() int { return n.inFlight }

// Ejected reports whether the upstream is ejected at present.
func (n *Node) Ejected() bool { return n.pool.clock.Now().Before(n.ejectedUntil) }

// SetUsable sets whether the upstream is connected and accepts work. A change
// resets its failures, load reports and ejection.
func (n *Node) SetUsable(usable bool) {
	if n.usable == usable {
		return
	}
	n.usable = usable
	n.usableAt = n.pool.clock.Now()
	n.failures = 0
	n.gapCount = 0
	n.reportedAt = time.Time{}
	n.otherWork = 0
	n.engineSilent = false
	n.awaitsReport = false
	n.ejectedUntil = time.Time{}
	n.pool.rebuildIndex()
}

// SetLimit sets this entry's share of the limit that the upstream has named, in requests a
// second; 0 for no limit.
func (n *Node) SetLimit(rate float64) {
	if rate == 0 {
		n.limit.Clear()
		return
	}
	n.limit.Set(rate, n.pool.rand.Float64(), n.pool.clock.Now())
}

// TakePermit takes a permit of the upstream's limit, if it has named one.
func (n *Node) TakePermit() { n.limit.Take(n.pool.clock.Now()) }

// MarkSent counts an attempt that was sent to the upstream.
func (n *Node) MarkSent() {
	now := n.pool.clock.Now()
	if n.inFlight == 0 {
		n.lastProgress = now
	}
	n.inFlight++
	n.group.raisePeak(n.workAt(now))
}

// Finish counts the end of an attempt.
func (n *Node) Finish() {
	n.inFlight--
	n.lastProgress = n.pool.clock.Now()
}

// UpdateLoad applies a load report. A report that isn't silent ends an ejection
// for silence.
func (n *Node) UpdateLoad(r Load) {
	now := n.pool.clock.Now()
	otherWork := float64(max(r.Work-n.inFlight, 0))
	if n.reportedAt.IsZero() {
		n.otherWork = otherWork
	}
	n.otherWork += otherWorkWeight * (otherWork - n.otherWork)
	n.reportedAt = now
	n.pool.reporting = true
	n.engineSilent = r.Silent
	if n.awaitsReport && !n.engineSilent {
		n.awaitsReport = false
		n.ejectedUntil = time.Time{}
		n.pool.rebuildIndex()
	}
	if r.Capacity != n.capacity {
		n.pool.setCapacity(n, r.Capacity)
	}
	n.pool.meanOtherWork += (n.otherWork - n.pool.meanOtherWork) / float64(max(len(n.pool.local), 1))
	n.group.updatePeak(now)
}

// MarkProgress records the gap between two parts of an answer; 0 means that the
// first part has arrived. It resets the count of consecutive failures.
func (n *Node) MarkProgress(gap time.Duration) {
	now := n.pool.clock.Now()
	n.lastProgress = now
	n.failures = 0
	if gap <= 0 {
		return
	}
	seconds := gap.Seconds()
	n.gapCount++
	n.gapAt = now
	n.gap = movingMean(n.gap, seconds)
	n.pool.meanGap = movingMean(n.pool.meanGap, seconds)
	n.ejectIfSlow(now)
}

func movingMean(mean, sample float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + gapWeight*(sample-mean)
}

// MarkFailed counts a failed attempt and ejects the upstream after
// maxConsecutiveFailures of them.
func (n *Node) MarkFailed() {
	n.failures++
	if n.failures >= maxConsecutiveFailures {
		n.pool.eject(n, n.pool.clock.Now())
	}
}

// workAt returns the expected work at the upstream: this entry's own and the
// reported work of others. The latter returns to the pool's mean as the report
// ages, so that a silent upstream looks neither idle nor busy.
func (n *Node) workAt(now time.Time) float64 {
	if n.reportedAt.IsZero() {
		return float64(n.inFlight) + n.pool.meanOtherWork
	}
	weight := math.Exp(-now.Sub(n.reportedAt).Seconds() / reportDecay.Seconds())
	return float64(n.inFlight) + n.pool.meanOtherWork + (n.otherWork-n.pool.meanOtherWork)*weight
}

// slownessAt returns the ratio of the upstream's mean gap to the pool's: 1 is
// the mean, and larger is slower.
func (n *Node) slownessAt(now time.Time) float64 {
	if n.gap == 0 || n.pool.meanGap == 0 {
		return 1
	}
	slowness := min(max(n.gap/n.pool.meanGap, minSlowness), maxSlowness)
	weight := math.Exp(-now.Sub(n.gapAt).Seconds() / slownessDecay.Seconds())
	return 1 + (slowness-1)*weight
}

// costCapacity returns the capacity to compute costs with.
func (n *Node) costCapacity() float64 {
	if n.capacity == 0 {
		return defaultCapacity
	}
	return float64(n.capacity)
}

// poolCapacity returns the upstream's contribution to the pool's capacity: the
// reported one, the assumed one for a rank that has not reported, or 0 for a
// plain service, which reports none.
func (n *Node) poolCapacity() int {
	if n.capacity == 0 && n.group != nil {
		return assumedCapacity
	}
	return n.capacity
}

// full reports whether the expected work has reached the upstream's capacity. An
// upstream of unknown capacity is never full.
func (n *Node) full(now time.Time) bool {
	capacity := n.poolCapacity()
	return capacity > 0 && n.workAt(now) >= float64(capacity)
}

// costAt returns the expected time of one more request, in units of a full
// batch at the pool's mean speed.
func (n *Node) costAt(now time.Time) float64 {
	return (n.workAt(now) + 1) / n.costCapacity() * n.slownessAt(now)
}

func (g *group) raisePeak(work float64) {
	if g != nil {
		g.peak = max(g.peak, work)
	}
}

// updatePeak recomputes the peak.
func (g *group) updatePeak(now time.Time) {
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

// wouldStraggle reports whether one more request would make the rank the
// busiest of its group.
func (n *Node) wouldStraggle(now time.Time) bool {
	return n.group != nil && n.workAt(now)+1 > n.group.peak
}
