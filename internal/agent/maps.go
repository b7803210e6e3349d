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
	// mapTickInterval is how often missing votes and reports are asked for.
	mapTickInterval = 100 * time.Millisecond
	// maxMapMessages bounds the map messages that wait; more are dropped, and sent
	// again by their senders.
	maxMapMessages = 1024
	// errorBackoff is the wait after an engine without expert maps.
	errorBackoff = 2 * time.Second
)

// mapMessage is a message for the map part, with the connection it came on.
type mapMessage struct {
	conn *wire.Conn
	m    wire.Message
}

// mapHandler is the agent's part in orders about expert maps. Its loop alone uses
// the member and the planner's lease; peers has a lock of its own.
type mapHandler struct {
	agent  *Agent
	engine *mapEngine
	inbox  chan mapMessage
	peers  mapPeers

	group         string
	rank          int
	member        *expertmap.Member
	lease         plannerLease
	activeVersion int64
}

// plannerLease is what the agent knows of the planner's lease: the number and
// the process that a read of the lease gave, and the question on its way.
type plannerLease struct {
	fence     int64
	process   string
	nonce     uint64
	queriedAt time.Time
}

func newMapHandler(a *Agent) *mapHandler {
	p := &mapHandler{agent: a, engine: newMapEngine(a.opts.Target), inbox: make(chan mapMessage, maxMapMessages)}
	p.peers = mapPeers{handler: p, links: map[string]*mapPeer{}}
	return p
}

// receive queues a message. It never blocks.
func (p *mapHandler) receive(c *wire.Conn, m wire.Message) {
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
func (p *mapHandler) run(ctx context.Context) {
	ticker := time.NewTicker(mapTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-p.inbox:
			if p.syncMembership(ctx) {
				p.handle(m.conn, m.m)
			}
		case <-ticker.C:
			if p.syncMembership(ctx) {
				p.tick()
			}
		}
	}
}

// syncMembership says whether the upstream's record makes it a rank of a group with
// experts, and follows changes of the record.
func (p *mapHandler) syncMembership(ctx context.Context) bool {
	snap := p.agent.opts.Store.Current()
	u := snap.Upstreams[p.agent.opts.Hello.Upstream]
	if u == nil || snap.Groups[u.Group] == nil || snap.Groups[u.Group].Experts == 0 {
		return false
	}
	if p.member == nil || p.group != u.Group || p.rank != u.Rank {
		p.group, p.rank = u.Group, u.Rank
		p.member = expertmap.NewMember(u.Rank, snap.Groups[u.Group].Ranks, p.engine)
		p.lease = plannerLease{}
	}
	p.peers.reconcile(ctx, snap, u)
	return true
}

func (p *mapHandler) tick() {
	p.peers.broadcast(p.toWire(p.member.Tick()))
	if _, known := p.member.Fence(); !known {
		p.queryFence()
	}
	s, err := p.engine.Status()
	if err != nil {
		time.Sleep(rand.N(errorBackoff))
		return
	}
	if s.Active != p.activeVersion {
		p.activeVersion = s.Active
		p.agent.opts.Events.Add(timeline.Event{Kind: timeline.MapActive, Object: p.group, Revision: s.Active})
	}
}

func (p *mapHandler) handle(c *wire.Conn, m wire.Message) {
	switch m := m.(type) {
	case *wire.MapStatusQuery:
		p.replyStatus(c, m.Nonce)
	case *wire.MapStage:
		p.reply(c, m.Nonce, p.stage(c, m))
	case *wire.MapSwitch:
		p.reply(c, m.Nonce, p.orderSwitch(c, m))
	case *wire.FenceInfo:
		p.updateLease(m)
	case *wire.MapVote:
		if m.Group == p.group {
			p.peers.broadcast(p.toWire(p.member.Vote(m.Vote)))
		}
	case *wire.MapReport:
		if m.Group == p.group {
			p.peers.broadcast(p.toWire(p.member.Report(m.Report)))
		}
	case *wire.MapRoundQuery:
		if m.Group == p.group {
			p.peers.broadcast(p.toWire(p.member.RoundQuery(m.Query)))
		}
	case *wire.MapRoundInfo:
		if m.Group == p.group {
			p.peers.broadcast(p.toWire(p.member.RoundInfo(m.Info)))
		}
	}
}

