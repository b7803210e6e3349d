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

	// reconcileMu lets one reconcile run at a time, so that the last one to end
	// used the newest snapshot and VM list.
	reconcileMu sync.Mutex

	mu    sync.RWMutex
	links map[string]*link
	pools map[string]*upstreamPool
}

func newLinkTable(dataCentre string) linkTable {
	return linkTable{dataCentre: dataCentre, links: map[string]*link{}, pools: map[string]*upstreamPool{}}
}

// reconcile starts and retires links so that they match the subset of the
// configured upstreams that this entry connects to.
func (t *linkTable) reconcile(ctx context.Context, e *Entry) {
	t.reconcileMu.Lock()
	defer t.reconcileMu.Unlock()
	s := e.opts.Store.Current()
	members, sizes := poolMembers(s)
	wanted := membership.Subset(members, e.listedEntries(), e.subsetID(), t.dataCentre)
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
			t.startLink(ctx, e, s.Upstreams[name], poolOf(s, s.Upstreams[name]))
		}
		t.links[name].setDrained(s.GetsNoWork(s.Upstreams[name]))
	}
	for name, p := range t.pools {
		p.setConfigured(sizes[name])
		if sizes[name] == 0 {
			delete(t.pools, name)
		}
	}
}

// poolMembers returns the upstreams that belong to a pool, and the number of
// upstreams of each pool.
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

// startLink adds and starts a link to an upstream. The caller holds mu.
func (t *linkTable) startLink(ctx context.Context, e *Entry, u *config.Upstream, pool string) {
	p := t.pools[pool]
	if p == nil {
		p = newUpstreamPool(pool, t.dataCentre)
		t.pools[pool] = p
	}
	linkCtx, stop := context.WithCancel(ctx)
	l := newLink(e, u, stop)
	l.member = p.addMember(l)
	t.links[u.Name] = l
	l.setVMLeaving(e.vmLeaving(u.VM))
	go l.run(linkCtx)
}

// pick picks a link for a request that is not in exclude, or returns nil.
func (t *linkTable) pick(picker balance.Picker, req *request, exclude map[string]bool) *link {
	p := t.poolNamed(req.pool)
	if p == nil {
		return nil
	}
	return p.pick(picker, req.prefix, exclude)
}

// poolNamed returns a pool, nil if there is none.
func (t *linkTable) poolNamed(name string) *upstreamPool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.pools[name]
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

// connectedDataCentres returns the data centres that have a connected upstream.
func (t *linkTable) connectedDataCentres() map[string]bool {
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
