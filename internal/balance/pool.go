package balance

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
)

const (
	// buckets is the number of classes that prompt prefixes are hashed into.
	buckets = 1024
	// homes is the number of upstreams that a class prefers.
	homes = 2
)

// Pool is an entry's view of the upstreams of one model or plain service.
type Pool struct {
	clock      clockwork.Clock
	rand       *rand.Rand
	dataCentre string

	nodes  map[string]*Node
	groups map[string]*group
	// near and far are the upstreams in use, of this data centre and others.
	near, far []*Node
	usable    int
	ejected   int
	// nextReturn is when the first ejection ends; zero for none.
	nextReturn time.Time
	// preferred caches each class's homes; a nil first one is not computed.
	preferred [buckets][homes]*Node
	capacity  int

	meanOthers float64
	meanGap    float64
	// reporting says that any upstream has reported its load.
	reporting bool
	next      int // for RoundRobin
}

// NewPool returns an empty pool as seen from a data centre.
func NewPool(clock clockwork.Clock, rng *rand.Rand, dataCentre string) *Pool {
	return &Pool{clock: clock, rand: rng, dataCentre: dataCentre, nodes: map[string]*Node{}, groups: map[string]*group{}}
}

// Add adds an upstream, which is not usable yet, and returns its node.
func (p *Pool) Add(u Upstream) *Node {
	n := newNode(p, u)
	p.nodes[u.Name] = n
	if u.Group != "" {
		g := p.groups[u.Group]
		if g == nil {
			g = &group{}
			p.groups[u.Group] = g
		}
		g.nodes = append(g.nodes, n)
		n.group = g
	}
	return n
}

// Remove drops an upstream.
func (p *Pool) Remove(n *Node) {
	delete(p.nodes, n.Name)
	if n.group != nil {
		n.group.nodes = slices.DeleteFunc(n.group.nodes, func(o *Node) bool { return o == n })
	}
	p.index()
}

// Len returns the number of upstreams, usable or not.
func (p *Pool) Len() int { return len(p.nodes) }

// Capacity returns the sum of the capacities of the upstreams in use; 0 means
// that one of them reports none.
func (p *Pool) Capacity() int { return p.capacity }

func (p *Pool) setCapacity(n *Node, capacity int) {
	n.capacity = capacity
	p.sumCapacity()
}

func (p *Pool) sumCapacity() {
	p.capacity = 0
	for _, list := range [][]*Node{p.near, p.far} {
		for _, n := range list {
			capacity := n.firstCapacity()
			if capacity == 0 {
				p.capacity = 0
				return
			}
			p.capacity += capacity
		}
	}
}

// index rebuilds the lists of upstreams in use.
func (p *Pool) index() {
	now := p.clock.Now()
	p.near, p.far = p.near[:0], p.far[:0]
	p.usable, p.ejected = 0, 0
	p.nextReturn = time.Time{}
	p.preferred = [buckets][homes]*Node{}
	for _, n := range p.nodes {
		if n.usable {
			p.usable++
			p.place(n, now)
		}
	}
	byName := func(a, b *Node) int { return cmp.Compare(a.Name, b.Name) }
	slices.SortFunc(p.near, byName)
	slices.SortFunc(p.far, byName)
	p.sumCapacity()
}

func (p *Pool) place(n *Node, now time.Time) {
	switch {
	case now.Before(n.ejectedUntil):
		p.ejected++
		if p.nextReturn.IsZero() || n.ejectedUntil.Before(p.nextReturn) {
			p.nextReturn = n.ejectedUntil
		}
	case n.DataCentre == p.dataCentre:
		p.near = append(p.near, n)
	default:
		p.far = append(p.far, n)
	}
}

// refresh takes upstreams back whose ejection has ended, but for those that
// are still silent.
func (p *Pool) refresh(now time.Time) {
	if p.nextReturn.IsZero() || now.Before(p.nextReturn) {
		return
	}
	for _, n := range p.nodes {
		if n.held {
			n.ejectedUntil = now.Add(ejectionTime)
		}
	}
	p.index()
}

// preferredFor returns the homes of a prefix by rendezvous hash, the first one
// first. It depends on nothing but the names of the upstreams in use, so cache
// events that are late or missing can't make it wrong.
func (p *Pool) preferredFor(prefix string) *[homes]*Node {
	class := xxhash.Sum64String(prefix) % buckets
	h := &p.preferred[class]
	if h[0] == nil {
		p.rank(class, h)
	}
	return h
}

func (p *Pool) rank(class uint64, out *[homes]*Node) {
	var scores [homes]uint64
	for _, n := range p.near {
		score := mix(n.hash ^ mix(class+1))
		for i := range out {
			if out[i] == nil || score > scores[i] {
				copy(out[i+1:], out[i:])
				copy(scores[i+1:], scores[i:])
				out[i], scores[i] = n, score
				break
			}
		}
	}
}

// mix is the finaliser of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