// toWire makes wire messages of a member's.
func (p *mapHandler) toWire(messages []expertmap.Message) []wire.Message {
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

func (p *mapHandler) stage(c *wire.Conn, m *wire.MapStage) error {
	if err := p.authorise(c, m.Group, m.Fence); err != nil {
		return err
	}
	if err := m.Map.Validate(); err != nil {
		return err
	}
	return p.engine.stage(m.Map, m.Fence)
}

func (p *mapHandler) orderSwitch(c *wire.Conn, m *wire.MapSwitch) error {
	if err := p.authorise(c, m.Group, m.Fence); err != nil {
		return err
	}
	out, err := p.member.Order(expertmap.Order{ID: m.ID, Fence: m.Fence})
	p.peers.broadcast(p.toWire(out))
	return err
}

// authorise takes orders only from the process that a read of the lease named,
// with the lease's number. A newer number, or the first after a restart, is
// looked up first; the planner sends its order again.
func (p *mapHandler) authorise(c *wire.Conn, group string, fence int64) error {
	if group != p.group {
		return fault.New(fault.NotFound, "read the upstream's record", "the rank belongs to group %q, not %q", p.group, group)
	}
	if highest, _ := p.member.Fence(); fence < max(highest, p.lease.fence) {
		p.recordRefusal(c, "old fencing number")
		return fault.New(fault.Stale, "take the planner's lease before giving orders", "fencing number %d is older than %d", fence, max(highest, p.lease.fence))
	}
	if fence > p.lease.fence {
		p.queryFence()
		return fault.New(fault.Unavailable, "send the order again", "fencing number %d is being looked up", fence)
	}
	if p.lease.process != c.Peer().Process {
		p.recordRefusal(c, "not the planner")
		return fault.New(fault.Forbidden, "take the planner's lease before giving orders", "%s holds the planner's lease, not %s", p.lease.process, c.Peer().Process)
	}
	return p.member.CheckFence(fence)
}

func (p *mapHandler) recordRefusal(c *wire.Conn, why string) {
	p.agent.count("maps.refused")
	p.agent.opts.Events.Add(timeline.Event{Kind: timeline.OrderRefused, Object: p.group, Detail: c.Peer().Process + ": " + why})
}

// queryFence asks the entries to read the lease. Only a read that began after the
// question will do: the nonce tells the answers apart.
func (p *mapHandler) queryFence() {
	if p.lease.nonce != 0 && time.Since(p.lease.queriedAt) < mapTickInterval {
		return
	}
	if p.lease.nonce == 0 {
		p.lease.nonce = rand.Uint64() | 1
	}
	p.lease.queriedAt = time.Now()
	p.agent.broadcast(&wire.FenceQuery{Nonce: p.lease.nonce, Group: p.group})
}

// updateLease takes a read of the lease. Numbers only rise.
func (p *mapHandler) updateLease(m *wire.FenceInfo) {
	if m.Group != p.group || m.Nonce != p.lease.nonce {
		return
	}
	p.lease.nonce = 0
	if m.Fence >= p.lease.fence {
		p.lease.fence, p.lease.process = m.Fence, m.Holder
	}
	p.member.RaiseFence(m.Fence)
}

func (p *mapHandler) reply(c *wire.Conn, nonce uint64, err error) {
	a := &wire.MapAnswer{Nonce: nonce, Rank: p.rank}
	if err != nil {
		e := fault.As(err)
		a.Reason, a.Message = e.Kind, e.Error()
	}
	_ = c.Send(a)
}

func (p *mapHandler) replyStatus(c *wire.Conn, nonce uint64) {
	s, err := p.engine.status()
	if err != nil {
		p.reply(c, nonce, err)
		return
	}
	_ = c.Send(&wire.MapAnswer{
		Nonce: nonce, Rank: p.rank, Status: s.Status, Map: s.Map,
		Window: s.Window, Tokens: s.Tokens, StepMicros: s.StepMicros,
	})
}

// mapPeers are the connections to the other agents of the group.
type mapPeers struct {
	handler *mapHandler
	links   map[string]*mapPeer // by address; used by the part's loop alone
}

// mapPeer is the connection to one agent, redialled when it ends.
type mapPeer struct {
	stop context.CancelFunc
	mu   sync.Mutex // leaf lock
	conn *wire.Conn
}
