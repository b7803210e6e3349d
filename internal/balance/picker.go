package balance

import (
	"slices"
	"time"
)

// Request is what a decision may depend on.
type Request struct {
	// Prefix is the prompt's beginning; empty for plain services.
	Prefix string
	// Exclude names upstreams that must not be chosen again.
	Exclude []string
}

// Picker chooses an upstream of a pool. It returns nil for none.
type Picker interface {
	Pick(p *Pool, r Request) *Node
}

// Random picks any upstream, those of this data centre first.
type Random struct{}

// Pick implements Picker.
func (Random) Pick(p *Pool, r Request) *Node {
	p.refresh(p.clock.Now())
	if n := p.draw(p.near, r); n != nil {
		return n
	}
	return p.draw(p.far, r)
}

// RoundRobin picks the upstreams in turn, those of this data centre first.
type RoundRobin struct{}

// Pick implements Picker.
func (RoundRobin) Pick(p *Pool, r Request) *Node {
	p.refresh(p.clock.Now())
	for _, list := range [][]*Node{p.near, p.far} {
		for range list {
			p.next++
			if n := list[p.next%len(list)]; !r.tried(n) {
				return n
			}
		}
	}
	return nil
}

// TwoChoices picks the one of two random upstreams with the least work that
// this entry has there, those of this data centre first.
type TwoChoices struct{}

// Pick implements Picker.
func (TwoChoices) Pick(p *Pool, r Request) *Node {
	p.refresh(p.clock.Now())
	for _, list := range [][]*Node{p.near, p.far} {
		a, b := p.draw(list, r), p.draw(list, r)
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
	// homeBound and homeSlack bound the load of a prefix's home: it is used
	// while its cost is at most homeBound times that of the better of two
	// random upstreams and homeSlack more, in full batches, and not over
	// homeFull unless it is the cheaper one. A home that would become the
	// busiest rank of its group, and slow all of them, is not used.
	homeBound = 1.1
	homeSlack = 0.1
	homeFull  = 0.8
	// spillCost is the cost of the nearest choice, in full batches, from which
	// other data centres are considered; spillExtra is what they must save.
	spillCost  = 1
	spillExtra = 0.25
)

// LeastWork picks by least expected work: the better of two random upstreams,
// or the home of the request's prefix while its load is bounded. It goes to
// other data centres when this one is full.
type LeastWork struct{}

// Pick implements Picker.
func (LeastWork) Pick(p *Pool, r Request) *Node {
	now := p.clock.Now()
	p.refresh(now)
	near, cost := p.better(p.near, r, now)
	if near == nil {
		far, _ := p.better(p.far, r, now)
		return far
	}
	if cost > spillCost {
		if far, farCost := p.better(p.far, r, now); far != nil && farCost+spillExtra < cost {
			return far
		}
	}
	if r.Prefix == "" {
		return near
	}
	limit := max(cost, min(homeBound*cost+homeSlack, homeFull))
	for _, home := range p.preferredFor(r.Prefix) {
		if home != nil && !r.tried(home) && home.costAt(now) <= limit && !home.straggles(now) {
			return home
		}
	}
	return near
}

// better returns the cheaper of two random upstreams with its cost.
func (p *Pool) better(list []*Node, r Request, now time.Time) (*Node, float64) {
	a := p.draw(list, r)
	if a == nil {
		return nil, 0
	}
	b := p.draw(list, r)
	costA, costB := a.costAt(now), b.costAt(now)
	if costB < costA {
		return b, costB
	}
	return a, costA
}

// draws bounds the random draws before a list is searched.
const draws = 4

// draw returns a random upstream that has not been tried, or nil.
func (p *Pool) draw(list []*Node, r Request) *Node {
	if len(list) == 0 {
		return nil
	}
	for range draws {
		if n := list[p.rand.IntN(len(list))]; !r.tried(n) {
			return n
		}
	}
	start := p.rand.IntN(len(list))
	for i := range list {
		if n := list[(start+i)%len(list)]; !r.tried(n) {
			return n
		}
	}
	return nil
}

func (r *Request) tried(n *Node) bool { return slices.Contains(r.Exclude, n.Name) }
