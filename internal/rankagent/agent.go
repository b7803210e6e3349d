// Package rankagent looks after the engine of one rank on its own VM: it tells
// the entries the rank's load, carries out a leader's orders at the engine,
// and, when it leads the rank's group, plans and switches the expert map.
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
	Counts(ctx context.Context) (ranks.Counts, error)
	ExpertLists(ctx context.Context) (ranks.ExpertLists, error)
	// Order carries out an order. With an Unknown verdict it may have been
	// taken, or be carried out later.
	Order(ctx context.Context, o ranks.Order, timeout time.Duration) (ranks.Verdict, error)
}

// Options are the parts of an agent.
type Options struct {
	Self fleet.Member
	// Service is the service that the upstream belongs to.
	Service   string
	Engine    Engine
	Connect   func(address string) Engine
	View      *fleet.View
	Datagrams *fleet.Datagrams
	// Routes holds the configuration once Learn has brought it: only a leader needs
	// the shape of its group's maps.
	Routes *routing.Store
	// FollowConfiguration follows the configuration into Routes until its context is done; nil
	// means that Routes is kept by others.
	FollowConfiguration func(context.Context)
	KV                  kvstore.KV
	// LeaderLeaseTTL is how long a leader's lease lasts without renewal.
	LeaderLeaseTTL time.Duration
	// Fencing says that engines refuse an order with an old fence.
	Fencing bool
	Clock   clockwork.Clock
	Log     *zap.Logger
	Metrics metrics.Registry
}

// Agent looks after one rank. It is safe for concurrent use.
type Agent struct {
	Options

	mu sync.Mutex // leaf
	// counts are those of the last reading.
	counts ranks.Counts
}

// New returns an agent.
func New(o Options) *Agent { return &Agent{Options: o} }

const (
	// loadInterval is how often the rank's load is read: engines tell it with a
	// lag of twice that.
	loadInterval = 100 * time.Millisecond
	// loadRepeat is how often an unchanged load is sent, for entries that are
	// new or missed a datagram.
	loadRepeat = 500 * time.Millisecond
)

// Run tells the entries the rank's load until ctx is done.
func (a *Agent) Run(ctx context.Context) {
	ticker := a.Clock.NewTicker(loadInterval)
	defer ticker.Stop()
	var last wire.RankLoad
	var sentAt time.Time
	answers, goesOn := true, true
	var progress ranks.Progress
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		st, err := a.Engine.Status(ctx)
		if (err == nil) != answers {
			answers = err == nil
			a.Log.Info("engine's contact changed", zap.Bool("answers", answers), zap.Error(err))
		}
		if err != nil {
			continue
		}
		if now := progress.Add(st, a.Clock.Now()); now != goesOn {
			goesOn = now
			a.Log.Info("group's progress changed", zap.Bool("goes_on", now), zap.Int64("step", st.Step), zap.Int("active", st.Active), zap.Int64("held", st.Held))
		}
		load := wire.RankLoad{Address: a.Self.Upstream, Started: st.Started, Queued: st.Queued, Active: st.Active, Pace: float32(st.Pace), Open: st.Open && goesOn}
		if load == last && a.Clock.Since(sentAt) < loadRepeat {
			continue
		}
		last, sentAt = load, a.Clock.Now()
		load.Step = st.Step
		for _, entry := range a.View.Members(fleet.RoleEntry) {
			a.Datagrams.Send(entry.Address, &load)
		}
	}
}

// Received passes over datagrams: nothing is sent to agents.
func (a *Agent) Received(netip.AddrPort, wire.Message) {}

// Handler answers the questions and carries out the orders of a leader.
func (a *Agent) Handler(ctx context.Context) wire.Handler {
	others := a.newGroup(ctx, "")
	return &wire.Mux{Funcs: map[wire.Kind]func(*wire.Conn, wire.Message){
		wire.KindRankRelay: func(c *wire.Conn, m wire.Message) { a.relay(ctx, c, others, m.(*wire.RankRelay)) },
		wire.KindRankAsk:   func(c *wire.Conn, m wire.Message) { go a.answer(ctx, c, others, m.(*wire.RankAsk)) },
		wire.KindRankOrder: func(c *wire.Conn, m wire.Message) { go a.order(ctx, c, others, m.(*wire.RankOrder)) },
	}}
}

func (a *Agent) answer(ctx context.Context, c *wire.Conn, others *group, ask *wire.RankAsk) {
	reply := a.readBranch(ctx, others, ask.Selections, ask.ExpertLists, ask.Others)
	reply.Nonce = ask.Nonce
	_ = c.Send(reply)
}

