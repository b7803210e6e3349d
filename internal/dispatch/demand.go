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
	// BeginBy is when the request has to begin if it waits for a slot. A withdrawn request has
	// to begin by then in any case.
	BeginBy time.Time
	// Accepted is set if an upstream may have run the request before. Engines begin it before
	// new requests in their queues.
	Accepted bool
	// Withdrawn is set if the request was withdrawn from a silent upstream. The other entries
	// withdraw theirs at the same moment and see the same reports.
	Withdrawn bool
	// Urgent is set if the caller would notice a slow first answer. A cold upstream gets such
	// a request only if no warm one has room.
	Urgent bool
	// TargetGap is the longest pause between two parts with which the answer is on time, 0
	// for none.
	TargetGap time.Duration
}

// Obstacle is why an upstream can't be given a request. The obstacle of a pool is that of the
// upstream that comes closest to taking the request, the greatest of them.
type Obstacle int

// The obstacles.
const (
	// Evacuated means that all upstreams of the pool that the request doesn't exclude are in
	// evacuated data centres. No upstream by itself has this obstacle.
	Evacuated Obstacle = iota
	// Unusable means that the upstream or its group doesn't serve, that it wants no requests,
	// that its data centre is evacuated, or that the request excludes it.
	Unusable
	// Unheard means that it may not answer.
	Unheard
	// Full means that it can't begin the request in time.
	Full
	// AtLimit means that it could begin the request, but its limits allow none now.
	AtLimit
	// None means that the upstream can take the request.
	None
)

var obstacleNames = [...]string{Evacuated: "evacuated", Unusable: "not serving", Unheard: "not heard from", Full: "full", AtLimit: "request limit", None: "none"}

// String returns the obstacle's name for logs.
func (o Obstacle) String() string { return obstacleNames[o] }

// view is what a pick needs to know of the pool as a whole.
type view struct {
	now    time.Time
	groups []groupState
	// withdrawnAhead estimates how many withdrawn requests all entries have sent to each
	// upstream since its last report, if they spread them evenly.
	withdrawnAhead float64
	serviceTime    time.Duration
}

func (p *Pool) view(now time.Time, d Demand) view {
	v := view{now: now, groups: p.groupStates(now), serviceTime: p.ServiceTime()}
	serving, withdrawn := 0, 0
	for _, n := range p.nodes {
		if p.reachable(n, v, d) != None {
			continue
		}
		serving++
		withdrawn += n.withdrawnSent
		if now.Sub(n.reportedAt) > reportTTL {
			continue
		}
		if g := &v.groups[n.groupAt]; g.fastest == 0 || n.slowness < g.fastest {
			g.fastest = n.slowness
		}
	}
	if serving > 0 {
		v.withdrawnAhead = p.atAllEntries(withdrawn) / float64(serving)
	}
	return v
}

// atAllEntries estimates how many requests all entries have if this one has count.
func (p *Pool) atAllEntries(count int) float64 {
	if p.entryShare == 0 {
		return float64(count)
	}
	return float64(count) / p.entryShare
}

// reachable returns Unusable, Unheard or None.
func (p *Pool) reachable(n *Node, v view, d Demand) Obstacle {
	switch {
	case slices.Contains(d.Exclude, n.ID) || !n.usable(v.now, v.groups):
		return Unusable
	case p.unheard(n, v.now):
		return Unheard
	}
	return None
}

// obstacle returns what keeps the upstream from taking the request.
func (p *Pool) obstacle(n *Node, v view, d Demand) Obstacle {
	switch o := p.reachable(n, v, d); {
	case o != None:
		return o
	case !p.beginsInTime(n, v, d, 1):
		return Full
	case n.permits(v.now) == 0:
		return AtLimit
	}
	return None
}

// beginsInTime reports whether the upstream is expected to begin the request in time. more is 0
// if the request is counted in the upstream's load already, else 1.
func (p *Pool) beginsInTime(n *Node, v view, d Demand, more int) bool {
	delay := p.startDelay(n, v, d, more)
	return delay == 0 && !d.Withdrawn || !v.now.Add(delay).After(d.BeginBy)
}

