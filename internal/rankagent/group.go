package rankagent

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/fleet"
	"github.com/kingcupreel/kingcupreel/internal/ranks"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

const (
	// callTimeout bounds a query or order to another agent. It allows the agent to
	// send the order to its engine repeatedly and to read the status after it.
	callTimeout = 500 * time.Millisecond
	// pollPause is the time between two readings of a group during a switch. It is
	// multiplied by the number of ranks divided by ranksPerPause, but at least by 1.
	pollPause     = 30 * time.Millisecond
	ranksPerPause = 16
)

// group reaches the ranks of one group through their agents, or their engines directly
// if an agent doesn't answer. Its connections end with ctx. It implements ranks.Group.
type group struct {
	a    *Agent
	ctx  context.Context
	name string

	mu    sync.Mutex // leaf
	peers map[string]*peer
	// agentByRank holds the name of each rank's agent.
	agentByRank map[int]string
	// intermediaryIndex is the position of intermediary's rotation through the
	// agents.
	intermediaryIndex int
	// roundTrips holds the durations of rounds of orders, except those with a
	// Prepare, whose answers wait for a copy.
	roundTrips ranks.RoundTrips
}

// addRoundTrip records the duration of a round of orders.
func (g *group) addRoundTrip(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.roundTrips.Add(d)
}

// expectedRoundTrip returns how long a round of orders is expected to take.
func (g *group) expectedRoundTrip() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.roundTrips.Expected()
}

// peer is another agent, or this one, with the engine of its rank.
type peer struct {
	*fleet.Caller[*wire.RankState]
	member fleet.Member
	engine Engine
}

func (a *Agent) newGroup(ctx context.Context, name string) *group {
	return &group{a: a, ctx: ctx, name: name, peers: map[string]*peer{}, agentByRank: map[int]string{}}
}

// refresh updates the peers from the registrations and returns them.
func (g *group) refresh() []*peer {
	members := g.a.View.Members(fleet.RoleRank)
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]*peer, 0, len(members))
	for _, m := range members {
		p := g.peers[m.Name]
		if p == nil || p.member != m {
			p = &peer{Caller: fleet.NewCaller[*wire.RankState](m.Address), member: m, engine: g.a.Connect(m.Upstream)}
			g.peers[m.Name] = p
		}
		list = append(list, p)
	}
	return list
}

// call sends a message to another agent and waits for the answer. It returns nil if
// there is none or the agent is this one.
func (g *group) call(p *peer, build func(nonce uint64) wire.Message) *wire.RankState {
	if p.member.Name == g.a.Self.Name {
		return nil
	}
	ctx, cancel := context.WithTimeout(g.ctx, callTimeout)
	defer cancel()
	c := g.connect(p)
	if c == nil {
		return nil
	}
	st, err := p.Call(ctx, c, build)
	if err != nil && ctx.Err() != nil {
		c.Close() // the connection may be dead
	}
	return st
}

// peer returns the agent with a name, or nil if it isn't registered.
func (g *group) peer(name string) *peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.peers[name]
}

// connect returns an open connection to an agent, or nil if dialling fails.
func (g *group) connect(p *peer) *wire.Conn {
	c, err := p.Connect(g.ctx)
	if err != nil {
		g.a.Log.Info("failed to connect to a rank's agent", zap.String("agent", p.member.Name), zap.Error(err))
		return nil
	}
	return c
}

// read reads the ranks of some peers in parallel.
func (g *group) read(peers []*peer, withSelections, withLists bool) map[int]*wire.RankState {
	states := gather(context.Background(), peers, func(p *peer) *wire.RankState {
		if p.member.Name == g.a.Self.Name {
			return g.a.read(g.ctx, withSelections, withLists)
		}
		if st := g.call(p, func(n uint64) wire.Message {
			return &wire.RankQuery{Nonce: n, Selections: withSelections, ExpertLists: withLists}
		}); st != nil {
			return st
		}
		// Selection counts are not read from another VM: that would stall the group.
		return read(g.ctx, p.engine, withLists)
	})
	return g.indexByRank(states)
}

// indexByRank returns the answers of this group's ranks by rank and records each rank's
// agent.
func (g *group) indexByRank(states map[*peer]*wire.RankState) map[int]*wire.RankState {
	all := map[int]*wire.RankState{}
	g.mu.Lock()
	defer g.mu.Unlock()
	for p, st := range states {
		if st != nil && st.OK && st.Status.Group == g.name {
			all[st.Status.Rank] = st
			g.agentByRank[st.Status.Rank] = p.member.Name
		}
	}
	return all
}

// ReadStatuses implements ranks.Group.
func (g *group) ReadStatuses() map[int]ranks.Status {
	all := map[int]ranks.Status{}
	for rank, st := range g.read(g.refresh(), false, false) {
		all[rank] = st.Status
	}
	return all
}

// addressedOrder is an order with its destination.
type addressedOrder struct {
	rank  int
	peer  *peer
	order ranks.Order
}

