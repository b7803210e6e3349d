package dispatch

import (
	"math"
	"time"
)

// Capacity describes how many requests a pool's upstreams can run at once. Upstreams of
// evacuated data centres give no room and don't count.
type Capacity struct {
	// UsableUpstreams is the number of upstreams that can serve now.
	// TotalSlots is the number of slots of all upstreams, including those that
	// can't.
	UsableUpstreams, TotalSlots int
	// FreeSlots is the number of slots at usable upstreams, up to
	// waitingFillFraction of each upstream's slots, that no known request
	// occupies. A limited upstream has as many as it has permits, at most one.
	FreeSlots int
	// InFlight is the number of this entry's requests at the upstreams.
	// Unanswered is the number of those without any part of an answer.
	InFlight, Unanswered int
}

// waitingFillFraction is the fraction of an upstream's slots that queued
// requests may fill. The more requests run, the longer every step takes, and
// new requests can still meet their target latency.
const waitingFillFraction = 0.6

// Capacity returns the pool's capacity at the given time.
func (p *Pool) Capacity(now time.Time) Capacity {
	var out Capacity
	groups := p.groupStates(now)
	for _, n := range p.nodes {
		if n.evacuated {
			continue
		}
		out.TotalSlots += n.Slots
		out.InFlight += n.inFlight
		out.Unanswered += n.unanswered
		if n.usable(now, groups) && !p.unheard(n, now) {
			out.UsableUpstreams++
			out.FreeSlots += min(max(int(waitingFillFraction*float64(n.Slots))-n.load(now), 0), n.permits(now))
		}
	}
	return out
}

// promptsPerUpstream is the number of unread prompts that one upstream may
// have when many requests start at once. An engine reads prompts one at a
// time, in pieces between steps, so the last of many would wait longer than
// its caller does.
const promptsPerUpstream = 2

// StartQuota returns how many requests an entry may start at once when slots
// become free for all entries at the same moment. The entry is limited to its
// share of all slots, less its requests in flight, and to its share of the
// prompts that may wait to be read.
func (c Capacity) StartQuota(entryShare float64) int {
	slots := int(math.Ceil(entryShare*float64(c.TotalSlots))) - c.InFlight
	return max(min(slots, c.promptQuota(entryShare), c.FreeSlots), 0)
}

// LeftoverQuota returns how many more requests an entry may start on slots
// that other entries have left free for a while.
func (c Capacity) LeftoverQuota(entryShare float64) int {
	return int(math.Ceil(entryShare * float64(c.FreeSlots)))
}

func (c Capacity) promptQuota(entryShare float64) int {
	return int(math.Ceil(entryShare*float64(promptsPerUpstream*c.UsableUpstreams))) - c.Unanswered
}
