package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/balance"
	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/membership"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/platform"
	"github.com/kingcupreel/kingcupreel/internal/quarantine"
	"github.com/kingcupreel/kingcupreel/internal/telemetry"
	"github.com/kingcupreel/kingcupreel/internal/timeline"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// Options are what an entry is built from.
type Options struct {
	// Hello is what the entry says of itself.
	Hello   wire.Hello
	Wire    wire.Options
	Store   *config.Store
	KV      platform.KV
	Picker  balance.Picker
	Events  *timeline.Ring
	Metrics metrics.Registry
	Log     *zap.Logger
	// Peers are the other entries; View is the VM list.
	Peers *membership.Peers
	View  *membership.View
	// OperatorTokenSHA256 admits a first operator before any record exists;
	// empty admits none.
	OperatorTokenSHA256 string
}

// Entry routes callers' requests to upstreams.
type Entry struct {
	opts     Options
	links    linkTable
	draining atomic.Bool
	// dispatches numbers the dispatches of this incarnation.
	dispatches atomic.Uint64
	budget     *outcome.Budget
	gather     gatherTable
	once       *onceCalls
	quarantine *quarantine.Table
	// peerMux routes the messages of other entries, agentMux those of agents
	// that belong to no attempt. Both are filled before the entry starts.
	peerMux  wire.Mux
	agentMux wire.Mux
}

// New returns an entry. It dials upstreams until ctx is done.
func New(ctx context.Context, opts Options) *Entry {
	if opts.Picker == nil {
		opts.Picker = lockedPicker{picker: balance.TwoChoices{Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}, mu: new(sync.Mutex)}
	}
	e := &Entry{opts: opts, links: linkTable{links: map[string]*link{}}, gather: gatherTable{waits: map[uint64]chan []timeline.Event{}}}
	e.budget = outcome.NewBudget(outcome.DefaultRetryShare, outcome.DefaultRetryReserve, outcome.DefaultRetryLimit)
	e.peerMux.Funcs = map[wire.Kind]func(*wire.Conn, wire.Message){}
	e.agentMux.Funcs = map[wire.Kind]func(*wire.Conn, wire.Message){}
	e.startOnce(ctx)
	e.startQuarantine()
	opts.Store.OnChange(func(s *config.Snapshot) { e.configApplied(ctx, s) })
	if opts.View != nil {
		opts.View.OnChange(e.viewChanged)
	}
	return e
}

// lockedPicker makes a picker safe for concurrent use.
type lockedPicker struct {
	mu     *sync.Mutex
	picker balance.Picker
}

// Pick implements balance.Picker.
func (p lockedPicker) Pick(r balance.Request, c []balance.Candidate) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.picker.Pick(r, c)
}

// PeerHandler returns the handler of the other entries' messages.
func (e *Entry) PeerHandler() wire.Handler { return &e.peerMux }

func (e *Entry) configApplied(ctx context.Context, s *config.Snapshot) {
	e.event(timeline.Event{Kind: timeline.ConfigApplied, Revision: s.Revision})
	e.links.reconcile(ctx, e, s)
	m := e.snapshotMessage()
	for _, l := range e.links.all() {
		_ = l.send(m)
	}
}

// Hello returns what the entry says of itself now.
func (e *Entry) Hello() *wire.Hello {
	h := e.opts.Hello
	h.Revision = e.opts.Store.Current().Revision
	h.Number = e.dispatches.Load()
	return &h
}

// viewChanged stops new work to upstreams whose VM the VM list shows as leaving,
// and drains the entry when its own VM is.
func (e *Entry) viewChanged() {
	if e.opts.Peers != nil && e.vmLeaving(e.opts.Peers.Self) {
		e.Drain()
	}
	for _, l := range e.links.all() {
		l.listed(e.vmLeaving(l.upstream.VM))
	}
}

func (e *Entry) vmLeaving(vm string) bool { return e.opts.View != nil && e.opts.View.Leaving(vm) }

func (e *Entry) snapshotMessage() *wire.ConfigSnapshot {
	s := e.opts.Store.Current()
	m := &wire.ConfigSnapshot{Revision: s.Revision}
	for _, r := range s.Records {
		m.Records = append(m.Records, wire.ConfigRecord(r))
	}
	return m
}

// Drain makes the entry answer its readiness check negative; requests in
// flight go on.
func (e *Entry) Drain() {
	if !e.draining.Swap(true) {
		e.event(timeline.Event{Kind: timeline.Stopping})
	}
}

// Draining says whether Drain was called.
func (e *Entry) Draining() bool { return e.draining.Load() }

func (e *Entry) event(ev timeline.Event) { e.opts.Events.Add(ev) }

func (e *Entry) count(name string) { telemetry.Counter(e.opts.Metrics, name).Inc(1) }
