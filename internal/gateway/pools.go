package gateway

import (
	"math/rand/v2"
	"sync"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupreel/kingcupreel/internal/balance"
	"github.com/kingcupreel/kingcupreel/internal/directory"
)

// Pools choose the upstreams of each service. It is safe for concurrent use.
type Pools struct {
	clock      clockwork.Clock
	rand       *rand.Rand
	dataCentre string
	picker     balance.Picker

	mu      sync.Mutex
	pools   map[string]*balance.Pool
	members map[string]*Member
	// byAddress holds the member last added at each address.
	byAddress map[string]*Member
}

// Member is an upstream of a pool. Its node is guarded by the Pools' lock.
type Member struct {
	directory.Upstream
	pools *Pools
	node  *balance.Node
}

// NewPools returns empty pools as seen from a data centre.
func NewPools(clock clockwork.Clock, rng *rand.Rand, dataCentre string, picker balance.Picker) *Pools {
	return &Pools{clock: clock, rand: rng, dataCentre: dataCentre, picker: picker, pools: map[string]*balance.Pool{}, members: map[string]*Member{}, byAddress: map[string]*Member{}}
}

// Reconcile makes the pools hold the given upstreams and says whether that
// changed them.
func (p *Pools) Reconcile(list []directory.Upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed := false
	wanted := map[string]bool{}
	for _, u := range list {
		wanted[u.ID] = true
		m := p.members[u.ID]
		if m != nil && m.Upstream == u {
			continue
		}
		changed = true
		if m != nil {
			p.drop(m)
		}
		p.add(u)
	}
	for id, m := range p.members {
		if !wanted[id] {
			changed = true
			p.drop(m)
		}
	}
	return changed
}

func (p *Pools) add(u directory.Upstream) {
	pool := p.pools[u.Service]
	if pool == nil {
		pool = balance.NewPool(p.clock, p.rand, p.dataCentre)
		p.pools[u.Service] = pool
	}
	m := &Member{Upstream: u, pools: p}
	m.node = pool.Add(balance.Upstream{Name: u.ID, DataCentre: u.DataCentre})
	m.node.SetUsable(true)
	m.node.Reported(balance.Load{Capacity: u.Slots})
	p.members[u.ID] = m
	p.byAddress[u.Address] = m
}

func (p *Pools) drop(m *Member) {
	p.pools[m.Service].Remove(m.node)
	delete(p.members, m.ID)
	if p.byAddress[m.Address] == m {
		delete(p.byAddress, m.Address)
	}
}

// Pick chooses an upstream of a service that has not been tried and counts an
// attempt there; nil means that there is none.
func (p *Pools) Pick(service, prefix string, tried []string) *Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool := p.pools[service]
	if pool == nil {
		return nil
	}
	n := p.picker.Pick(pool, balance.Request{Prefix: prefix, Tried: tried})
	if n == nil {
		return nil
	}
	m := p.members[n.Name]
	n.Dispatched()
	return m
}

// Reported takes the load of the upstream at an address, if it is the one that
// started then.
func (p *Pools) Reported(address string, started int64, load balance.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.byAddress[address]
	if m == nil || m.Started != started {
		return
	}
	load.Capacity = m.Slots
	m.node.Reported(load)
}

// Tick looks for upstreams that have gone silent.
func (p *Pools) Tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.pools {
		pool.Tick()
	}
}

// Finished counts the end of an attempt; failed says that the upstream was at
// fault.
func (m *Member) Finished(failed bool) {
	m.pools.mu.Lock()
	defer m.pools.mu.Unlock()
	m.node.Finished()
	if failed {
		m.node.Failed()
	} else {
		m.node.Progressed(0)
	}
}
