package gateway

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupreel/kingcupreel/internal/admission"
	"github.com/kingcupreel/kingcupreel/internal/directory"
	"github.com/kingcupreel/kingcupreel/internal/dispatch"
	"github.com/kingcupreel/kingcupreel/internal/outage"
	"github.com/kingcupreel/kingcupreel/internal/routing"
)

// Pools chooses the upstreams of each service. It is safe for concurrent use.
// Under mu only the locks of reachable and evacuated are taken.
type Pools struct {
	clock clockwork.Clock
	rand  *rand.Rand

	mu      sync.Mutex
	pools   map[string]*dispatch.Pool
	members map[string]*Member
	// byAddress holds the member last added at each address.
	byAddress map[string]*Member
	// leaving holds the members that were removed with requests in flight, by node, until they
	// have none.
	leaving map[*dispatch.Node]*Member
	// waiting holds the requests that wait for an upstream, by service.
	waiting map[string]*admission.Waitlist
	// outages holds what is known of the outages of each service, and engines what its
	// engines declare about the return from one. returning counts the callers of a service
	// that were told to retry after its present outage.
	outages   map[string]*outage.Tracker
	engines   map[string]outage.Engine
	returning map[string]int
	// quiet holds the data centres whose reports have stopped.
	quiet map[string]bool
	// shortOfPace holds the services whose groups don't keep the pace, as logged last.
	shortOfPace map[string]bool
	// lastSuspendedAt is the last time when requests waited for a service
	// without a usable upstream, by service.
	lastSuspendedAt map[string]time.Time
	// rests holds the times until which incarnations want no requests. An upstream
	// keeps its time if its registration changes or is missing for a while.
	rests map[directory.Departure]time.Time
	// limits holds the limits that incarnations have named. An upstream keeps its limit as it
	// keeps its rest.
	limits  map[directory.Departure]*namedLimit
	warmups warmups
	// entryShare is this entry's share of the upstreams' capacity, 0 to 1.
	entryShare float64
	// reachable reports whether a data centre is heard from.
	reachable func(dataCentre string) bool
	// evacuated reports whether a data centre is evacuated.
	evacuated func(dataCentre string) bool
}

// Member is an upstream of a pool. Its node is guarded by Pools.mu.
type Member struct {
	directory.Upstream
	pools *Pools
	node  *dispatch.Node
}

// NewPools returns empty pools.
func NewPools(clock clockwork.Clock, rng *rand.Rand) *Pools {
	return &Pools{
		clock: clock, rand: rng, pools: map[string]*dispatch.Pool{},
		members: map[string]*Member{}, byAddress: map[string]*Member{}, leaving: map[*dispatch.Node]*Member{},
		waiting: map[string]*admission.Waitlist{}, lastSuspendedAt: map[string]time.Time{}, outages: map[string]*outage.Tracker{},
		engines: map[string]outage.Engine{}, returning: map[string]int{}, shortOfPace: map[string]bool{},
		rests: map[directory.Departure]time.Time{}, limits: map[directory.Departure]*namedLimit{}, warmups: newWarmups(),
		entryShare: defaultEntryShare,
		reachable:  func(string) bool { return true }, evacuated: func(string) bool { return false },
	}
}

// Configure sets the step costs of the services' engines and the warm-ups of the services.
func (p *Pools) Configure(services []routing.Service) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range services {
		if s.Engine != nil {
			p.pool(s.Name).SetStepCost(dispatch.StepCost{Base: s.Engine.StepTime, PerRequest: s.Engine.StepTimePerSequence})
			p.pool(s.Name).SetPaceCost(paceCost(s.Engine))
		}
	}
	p.configureWarmups(services)
}

// pool returns the pool of a service. The caller holds mu.
func (p *Pools) pool(service string) *dispatch.Pool {
	pool := p.pools[service]
	if pool == nil {
		pool = dispatch.NewPool(p.rand)
		pool.SetEntryShare(p.entryShare)
		p.pools[service] = pool
	}
	return pool
}

