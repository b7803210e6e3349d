package agent

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/claim"
	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/provider"
	"github.com/kingcupreel/kingcupreel/internal/quarantine"
	"github.com/kingcupreel/kingcupreel/internal/telemetry"
	"github.com/kingcupreel/kingcupreel/internal/timeline"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

const (
	// DefaultStallTimeout and DefaultOrphanTimeout are the defaults of Options.
	DefaultStallTimeout  = 10 * time.Second
	DefaultOrphanTimeout = 10 * time.Second
)

// Options configure an agent.
type Options struct {
	// Hello is the first message that the agent sends on each connection. Its
	// field Upstream is the name of the upstream.
	Hello wire.Hello
	// Target is the base URL of the engine or plain service.
	Target string
	// Workers is the number of attempts that run concurrently. Twice as many more
	// may wait in the queue.
	Workers int
	// StallTimeout is how long an engine may be silent, between two events of a
	// stream or when queried for its load, before its attempts are cancelled.
	StallTimeout time.Duration
	// OrphanTimeout is how long an attempt continues after its entry's connection
	// is lost.
	OrphanTimeout time.Duration
	// Clock defaults to the real clock.
	Clock   clockwork.Clock
	Wire    wire.Options
	Store   *config.Store
	Events  *timeline.Ring
	Metrics metrics.Registry
	Log     *zap.Logger
}

func (o Options) withDefaults() Options {
	if o.StallTimeout == 0 {
		o.StallTimeout = DefaultStallTimeout
	}
	if o.OrphanTimeout == 0 {
		o.OrphanTimeout = DefaultOrphanTimeout
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	return o
}

// Agent runs attempts at its upstream for the entries that connect to it.
type Agent struct {
	opts         Options
	upstream     *upstream
	configPuller *provider.ConfigPuller
	journal      *journal
	maps         *mapHandler
	ledger       *claim.Ledger
	inFlight     *quarantine.InFlight
	// quarantine holds the reports of crashes of this agent's upstream. isolation
	// is held while an isolated run executes.
	quarantine *quarantine.Table
	isolation  sync.Mutex
	queue      chan *run

	mu      sync.Mutex
	conns   map[*wire.Conn]wire.Hello
	runs    map[wire.AttemptID]*run
	leaving bool
	load    *wire.Load // the last load read, nil before the first
	limit   namedLimit
	// configChanged wakes reportLoad after a change of configuration.
	configChanged chan struct{}
	active        sync.WaitGroup
}

// New returns an agent.
func New(opts Options) *Agent {
	opts = opts.withDefaults()
	opts.Wire.IdleFactor = wire.IdleFactor
	a := &Agent{
		opts:         opts,
		upstream:     newUpstream(opts.Target, opts.StallTimeout, opts.Clock),
		journal:      newJournal(journalLimit),
		configPuller: provider.NewConfigPuller(opts.Store, opts.Hello.Upstream, opts.Clock),
		ledger:       claim.NewLedger(opts.Hello.Incarnation, opts.Clock, claim.DefaultMaxCalls, claim.DefaultMaxAnswerBytes),
		inFlight:     quarantine.NewInFlight(),
		quarantine:   quarantine.NewTable(opts.Clock),
		queue:        make(chan *run, 2*opts.Workers),
		conns:        map[*wire.Conn]wire.Hello{},
		runs:         map[wire.AttemptID]*run{},

		configChanged: make(chan struct{}, 1),
	}
	a.upstream.onAnswer = a.applyLimit
	if opts.Log != nil {
		a.upstream.log = opts.Log
	}
	a.maps = newMapHandler(a)
	opts.Store.OnChange(a.configApplied)
	return a
}

// Serve accepts connections and runs attempts until ctx is done.
func (a *Agent) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	for range a.opts.Workers {
		go a.runWorker(ctx)
	}
	go a.reportLoad(ctx)
	go a.maps.run(ctx)
	for {
		nc, err := l.Accept()
		if err != nil {
			return ctx.Err()
		}
		go a.serveConn(ctx, nc)
	}
}

