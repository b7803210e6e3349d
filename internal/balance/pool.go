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
	// prefixClasses is the number of classes that prompt prefixes are hashed
	// into.
	prefixClasses = 1024
	// preferredPerClass is the number of upstreams that each class prefers.
	preferredPerClass = 2
)

// Pool is an entry's view of the upstreams of one model or plain service.
type Pool struct {
	clock      clockwork.Clock
	rand       *rand.Rand
	dataCentre string

	nodes  map[string]*Node
	groups map[string]*group
	// local and remote are the upstreams in use in this data centre and in
	// others, sorted by name.
	local, remote []*Node
	// usable counts the usable upstreams, ejected ones included.
	usable  int
	ejected int
	// firstEjectionEnd is when the first of the ejections ends; zero if there
	// are none.
	firstEjectionEnd time.Time
	// preferredByClass caches the preferred upstreams of each class; the first
	// one is nil until they are computed.
	preferredByClass [prefixClasses][preferredPerClass]*Node
	capacity         int

	meanOtherWork float64
	meanGap       float64
	// reporting is set once any upstream has sent a load report.
	reporting      bool
	nextRoundRobin int // position of RoundRobin
}

// NewPool returns an empty pool for an entry in the given data centre.
func NewPool(clock clockwork.Clock, rng *rand.Rand, dataCentre string) *Pool {
	return &Pool{clock: clock, rand: rng, dataCentre: dataCentre, nodes: map[string]*Node{}, groups: map[string]*group{}}
}

// Add adds an upstream, which is not usable until SetUsable, and returns its
// node.
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

// Remove removes an upstream.
func (p *Pool) Remove(n *Node) {
	delete(p.nodes, n.Name)
	if n.group != nil {
		n.group.nodes = slices.DeleteFunc(n.group.nodes, func(o *Node) bool { return o == n })
	}
	p.rebuildIndex()
}

// Len returns the number of upstreams, usable or not.
func (p *Pool) Len() int { return len(p.nodes) }

// Capacity returns the total capacity of the upstreams in use, in requests; 0
// means that one of them does not report its capacity.
func (p *Pool) Capacity() int { return p.capacity }

func (p *Pool) setCapacity(n *Node, capacity int) {
	n.capacity = capacity
	p.sumCapacity()
}

func (p *Pool) sumCapacity() {
	p.capacity = 0
	for _, list := range [][]*Node{p.local, p.remote} {
		for _, n := range list {
			capacity := n.poolCapacity()
			if capacity == 0 {
				p.capacity = 0
				return
			}
			p.capacity += capacity
		}
	}
}

// rebuildIndex rebuilds the lists of the upstreams in use and all that derives
// from them.
func (p *Pool) rebuildIndex() {
	now := p.clock.Now()
	p.local, p.remote = p.local[:0], p.remote[:0]
	p.usable, p.ejected = 0, 0
	p.firstEjectionEnd = time.Time{}
	p.preferredByClass = [prefixClasses][preferredPerClass]*Node{}
	for _, n := range p.nodes {
		if n.usable {
			p.usable++
			p.classify(n, now)
		}
	}
	byName := func(a, b *Node) int { return cmp.Compare(a.Name, b.Name) }
	slices.SortFunc(p.local, byName)
	slices.SortFunc(p.remote, byName)
	p.sumCapacity()
}

func (p *Pool) classify(n *Node, now time.Time) {
	switch {
	case now.Before(n.ejectedUntil):
		p.ejected++
		if p.firstEjectionEnd.IsZero() || n.ejectedUntil.Before(p.firstEjectionEnd) {
			p.firstEjectionEnd = n.ejectedUntil
		}
	case n.DataCentre == p.dataCentre:
		p.local = append(p.local, n)
	default:
		p.remote = append(p.remote, n)
	}
}

// readmitExpired puts upstreams whose ejection has ended back into use. The
// ejection of those that are still silent is extended.
func (p *Pool) readmitExpired(now time.Time) {
	if p.firstEjectionEnd.IsZero() || now.Before(p.firstEjectionEnd) {
		return
	}
	for _, n := range p.nodes {
		if n.awaitsReport {
			n.ejectedUntil = now.Add(ejectionTime)
		}
	}
	p.rebuildIndex()
}

// preferredFor returns the preferred upstreams of a prefix by rendezvous hash,
// the best one first. They depend only on the names of the upstreams in use, so
// that late or missing cache events have no effect on them.
func (p *Pool) preferredFor(prefix string) *[preferredPerClass]*Node {
	class := xxhash.Sum64String(prefix) % prefixClasses
	h := &p.preferredByClass[class]
	if h[0] == nil {
		p.selectPreferred(class, h)
	}
	return h
}

// selectPreferred sets preferred to the local upstreams with the highest
// rendezvous scores for the class.
func (p *Pool) selectPreferred(class uint64, preferred *[preferredPerClass]*Node) {
	var scores [preferredPerClass]uint64
	for _, n := range p.local {
		score := mix(n.hash ^ mix(class+1))
		for i := range preferred {
			if preferred[i] == nil || score > scores[i] {
				copy(preferred[i+1:], preferred[i:])
				copy(scores[i+1:], scores[i:])
				preferred[i], scores[i] = n, score
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
