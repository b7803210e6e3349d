package agent

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/expertmap"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/timeline"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

const (
	// mapTick is how often missing votes and reports are asked for.
	mapTick = 100 * time.Millisecond
	// mapQueue bounds the map messages that wait; more are dropped, and sent
	// again by their senders.
	mapQueue = 1024
	// errorBackoff is the wait after an engine without expert maps.
	errorBackoff = 2 * time.Second
)

// mapMessage is a message for the map part, with the connection it came on.
type mapMessage struct {
	conn *wire.Conn
	m    wire.Message
}

// mapPart is the agent's part in orders about expert maps. Its loop alone uses
// the member and the planner's lease; peers has a lock of its own.
type mapPart struct {
	agent  *Agent
	engine *mapEngine
	inbox  chan mapMessage
	peers  mapPeers

	group  string
	rank   int
	member *expertmap.Member
	holder leaseHolder
	active int64
}

// leaseHolder is what the agent knows of the planner's lease: the number and
// the process that a read of the lease gave, and the question on its way.
type leaseHolder struct {
	fence   int64
	process string
	nonce   uint64
	asked   time.Time
}

func newMapPart(a *Agent) *mapPart {
	p := &mapPart{agent: a, engine: newMapEngine(a.opts.Target), inbox: make(chan mapMessage, mapQueue)}
	p.peers = mapPeers{part: p, links: map[string]*mapPeer{}}
	return p
}

// receive queues a message. It never blocks.
func (p *mapPart) receive(c *wire.Conn, m wire.Message) {
	switch m.Kind() {
	case wire.KindMapStage, wire.KindMapSwitch, wire.KindMapStatusQuery, wire.KindMapVote,
		wire.KindMapReport, wire.KindMapRoundQuery, wire.KindMapRoundInfo, wire.KindFenceInfo:
	default:
		p.agent.count("frames.unexpected")
		return
	}
	select {
	case p.inbox <- mapMessage{c, m}:
	default:
		p.agent.count("maps.dropped")
	}
}

// run serves the map part until ctx is done.
func (p *mapPart) run(ctx context.Context) {
	ticker := time.NewTicker(mapTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-p.inbox:
			if p.joined(ctx) {
				p.handle(m.conn, m.m)
			}
		case <-ticker.C:
			if p.joined(ctx) {
				p.tick()
			}
		}
	}
}

// joined says whether the upstream's record makes it a rank of a group with
// experts, and follows changes of the record.
func (p *mapPart) joined(ctx context.Context) bool {
	snap := p.agent.opts.Store.Current()
	u := snap.Upstreams[p.agent.opts.Hello.Upstream]
	if u == nil || snap.Groups[u.Group] == nil || snap.Groups[u.Group].Experts == 0 {
		return false
	}
	if p.member == nil || p.group != u.Group || p.rank != u.Rank {
		p.group, p.rank = u.Group, u.Rank
		p.member = expertmap.NewMember(u.Rank, snap.Groups[u.Group].Ranks, p.engine)
		p.holder = leaseHolder{}
	}
	p.peers.reconcile(ctx, snap, u)
	return true
}

func (p *mapPart) tick() {
	p.peers.broadcast(p.wrap(p.member.Tick()))
	if _, known := p.member.Fence(); !known {
		p.askFence()
	}
	s, err := p.engine.Status()
	if err != nil {
		time.Sleep(rand.N(errorBackoff))
		return
	}
	if s.Active != p.active {
		p.active = s.Active
		p.agent.opts.Events.Add(timeline.Event{Kind: timeline.MapActive, Object: p.group, Revision: s.Active})
	}
}

func (p *mapPart) handle(c *wire.Conn, m wire.Message) {
	switch m := m.(type) {
	case *wire.MapStatusQuery:
		p.answerStatus(c, m.Nonce)
	case *wire.MapStage:
		p.answer(c, m.Nonce, p.stage(c, m))
	case *wire.MapSwitch:
		p.answer(c, m.Nonce, p.order(c, m))
	case *wire.FenceInfo:
		p.learn(m)
	case *wire.MapVote:
		if m.Group == p.group {
			p.peers.broadcast(p.wrap(p.member.Vote(m.Vote)))
		}
	case *wire.MapReport:
		if m.Group == p.group {
			p.peers.broadcast(p.wrap(p.member.Report(m.Report)))
		}
	case *wire.MapRoundQuery:
		if m.Group == p.group {
			p.peers.broadcast(p.wrap(p.member.RoundQuery(m.Query)))
		}
	case *wire.MapRoundInfo:
		if m.Group == p.group {
			p.peers.broadcast(p.wrap(p.member.RoundInfo(m.Info)))
		}
	}
}