// slots returns how many requests the upstream should run at once. Every step of a group lasts
// as long as its slowest rank's part, so that a rank which is slower than the fastest one of
// those that could take the request runs no more than its part of a step allows within that of
// a full rank.
func (p *Pool) slots(n *Node, v view) int {
	if v.now.Sub(n.reportedAt) > reportTTL || p.cost.PerRequest == 0 {
		return n.Slots
	}
	fastest := v.groups[n.groupAt].fastest
	if fastest == 0 || n.slowness <= fastest {
		return n.Slots
	}
	ratio := n.slowness / fastest
	full := p.cost.Base + time.Duration(n.Slots)*p.cost.PerRequest
	room := time.Duration(float64(full)/ratio) - p.cost.Base
	return max(int(room/p.cost.PerRequest), 0)
}

// maxStartDelay is the longest delay that is estimated; a longer one makes no difference.
const maxStartDelay = 24 * time.Hour

// startDelay estimates how long a request waits at the upstream until it begins. An accepted
// request waits only for the running ones and for other accepted ones. While the service time
// isn't known, a new request isn't held back, and an accepted one needs a free slot.
func (p *Pool) startDelay(n *Node, v view, d Demand, more int) time.Duration {
	if n.Slots == 0 {
		return 0
	}
	slots, load := p.slots(n, v), float64(n.load(v.now))
	if d.Accepted {
		load = min(load-float64(n.withdrawnSent), float64(slots)) + float64(n.withdrawnSent)
	}
	if d.Withdrawn {
		load += max(v.withdrawnAhead, p.atAllEntries(n.withdrawnSent)) - float64(n.withdrawnSent)
	}
	ahead := math.Ceil(load) + float64(more-slots)
	switch {
	case ahead <= 0:
		return 0
	case slots == 0 || d.Accepted && v.serviceTime == 0:
		return maxStartDelay
	}
	return time.Duration(min(ahead*float64(v.serviceTime)/float64(slots), float64(maxStartDelay)))
}

// MarkWithdrawn counts a withdrawn request that is sent to the upstream. Its next report
// includes it.
func (n *Node) MarkWithdrawn() { n.withdrawnSent++ }

const (
	// partIntervalWeight is the weight of a new interval in the moving average of the time
	// between two parts of an answer. Entries see dozens of parts a second.
	partIntervalWeight = 0.02
	// maxPartInterval limits an interval in that average: one that is longer is a stall.
	maxPartInterval = 2 * time.Second
	// partCountWeight is the weight of an answer in the moving average of the number of parts.
	partCountWeight = 0.05
)

// RecordPart records the time since the previous part of the same answer of an upstream.
func (p *Pool) RecordPart(n *Node, interval time.Duration, now time.Time) {
	p.recordPace(n, interval, now)
	interval = min(interval, maxPartInterval)
	if p.partInterval == 0 {
		p.partInterval = interval
	}
	p.partInterval += time.Duration(partIntervalWeight * float64(interval-p.partInterval))
}

// RecordAnswerParts records the number of parts after the first that an attempt brought. An
// answer that was cut short says only that it would have had more.
func (p *Pool) RecordAnswerParts(parts int, complete bool) {
	if !complete && float64(parts) < p.partCount {
		return
	}
	if p.partCount == 0 {
		p.partCount = float64(parts)
	}
	p.partCount += partCountWeight * (float64(parts) - p.partCount)
}

// ServiceTime estimates how long a request keeps its slot, 0 if that isn't known. It follows
// the present time between parts, since the duration of answers that have ended shows a
// change of pace only after many seconds.
func (p *Pool) ServiceTime() time.Duration {
	return max(p.firstPartDelay+time.Duration(p.partCount*float64(p.partInterval)), p.wholeAnswerTime)
}
