// Package dispatch chooses the upstream for a request when every upstream
// reports its load several times a second. It picks the upstream where one
// more request slows the others least and skips upstreams that are known to be
// unable to serve. The package does no I/O and reads no clock: callers pass
// the time. A Pool is not safe for concurrent use. Package gateway uses it; entries
// of a stand-alone deployment use package balance instead.
package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/ratelimit"
)

// Replica holds what a pool needs to know of an upstream.
type Replica struct {
	ID string
	// Slots is the number of requests that the upstream runs at once.
	Slots int
}

// Load is an upstream's report of its load.
type Load struct {
	// Queued and Active are the numbers of waiting and running requests.
	Queued, Active int
	// Slowness is the upstream's step time relative to its usual one: above 1
	// means slower; 0 means unknown.
	Slowness float64
	// GroupServing reports whether the upstream's group accepts requests.
	GroupServing bool
	// Group is the name of the upstream's group. Upstreams without groups have the
	// name "".
	Group string
	// GroupSize is the number of ranks in the group, 0 if not known.
	GroupSize int
}

// StepCost describes how requests at an engine slow each other: a step takes
// Base plus PerRequest for every running request. Both are 0 for an upstream
// whose requests don't share steps.
type StepCost struct{ Base, PerRequest time.Duration }

const (
	// reportTTL is how long a load report is valid. An upstream repeats an
	// unchanged report at least every half reportTTL. An upstream that has
	// stopped reporting may be frozen or cut off; within silenceWindow of its
	// last report it is used only when no other upstream can take the request.
	reportTTL     = 1200 * time.Millisecond
	silenceWindow = 10 * time.Second
	// AliveTTL is the age of a report up to which an upstream counts as alive: one
	// report may be lost.
	AliveTTL = 700 * time.Millisecond
	// suspendDuration is how long an upstream is skipped after it refused a
	// request because its group can't serve. A report sent after the refusal
	// that says the group is serving ends this early.
	suspendDuration = 600 * time.Millisecond
	// maxReportDelay is the maximum age of a report when it is received.
	maxReportDelay = 350 * time.Millisecond
	// goneDuration is how long an upstream is skipped once another one is
	// found at its address: by then its own registration has expired.
	goneDuration = 5 * time.Second
	// probeInterval is the time between two picks of an unreachable upstream, which
	// show whether it answers although nothing is heard from its data centre.
	probeInterval = 2 * time.Second
	// failureWeight is the weight of one attempt in the moving average of
	// failures. failureDecay is the time within which that average decays
	// linearly to 0.
	failureWeight = 0.3
	failureDecay  = 4 * time.Second
	// answerDelayWeight is the weight of a new answer in the moving averages of the time to
	// the first part and to the end.
	answerDelayWeight = 0.2
	// failurePenalty is the weight of the failure rate in an upstream's cost:
	// a rate of 0.1 doubles the cost.
	failurePenalty = 10
	// sampleSize is the number of randomly drawn upstreams that a pick
	// compares. If every entry compared the whole pool by the same reports,
	// all would send to the same upstream.
	sampleSize = 6
)

// Node is an entry's view of one upstream.
type Node struct {
	Replica
	inFlight int
	// unanswered counts the requests in flight without any part of an answer.
	unanswered int
	// otherRequests is the reported number of requests from other entries.
	otherRequests int
	// queued and active are the last reported numbers.
	queued, active int
	slowness       float64
	groupServing   bool
	// group and groupSize are the last reported ones. They are valid once reportedAt
	// is set.
	group      string
	groupSize  int
	reportedAt time.Time
	// groupAt is the place of the group's state among those found last. It is valid while the
	// report is.
	groupAt int
	// heardAt is the time of the last sign of life, reportInterval the mean time between
	// reports. silent is the result of the last check for silence.
	heardAt        time.Time
	reportInterval time.Duration
	silent         bool
	// firstCheckedAt is the time of the first check for silence.
	firstCheckedAt time.Time
	// suspendedUntil is the time until which the upstream is skipped.
	// suspendedAt is when it was suspended; only reports sent later than that end
	// the suspension early.
	suspendedUntil time.Time
	suspendedAt    time.Time
	// unreachable is set if the upstream's data centre is not heard from.
	unreachable bool
	// evacuated is set while the upstream's data centre is evacuated.
	evacuated bool
	// quiet is set while nothing is heard from its data centre.
	quiet bool
	// restsUntil is the time until which the upstream wants no requests.
	restsUntil time.Time
	// limit is this entry's share of the limit on the rate of requests that the upstream
	// has named, nil for none.
	limit *ratelimit.Share
	// warmup is this entry's share of what the upstream bears while it is cold, nil if its
	// service has no warm-up.
	warmup        *ratelimit.Share
	failureMean   float64
	failureMeanAt time.Time
	// withdrawnSent counts the withdrawn requests that this entry has sent since the last
	// report.
	withdrawnSent int
}

