// Package rankagent manages the engine of one rank from the same VM. The agent
// reports the rank's load to the entries and carries out a leader's orders at the
// engine. If elected leader of the rank's group, it plans and switches the group's
// expert map. It belongs to the platform deployment; package agent is its
// counterpart in the stand-alone one.
package rankagent

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/fleet"
	"github.com/kingcupreel/kingcupreel/internal/kvstore"
	"github.com/kingcupreel/kingcupreel/internal/ranks"
	"github.com/kingcupreel/kingcupreel/internal/routing"
	"github.com/kingcupreel/kingcupreel/internal/telemetry"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// Engine is the engine of a rank.
type Engine interface {
	Status(ctx context.Context) (ranks.Status, error)
	// CurrentStatus is Status for a caller that takes the answer for the state since the
	// call began: no earlier answer of the engine is taken for it.
	CurrentStatus(ctx context.Context) (ranks.Status, error)
	Counts(ctx context.Context) (ranks.Counts, error)
	ExpertLists(ctx context.Context) (ranks.ExpertLists, error)
	// Order sends an order to the engine. With an Unknown verdict, the order may
	// have been carried out or may be carried out later.
	Order(ctx context.Context, o ranks.Order, timeout time.Duration) (ranks.Verdict, error)
	// OrderOnKeptConnection sends an order on a connection that has carried other calls. An
	// engine that serves no new connections still answers there, but the answer may be that
	// of an earlier call: only the engine's status shows whether the order was carried out.
	OrderOnKeptConnection(ctx context.Context, o ranks.Order, timeout time.Duration) error
}

// Options are the settings and dependencies of an agent.
type Options struct {
	// Self is the agent's own registration.
	Self fleet.Member
	// Service is the service that the upstream belongs to.
	Service string
	// Engine is the engine on the agent's VM.
	Engine Engine
	// Connect returns a client of the engine at an address on another VM.
	Connect   func(address string) Engine
	View      *fleet.View
	Datagrams *fleet.Datagrams
	// Routes holds the configuration. Only a leader needs it, for the shape of its
	// group's maps.
	Routes *routing.Store
	// FollowConfiguration starts to apply the configuration and its changes to
	// Routes until its context is done. It is called when this agent is elected;
	// nil means that the caller keeps Routes up to date.
	FollowConfiguration func(context.Context)
	KV                  kvstore.KV
	// LeaderLeaseTTL is how long a leader's lease lasts without renewal.
	LeaderLeaseTTL time.Duration
	// Fencing is set if the engines refuse an order with an old fence.
	Fencing bool
	Clock   clockwork.Clock
	Log     *zap.Logger
	Metrics metrics.Registry
}

// Agent manages one rank. It is safe for concurrent use.
type Agent struct {
	Options

	mu sync.Mutex // leaf
	// counts are the selection counts of the last reading that asked for them.
	counts ranks.Counts
	// highestFence is the highest fence of the orders that the agent has sent to its
	// engine.
	highestFence int64
}

// New returns an agent.
func New(o Options) *Agent { return &Agent{Options: o} }

const (
	// loadInterval is how often the rank's load is read: half the delay with which
	// engines report it.
	loadInterval = 100 * time.Millisecond
	// loadResendInterval is how often an unchanged load is sent again, for entries
	// that are new or have missed a datagram.
	loadResendInterval = 500 * time.Millisecond
	// maxLoadReports is the number of datagrams a second with which an agent tells the
	// entries of its rank's changing load, unless more are needed for one to each entry
	// in maxLoadInterval. A change of the group's or the upstream's state is sent at once.
	maxLoadReports  = 300
	maxLoadInterval = 400 * time.Millisecond
)

// loadReportInterval returns the time between two reports of a changing load to each of a
// number of entries.
func loadReportInterval(entries int) time.Duration {
	return min(max(time.Duration(entries)*time.Second/maxLoadReports, loadInterval), maxLoadInterval)
}

// sameState reports whether two load reports differ at most in the load and in the rate of
// a request limit.
func sameState(a, b *wire.RankLoad) bool {
	return a.Started == b.Started && a.Group == b.Group && a.GroupSize == b.GroupSize && a.GroupServing == b.GroupServing && a.Leaving == b.Leaving && (a.RequestLimit > 0) == (b.RequestLimit > 0)
}