// wrap makes wire messages of a member's.
func (p *mapPart) wrap(messages []expertmap.Message) []wire.Message {
	out := make([]wire.Message, 0, len(messages))
	for _, m := range messages {
		switch m := m.(type) {
		case expertmap.Vote:
			out = append(out, &wire.MapVote{Group: p.group, Vote: m})
		case expertmap.Report:
			out = append(out, &wire.MapReport{Group: p.group, Report: m})
		case expertmap.RoundQuery:
			out = append(out, &wire.MapRoundQuery{Group: p.group, Query: m})
		case expertmap.RoundInfo:
			out = append(out, &wire.MapRoundInfo{Group: p.group, Info: m})
		}
	}
	return out
}

func (p *mapPart) stage(c *wire.Conn, m *wire.MapStage) error {
	if err := p.authorise(c, m.Group, m.Fence); err != nil {
		return err
	}
	if err := m.Map.Validate(); err != nil {
		return err
	}
	return p.engine.stage(m.Map, m.Fence)
}

func (p *mapPart) order(c *wire.Conn, m *wire.MapSwitch) error {
	if err := p.authorise(c, m.Group, m.Fence); err != nil {
		return err
	}
	out, err := p.member.Order(expertmap.Order{ID: m.ID, Fence: m.Fence})
	p.peers.broadcast(p.wrap(out))
	return err
}

// authorise takes orders only from the process that a read of the lease named,
// with the lease's number. A newer number, or the first after a restart, is
// looked up first; the planner sends its order again.
func (p *mapPart) authorise(c *wire.Conn, group string, fence int64) error {
	if group != p.group {
		return fault.New(fault.NotFound, "read the upstream's record", "the rank belongs to group %q, not %q", p.group, group)
	}
	if highest, _ := p.member.Fence(); fence < max(highest, p.holder.fence) {
		p.refused(c, "old fencing number")
		return fault.New(fault.Stale, "take the planner's lease before giving orders", "fencing number %d is older than %d", fence, max(highest, p.holder.fence))
	}
	if fence > p.holder.fence {
		p.askFence()
		return fault.New(fault.Unavailable, "send the order again", "fencing number %d is being looked up", fence)
	}
	if p.holder.process != c.Peer().Process {
		p.refused(c, "not the planner")
		return fault.New(fault.Forbidden, "take the planner's lease before giving orders", "%s holds the planner's lease, not %s", p.holder.process, c.Peer().Process)
	}
	return p.member.CheckFence(fence)
}

func (p *mapPart) refused(c *wire.Conn, why string) {
	p.agent.count("maps.refused")
	p.agent.opts.Events.Add(timeline.Event{Kind: timeline.OrderRefused, Object: p.group, Detail: c.Peer().Process + ": " + why})
}

// askFence asks the entries to read the lease. Only a read that began after the
// question will do: the nonce tells the answers apart.
func (p *mapPart) askFence() {
	if p.holder.nonce != 0 && time.Since(p.holder.asked) < mapTick {
		return
	}
	if p.holder.nonce == 0 {
		p.holder.nonce = rand.Uint64() | 1
	}
	p.holder.asked = time.Now()
	p.agent.broadcast(&wire.FenceQuery{Nonce: p.holder.nonce, Group: p.group})
}

// learn takes a read of the lease. Numbers only rise.
func (p *mapPart) learn(m *wire.FenceInfo) {
	if m.Group != p.group || m.Nonce != p.holder.nonce {
		return
	}
	p.holder.nonce = 0
	if m.Fence >= p.holder.fence {
		p.holder.fence, p.holder.process = m.Fence, m.Holder
	}
	p.member.RaiseFence(m.Fence)
}

func (p *mapPart) answer(c *wire.Conn, nonce uint64, err error) {
	a := &wire.MapAnswer{Nonce: nonce, Rank: p.rank}
	if err != nil {
		e := fault.As(err)
		a.Reason, a.Message = e.Kind, e.Error()
	}
	_ = c.Send(a)
}

func (p *mapPart) answerStatus(c *wire.Conn, nonce uint64) {
	s, err := p.engine.status()
	if err != nil {
		p.answer(c, nonce, err)
		return
	}
	_ = c.Send(&wire.MapAnswer{
		Nonce: nonce, Rank: p.rank, Status: s.Status, Map: s.Map,
		Window: s.Window, Tokens: s.Tokens, StepMicros: s.StepMicros,
	})
}

// mapPeers are the connections to the other agents of the group.
type mapPeers struct {
	part  *mapPart
	links map[string]*mapPeer // by address; used by the part's loop alone
}

// mapPeer is the connection to one agent, redialled when it ends.
type mapPeer struct {
	stop context.CancelFunc
	mu   sync.Mutex // leaf lock
	conn *wire.Conn
}
