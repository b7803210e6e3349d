package entry

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupreel/kingcupreel/internal/balance"
	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// modelPool and servicePool return the names of the pools of upstreams.
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

// upstreamPool holds the balance state of one pool and its links. Its lock is a
// leaf lock.
type upstreamPool struct {
	name string

	mu    sync.Mutex
	pool  *balance.Pool
	links map[*balance.Node]*link
	// configured is the number of upstreams in the pool; this entry may be
	// linked to only some of them.
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

// addMember adds a link's upstream to the pool.
func (p *upstreamPool) addMember(l *link) *member {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := l.upstream
	n := p.pool.Add(balance.Upstream{Name: u.Name, DataCentre: u.DataCentre, Group: u.Group})
	p.links[n] = l
	return &member{pool: p, node: n, lastChunkAt: map[wire.AttemptID]time.Time{}}
}

// pick picks a link that is not in exclude, or returns nil.
func (p *upstreamPool) pick(picker balance.Picker, prefix string, exclude map[string]bool) *link {
	names := slices.Collect(maps.Keys(exclude))
	p.mu.Lock()
	defer p.mu.Unlock()
	n := picker.Pick(p.pool, balance.Request{Prefix: prefix, Exclude: names})
	if n == nil {
		return nil
	}
	n.TakePermit()
	return p.links[n]
}

// nextPermit returns the node, of those whose upstreams name limits, whose next permit comes
// first, and the time until then; nil if there is none. The caller holds mu.
func (p *upstreamPool) nextPermit(exclude map[string]bool) (*balance.Node, time.Duration) {
	return p.pool.NextPermit(balance.Request{Exclude: slices.Collect(maps.Keys(exclude))})
}

// atLimit returns the time until the next permit, if some upstreams name limits.
func (p *upstreamPool) atLimit(exclude map[string]bool) (wait time.Duration, limited bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, wait := p.nextPermit(exclude)
	return wait, n != nil
}

// reservePermit takes the next permit if it comes within maxWait, and returns its link and
// the time until then.
func (p *upstreamPool) reservePermit(exclude map[string]bool, maxWait time.Duration) (*link, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, wait := p.nextPermit(exclude)
	if n == nil || wait > maxWait {
		return nil, 0
	}
	n.TakePermit()
	return p.links[n], wait
}

// capacity estimates how many requests all entries together may have in flight
// at the pool, scaled up from the upstreams that this entry is linked to; 0
// means unknown.
func (p *upstreamPool) capacity() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.links) == 0 {
		return 0
	}
	return p.pool.Capacity() * p.configured / len(p.links)
}

// ejectSilent ejects upstreams that have gone silent and returns their names.
func (p *upstreamPool) ejectSilent() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool.Tick()
}

// member is a link's membership in its pool. The pool's lock guards it. The
// methods do nothing on a nil member and on one that has left the pool.
type member struct {
	pool *upstreamPool
	// node is nil once the member has left.
	node *balance.Node
	// lastChunkAt is the arrival time of the last chunk of each attempt in
	// flight.
	lastChunkAt map[wire.AttemptID]time.Time
}

// withNode calls f with the node while holding the pool's lock.
func (m *member) withNode(f func(n *balance.Node)) {
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
	m.withNode(func(n *balance.Node) {
		n.SetUsable(false)
		m.pool.pool.Remove(n)
		delete(m.pool.links, n)
		m.node = nil
	})
}

func (m *member) setUsable(usable bool) {
	m.withNode(func(n *balance.Node) { n.SetUsable(usable) })
}

func (m *member) setLimit(rate float64) {
	m.withNode(func(n *balance.Node) { n.SetLimit(rate) })
}

func (m *member) takePermit() { m.withNode((*balance.Node).TakePermit) }

func (m *member) markSent() { m.withNode((*balance.Node).MarkSent) }

func (m *member) finishAttempt(id wire.AttemptID) {
	m.withNode(func(n *balance.Node) {
		n.Finish()
		delete(m.lastChunkAt, id)
	})
}

func (m *member) updateLoad(load *wire.Load) {
	m.withNode(func(n *balance.Node) {
		n.UpdateLoad(balance.Load{Work: load.Running + load.Queued, Capacity: load.Capacity, Silent: load.Silent})
	})
}

// recordProgress updates the upstream's progress and failures from a message of
// an attempt.
func (m *member) recordProgress(msg wire.Message) {
	switch msg := msg.(type) {
	case *wire.Chunk:
		m.withNode(func(n *balance.Node) { m.recordChunk(n, msg.ID, time.Now()) })
	case *wire.Done:
		if msg.Outcome != outcome.Completed {
			m.withNode((*balance.Node).MarkFailed)
		}
	}
}

// recordChunk records the time since the attempt's previous chunk, or 0 for the
// first chunk.
func (m *member) recordChunk(n *balance.Node, id wire.AttemptID, now time.Time) {
	last, ok := m.lastChunkAt[id]
	m.lastChunkAt[id] = now
	if !ok {
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