// Pool is an entry's view of the upstreams of one service.
type Pool struct {
	rand  *rand.Rand
	cost  StepCost
	nodes []*Node
	// leaving holds removed upstreams that still have requests of this entry in flight.
	leaving []*Node
	// probedAt is when an unreachable upstream was last picked.
	probedAt time.Time
	// silenceCheckedAt is the time of the last check for silence. Before silenceKnownFrom
	// no upstream falls silent.
	silenceCheckedAt, silenceKnownFrom time.Time
	// mostReport is set if at least half of the upstreams had reported at that check.
	mostReport bool
	// firstPartDelay is the moving average of the time from a request's sending to the first
	// part of its answer, wholeAnswerTime that to the end of an answer that isn't a stream. Both
	// are 0 while unknown.
	firstPartDelay, wholeAnswerTime time.Duration
	// partInterval is the moving average of the time between two parts of an answer, partCount
	// that of the number of parts after the first.
	partInterval time.Duration
	partCount    float64
	// entryShare is this entry's share of the upstreams' capacity, 0 while it isn't known.
	entryShare float64
	pacer      pacer
	// obstacles and groupIndex are the memory in which a pick collects the nodes' obstacles and
	// the places of the groups' states.
	obstacles  []Obstacle
	groupIndex map[string]int
}

// NewPool returns an empty pool.
func NewPool(rng *rand.Rand) *Pool {
	return &Pool{rand: rng, groupIndex: map[string]int{}, pacer: pacer{groups: map[string]*measuredGroup{}}}
}

// SetStepCost sets how requests at the pool's upstreams slow each other.
func (p *Pool) SetStepCost(c StepCost) { p.cost = c }

// SetEntryShare sets this entry's share of the upstreams' capacity, 0 to 1.
func (p *Pool) SetEntryShare(share float64) { p.entryShare = share }

// Add adds an upstream and returns its node. Before its first load report the upstream is
// picked like the others while most of them don't report either.
func (p *Pool) Add(r Replica) *Node {
	n := &Node{Replica: r, slowness: 1}
	p.nodes = append(p.nodes, n)
	return n
}

// Remove removes an upstream. While requests are in flight there, it is checked for silence.
func (p *Pool) Remove(n *Node) {
	p.nodes = slices.DeleteFunc(p.nodes, func(o *Node) bool { return o == n })
	if n.inFlight > 0 {
		p.leaving = append(p.leaving, n)
	}
}

// Pick returns the upstream for a request, or nil with the obstacle that the pool presents.
// Upstreams that may not answer are used only if no other one serves. Pick doesn't count the
// request: see Node.MarkSent.
func (p *Pool) Pick(now time.Time, d Demand) (*Node, Obstacle) {
	v := p.view(now, d)
	p.obstacles = p.obstacles[:0]
	least := Unusable
	for _, n := range p.nodes {
		o := p.obstacle(n, v, d)
		p.obstacles = append(p.obstacles, o)
		least = max(least, o)
	}
	if least == Unusable && p.OnlyEvacuated(d) {
		return nil, Evacuated
	}
	if least != None && least != Unheard {
		return nil, least
	}
	usable := func(i int) bool {
		n := p.nodes[i]
		return p.obstacles[i] == least && (least == None || n.permits(now) > 0 && p.beginsInTime(n, v, d, 1) && !(n.unreachable && now.Sub(p.probedAt) < probeInterval))
	}
	off := p.offPace(v, d)
	best := p.cheapestByWarmth(now, d, func(i int) bool {
		n := p.nodes[i]
		return usable(i) && (off == nil || now.Sub(n.reportedAt) > reportTTL || !slices.Contains(off, n.groupAt))
	})
	if best == nil && off != nil {
		best = p.cheapestByWarmth(now, d, usable)
	}
	if best == nil {
		return nil, least
	}
	if best.unreachable {
		p.probedAt = now
	}
	return best, None
}

