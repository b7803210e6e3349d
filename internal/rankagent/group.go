package rankagent

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/fleet"
	"github.com/kingcupreel/kingcupreel/internal/ranks"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

const (
	// askTimeout bounds a question to another rank's agent: all repeats of an
	// order, and the reading after it.
	askTimeout = 500 * time.Millisecond
	// groupPause is the time between two readings of a group in a switch, for
	// each pausedRanks ranks.
	groupPause  = 30 * time.Millisecond
	pausedRanks = 16
)

// group reaches the ranks of one group through their agents, or directly where
// an agent doesn't answer. Its connections end with ctx. It implements
// ranks.Group.
type group struct {
	a    *Agent
	ctx  context.Context
	name string

	mu    sync.Mutex // leaf
	peers map[string]*peer
	// byRank names the member that looks after each rank.
	byRank map[int]string
	// thirds counts the agents that were looked at to give a Hold.
	thirds int
	// rounds are those of orders, without the ones in which experts are copied.
	rounds ranks.RoundTrips
}

// took notes how long a round of orders has taken.
func (g *group) took(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rounds.Add(d)
}

// roundTime returns how long a round of orders takes of late.
func (g *group) roundTime() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rounds.Expected()
}

// peer is the connection to another agent.
type peer struct {
	member fleet.Member
	nonce  atomic.Uint64
	// dial serialises dialling.
	dial sync.Mutex

	mu      sync.Mutex // leaf
	conn    *wire.Conn
	waiting map[uint64]chan *wire.RankState
	engine  Engine
}

func (a *Agent) newGroup(ctx context.Context, name string) *group {
	return &group{a: a, ctx: ctx, name: name, peers: map[string]*peer{}, byRank: map[int]string{}}
}

// refresh brings the peers in step with the registrations.
func (g *group) refresh() []*peer {
	members := g.a.View.Members(fleet.RoleRank)
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]*peer, 0, len(members))
	for _, m := range members {
		p := g.peers[m.Name]
		if p == nil || p.member != m {
			p = &peer{member: m, waiting: map[uint64]chan *wire.RankState{}, engine: g.a.Connect(m.Upstream)}
			g.peers[m.Name] = p
		}
		list = append(list, p)
	}
	return list
}

// ask sends a question to an agent and waits for the answer; nil means none.
func (g *group) ask(p *peer, build func(nonce uint64) wire.Message) *wire.RankState {
	if p.member.Name == g.a.Self.Name {
		return nil
	}
	ctx, cancel := context.WithTimeout(g.ctx, askTimeout)
	defer cancel()
	c := g.connect(p)
	if c == nil {
		return nil
	}
	nonce, reply := p.expect()
	defer p.forget(nonce)
	if c.Send(build(nonce)) != nil {
		return nil
	}
	st := await(ctx, c, reply)
	if st == nil && ctx.Err() != nil {
		c.Close() // it may have gone silent
	}
	return st
}

// peer returns the agent of a name, nil for one that isn't registered.
func (g *group) peer(name string) *peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.peers[name]
}

// expect returns the nonce of a question and where its answer will come.
func (p *peer) expect() (nonce uint64, reply chan *wire.RankState) {
	nonce = p.nonce.Add(1)
	reply = make(chan *wire.RankState, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting[nonce] = reply
	return nonce, reply
}

// forget gives up on an answer.
func (p *peer) forget(nonce uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, nonce)
}

// await waits for an answer; nil means that none came.
func await(ctx context.Context, c *wire.Conn, reply chan *wire.RankState) *wire.RankState {
	select {
	case st := <-reply:
		return st
	case <-c.Closed():
	case <-ctx.Done():
	}
	return nil
}

// connect returns an open connection to an agent, or nil.
func (g *group) connect(p *peer) *wire.Conn {
	p.dial.Lock()
	defer p.dial.Unlock()
	p.mu.Lock()
	c := p.conn
	p.mu.Unlock()
	if c != nil {
		select {
		case <-c.Closed():
		default:
			return c
		}
	}
	c, err := fleet.Dial(g.ctx, p.member.Address, p)
	if err != nil {
		g.a.Log.Info("rank's agent doesn't answer", zap.String("agent", p.member.Name), zap.Error(err))
		return nil
	}
	p.mu.Lock()
	p.conn = c
	p.mu.Unlock()
	return c
}