// Order implements ranks.Group.
func (g *group) Order(orders map[int]ranks.Order) map[int]ranks.Answer {
	list := g.addressOrders(orders)
	if len(list) < len(orders) {
		g.ReadStatuses() // learns the ranks of agents that have registered since the last reading
		list = g.addressOrders(orders)
	}
	start := g.a.Clock.Now()
	defer func() {
		if !containsPrepare(orders) {
			g.addRoundTrip(g.a.Clock.Since(start))
		}
	}()
	answers := map[int]ranks.Answer{}
	var mu sync.Mutex
	onAnswer := func(to addressedOrder, st *wire.RankState) {
		mu.Lock()
		defer mu.Unlock()
		answers[to.rank] = ranks.Answer{Verdict: st.Verdict, Status: st.Status, OK: st.OK}
	}
	var wg sync.WaitGroup
	for _, branch := range branchOrders(list, g.a.Self.Name) {
		wg.Go(func() { g.order(branch, onAnswer) })
	}
	wg.Wait()
	return answers
}

// addressOrders returns orders with their destinations, sorted by rank. It omits ranks
// whose agent isn't known.
func (g *group) addressOrders(orders map[int]ranks.Order) []addressedOrder {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []addressedOrder
	for rank, o := range orders {
		if p := g.peers[g.agentByRank[rank]]; p != nil {
			list = append(list, addressedOrder{rank: rank, peer: p, order: o})
		}
	}
	slices.SortFunc(list, func(a, b addressedOrder) int { return a.rank - b.rank })
	return list
}

// sendOrder sends an order to a rank's agent, or directly to the engine if the agent
// doesn't answer. A Hold goes through an intermediary if there is one.
func (g *group) sendOrder(p *peer, o ranks.Order) *wire.RankState {
	if o.Op == ranks.Hold {
		if intermediary := g.intermediary(p); intermediary != nil {
			return g.sendHoldVia(intermediary, p, o)
		}
	}
	if st := g.call(p, func(n uint64) wire.Message { return &wire.RankOrder{Nonce: n, Order: o} }); st != nil {
		return st
	}
	return g.sendOrderDirectly(p, o)
}

// sendHoldVia makes a third agent send a Hold to a rank's engine. If that agent's VM
// stops while it sends the order, both the leader and the held rank stay reachable, and
// the leader can release the group. Without an answer the verdict is Unknown.
func (g *group) sendHoldVia(intermediary, p *peer, o ranks.Order) *wire.RankState {
	ctx, cancel := context.WithTimeout(g.ctx, holdTimeout)
	defer cancel()
	st := gather(ctx, []*peer{intermediary}, func(*peer) *wire.RankState {
		return g.call(intermediary, func(n uint64) wire.Message { return &wire.RankOrder{Nonce: n, Order: o, ForAgent: p.member.Name} })
	})[intermediary]
	if st == nil {
		g.a.Log.Info("hold sent through another agent was not answered", zap.String("through", intermediary.member.Name), zap.String("rank_of", p.member.Name),
			zap.Int64("step", o.Step), zap.Int64("fence", o.Fence))
		return &wire.RankState{}
	}
	return st
}

// holdTimeout bounds a Hold through an intermediary. It allows several sends of an order
// whose answer is lost.
const holdTimeout = 200 * time.Millisecond

// intermediary returns an agent that is neither this one nor p, or nil if there is none.
// Successive calls rotate through the agents, so that one that doesn't answer isn't
// used for the next Hold too.
func (g *group) intermediary(p *peer) *peer {
	rankedPeers := g.rankedPeers()
	g.mu.Lock()
	defer g.mu.Unlock()
	for range rankedPeers {
		g.intermediaryIndex++
		if candidate := rankedPeers[g.intermediaryIndex%len(rankedPeers)]; candidate != p && candidate.member.Name != g.a.Self.Name {
			return candidate
		}
	}
	return nil
}

// remoteRanks returns up to n ranks of other agents, from rank first on and then from rank 0.
// If none is known, it returns rank 0.
func (g *group) remoteRanks(size, first, n int) []int {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []int
	for i := range size {
		rank := (first + i) % size
		if name, known := g.agentByRank[rank]; known && name != g.a.Self.Name && len(list) < n {
			list = append(list, rank)
		}
	}
	if list == nil {
		return []int{0}
	}
	return list
}

// containsPrepare reports whether any order is a Prepare, whose answer waits for a copy.
func containsPrepare(orders map[int]ranks.Order) bool {
	for _, o := range orders {
		if o.Op == ranks.Prepare {
			return true
		}
	}
	return false
}

// pauseDuration returns the time between two readings. It grows with the group's size,
// so that the group's message rate doesn't.
func (g *group) pauseDuration() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return pollPause * time.Duration(max(len(g.agentByRank)/ranksPerPause, 1))
}

// Pause implements ranks.Group.
func (g *group) Pause() bool {
	select {
	case <-g.ctx.Done():
		return false
	case <-g.a.Clock.After(g.pauseDuration()):
		return true
	}
}