// Reconcile makes the pools hold exactly the given upstreams and reports
// whether that changed them.
func (p *Pools) Reconcile(list []directory.Upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed := false
	wanted := map[string]bool{}
	for _, u := range list {
		wanted[u.ID] = true
		m := p.members[u.ID]
		if m != nil && m.matches(u) {
			p.applyRecordedWarmup(m, u.Warmup)
			continue
		}
		changed = true
		if m != nil {
			p.remove(m)
		}
		p.add(u)
	}
	for id, m := range p.members {
		if !wanted[id] {
			changed = true
			p.remove(m)
		}
	}
	now := p.clock.Now()
	maps.DeleteFunc(p.rests, func(_ directory.Departure, until time.Time) bool { return !now.Before(until) })
	p.removeExpiredLimits(now)
	p.removeWarmups(now)
	return changed
}

// SetReachable sets which data centres are heard from.
func (p *Pools) SetReachable(reachable func(dataCentre string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reachable = reachable
	for _, m := range p.members {
		m.node.SetUnreachable(!reachable(m.DataCentre))
	}
}

// matches reports whether u is the member's incarnation with unchanged service,
// address and slots.
func (m *Member) matches(u directory.Upstream) bool {
	return m.Service == u.Service && m.Address == u.Address && m.Started == u.Started && m.Slots == u.Slots
}

// add adds an upstream to its service's pool. The caller holds mu.
func (p *Pools) add(u directory.Upstream) {
	m := &Member{Upstream: u, pools: p}
	m.node = p.pool(u.Service).Add(dispatch.Replica{ID: u.ID, Slots: u.Slots})
	m.node.Rest(p.rests[u.Incarnation()])
	if l := p.limits[u.Incarnation()]; l != nil {
		m.node.SetLimit(&l.share)
	}
	p.trackWarmup(m)
	m.node.SetUnreachable(!p.reachable(u.DataCentre))
	m.node.SetEvacuated(p.evacuated(u.DataCentre))
	p.members[u.ID] = m
	p.byAddress[u.Address] = m
}

// remove removes an upstream from its service's pool. The caller holds mu.
func (p *Pools) remove(m *Member) {
	p.pools[m.Service].Remove(m.node)
	delete(p.members, m.ID)
	if m.node.InFlight() > 0 {
		p.leaving[m.node] = m
	}
	if p.byAddress[m.Address] == m {
		delete(p.byAddress, m.Address)
	}
}

// Pick chooses an upstream of the service for a request and counts the request to it. Without
// one it returns nil and the obstacle.
func (p *Pools) Pick(service string, d dispatch.Demand) (*Member, dispatch.Obstacle) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pickLocked(service, d)
}

// pickLocked is Pick for a caller that holds mu.
func (p *Pools) pickLocked(service string, d dispatch.Demand) (*Member, dispatch.Obstacle) {
	pool, now := p.pool(service), p.clock.Now()
	n, obstacle := pool.Pick(now, d)
	if n != nil && d.Withdrawn {
		n.MarkWithdrawn()
	}
	return p.member(n), obstacle
}

// member counts a request to a node and returns the node's member, nil for nil. The caller
// holds mu.
func (p *Pools) member(n *dispatch.Node) *Member {
	if n == nil {
		return nil
	}
	n.MarkSent()
	n.TakePermit(p.clock.Now())
	return p.members[n.ID]
}

// Get returns the upstream at an address if the incarnation there started at the given
// time, else nil.
func (p *Pools) Get(address string, started int64) *Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.byAddress[address]; m != nil && m.Started == started {
		return m
	}
	return nil
}

// named returns the upstream in use with an ID, nil if there is none.
func (p *Pools) named(id string) *Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members[id]
}

// UpdateLoad stores the reported load of the upstream at an address, if the
// incarnation there started at the given time. It returns the upstream if its
// group has started or stopped serving with this report, else nil.
func (p *Pools) UpdateLoad(address string, started int64, load dispatch.Load) (changed *Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.byAddress[address]
	if m == nil || m.Started != started {
		p.applyLaterStart(m, started)
		p.updateLeaving(address, started, load)
		return nil
	}
	before := m.node.GroupServing()
	m.node.UpdateLoad(load, p.clock.Now())
	p.observeOutage(m.Service)
	p.startWaiting(m.Service, false)
	if before == load.GroupServing {
		return nil
	}
	return m
}

// knownLoad returns what is known of the upstream's load.
func (m *Member) knownLoad() dispatch.KnownLoad {
	m.pools.mu.Lock()
	defer m.pools.mu.Unlock()
	return m.node.KnownLoad(m.pools.clock.Now())
}

