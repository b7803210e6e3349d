package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupreel/kingcupreel/internal/balance"
	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// modelPool and servicePool name the pools of upstreams.
func modelPool(model string) string { return "model/" + model }

func servicePool(service string) string { return "service/" + service }

// poolOf returns the name of an upstream's pool, or "" while its group is not
// configured.
func poolOf(s *config.Snapshot, u *config.Upstream) string {
	if u.Service != "" {
		return servicePool(u.Service)
	}
	if g := s.Groups[u.Group]; g != nil {
		return modelPool(g.Model)
	}
	return ""
}

// upstreamPool is the balance state of one pool with its links. Its lock is a
// leaf.
type upstreamPool struct {
	name string

	mu    sync.Mutex
	pool  *balance.Pool
	links map[*balance.Node]*link
	// configured is the number of upstreams of the pool, of which this entry is
	// linked to some.
	configured int
}

func newUpstreamPool(name, dataCentre string) *upstreamPool {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &upstreamPool{
		name:  name,
		pool:  balance.NewPool(clockwork.NewRealClock(), rng, dataCentre),
		links: map[*balance.Node]*link{},
	}
}

// join adds a link's upstream.
func (p *upstreamPool) join(l *link) *member {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := l.upstream
	n := p.pool.Add(balance.Upstream{Name: u.Name, DataCentre: u.DataCentre, Group: u.Group})
	p.links[n] = l
	return &member{pool: p, node: n, parts: map[wire.AttemptID]time.Time{}}
}

// pick chooses a link, or nil.
func (p *upstreamPool) pick(picker balance.Picker, prefix string, tried map[string]bool) *link {
	var names []string
	for name := range tried {
		names = append(names, name)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	n := picker.Pick(p.pool, balance.Request{Prefix: prefix, Exclude: names})
	if n == nil {
		return nil
	}
	return p.links[n]
}

// capacity returns what all entries together may have in flight at the pool, as
// far as this entry's links tell; 0 means unknown.
func (p *upstreamPool) capacity() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.links) == 0 {
		return 0
	}
	return p.pool.Capacity() * p.configured / len(p.links)
}

// tick ejects silent upstreams and returns their names.
func (p *upstreamPool) tick() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool.Tick()
}

// member is a link's place in its pool. The pool's lock guards it. The methods
// of a nil member, and of one that has left, do nothing.
type member struct {
	pool *upstreamPool
	// node is nil once the member has left.
	node *balance.Node
	// parts is when the last part of each attempt's answer came.
	parts map[wire.AttemptID]time.Time
}

// do runs f under the pool's lock.
func (m *member) do(f func(n *balance.Node)) {
	if m == nil {
		return
	}
	m.pool.mu.Lock()
	defer m.pool.mu.Unlock()
	if m.node != nil {
		f(m.node)
	}
}

func (m *member) leave() {
	m.do(func(n *balance.Node) {
		n.SetUsable(false)
		m.pool.pool.Remove(n)
		delete(m.pool.links, n)
		m.node = nil
	})
}

func (m *member) setUsable(usable bool) {
	m.do(func(n *balance.Node) { n.SetUsable(usable) })
}

func (m *member) dispatched() { m.do((*balance.Node).MarkSent) }

func (m *member) finished(id wire.AttemptID) {
	m.do(func(n *balance.Node) {
		n.Finish()
		delete(m.parts, id)
	})
}

func (m *member) reported(load *wire.Load) {
	m.do(func(n *balance.Node) {
		n.UpdateLoad(balance.Load{Work: load.Running + load.Queued, Capacity: load.Capacity, Silent: load.Silent})
	})
}

// received notes what an attempt's message says of the upstream's pace.
func (m *member) received(msg wire.Message) {
	switch msg := msg.(type) {
	case *wire.Chunk:
		m.do(func(n *balance.Node) { m.part(n, msg.ID, time.Now()) })
	case *wire.Done:
		if msg.Outcome != outcome.Completed {
			m.do((*balance.Node).MarkFailed)
		}
	}
}

// part notes a part of an answer.
func (m *member) part(n *balance.Node, id wire.AttemptID, now time.Time) {
	last, seen := m.parts[id]
	m.parts[id] = now
	if !seen {
		n.MarkProgress(0)
		return
	}
	n.MarkProgress(now.Sub(last))
}

func (p *upstreamPool) setConfigured(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.configured = n
}
