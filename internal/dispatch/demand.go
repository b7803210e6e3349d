package dispatch

import (
	"math"
	"slices"
	"time"
)

// Demand is what a request asks of its upstream.
type Demand struct {
	// Exclude lists the IDs of upstreams that the request may not be sent to.
	Exclude []string
	// MaxWait is the longest time after which the request may begin; 0 means that it needs a
	// free slot.
	MaxWait time.Duration
	// Accepted is set if the request was sent to an upstream before. Engines begin it before
	// the new requests in their queues.
	Accepted bool
}

// Obstacle is why an upstream can't be given a request, in the order in which they are looked
// for, the most lasting one first. The obstacle of a pool is that of the upstream that comes
// closest to taking the request.
type Obstacle int

// The obstacles.
const (
	// Unusable means that the upstream or its group doesn't serve, that it wants no requests,
	// or that the request excludes it.
	Unusable Obstacle = iota
	// Unheard means that it may not answer.
	Unheard
	// AtLimit means that its request limit allows none now.
	AtLimit
	// Full means that it can't begin the request in time.
	Full
	// None means that the upstream can take the request.
	None
)

var obstacleNames = map[Obstacle]string{Unusable: "not serving", Unheard: "not heard from", AtLimit: "request limit", Full: "full", None: "none"}

// String returns the obstacle's name for logs.
func (o Obstacle) String() string { return obstacleNames[o] }

// view is what a pick needs to know of the pool as a whole.
type view struct {
	now    time.Time
	groups []groupState
	// fastest is the lowest reported slowness.
	fastest float64
	// acceptedAhead estimates how many accepted requests without an answer all entries have at
	// each upstream that serves and is heard, if they are spread evenly.
	acceptedAhead float64
	serviceTime   time.Duration
}

func (p *Pool) view(now time.Time) view {
	v := view{now: now, groups: p.groupStates(now), fastest: math.Inf(1), serviceTime: p.serviceTime()}
	serving, accepted := 0, 0
	for _, n := range p.nodes {
		n.acceptedSentAt = slices.DeleteFunc(n.acceptedSentAt, func(t time.Time) bool { return now.Sub(t) > acceptedWindow })
		accepted += len(n.acceptedSentAt)
		if now.Sub(n.reportedAt) <= reportTTL {
			v.fastest = min(v.fastest, max(n.slowness, 1))
		}
		if n.usable(now, v.groups) && !p.unheard(n, now) {
			serving++
		}
	}
	if serving > 0 {
		v.acceptedAhead = p.atAllEntries(accepted) / float64(serving)
	}
	return v
}

// acceptedWindow is the time for which an accepted request counts as one without an answer.
const acceptedWindow = 1 * time.Second

// atAllEntries estimates how many requests all entries have if this one has count.
func (p *Pool) atAllEntries(count int) float64 {
	if p.entryShare == 0 {
		return float64(count)
	}
	return float64(count) / p.entryShare
}

// obstacle returns what keeps the upstream from taking the request.
func (p *Pool) obstacle(n *Node, v view, d Demand) Obstacle {
	o := p.obstacleBesideLimit(n, v, d)
	if o > AtLimit && n.permits(v.now) == 0 {
		return AtLimit
	}
	return o
}

// obstacleBesideLimit is obstacle for a request that has a permit.
func (p *Pool) obstacleBesideLimit(n *Node, v view, d Demand) Obstacle {
	switch {
	case slices.Contains(d.Exclude, n.ID) || !n.usable(v.now, v.groups):
		return Unusable
	case p.unheard(n, v.now):
		return Unheard
	case p.startDelay(n, v, d.Accepted) > d.MaxWait:
		return Full
	}
	return None
}

// slots returns how many requests the upstream should run at once. Every step of a group lasts
// as long as its slowest rank's part, so that a rank which is slower than the fastest one runs
// no more than its part of a step allows within that of a full rank.
func (p *Pool) slots(n *Node, v view) int {
	ratio := n.slowness / v.fastest
	if ratio <= 1 || p.cost.PerRequest == 0 {
		return n.Slots
	}
	full := p.cost.Base + time.Duration(n.Slots)*p.cost.PerRequest
	room := time.Duration(float64(full)/ratio) - p.cost.Base
	return max(int(room/p.cost.PerRequest), 0)
}

// startDelay estimates how long one more request waits at the upstream until it begins. An
// accepted request waits only for the running ones and for other accepted ones. The other
// entries withdraw their requests from the same upstream at the same moment and see the same
// reports, so that they are taken to do what this one does. While the service time isn't
// known, a new request isn't held back, and an accepted one needs a free slot.
func (p *Pool) startDelay(n *Node, v view, accepted bool) time.Duration {
	if n.Slots == 0 {
		return 0
	}
	slots, load := p.slots(n, v), n.load(v.now)
	if accepted {
		load = min(load, slots) + int(math.Ceil(max(v.acceptedAhead, p.atAllEntries(len(n.acceptedSentAt)))))
	}
	ahead := load + 1 - slots
	switch {
	case ahead <= 0:
		return 0
	case slots == 0 || accepted && v.serviceTime == 0:
		return math.MaxInt64
	}
	return time.Duration(float64(ahead) * float64(v.serviceTime) / float64(slots))
}

// MarkAccepted counts an accepted request that is sent to the upstream.
func (n *Node) MarkAccepted(now time.Time) { n.acceptedSentAt = append(n.acceptedSentAt, now) }

const (
	// partIntervalWeight is the weight of a new interval in the moving average of the time
	// between two parts of an answer. Entries see dozens of parts a second.
	partIntervalWeight = 0.02
	// maxPartInterval limits an interval in that average: one that is longer is a stall.
	maxPartInterval = 2 * time.Second
	// partCountWeight is the weight of an answer in the moving average of the number of parts.
	partCountWeight = 0.05
)

// RecordPart records the time since the previous part of the same answer.
func (p *Pool) RecordPart(interval time.Duration) {
	interval = min(interval, maxPartInterval)
	if p.partInterval == 0 {
		p.partInterval = interval
	}
	p.partInterval += time.Duration(partIntervalWeight * float64(interval-p.partInterval))
}

// RecordAnswerParts records the number of parts after the first that an attempt brought.
func (p *Pool) RecordAnswerParts(parts int) {
	if p.partCount == 0 {
		p.partCount = float64(parts)
	}
	p.partCount += partCountWeight * (float64(parts) - p.partCount)
}

// serviceTime estimates how long a request keeps its slot, 0 if that isn't known. It follows
// the present time between parts, since the duration of answers that have ended shows a
// change of pace only after many seconds.
func (p *Pool) serviceTime() time.Duration {
	return p.answerDelay + time.Duration(p.partCount*float64(p.partInterval))
}
