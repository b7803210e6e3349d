package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/ratelimit"
)

// SetLimit sets the entry's share of the limit that the upstream has named, nil for none.
func (n *Node) SetLimit(share *ratelimit.Share) { n.limit = share }

// TakePermit takes a permit of the upstream's limit, if it has named one.
func (n *Node) TakePermit(now time.Time) {
	if n.limit != nil {
		n.limit.Take(now)
	}
}

// permits returns how many requests the upstream's limit allows now, at most one if it has
// named a limit.
func (n *Node) permits(now time.Time) int {
	switch {
	case n.limit == nil || !n.limit.Limited():
		return math.MaxInt
	case n.limit.Wait(now) > 0:
		return 0
	}
	return 1
}

// NextPermit returns the upstream, of those that name limits and could take the request but
// for these, whose next permit comes first, and the time until then. It returns nil if there
// is none.
func (p *Pool) NextPermit(now time.Time, d Demand) (first *Node, wait time.Duration) {
	v := p.view(now, d)
	for _, n := range p.nodes {
		if n.limit == nil || !n.limit.Limited() || p.obstacle(n, v, d) < AtLimit {
			continue
		}
		if w := n.limit.Wait(now); first == nil || w < wait {
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