// cheapest returns the upstream with the lowest cost of a random sample of those that
// candidate accepts by their indices, or nil.
func (p *Pool) cheapest(now time.Time, candidate func(i int) bool) *Node {
	var best *Node
	bestCost := 0.0
	compared, sample := 0, sampleSize
	if p.pacer.paced() {
		sample = pacedSampleSize
	}
	for _, i := range p.rand.Perm(len(p.nodes)) {
		if !candidate(i) {
			continue
		}
		n := p.nodes[i]
		if c := p.costAt(n, now); best == nil || c < bestCost {
			best, bestCost = n, c
		}
		if compared++; compared == sample {
			break
		}
	}
	return best
}

// costAt returns the relative slowdown that one more request would cause at
// the upstream.
func (p *Pool) costAt(n *Node, now time.Time) float64 {
	load := float64(n.load(now) + 1)
	cost := load / float64(max(n.Slots, 1))
	if p.cost.Base > 0 && load <= float64(n.Slots) {
		fullBatch := p.cost.Base + time.Duration(n.Slots)*p.cost.PerRequest
		cost = float64(p.cost.Base+time.Duration(load)*p.cost.PerRequest) / float64(fullBatch)
	}
	return cost * max(n.slowness, 1) * (1 + failurePenalty*n.failureRate(now))
}

// load returns the number of requests at the upstream, from this entry and
// from others.
func (n *Node) load(now time.Time) int {
	if now.Sub(n.reportedAt) > reportTTL {
		return n.inFlight
	}
	return n.inFlight + n.otherRequests
}

// suspended reports whether the upstream's group is known not to serve. An upstream that
// has never reported may have just restarted in any of the groups.
func (n *Node) suspended(groups []groupState) bool {
	for _, g := range groups {
		if !g.serving && (g.name == n.group || n.reportedAt.IsZero()) {
			return true
		}
	}
	return false
}

func (n *Node) usable(now time.Time, groups []groupState) bool {
	if n.evacuated || now.Before(n.suspendedUntil) || now.Before(n.restsUntil) {
		return false
	}
	if now.Sub(n.reportedAt) > reportTTL {
		return !n.suspended(groups)
	}
	return n.groupServing && !groups[n.groupAt].stoppedAfter(n.reportedAt)
}

// failureRate returns the fraction of recent attempts that failed, decayed to
// the given time.
func (n *Node) failureRate(now time.Time) float64 {
	if n.failureMean == 0 {
		return 0
	}
	undecayed := 1 - now.Sub(n.failureMeanAt).Seconds()/failureDecay.Seconds()
	return n.failureMean * max(undecayed, 0)
}

// InFlight returns the number of this entry's requests at the upstream.
func (n *Node) InFlight() int { return n.inFlight }

// KnownLoad is what an entry knows of an upstream's load.
type KnownLoad struct {
	// Load is the number of requests that the upstream is taken to have, InFlight the
	// number of this entry's own among them.
	Load, InFlight int
	// Reported is set if the upstream has reported its load. Queued and Active are the last
	// reported numbers, and ReportAge is the time since then.
	Reported       bool
	Queued, Active int
	ReportAge      time.Duration
}

// KnownLoad returns what is known of the upstream's load.
func (n *Node) KnownLoad(now time.Time) KnownLoad {
	l := KnownLoad{Load: n.load(now), InFlight: n.inFlight}
	if !n.reportedAt.IsZero() {
		l.Reported, l.Queued, l.Active, l.ReportAge = true, n.queued, n.active, now.Sub(n.reportedAt)
	}
	return l
}