// read reads the own rank. What it chose is told since the reading before.
func (a *Agent) read(ctx context.Context, chosen, lists bool) *wire.RankState {
	reply := read(ctx, a.Engine, lists)
	if !chosen || !reply.OK {
		return reply
	}
	counts, err := a.Engine.Counts(ctx)
	if err != nil {
		reply.OK = false
		return reply
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	reply.Selections, reply.Fresh = counts.Since(a.counts)
	a.counts = counts
	return reply
}

// read reads an engine's status, and its lists if wanted.
func read(ctx context.Context, e Engine, lists bool) *wire.RankState {
	reply := &wire.RankState{}
	st, err := e.Status(ctx)
	if err != nil {
		return reply
	}
	reply.Status, reply.OK = st, true
	if lists {
		if reply.ExpertLists, err = e.ExpertLists(ctx); err != nil {
			reply.OK = false
		}
	}
	return reply
}

func (a *Agent) order(ctx context.Context, c *wire.Conn, others *group, m *wire.RankOrder) {
	var reply *wire.RankState
	if m.For == "" {
		reply = a.carryOut(ctx, m.Order)
	} else {
		reply = a.carryOutFor(ctx, others, m.For, m.Order)
	}
	reply.Nonce = m.Nonce
	_ = c.Send(reply)
}

// carryOutFor gives an order to the engine of another agent's rank.
func (a *Agent) carryOutFor(ctx context.Context, others *group, agent string, o ranks.Order) *wire.RankState {
	others.refresh()
	p := others.peer(agent)
	if p == nil {
		a.Log.Info("order not given: the agent isn't registered", zap.String("agent", agent), zap.String("order", string(o.Op)))
		return &wire.RankState{}
	}
	reply := carryOut(ctx, p.engine, o, otherTimeout)
	a.Log.Info("order given for another agent", zap.String("agent", agent), zap.String("order", string(o.Op)), zap.Int64("step", o.Step),
		zap.Int64("fence", o.Fence), zap.Stringer("verdict", reply.Verdict), zap.Int64("at_step", reply.Status.Step))
	return reply
}

// carryOut carries out an order at the own rank.
func (a *Agent) carryOut(ctx context.Context, o ranks.Order) *wire.RankState {
	reply := carryOut(ctx, a.Engine, o, localTimeout)
	telemetry.Counter(a.Metrics, "rank_orders."+string(o.Op)+"."+reply.Verdict.String()).Inc(1)
	a.Log.Info("order carried out", zap.String("order", string(o.Op)), zap.Int64("version", o.Version), zap.Int64("step", o.Step),
		zap.Int64("fence", o.Fence), zap.Int64("epoch", o.Epoch), zap.Stringer("verdict", reply.Verdict), zap.Int64("at_step", reply.Status.Step))
	return reply
}

const (
	// localTimeout bounds an order to the engine on the same VM, which answers
	// within milliseconds or not at all.
	localTimeout = 12 * time.Millisecond
	// farTimeout bounds an order to an engine on another VM whose agent doesn't
	// answer.
	farTimeout = 150 * time.Millisecond
	// otherTimeout bounds an order to an engine on another VM that should answer:
	// a few round trips.
	otherTimeout = 30 * time.Millisecond
)

const (
	// copyInterval is how often an engine that copies experts is read.
	copyInterval = 10 * time.Millisecond
	// copyWait bounds the wait for it: the leader waits for the answer.
	copyWait = 300 * time.Millisecond
)

// awaitCopy reads an engine until it has copied a map's experts, or copyWait has
// passed.
func awaitCopy(ctx context.Context, e Engine, version int64, reply *wire.RankState) *wire.RankState {
	for end := time.Now().Add(copyWait); reply.OK && reply.Status.Prepared != version && time.Now().Before(end) && ctx.Err() == nil; {
		time.Sleep(copyInterval)
		reply = read(ctx, e, false)
	}
	return reply
}

const (
	// stepInterval is how often an engine is looked at whether a step has begun.
	stepInterval = 8 * time.Millisecond
	// stepWait bounds the wait for a step: an idle group begins none, and the
	// leader waits for the answer.
	stepWait = 200 * time.Millisecond
)

// awaitStep waits until an engine has begun a step, or stepWait has passed.
func awaitStep(ctx context.Context, e Engine, step int64) {
	for end := time.Now().Add(stepWait); step > 0 && time.Now().Before(end) && ctx.Err() == nil; time.Sleep(stepInterval) {
		if st, err := e.Status(ctx); err != nil || st.Step >= step {
			return
		}
	}
}

// carryOut gives an order to an engine, again while no answer comes, and reads
// the status after it. Each repeat has a higher fence, which makes void what an
// engine may still do about the one before.
func carryOut(ctx context.Context, e Engine, o ranks.Order, timeout time.Duration) *wire.RankState {
	if o.Op == ranks.Prepare {
		awaitStep(ctx, e, o.Step)
	}
	verdict := ranks.Unknown
	repeats := 0
	for ; repeats < ranks.MaxSends && verdict == ranks.Unknown && ctx.Err() == nil; repeats++ {
		verdict, _ = e.Order(ctx, o, timeout) // the verdict says all that a leader needs
		o.Fence++
	}
	reply := read(ctx, e, false)
	if o.Op == ranks.Prepare && verdict == ranks.Accepted {
		reply = awaitCopy(ctx, e, o.Version, reply)
	}
	if repeats > 1 && verdict == ranks.Refused && o.Op == ranks.Prepare && reply.OK && reply.Status.Prepared == o.Version {
		verdict = ranks.Accepted // the first answer was lost
	}
	reply.Verdict = verdict
	return reply
}