// Run reports the rank's load to the entries until ctx is done.
func (a *Agent) Run(ctx context.Context) {
	ticker := a.Clock.NewTicker(loadInterval)
	defer ticker.Stop()
	var lastLoad wire.RankLoad
	var sentAt time.Time
	responding, progressing := true, true
	var progress ranks.Progress
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		st, err := a.Engine.Status(ctx)
		if (err == nil) != responding {
			responding = err == nil
			a.Log.Info("engine reachability changed", zap.Bool("answers", responding), zap.Error(err))
		}
		if err != nil {
			continue
		}
		if now := progress.Add(st, a.Clock.Now()); now != progressing {
			progressing = now
			a.Log.Info("group's progress changed", zap.String("group", st.Group), zap.Bool("goes_on", now), zap.Int64("step", st.Step), zap.Int("active", st.Active), zap.Int64("held", st.Held))
		}
		load := wire.RankLoad{Address: a.Self.Upstream, Started: st.Started, Queued: st.Queued, Active: st.Active, Slowness: float32(st.Slowness), GroupServing: st.GroupServing && progressing, Group: st.Group, GroupSize: st.Size, Leaving: st.Leaving, RequestLimit: st.RequestLimit}
		entries := a.View.Members(fleet.RoleEntry)
		sinceSent := a.Clock.Since(sentAt)
		if load == lastLoad && sinceSent < loadResendInterval || sameState(&load, &lastLoad) && sinceSent < loadReportInterval(len(entries)) {
			continue
		}
		lastLoad, sentAt = load, a.Clock.Now()
		load.Step = st.Step
		for _, entry := range entries {
			a.Datagrams.Send(entry.Address, &load)
		}
	}
}

// Received ignores datagrams: none are meant for agents.
func (a *Agent) Received(netip.AddrPort, wire.Message) {}

// Handler returns the handler that answers a leader's queries and carries out its
// orders. The connections it opens to other agents end with ctx.
func (a *Agent) Handler(ctx context.Context) wire.Handler {
	peers := a.newGroup(ctx, "")
	return &wire.Mux{Funcs: map[wire.Kind]func(*wire.Conn, wire.Message){
		wire.KindRankRelay: func(c *wire.Conn, m wire.Message) { a.handleRelay(ctx, c, peers, m.(*wire.RankRelay)) },
		wire.KindRankQuery: func(c *wire.Conn, m wire.Message) { go a.handleQuery(ctx, c, peers, m.(*wire.RankQuery)) },
		wire.KindRankOrder: func(c *wire.Conn, m wire.Message) { go a.handleOrder(ctx, c, peers, m.(*wire.RankOrder)) },
	}}
}

func (a *Agent) handleQuery(ctx context.Context, c *wire.Conn, peers *group, query *wire.RankQuery) {
	reply := a.readBranch(ctx, peers, query.Selections, query.ExpertLists, query.IncludeAgents)
	reply.Nonce = query.Nonce
	_ = c.Send(reply)
}

