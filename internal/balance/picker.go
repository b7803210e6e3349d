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
// load allows it. It chooses other data centres if this one is full. A full
// upstream is chosen only if no other one has room.
type LeastWork struct{}

// Pick implements Picker.
func (LeastWork) Pick(p *Pool, r Request) *Node {
	now := p.clock.Now()
	p.readmitExpired(now)
	if n := p.leastWork(r, candidates{now: now, withRoom: true}); n != nil {
		return n
	}
	return p.leastWork(r, candidates{now: now})
}

// candidates says which of the upstreams that a request can go to are considered.
type candidates struct {
	now time.Time
	// withRoom leaves out full upstreams.
	withRoom bool
}

func (c candidates) include(n *Node) bool { return !c.withRoom || !n.full(c.now) }

// leastWork returns LeastWork's choice among the candidates, or nil.
func (p *Pool) leastWork(r Request, c candidates) *Node {
	local, cost := p.cheaperOfTwo(p.local, r, c)
	if local == nil {
		remote, _ := p.cheaperOfTwo(p.remote, r, c)
		return remote
	}
	if cost > spillCost {
		if remote, remoteCost := p.cheaperOfTwo(p.remote, r, c); remote != nil && remoteCost+spillSaving < cost {
			return remote
		}
	}
	if r.Prefix == "" {
		return local
	}
	limit := max(cost, min(affinityFactor*cost+affinitySlack, affinityMaxCost))
	for _, preferred := range p.preferredFor(r.Prefix) {
		if preferred != nil && !p.passesOver(r, preferred) && c.include(preferred) &&
			preferred.costAt(c.now) <= limit && !preferred.wouldStraggle(c.now) {
			return preferred
		}
	}
	return local
}

// cheaperOfTwo returns the cheaper of two different random candidates and its
// cost, or nil if there is none.
func (p *Pool) cheaperOfTwo(list []*Node, r Request, c candidates) (*Node, float64) {
	a := p.randomCandidate(list, r, c, nil)
	if a == nil {
		return nil, 0
	}
	costA := a.costAt(c.now)
	if b := p.randomCandidate(list, r, c, a); b != nil {
		if costB := b.costAt(c.now); costB < costA {
			return b, costB
		}
	}
	return a, costA
}

const (
	// maxRandomDraws is the number of random draws after which the list is
	// searched in order.
	maxRandomDraws = 4
	// maxRoomSearch bounds the upstreams that are searched for room, so that a
	// decision takes no longer in a large pool whose upstreams are all full.
	maxRoomSearch = 64
)

// randomNode returns a random upstream that is not excluded, or nil.
func (p *Pool) randomNode(list []*Node, r Request) *Node {
	return p.randomCandidate(list, r, candidates{}, nil)
}

// randomCandidate returns a random candidate other than the given one, or nil.
func (p *Pool) randomCandidate(list []*Node, r Request, c candidates, other *Node) *Node {
	if len(list) == 0 {
		return nil
	}
	for range maxRandomDraws {
		if n := list[p.rand.IntN(len(list))]; n != other && !p.passesOver(r, n) && c.include(n) {
			return n
		}
	}
	searched := len(list)
	if c.withRoom {
		searched = min(searched, maxRoomSearch)
	}
	start := p.rand.IntN(len(list))
	for i := range searched {
		if n := list[(start+i)%len(list)]; n != other && !p.passesOver(r, n) && c.include(n) {
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
			if !n.limit.Limited(now) || slices.Contains(r.Exclude, n.Name) {
				continue
			}
			if w := n.limit.Wait(now); first == nil || w < wait {
				first, wait = n, w
			}
		}
	}
	return first, wait
}
