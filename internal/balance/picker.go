package balance

import (
	"slices"
	"time"
)

// Request is the input of a Picker's decision.
type Request struct {
	// Prefix is the start of the prompt; empty for plain services.
	Prefix string
	// Exclude lists the names of upstreams that must not be chosen.
	Exclude []string
}

// Picker chooses an upstream of a pool. Pick returns nil if there is none.
type Picker interface {
	Pick(p *Pool, r Request) *Node
}

// Random picks a random upstream, preferring this data centre.
type Random struct{}

// Pick implements Picker.
func (Random) Pick(p *Pool, r Request) *Node {
	p.readmitExpired(p.clock.Now())
	if n := p.randomNode(p.local, r); n != nil {
		return n
	}
	return p.randomNode(p.remote, r)
}

// RoundRobin picks the upstreams in turn, preferring this data centre.
type RoundRobin struct{}

// Pick implements Picker.
func (RoundRobin) Pick(p *Pool, r Request) *Node {
	p.readmitExpired(p.clock.Now())
	for _, list := range [][]*Node{p.local, p.remote} {
		for range list {
			p.nextRoundRobin++
			if n := list[p.nextRoundRobin%len(list)]; !p.passesOver(r, n) {
				return n
			}
		}
	}
	return nil
}

// TwoChoices picks, of two random upstreams, the one with fewer attempts of
// this entry in flight, preferring this data centre.
type TwoChoices struct{}

// Pick implements Picker.
func (TwoChoices) Pick(p *Pool, r Request) *Node {
	p.readmitExpired(p.clock.Now())
	for _, list := range [][]*Node{p.local, p.remote} {
		a, b := p.randomNode(list, r), p.randomNode(list, r)
		if a != nil && b.inFlight < a.inFlight {
			return b
		}
		if a != nil {
			return a
		}
	}
	return nil
}

const (
	// A preferred upstream of a prefix is used if it costs no more than the
	// cheaper of two random upstreams. It is also used if it costs at most
	// affinityFactor times as much plus affinitySlack, but no more than
	// affinityMaxCost. Costs are in full batches. A preferred upstream that would
	// become the busiest rank of its group is not used, because it would slow
	// down all ranks of the group.
	affinityFactor  = 1.1
	affinitySlack   = 0.1
	affinityMaxCost = 0.8
	// spillCost is the cost of the local choice, in full batches, above which
	// other data centres are considered. An upstream there is chosen if its cost
	// is lower by more than spillSaving.
	spillCost   = 1
	spillSaving = 0.25
)

// LeastWork picks the upstream with the least expected work: the cheaper of two
// random upstreams, or a preferred upstream of the request's prefix while its
// load allows it. It chooses other data centres if this one is full.
type LeastWork struct{}

// Pick implements Picker.
func (LeastWork) Pick(p *Pool, r Request) *Node {
	now := p.clock.Now()
	p.readmitExpired(now)
	local, cost := p.cheaperOfTwo(p.local, r, now)
	if local == nil {
		remote, _ := p.cheaperOfTwo(p.remote, r, now)
		return remote
	}
	if cost > spillCost {
		if remote, remoteCost := p.cheaperOfTwo(p.remote, r, now); remote != nil && remoteCost+spillSaving < cost {
			return remote
		}
	}
	if r.Prefix == "" {
		return local
	}
	limit := max(cost, min(affinityFactor*cost+affinitySlack, affinityMaxCost))
	for _, preferred := range p.preferredFor(r.Prefix) {
		if preferred != nil && !p.passesOver(r, preferred) && preferred.costAt(now) <= limit && !preferred.wouldStraggle(now) {
			return preferred
		}
	}
	return local
}

// cheaperOfTwo returns the cheaper of two random upstreams and its cost.
func (p *Pool) cheaperOfTwo(list []*Node, r Request, now time.Time) (*Node, float64) {
	a := p.randomNode(list, r)
	if a == nil {
		return nil, 0
	}
	b := p.randomNode(list, r)
	costA, costB := a.costAt(now), b.costAt(now)
	if costB < costA {
		return b, costB
	}
	return a, costA
}

// maxRandomDraws is the number of random draws after which the list is searched
// in order.
const maxRandomDraws = 4

// randomNode returns a random upstream that is not excluded, or nil.
func (p *Pool) randomNode(list []*Node, r Request) *Node {
	if len(list) == 0 {
		return nil
	}
	for range maxRandomDraws {
		if n := list[p.rand.IntN(len(list))]; !p.passesOver(r, n) {
			return n
		}
	}
	start := p.rand.IntN(len(list))
	for i := range list {
		if n := list[(start+i)%len(list)]; !p.passesOver(r, n) {
			return n
		}
	}
	return nil
}

// passesOver reports whether a request can't go to an upstream now: it is excluded, or its
// limit leaves no permit.
func (p *Pool) passesOver(r Request, n *Node) bool {
	return slices.Contains(r.Exclude, n.Name) || n.limit.Wait(p.clock.Now()) > 0
}

// NextPermit returns the upstream in use, of those that name limits and aren't excluded, whose
// next permit comes first, and the time until then. It returns nil if there is none.
func (p *Pool) NextPermit(r Request) (first *Node, wait time.Duration) {
	now := p.clock.Now()
	for _, list := range [][]*Node{p.local, p.remote} {
		for _, n := range list {
			if !n.limit.Limited() || slices.Contains(r.Exclude, n.Name) {
				continue
			}
			if w := n.limit.Wait(now); first == nil || w < wait {
				first, wait = n, w
			}
		}
	}
	return first, wait
}
