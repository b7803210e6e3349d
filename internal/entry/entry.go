package entry

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/balance"
	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/kvstore"
	"github.com/kingcupreel/kingcupreel/internal/membership"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
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
	KV      kvstore.KV
	Picker  balance.Picker
	Events  *timeline.Ring
	Metrics metrics.Registry
	Log     *zap.Logger
	// Peers are the other entries; View is the VM list.
	Peers *membership.Peers
	View  *membership.View
	// Staleness is how long ago the configuration in force was known to be the
	// newest; nil means that nothing knows it.
	Staleness func() (time.Duration, bool)
	// OperatorTokenSHA256 admits a first operator before any record exists;
	// empty admits none.
	OperatorTokenSHA256 string
}

// Entry routes callers' requests to upstreams.
type Entry struct {
	opts     Options
	links    linkTable
	admitter *admitter
	draining atomic.Bool
	// dispatches numbers the dispatches of this incarnation.
	dispatches atomic.Uint64
	budget     *outcome.RetryBudget
	gather     gatherTable
	planners   *planners
	once       *onceCalls
	quarantine *quarantine.Table
	// peerMux routes the messages of other entries, agentMux those of agents
	// that belong to no attempt. Both are filled before the entry starts.
	peerMux  wire.Mux
	agentMux wire.Mux
	// inquiryMux routes the answers on connections opened for one question.
	inquiryMux wire.Mux
}

// New returns an entry. It dials upstreams until ctx is done.
func New(ctx context.Context, opts Options) *Entry {
	if opts.Picker == nil {
		opts.Picker = balance.LeastWork{}
	}
	e := &Entry{opts: opts, links: newLinkTable(opts.Hello.DataCentre), admitter: newAdmitter(), gather: gatherTable{waits: map[uint64]chan wire.Message{}}}
	e.budget = outcome.NewRetryBudget(outcome.DefaultRetriesPerSuccess, outcome.DefaultInitialRetries, outcome.DefaultMaxSavedRetries)
	e.peerMux.Funcs = map[wire.Kind]func(*wire.Conn, wire.Message){}
	e.peerMux.Funcs[wire.KindUsageDigest] = e.usageReceived
	e.agentMux.Funcs = map[wire.Kind]func(*wire.Conn, wire.Message){}
	e.planners = newPlanners()
	e.routePlanner()
	e.registerInquiries()
	e.startOnce(ctx)
	e.startQuarantine()
	opts.Store.OnChange(func(s *config.Snapshot) { e.configApplied(ctx, s) })
	if opts.View != nil {
		opts.View.OnChange(func() { e.viewChanged(ctx) })
	}
	go e.exchangeUsage(ctx)
	return e
}

// agentWire returns the options of connections to agents: there are many, and
// few are in use at a time.
func (e *Entry) agentWire() wire.Options {
	o := e.opts.Wire
	o.IdleFactor = wire.IdleFactor
	return o
}

// PeerHandler returns the handler of the other entries' messages.
func (e *Entry) PeerHandler() wire.Handler { return &e.peerMux }

// Muxes return the routes of the other entries' messages and of agents', for
// concerns that live in other packages.
func (e *Entry) Muxes() (peers, agents *wire.Mux) { return &e.peerMux, &e.agentMux }

// AnnounceConfig sends a new state message to each connected agent whose
// revision is lower.
func (e *Entry) AnnounceConfig(revision int64, state func() wire.Message) {
	for _, l := range e.links.all() {
		if l.behind(revision) {
			_ = l.send(state())
		}
	}
}

// rejectedDetail names the records of a snapshot that are not in force.
func rejectedDetail(s *config.Snapshot) string {
	keys := make([]string, 0, len(s.Rejected))
	for _, r := range s.Rejected {
		keys = append(keys, r.Key)
	}
	if len(keys) == 0 {
		return ""
	}
	return "rejected " + strings.Join(keys, ", ")
}

func (e *Entry) configApplied(ctx context.Context, s *config.Snapshot) {
	e.event(timeline.Event{Kind: timeline.ConfigApplied, Revision: s.Revision, Detail: rejectedDetail(s)})
	e.links.reconcile(ctx, e)
	e.admitter.setLimits(s)
}

// Hello returns what the entry says of itself now.
func (e *Entry) Hello() *wire.Hello {
	h := e.opts.Hello
	h.Revision = e.opts.Store.Current().Revision
	h.Number = e.dispatches.Load()
	return &h
}

// id returns the entry's VM id, or its name where the VM list has none for it.
func (e *Entry) id() string {
	if vm := e.opts.Hello.VM; vm != "" {
		return vm
	}
	return e.opts.Hello.Process
}

// listedEntries returns the entries that the VM list shows.
func (e *Entry) listedEntries() []kvstore.VM {
	if e.opts.View == nil {
		return nil
	}
	return e.opts.View.Entries()
}

// viewChanged stops new work to upstreams whose VM the VM list shows as leaving,
// drains the entry when its own VM is, and chooses its upstreams anew.
func (e *Entry) viewChanged(ctx context.Context) {
	e.links.reconcile(ctx, e)
	if e.opts.Peers != nil && e.vmLeaving(e.opts.Peers.Self) {
		e.Drain()
	}
	for _, l := range e.links.all() {
		l.listed(e.vmLeaving(l.upstream.VM))
	}
}

func (e *Entry) vmLeaving(vm string) bool { return e.opts.View != nil && e.opts.View.Leaving(vm) }

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
