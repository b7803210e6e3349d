// Package dispatch decides which upstream gets a request when every upstream's
// load is reported within a fraction of a second: the one where the request
// delays others least, and none that is known to be unable to serve. It is pure:
// state and a clock in, decisions out. A Pool is not safe for concurrent use.
package dispatch

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Replica identifies an upstream of a pool.
type Replica struct {
	ID string
	// Slots is the number of requests that it runs at once.
	Slots int
}

// Load is an upstream's report of its load.
type Load struct {
	Queued, Active int
	// Pace is how much slower than usual the upstream is; 0 means unknown.
	Pace float64
	// Open says that its group serves.
	Open bool
}

// StepCost is what a request costs the requests beside it at an engine: a step
// takes Base, and Each more for every request that runs. Both are 0 for an
// upstream whose requests don't share steps.
type StepCost struct{ Base, PerRequest time.Duration }

const (
	// reportTTL is how long a report counts: an unchanged load is reported
	// again within half of it. An upstream that has stopped reporting is passed
	// over for silenceLife while others go on: it may be frozen or cut off.
	reportTTL     = 1200 * time.Millisecond
	silenceWindow = 10 * time.Second
	// suspendDuration is how long an upstream that refused for its group's sake is
	// passed over, unless a report sent later says that the group serves.
	suspendDuration = 600 * time.Millisecond
	// maxReportDelay is the age that a report may have when it comes in.
	maxReportDelay = 350 * time.Millisecond
	// goneDuration is how long an upstream whose address another one has is passed
	// over: until its own entry lapses.
	goneDuration = 5 * time.Second
	// failureWeight is the weight of an attempt in the mean of failures, and
	// failureMemory the time constant at which that is forgotten.
	failureWeight = 0.3
	failureDecay  = 4 * time.Second
	// failurePenalty multiplies an upstream's cost by 1 more for each tenth of its
	// attempts that fail.
	failurePenalty = 10
	// sampleSize is the number of upstreams that are compared. Entries that all
	// compare the whole pool by the same reports send to the same upstream.
	sampleSize = 6
)

// Node is an entry's view of one upstream.
type Node struct {
	Replica
	inFlight int
	// unanswered counts those of them of which nothing has come back.
	unanswered int
	// otherRequests is the reported work that isn't this entry's.
	otherRequests  int
	slowdown       float64
	open           bool
	reportedAt     time.Time
	suspendedUntil time.Time
	suspendedAt    time.Time
	failureMean    float64
	failureMeanAt  time.Time
}

// Pool is an entry's view of the upstreams of one service.
type Pool struct {
	rand  *rand.Rand
	cost  StepCost
	nodes []*Node
}

// NewPool returns an empty pool.
func NewPool(rng *rand.Rand) *Pool { return &Pool{rand: rng} }

// SetStepCost sets what a request costs at the pool's upstreams.
func (p *Pool) SetStepCost(c StepCost) { p.cost = c }

// Add adds an upstream and returns its node.
func (p *Pool) Add(r Replica) *Node {
	n := &Node{Replica: r, slowdown: 1}
	p.nodes = append(p.nodes, n)
	return n
}

// Remove drops an upstream.
func (p *Pool) Remove(n *Node) {
	p.nodes = slices.DeleteFunc(p.nodes, func(o *Node) bool { return o == n })
}

// Pick returns the upstream that a request should go to, or nil. Those tried
// before are passed over. It counts nothing: see Node.Sent.
func (p *Pool) Pick(now time.Time, exclude []string) *Node {
	if n := p.pick(now, exclude, false); n != nil {
		return n
	}
	return p.pick(now, exclude, true)
}

// Capacity are the requests that a pool's upstreams can run at once.
type Capacity struct {
	// UsableUpstreams counts those that can serve, and TotalSlots the places of every one, also
	// of those that can't for now.
	UsableUpstreams, TotalSlots int
	// FreeSlots counts the places, up to waitingPart of each upstream's, that no known
	// request takes at upstreams that serve.
	FreeSlots int
	// InFlight is how many of this entry's requests are at the upstreams, and
	// Unanswered those of them of which nothing has come back.
	InFlight, Unanswered int
}

// waitingFillFraction is the part of an upstream's places that requests which have waited
// may fill: the more requests run, the longer all steps take, and new requests can
// still be in time.
const waitingFillFraction = 0.6

// Capacity returns the pool's places.
func (p *Pool) Capacity(now time.Time) Capacity {
	var out Capacity
	groupSuspended := p.groupSuspended(now)
	for _, n := range p.nodes {
		out.TotalSlots += n.Slots
		out.InFlight += n.inFlight
		out.Unanswered += n.unanswered
		if n.usable(now, groupSuspended) && !n.silent(now) {
			out.UsableUpstreams++
			out.FreeSlots += max(int(waitingFillFraction*float64(n.Slots))-n.load(now), 0)
		}
	}
	return out
}

// promptsPerUpstream is how many prompts may wait to be read at an upstream when many
// requests start at once. Engines read one at a time, in pieces between the steps,
// so that the last of many would wait longer than its caller does.
const promptsPerUpstream = 2