// Receive implements wire.Handler.
func (p *peer) Receive(_ *wire.Conn, m wire.Message) {
	st, ok := m.(*wire.RankState)
	if !ok {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if reply := p.waiting[st.Nonce]; reply != nil {
		delete(p.waiting, st.Nonce)
		reply <- st
	}
}

// read reads the ranks of some peers at once.
func (g *group) read(peers []*peer, chosen, lists bool) map[int]*wire.RankState {
	states := gather(context.Background(), peers, func(p *peer) *wire.RankState {
		if p.member.Name == g.a.Self.Name {
			return g.a.read(g.ctx, chosen, lists)
		}
		if st := g.ask(p, func(n uint64) wire.Message { return &wire.RankAsk{Nonce: n, Selections: chosen, ExpertLists: lists} }); st != nil {
			return st
		}
		// Counts read from afar would make the group pause, so they are not.
		return read(g.ctx, p.engine, lists)
	})
	return g.byRankOf(states)
}

// byRankOf sorts the answers of peers by their ranks, and keeps who looks after
// each.
func (g *group) byRankOf(states map[*peer]*wire.RankState) map[int]*wire.RankState {
	all := map[int]*wire.RankState{}
	g.mu.Lock()
	defer g.mu.Unlock()
	for p, st := range states {
		if st != nil && st.OK && st.Status.Group == g.name {
			all[st.Status.Rank] = st
			g.byRank[st.Status.Rank] = p.member.Name
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

// addressee is a rank that an order goes to.
type addressee struct {
	rank  int
	peer  *peer
	order ranks.Order
}

// Order implements ranks.Group.
func (g *group) Order(orders map[int]ranks.Order) map[int]ranks.Answer {
	start := g.a.Clock.Now()
	defer func() {
		if !copies(orders) {
			g.took(g.a.Clock.Since(start))
		}
	}()
	answers := map[int]ranks.Answer{}
	var mu sync.Mutex
	answered := func(to addressee, st *wire.RankState) {
		mu.Lock()
		defer mu.Unlock()
		answers[to.rank] = ranks.Answer{Verdict: st.Verdict, Status: st.Status, OK: st.OK}
	}
	var wg sync.WaitGroup
	for _, branch := range branches(g.addressees(orders), g.a.Self.Name) {
		wg.Go(func() { g.order(branch, answered) })
	}
	wg.Wait()
	return answers
}

// addressees returns the ranks that orders go to, in the order of their ranks.
func (g *group) addressees(orders map[int]ranks.Order) []addressee {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []addressee
	for rank, o := range orders {
		if p := g.peers[g.byRank[rank]]; p != nil {
			list = append(list, addressee{rank: rank, peer: p, order: o})
		}
	}
	slices.SortFunc(list, func(a, b addressee) int { return a.rank - b.rank })
	return list
}

// orderOne has a rank's agent carry out an order, or gives it to the engine where
// the agent doesn't answer.
func (g *group) orderOne(p *peer, o ranks.Order) *wire.RankState {
	if o.Op == ranks.Hold {
		if third := g.third(p); third != nil {
			return g.orderThrough(third, p, o)
		}
	}
	if st := g.ask(p, func(n uint64) wire.Message { return &wire.RankOrder{Nonce: n, Order: o} }); st != nil {
		return st
	}
	return carryOut(g.ctx, p.engine, o, g.timeout(p))
}

// orderThrough has a third agent give a Hold to a rank's engine. A VM that stops as
// it gives the order then takes neither the leader nor the held rank with it, and
// the leader can let the group go on. Without an answer the verdict is Unknown.
func (g *group) orderThrough(third, p *peer, o ranks.Order) *wire.RankState {
	ctx, cancel := context.WithTimeout(g.ctx, holdTimeout)
	defer cancel()
	st := gather(ctx, []*peer{third}, func(*peer) *wire.RankState {
		return g.ask(third, func(n uint64) wire.Message { return &wire.RankOrder{Nonce: n, Order: o, For: p.member.Name} })
	})[third]
	if st == nil {
		g.a.Log.Info("hold not answered", zap.String("through", third.member.Name), zap.String("rank_of", p.member.Name),
			zap.Int64("step", o.Step), zap.Int64("fence", o.Fence))
		return &wire.RankState{}
	}
	return st
}

// holdTimeout bounds a Hold through a third agent: some repeats of an order whose
// answer is lost.
const holdTimeout = 200 * time.Millisecond

// third returns an agent that is neither this one nor p, nil for none. It changes
// from hold to hold, so that one that doesn't answer is not asked again at once.
func (g *group) third(p *peer) *peer {
	known := g.known()
	g.mu.Lock()
	defer g.mu.Unlock()
	for range known {
		g.thirds++
		if t := known[g.thirds%len(known)]; t != p && t.member.Name != g.a.Self.Name {
			return t
		}
	}
	return nil
}

// rankElsewhere returns a rank that another agent than this one looks after; the
// own one where there is no other.
func (g *group) rankElsewhere(size int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	for rank := range size {
		if name, known := g.byRank[rank]; known && name != g.a.Self.Name {
			return rank
		}
	}
	return 0
}

// copies says whether the ranks copy experts before they answer the orders.
func copies(orders map[int]ranks.Order) bool {
	for _, o := range orders {
		if o.Op == ranks.Prepare {
			return true
		}
	}
	return false
}

// timeout bounds an order that is given to a peer's engine directly. Where the
// rank has an agent that didn't answer, the order may have been carried out
// already: a copy is void or finds its state holding.
func (g *group) timeout(p *peer) time.Duration {
	if p.member.Name == g.a.Self.Name {
		return localTimeout
	}
	return farTimeout
}

// pause is the time between two readings: the same messages a second from the
// whole group, whatever its size.
func (g *group) pause() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return groupPause * time.Duration(max(len(g.byRank)/pausedRanks, 1))
}

// Pause implements ranks.Group.
func (g *group) Pause() bool {
	select {
	case <-g.ctx.Done():
		return false
	case <-g.a.Clock.After(g.pause()):
		return true
	}
}
