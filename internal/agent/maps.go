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
	// mapTickInterval is how often missing votes and reports are requested.
	mapTickInterval = 100 * time.Millisecond
	// maxMapMessages is the number of map messages that may wait. More are dropped,
	// and their senders send them again.
	maxMapMessages = 1024
	// errorBackoff bounds the random delay after the engine's status could not be
	// read, for instance because the engine has no expert maps.
	errorBackoff = 2 * time.Second
)

// mapMessage is a message for the mapHandler, with the connection on which it
// was received.
type mapMessage struct {
	conn *wire.Conn
	m    wire.Message
}

// mapHandler carries out the planner's orders about expert maps. Only the loop in
// run uses the member and the planner's lease. Each peer connection has a lock of
// its own.
type mapHandler struct {
	agent  *Agent
	engine *mapEngine
	inbox  chan mapMessage
	peers  mapPeers

	group  string
	rank   int
	member *expertmap.Member
	lease  plannerLease
	// activeVersion is the version of the active map when last read.
	activeVersion int64
}

// plannerLease is the agent's copy of the planner's lease.
type plannerLease struct {
	// fence and process are the fencing number and the holder, as last read.
	fence   int64
	process string
	// nonce is that of the FenceQuery in flight, 0 for none, last sent at queriedAt.
	nonce     uint64
	queriedAt time.Time
}

func newMapHandler(a *Agent) *mapHandler {
	h := &mapHandler{agent: a, engine: newMapEngine(a.opts.Target), inbox: make(chan mapMessage, maxMapMessages)}
	h.peers = mapPeers{handler: h, links: map[string]*mapPeer{}}
	return h
}

// receive queues a message for run. It never blocks: a message that doesn't fit
// is dropped.
func (h *mapHandler) receive(c *wire.Conn, m wire.Message) {
	switch m.Kind() {
	case wire.KindMapStage, wire.KindMapSwitch, wire.KindMapStatusQuery, wire.KindMapVote,
		wire.KindMapReport, wire.KindMapRoundQuery, wire.KindMapRoundInfo, wire.KindFenceInfo:
	default:
		h.agent.count("frames.unexpected")
		return
	}
	select {
	case h.inbox <- mapMessage{c, m}:
	default:
		h.agent.count("maps.dropped")
	}
}

// run handles messages and ticks until ctx is done.
func (h *mapHandler) run(ctx context.Context) {
	ticker := time.NewTicker(mapTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-h.inbox:
			if h.syncMembership(ctx) {
				h.handle(m.conn, m.m)
			}
		case <-ticker.C:
			if h.syncMembership(ctx) {
				h.tick()
			}
		}
	}
}

// syncMembership brings the member and the peer connections in line with the
// upstream's record. It reports whether the record makes the upstream a rank of a
// group with experts.
func (h *mapHandler) syncMembership(ctx context.Context) bool {
	snap := h.agent.opts.Store.Current()
	u := snap.Upstreams[h.agent.opts.Hello.Upstream]
	if u == nil || snap.Groups[u.Group] == nil || snap.Groups[u.Group].Experts == 0 {
		return false
	}
	if h.member == nil || h.group != u.Group || h.rank != u.Rank {
		h.group, h.rank = u.Group, u.Rank
		h.member = expertmap.NewMember(u.Rank, snap.Groups[u.Group].Ranks, h.engine)
		h.lease = plannerLease{}
	}
	h.peers.reconcile(ctx, snap, u)
	return true
}

// tick sends the messages that are due, queries the fencing number if it isn't
// known, and records a change of the active map.
func (h *mapHandler) tick() {
	h.peers.broadcast(h.toWire(h.member.Tick()))
	if _, known := h.member.Fence(); !known {
		h.queryFence()
	}
	s, err := h.engine.Status()
	if err != nil {
		time.Sleep(rand.N(errorBackoff))
		return
	}
	if s.Active != h.activeVersion {
		h.activeVersion = s.Active
		h.agent.opts.Events.Add(timeline.Event{Kind: timeline.MapActive, Object: h.group, Revision: s.Active})
	}
}

func (h *mapHandler) handle(c *wire.Conn, m wire.Message) {
	switch m := m.(type) {
	case *wire.MapStatusQuery:
		h.replyStatus(c, m.Nonce)
	case *wire.MapStage:
		h.reply(c, m.Nonce, h.stage(c, m))
	case *wire.MapSwitch:
		h.reply(c, m.Nonce, h.orderSwitch(c, m))
	case *wire.FenceInfo:
		h.updateLease(m)
	case *wire.MapVote:
		if m.Group == h.group {
			h.peers.broadcast(h.toWire(h.member.Vote(m.Vote)))
		}
	case *wire.MapReport:
		if m.Group == h.group {
			h.peers.broadcast(h.toWire(h.member.Report(m.Report)))
		}
	case *wire.MapRoundQuery:
		if m.Group == h.group {
			h.peers.broadcast(h.toWire(h.member.RoundQuery(m.Query)))
		}
	case *wire.MapRoundInfo:
		if m.Group == h.group {
			h.peers.broadcast(h.toWire(h.member.RoundInfo(m.Info)))
		}
	}
}