// updateLeaving stores the reported load of a member that was removed. The caller holds mu.
func (p *Pools) updateLeaving(address string, started int64, load dispatch.Load) {
	for n, m := range p.leaving {
		if m.Address == address && m.Started == started {
			n.UpdateLoad(load, p.clock.Now())
		}
	}
}

// Hear records a part of an answer as a sign of life of the upstream.
func (m *Member) Hear() {
	m.pools.mu.Lock()
	defer m.pools.mu.Unlock()
	m.node.Hear(m.pools.clock.Now())
}

// MarkAnswered counts the first part of an answer to an attempt that began so long ago.
func (m *Member) MarkAnswered(delay time.Duration) {
	m.pools.mu.Lock()
	defer m.pools.mu.Unlock()
	m.node.MarkAnswered()
	m.node.Hear(m.pools.clock.Now())
	m.pools.pool(m.Service).RecordFirstPart(delay)
	m.pools.startWaiting(m.Service, false)
}

// serviceTimes are the usual times of a service's requests, 0 while unknown.
type serviceTimes struct {
	// firstPart and wholeAnswer are the times to the first part of a stream and to an answer
	// that isn't one. service is the time for which a request keeps its slot.
	firstPart, wholeAnswer, service time.Duration
}

func (p *Pools) times(service string) serviceTimes {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool := p.pool(service)
	return serviceTimes{firstPart: pool.FirstPartDelay(), wholeAnswer: pool.WholeAnswerTime(), service: pool.ServiceTime()}
}

// RecordWholeAnswer records the time to an answer that isn't a stream.
func (m *Member) RecordWholeAnswer(took time.Duration) {
	m.pools.mu.Lock()
	defer m.pools.mu.Unlock()
	m.pools.pool(m.Service).RecordWholeAnswer(took)
}

// RecordPart records the time between two parts of an answer, the second of which is a sign of
// life of the upstream.
func (m *Member) RecordPart(interval time.Duration) {
	m.pools.mu.Lock()
	defer m.pools.mu.Unlock()
	m.node.Hear(m.pools.clock.Now())
	m.pools.pool(m.Service).RecordPart(m.node, interval, m.pools.clock.Now())
}

// RecordAnswerParts records the number of parts after the first that an attempt brought.
func (m *Member) RecordAnswerParts(parts int, complete bool) {
	m.pools.mu.Lock()
	defer m.pools.mu.Unlock()
	m.pools.pool(m.Service).RecordAnswerParts(parts, complete)
}

// Finish counts the end of an attempt. answered says that MarkAnswered was
// called for it, and failed that the upstream was at fault.
func (m *Member) Finish(answered, failed bool) {
	m.pools.mu.Lock()
	defer m.pools.mu.Unlock()
	m.node.Finish(answered, failed, m.pools.clock.Now())
	if m.node.InFlight() == 0 {
		delete(m.pools.leaving, m.node)
	}
	m.pools.startWaiting(m.Service, false)
}

// Rest sends the upstream no requests for a while, because it asked for that.
func (m *Member) Rest(d time.Duration) {
	m.pools.mu.Lock()
	defer m.pools.mu.Unlock()
	until := m.pools.clock.Now().Add(d)
	m.node.Rest(until)
	if incarnation := m.Incarnation(); until.After(m.pools.rests[incarnation]) {
		m.pools.rests[incarnation] = until
	}
}

// restingFor returns how long it takes until an upstream of the service that rests can be
// used again, 0 if none rests. all is set if every upstream of the service rests.
func (p *Pools) restingFor(service string) (d time.Duration, all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	earliest, all := p.pool(service).Resting(now)
	if earliest.IsZero() {
		return 0, all
	}
	return earliest.Sub(now), all
}

// MarkGone skips the upstream for a while because another one has its address.
func (m *Member) MarkGone() {
	m.pools.mu.Lock()
	defer m.pools.mu.Unlock()
	m.node.MarkGone(m.pools.clock.Now())
}

// SuspendGroup skips the upstreams of the member's group for a while: they step together,
// and one of them has failed.
func (m *Member) SuspendGroup() {
	m.pools.mu.Lock()
	defer m.pools.mu.Unlock()
	m.pools.pool(m.Service).SuspendGroup(m.node, m.pools.clock.Now())
}