// read reads the agent's own rank. The selections are those since the previous call
// that asked for them.
func (a *Agent) read(ctx context.Context, withSelections, withLists bool) *wire.RankState {
	reply := read(ctx, a.Engine, withLists)
	reply.HighestFence = a.recordFence(0)
	if !withSelections || !reply.OK {
		return reply
	}
	counts, err := a.Engine.Counts(ctx)
	if err != nil {
		reply.OK = false
		return reply
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	reply.Selections, reply.SelectionsValid = counts.Since(a.counts)
	a.counts = counts
	return reply
}

// read reads an engine's status and, if withLists is set, its expert lists.
func read(ctx context.Context, e Engine, withLists bool) *wire.RankState {
	reply := &wire.RankState{}
	st, err := e.Status(ctx)
	if err != nil {
		return reply
	}
	reply.Status, reply.OK = st, true
	if withLists {
		if reply.ExpertLists, err = e.ExpertLists(ctx); err != nil {
			reply.OK = false
		}
	}
	return reply
}

func (a *Agent) handleOrder(ctx context.Context, c *wire.Conn, peers *group, m *wire.RankOrder) {
	var reply *wire.RankState
	if m.ForAgent == "" {
		reply = a.execute(ctx, m.Order)
	} else {
		reply = a.executeFor(ctx, peers, m.ForAgent, m.Order)
	}
	reply.Nonce = m.Nonce
	_ = c.Send(reply)
}

// executeFor sends an order to the engine of another agent's rank. The reading after it
// delays the answer: if this VM stops just after the order, the leader should get none and
// cancel the order, rather than arm this VM's rank while the group is held.
func (a *Agent) executeFor(ctx context.Context, peers *group, agent string, o ranks.Order) *wire.RankState {
	peers.refresh()
	p := peers.peer(agent)
	if p == nil {
		a.Log.Info("order not sent: the other agent isn't registered", zap.String("agent", agent), zap.String("order", string(o.Op)))
		return &wire.RankState{}
	}
	verdict, _ := send(ctx, p.engine, o, remoteOrderTimeout)
	st, err := p.engine.Status(ctx)
	a.Log.Info("order sent for another agent", zap.String("agent", agent), zap.String("order", string(o.Op)), zap.Int64("step", o.Step),
		zap.Int64("fence", o.Fence), zap.Stringer("verdict", verdict), zap.Int64("at_step", st.Step), zap.Error(err))
	// The status may be from before the order (see sendOrderDirectly).
	return &wire.RankState{Verdict: verdict}
}

// recordFence records the fence of an order for the engine and returns the highest one so
// far.
func (a *Agent) recordFence(fence int64) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.highestFence = max(a.highestFence, fence)
	return a.highestFence
}

// execute sends an order to the engine of the agent's own rank, and counts and logs
// the verdict.
func (a *Agent) execute(ctx context.Context, o ranks.Order) *wire.RankState {
	a.recordFence(o.Fence + ranks.MaxSends - 1)
	timeout := localOrderTimeout
	if o.Op == ranks.Prepare {
		timeout = localPrepareTimeout
	}
	reply := execute(ctx, a.Engine, o, timeout)
	telemetry.Counter(a.Metrics, "rank_orders."+string(o.Op)+"."+reply.Verdict.String()).Inc(1)
	a.Log.Info("order sent to the engine", zap.String("order", string(o.Op)), zap.Int64("version", o.Version), zap.Int64("step", o.Step),
		zap.Int64("fence", o.Fence), zap.Int64("epoch", o.Epoch), zap.Stringer("verdict", reply.Verdict), zap.Bool("read", reply.OK), zap.Int64("at_step", reply.Status.Step))
	return reply
}

const (
	// copyPollInterval is how often the status of an engine that copies experts is
	// read.
	copyPollInterval = 10 * time.Millisecond
	// copyTimeout bounds the wait for the copy, because the leader is waiting for
	// the answer to its order.
	copyTimeout = 300 * time.Millisecond
)

// awaitCopy polls an engine until it has copied a map's experts or copyTimeout has
// passed. It returns the last reading.
func awaitCopy(ctx context.Context, e Engine, version int64, reply *wire.RankState) *wire.RankState {
	for deadline := time.Now().Add(copyTimeout); reply.OK && reply.Status.Prepared != version && time.Now().Before(deadline) && ctx.Err() == nil; {
		time.Sleep(copyPollInterval)
		reply = read(ctx, e, false)
	}
	return reply
}

const (
	// stepPollInterval is how often an engine's status is read while waiting for a
	// step.
	stepPollInterval = 8 * time.Millisecond
	// stepTimeout bounds the wait for a step: an idle group begins no steps, and the
	// leader is waiting for the answer to its order.
	stepTimeout = 200 * time.Millisecond
)

// awaitStep waits until an engine has begun a step, its status can't be read or
// stepTimeout has passed. It doesn't wait for step 0.
func awaitStep(ctx context.Context, e Engine, step int64) {
	for deadline := time.Now().Add(stepTimeout); step > 0 && time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(stepPollInterval) {
		if st, err := e.Status(ctx); err != nil || st.Step >= step {
			return
		}
	}
}