// toWire converts a member's messages to wire messages.
func (h *mapHandler) toWire(messages []expertmap.Message) []wire.Message {
	out := make([]wire.Message, 0, len(messages))
	for _, m := range messages {
		switch m := m.(type) {
		case expertmap.Vote:
			out = append(out, &wire.MapVote{Group: h.group, Vote: m})
		case expertmap.Report:
			out = append(out, &wire.MapReport{Group: h.group, Report: m})
		case expertmap.RoundQuery:
			out = append(out, &wire.MapRoundQuery{Group: h.group, Query: m})
		case expertmap.RoundInfo:
			out = append(out, &wire.MapRoundInfo{Group: h.group, Info: m})
		}
	}
	return out
}

// stage checks an order to stage a map and passes it to the engine.
func (h *mapHandler) stage(c *wire.Conn, m *wire.MapStage) error {
	if err := h.authorise(c, m.Group, m.Fence); err != nil {
		return err
	}
	if err := m.Map.Validate(); err != nil {
		return err
	}
	return h.engine.stage(m.Map, m.Fence)
}

// orderSwitch checks an order to switch maps, votes on it and sends the vote to
// the other ranks.
func (h *mapHandler) orderSwitch(c *wire.Conn, m *wire.MapSwitch) error {
	if err := h.authorise(c, m.Group, m.Fence); err != nil {
		return err
	}
	out, err := h.member.Order(expertmap.Order{ID: m.ID, Fence: m.Fence})
	h.peers.broadcast(h.toWire(out))
	return err
}

// authorise returns an error unless an order comes from the holder of the
// planner's lease, with the lease's fencing number. If the number is newer than
// the one known, or the first after a restart, the lease is read first: the
// order is refused for now, and the planner sends it again.
func (h *mapHandler) authorise(c *wire.Conn, group string, fence int64) error {
	if group != h.group {
		return fault.New(fault.NotFound, "read the upstream's record", "the rank belongs to group %q, not %q", h.group, group)
	}
	if highest, _ := h.member.Fence(); fence < max(highest, h.lease.fence) {
		h.recordRefusal(c, "old fencing number")
		return fault.New(fault.Stale, "acquire the planner's lease before sending orders", "fencing number %d is older than %d", fence, max(highest, h.lease.fence))
	}
	if fence > h.lease.fence {
		h.queryFence()
		return fault.New(fault.Unavailable, "send the order again", "fencing number %d is being looked up", fence)
	}
	if h.lease.process != c.Peer().Process {
		h.recordRefusal(c, "not the planner")
		return fault.New(fault.Forbidden, "acquire the planner's lease before sending orders", "%s holds the planner's lease, not %s", h.lease.process, c.Peer().Process)
	}
	return h.member.CheckFence(fence)
}

// recordRefusal counts a refused order and adds it to the event timeline.
func (h *mapHandler) recordRefusal(c *wire.Conn, why string) {
	h.agent.count("maps.refused")
	h.agent.opts.Events.Add(timeline.Event{Kind: timeline.OrderRefused, Object: h.group, Detail: c.Peer().Process + ": " + why})
}

// queryFence asks the entries to read the lease. The nonce identifies answers to
// this query: only a read that began after the query is accepted.
func (h *mapHandler) queryFence() {
	if h.lease.nonce != 0 && time.Since(h.lease.queriedAt) < mapTickInterval {
		return
	}
	if h.lease.nonce == 0 {
		h.lease.nonce = rand.Uint64() | 1
	}
	h.lease.queriedAt = time.Now()
	h.agent.broadcast(&wire.FenceQuery{Nonce: h.lease.nonce, Group: h.group})
}

// updateLease stores the lease that an entry has read in answer to queryFence. A
// fencing number below the one known is ignored.
func (h *mapHandler) updateLease(m *wire.FenceInfo) {
	if m.Group != h.group || m.Nonce != h.lease.nonce {
		return
	}
	h.lease.nonce = 0
	if m.Fence >= h.lease.fence {
		h.lease.fence, h.lease.process = m.Fence, m.Holder
	}
	h.member.RaiseFence(m.Fence)
}

// reply answers an order: with the rank alone if err is nil, and with the error
// otherwise.
func (h *mapHandler) reply(c *wire.Conn, nonce uint64, err error) {
	a := &wire.MapAnswer{Nonce: nonce, Rank: h.rank}
	if err != nil {
		e := fault.As(err)
		a.Reason, a.Message = e.Kind, e.Error()
	}
	_ = c.Send(a)
}

// replyStatus answers a MapStatusQuery with the engine's status, map and load.
func (h *mapHandler) replyStatus(c *wire.Conn, nonce uint64) {
	s, err := h.engine.status()
	if err != nil {
		h.reply(c, nonce, err)
		return
	}
	_ = c.Send(&wire.MapAnswer{
		Nonce: nonce, Rank: h.rank, Status: s.Status, Map: s.Map,
		Window: s.Window, Tokens: s.Tokens, StepMicros: s.StepMicros,
	})
}

// mapPeers holds the connections to the other agents of the group.
type mapPeers struct {
	handler *mapHandler
	links   map[string]*mapPeer // by address; used by the handler's loop only
}

// mapPeer is the connection to one agent. It is redialled when it ends; conn is
// nil while there is none.
type mapPeer struct {
	stop context.CancelFunc
	mu   sync.Mutex // leaf lock
	conn *wire.Conn
}