// StartQuota returns how many requests an entry may start at once when places come
// free for all entries at the same moment: its part of all places, less what it
// has there, and of the prompts that may wait to be read.
func (p Capacity) StartQuota(entryShare float64) int {
	slots := int(math.Ceil(entryShare*float64(p.TotalSlots))) - p.InFlight
	return max(min(slots, p.promptQuota(entryShare), p.FreeSlots), 0)
}

// LeftoverQuota returns how many more an entry may start of the places that the others
// have left free for a while.
func (p Capacity) LeftoverQuota(entryShare float64) int {
	return int(math.Ceil(entryShare * float64(p.FreeSlots)))
}

func (p Capacity) promptQuota(entryShare float64) int {
	return int(math.Ceil(entryShare*float64(promptsPerUpstream*p.UsableUpstreams))) - p.Unanswered
}

func (p *Pool) pick(now time.Time, exclude []string, silent bool) *Node {
	var best *Node
	bestCost := 0.0
	groupSuspended := p.groupSuspended(now)
	compared := 0
	for _, i := range p.rand.Perm(len(p.nodes)) {
		n := p.nodes[i]
		if slices.Contains(exclude, n.ID) || !n.usable(now, groupSuspended) || n.silent(now) != silent {
			continue
		}
		if c := p.costAt(n, now); best == nil || c < bestCost {
			best, bestCost = n, c
		}
		if compared++; compared == sampleSize {
			break
		}
	}
	return best
}

// costAt returns how much one more request would slow the upstream's requests.
func (p *Pool) costAt(n *Node, now time.Time) float64 {
	load := float64(n.load(now) + 1)
	cost := load / float64(max(n.Slots, 1))
	if p.cost.Base > 0 && load <= float64(n.Slots) {
		fullBatch := p.cost.Base + time.Duration(n.Slots)*p.cost.PerRequest
		cost = float64(p.cost.Base+time.Duration(load)*p.cost.PerRequest) / float64(fullBatch)
	}
	return cost * max(n.slowdown, 1) * (1 + failurePenalty*n.failureRate(now))
}

// load returns the requests at the upstream, this entry's and others'.
func (n *Node) load(now time.Time) int {
	if now.Sub(n.reportedAt) > reportTTL {
		return n.inFlight
	}
	return n.inFlight + n.otherRequests
}

// groupSuspended says whether every upstream that reports of late says that its group
// doesn't serve. Those that don't report are of that group too, and may just have
// come back.
func (p *Pool) groupSuspended(now time.Time) bool {
	reports := false
	for _, n := range p.nodes {
		if now.Sub(n.reportedAt) > reportTTL {
			continue
		}
		if n.open {
			return false
		}
		reports = true
	}
	return reports
}

func (n *Node) usable(now time.Time, groupSuspended bool) bool {
	if now.Before(n.suspendedUntil) {
		return false
	}
	if now.Sub(n.reportedAt) > reportTTL {
		return !groupSuspended
	}
	return n.open
}

// silent says whether an upstream that reported has stopped to.
func (n *Node) silent(now time.Time) bool {
	age := now.Sub(n.reportedAt)
	return age > reportTTL && age <= silenceWindow
}

// failureRate returns the part of the recent attempts that failed.
func (n *Node) failureRate(now time.Time) float64 {
	if n.failureMean == 0 {
		return 0
	}
	undecayed := 1 - now.Sub(n.failureMeanAt).Seconds()/failureDecay.Seconds()
	return n.failureMean * max(undecayed, 0)
}

// InFlight returns this entry's own requests at the upstream.
func (n *Node) InFlight() int { return n.inFlight }

// Open says whether the last report said that the upstream's group serves.
func (n *Node) Open() bool { return n.open }

// UpdateLoad takes a report of the upstream's load.
func (n *Node) UpdateLoad(l Load, now time.Time) {
	n.otherRequests = max(l.Queued+l.Active-n.inFlight, 0)
	n.slowdown = l.Pace
	n.open = l.Open
	n.reportedAt = now
	if l.Open && now.Sub(n.suspendedAt) > maxReportDelay {
		n.suspendedUntil = time.Time{}
	}
}

// MarkSent counts a request sent to the upstream.
func (n *Node) MarkSent() {
	n.inFlight++
	n.unanswered++
}

// MarkAnswered counts the first sign of an answer to a request.
func (n *Node) MarkAnswered() { n.unanswered-- }

// Finish counts the end of a request; answered says that Answered has counted it,
// and failed that the upstream was at fault.
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

// Suspend passes the upstream over for a while: its group can't serve.
func (n *Node) Suspend(now time.Time) {
	n.suspendedAt, n.suspendedUntil = now, now.Add(suspendDuration)
}

// MarkGone passes the upstream over: another one has its address.
func (n *Node) MarkGone(now time.Time) {
	n.suspendedAt, n.suspendedUntil = now.Add(goneDuration), now.Add(goneDuration)
}
