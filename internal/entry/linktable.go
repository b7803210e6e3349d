package entry

import (
	"context"
	"sync"

	"github.com/kingcupreel/kingcupreel/internal/balance"
	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/membership"
)

// linkTable holds the links by upstream name, and the pools that they belong
// to.
type linkTable struct {
	dataCentre string

	// reconciling lets one reconcile run at a time, so that the last one to end
	// has the newest snapshot and VM list.
	reconciling sync.Mutex

	mu    sync.RWMutex
	links map[string]*link
	pools map[string]*upstreamPool
}

func newLinkTable(dataCentre string) linkTable {
	return linkTable{dataCentre: dataCentre, links: map[string]*link{}, pools: map[string]*upstreamPool{}}
}

// reconcile starts and stops links so that they match the entry's part of the
// upstreams in force.
func (t *linkTable) reconcile(ctx context.Context, e *Entry) {
	t.reconciling.Lock()
	defer t.reconciling.Unlock()
	s := e.opts.Store.Current()
	members, sizes := poolMembers(s)
	wanted := membership.Subset(members, e.listedEntries(), e.id(), t.dataCentre)
	e.addPlannedRanks(s, wanted)
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, l := range t.links {
		u := s.Upstreams[name]
		if !wanted[name] || !u.SameEndpoint(l.upstream) || l.member.pool.name != poolOf(s, u) {
			l.retire()
			delete(t.links, name)
		}
	}
	for name := range wanted {
		if t.links[name] == nil {
			t.start(ctx, e, s.Upstreams[name], poolOf(s, s.Upstreams[name]))
		}
		t.links[name].setDrained(s.Upstreams[name].Drain)
	}
	for name, p := range t.pools {
		p.setConfigured(sizes[name])
		if sizes[name] == 0 {
			delete(t.pools, name)
		}
	}
}

// poolMembers returns the upstreams that serve a pool, and the pools' sizes.
func poolMembers(s *config.Snapshot) ([]membership.PoolMember, map[string]int) {
	members := make([]membership.PoolMember, 0, len(s.Upstreams))
	sizes := map[string]int{}
	for _, u := range s.Upstreams {
		if pool := poolOf(s, u); pool != "" {
			members = append(members, membership.PoolMember{Name: u.Name, DataCentre: u.DataCentre, Pool: pool})
			sizes[pool]++
		}
	}
	return members, sizes
}

// start adds a link. The caller holds mu.
func (t *linkTable) start(ctx context.Context, e *Entry, u *config.Upstream, pool string) {
	p := t.pools[pool]
	if p == nil {
		p = newUpstreamPool(pool, t.dataCentre)
		t.pools[pool] = p
	}
	linkCtx, stop := context.WithCancel(ctx)
	l := newLink(e, u, stop)
	l.member = p.join(l)
	t.links[u.Name] = l
	l.listed(e.vmLeaving(u.VM))
	go l.run(linkCtx)
}

// pick chooses a link for a request, or nil.
func (t *linkTable) pick(picker balance.Picker, req *request, tried map[string]bool) *link {
	t.mu.RLock()
	p := t.pools[req.pool]
	t.mu.RUnlock()
	if p == nil {
		return nil
	}
	return p.pick(picker, req.prefix, tried)
}

// all returns every link.
func (t *linkTable) all() []*link {
	t.mu.RLock()
	defer t.mu.RUnlock()
	links := make([]*link, 0, len(t.links))
	for _, l := range t.links {
		links = append(links, l)
	}
	return links
}

// allPools returns every pool.
func (t *linkTable) allPools() []*upstreamPool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	pools := make([]*upstreamPool, 0, len(t.pools))
	for _, p := range t.pools {
		pools = append(pools, p)
	}
	return pools
}

// dataCentres returns the data centres with a connected upstream.
func (t *linkTable) dataCentres() map[string]bool {
	reached := map[string]bool{}
	for _, l := range t.all() {
		l.mu.Lock()
		if l.conn != nil {
			reached[l.upstream.DataCentre] = true
		}
		l.mu.Unlock()
	}
	return reached
}