func (a *Agent) serveConn(ctx context.Context, nc net.Conn) {
	c := wire.NewConn(nc, a, a.opts.Wire)
	hello := a.opts.Hello
	hello.Revision = a.opts.Store.Current().Revision
	_ = c.Send(&hello)
	err := c.Run(ctx)
	a.mu.Lock()
	peer, known := a.conns[c]
	delete(a.conns, c)
	if known && a.limit.rate > 0 {
		a.sendLimitShares()
	}
	a.mu.Unlock()
	if !known {
		a.count("connections.nameless")
		return
	}
	a.journal.disconnect(peer.Incarnation)
	a.detachRuns(c)
	a.opts.Events.Add(timeline.Event{Kind: timeline.Disconnected, Object: peer.Process, Detail: err.Error()})
}

// Receive implements wire.Handler.
func (a *Agent) Receive(c *wire.Conn, m wire.Message) {
	if hello, ok := m.(*wire.Hello); ok {
		a.registerPeer(c, *hello)
		return
	}
	if c.Peer().Incarnation == "" {
		c.Close()
		return
	}
	switch m := m.(type) {
	case *wire.Dispatch:
		a.dispatch(c, m)
	case *wire.Cancel:
		a.cancel(c, m)
	case *wire.ConfigState, *wire.ConfigUpdate:
		a.configPuller.Receive(c, m)
	case *wire.Attach:
		a.attach(c, m)
	case *wire.CrashReport:
		a.quarantine.Add(quarantine.Report(*m))
	case *wire.CallQuery:
		a.queryCall(c, m)
	case *wire.Release:
		a.release(m)
	case *wire.EventsRequest:
		_ = c.Send(&wire.EventsReply{Nonce: m.Nonce, Events: a.opts.Events.Events()})
	default:
		a.maps.receive(c, m)
	}
}

// registerPeer records the Hello of a connection and sends the peer the
// agent's current state. A second Hello, or one without an incarnation, closes
// the connection.
func (a *Agent) registerPeer(c *wire.Conn, hello wire.Hello) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, again := a.conns[c]; again || hello.Incarnation == "" {
		c.Close()
		return
	}
	a.journal.connect(hello.Incarnation, hello.LastDispatch)
	a.conns[c] = hello
	a.opts.Events.Add(timeline.Event{Kind: timeline.Connected, Object: hello.Process})
	if a.load != nil {
		_ = c.Send(a.load)
	}
	a.sendCrashReports(c)
	if a.leaving {
		_ = c.Send(&wire.Leaving{})
	}
	if a.limit.rate > 0 {
		a.sendLimitShares()
	}
}

// runWorker executes runs from the queue until ctx is done.
func (a *Agent) runWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-a.queue:
			a.execute(r)
		}
	}
}

// servesModel reports whether the upstream's record names a model group. Only
// engines are queried for their load; plain services are not.
func (a *Agent) servesModel() bool {
	u := a.opts.Store.Current().Upstreams[a.opts.Hello.Upstream]
	return u != nil && u.Group != ""
}

// cancelStalled cancels all attempts that may be retried at another upstream.
func (a *Agent) cancelStalled() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range a.runs {
		if !r.dispatch.NonIdempotent {
			r.cancel(errStalled)
		}
	}
}

func (a *Agent) broadcast(m wire.Message) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		_ = c.Send(m)
	}
}

func (a *Agent) configApplied(s *config.Snapshot) {
	a.opts.Events.Add(timeline.Event{Kind: timeline.ConfigApplied, Revision: s.Revision})
	a.broadcast(&wire.ConfigDigest{Revision: s.Revision})
	select {
	case a.configChanged <- struct{}{}:
	default:
	}
}

func (a *Agent) count(name string) { telemetry.Counter(a.opts.Metrics, name).Inc(1) }
