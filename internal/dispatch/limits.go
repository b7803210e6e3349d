package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/ratelimit"
)

// SetLimit sets the entry's share of the limit that the upstream has named, nil for none.
func (n *Node) SetLimit(share *ratelimit.Share) { n.limit = share }

// SetWarmup sets the entry's share of what the upstream bears while it is cold, nil if its
// service has no warm-up.
func (n *Node) SetWarmup(share *ratelimit.Share) { n.warmup = share }

// limits returns the shares of the upstream's limits. A request needs a permit of each.
func (n *Node) limits() [2]*ratelimit.Share { return [...]*ratelimit.Share{n.limit, n.warmup} }

// Cold reports whether the upstream is cold.
func (n *Node) Cold(now time.Time) bool { return n.warmup != nil && n.warmup.Limited(now) }

// isWarmWithRoom reports whether the upstream is warm and would run one more request fast enough
// for one with a target latency.
func (n *Node) isWarmWithRoom(now time.Time) bool {
	return !n.Cold(now) && (n.Slots == 0 || n.load(now) < int(waitingFillFraction*float64(n.Slots)))
}

// limited reports whether a limit of the upstream is in force.
func (n *Node) limited(now time.Time) bool {
	return n.limit != nil && n.limit.Limited(now) || n.Cold(now)
}

// TakePermit takes a permit of each limit of the upstream.
func (n *Node) TakePermit(now time.Time) {
	// Each permit is used when the last of them falls due.
	at := now.Add(n.permitWait(now))
	for _, l := range n.limits() {
		if l != nil {
			l.Take(at)
		}
	}
}

// permitWait returns the time until the upstream's limits allow a request.
func (n *Node) permitWait(now time.Time) (wait time.Duration) {
	for _, l := range n.limits() {
		if l != nil {
			wait = max(wait, l.Wait(now))
		}
	}
	return wait
}

// permits returns how many requests the upstream's limits allow now, at most one if one is in
// force.
func (n *Node) permits(now time.Time) int {
	switch {
	case !n.limited(now):
		return math.MaxInt
	case n.permitWait(now) > 0:
		return 0
	}
	return 1
}

// NextPermit returns the upstream, of those that are limited and could take the request but
// for that, whose next permit comes first, and the time until then. It returns nil if there
// is none.
func (p *Pool) NextPermit(now time.Time, d Demand) (first *Node, wait time.Duration) {
	v := p.view(now, d)
	for _, n := range p.nodes {
		if !n.limited(now) || p.obstacle(n, v, d) < AtLimit {
			continue
		}
		if w := n.permitWait(now); first == nil || w < wait {
			first, wait = n, w
		}
	}
	return first, wait
}

// CanTake reports whether the upstream can take a request for which a permit was reserved and
// which is counted there.
func (p *Pool) CanTake(n *Node, now time.Time, d Demand) bool {
	v := p.view(now, d)
	return slices.Contains(p.nodes, n) && p.reachable(n, v, d) == None && p.beginsInTime(n, v, d, 0)
}

// cheapestByWarmth returns the cheapest of the upstreams that usable accepts by their indices.
// Cold ones are compared apart: few of them have a permit, and most samples of all upstreams
// would miss these. An urgent request goes to a cold one only if no warm one has room.
func (p *Pool) cheapestByWarmth(now time.Time, d Demand, usable func(i int) bool) *Node {
	if !slices.ContainsFunc(p.nodes, func(n *Node) bool { return n.Cold(now) }) {
		return p.cheapest(now, usable)
	}
	cold := p.cheapest(now, func(i int) bool { return p.nodes[i].Cold(now) && usable(i) })
	if cold == nil {
		return p.cheapest(now, usable)
	}
	if d.Urgent {
		if warm := p.cheapest(now, func(i int) bool { return p.nodes[i].isWarmWithRoom(now) && usable(i) }); warm != nil {
			return warm
		}
	}
	warm := p.cheapest(now, func(i int) bool { return !p.nodes[i].Cold(now) && usable(i) })
	if warm == nil || p.costAt(cold, now) <= p.costAt(warm, now) {
		return cold
	}
	return warm
}