// GroupServing reports whether the last report said that the upstream's group
// accepts requests.
func (n *Node) GroupServing() bool { return n.groupServing }

// UpdateLoad stores a report of the upstream's load. A report that says the
// group is serving ends a suspension, unless it may have been sent before the
// suspension began.
func (n *Node) UpdateLoad(l Load, now time.Time) {
	n.queued, n.active = l.Queued, l.Active
	n.withdrawnSent = 0
	n.otherRequests = max(l.Queued+l.Active-n.inFlight, 0)
	n.slowness = l.Slowness
	n.groupServing, n.group, n.groupSize = l.GroupServing, l.Group, l.GroupSize
	n.recordInterval(now)
	n.reportedAt, n.heardAt, n.quiet = now, now, false
	if l.GroupServing && now.Sub(n.suspendedAt) > maxReportDelay {
		n.suspendedUntil = time.Time{}
	}
}

// MarkSent counts a request that is sent to the upstream.
func (n *Node) MarkSent() {
	n.inFlight++
	n.unanswered++
}

// MarkAnswered counts the first part of an answer to a request.
func (n *Node) MarkAnswered() { n.unanswered-- }

// RecordFirstPart records the time from a request's sending to the first part of its answer.
func (p *Pool) RecordFirstPart(d time.Duration) { recordDelay(&p.firstPartDelay, d) }

// RecordWholeAnswer records the time from a request's sending to the end of an answer that
// isn't a stream.
func (p *Pool) RecordWholeAnswer(d time.Duration) { recordDelay(&p.wholeAnswerTime, d) }

func recordDelay(mean *time.Duration, d time.Duration) {
	if *mean == 0 {
		*mean = d
	}
	*mean += time.Duration(answerDelayWeight * float64(d-*mean))
}

// FirstPartDelay returns the usual time from a request's sending to the first part of its
// answer, WholeAnswerTime that to the end of an answer that isn't a stream. They are 0 while
// unknown.
func (p *Pool) FirstPartDelay() time.Duration  { return p.firstPartDelay }
func (p *Pool) WholeAnswerTime() time.Duration { return p.wholeAnswerTime }

// Finish counts the end of a request. answered says that MarkAnswered was
// called for it, and failed that the upstream was at fault.
func (n *Node) Finish(answered, failed bool, now time.Time) {
	n.inFlight--
	if !answered {
		n.unanswered--
	}
	before := n.failureRate(now)
	sample := 0.0
	if failed {
		sample = 1
	}
	n.failureMean = before + failureWeight*(sample-before)
	n.failureMeanAt = now
}

// SetUnreachable records whether the upstream's data centre is not heard from. Such an
// upstream is used only if no other one can take the request, and rarely.
func (n *Node) SetUnreachable(unreachable bool) { n.unreachable = unreachable }

// Rest skips the upstream until a time, because it asked for that. Load reports don't end
// this early.
func (n *Node) Rest(until time.Time) {
	if until.After(n.restsUntil) {
		n.restsUntil = until
	}
}

// Resting returns the earliest time at which an upstream that rests can be used again.
// all is set if every upstream rests, earliest is zero if none does. Upstreams of evacuated
// data centres don't count.
func (p *Pool) Resting(now time.Time) (earliest time.Time, all bool) {
	counted := 0
	all = true
	for _, n := range p.nodes {
		if n.evacuated {
			continue
		}
		counted++
		if !now.Before(n.restsUntil) {
			all = false
			continue
		}
		if earliest.IsZero() || n.restsUntil.Before(earliest) {
			earliest = n.restsUntil
		}
	}
	return earliest, all && counted > 0
}

// MarkGone skips the upstream for goneDuration because another one has its
// address. Load reports don't end this early.
func (n *Node) MarkGone(now time.Time) {
	// With suspendedAt at the end, no report counts as sent after it.
	n.suspendedAt, n.suspendedUntil = now.Add(goneDuration), now.Add(goneDuration)
}
