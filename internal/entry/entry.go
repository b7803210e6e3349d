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
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/kvstore"
	"github.com/kingcupreel/kingcupreel/internal/membership"
	"github.com/kingcupreel/kingcupreel/internal/membudget"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/quarantine"
	"github.com/kingcupreel/kingcupreel/internal/telemetry"
	"github.com/kingcupreel/kingcupreel/internal/timeline"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// Options configure an entry.
type Options struct {
	// Hello is how the entry introduces itself on a connection.
	Hello   wire.Hello
	Wire    wire.Options
	Store   *config.Store
	KV      kvstore.KV
	Picker  balance.Picker
	Events  *timeline.Ring
	Metrics metrics.Registry
	Log     *zap.Logger
	// Peers are the connections to the other entries; nil means none. View is
	// the VM list; nil means that there is none.
	Peers *membership.Peers
	View  *membership.View
	// Staleness returns the time since the configuration in force was last
	// known to be the newest, and false if that is unknown. It may be nil.
	Staleness func() (time.Duration, bool)
	// OperatorTokenSHA256 is the hash of a token that is valid without an
	// operator record, for the first operator; empty means none.
	OperatorTokenSHA256 string
}

// Entry routes callers' requests to upstreams.
type Entry struct {
	opts     Options
	links    linkTable
	admitter *admitter
	draining atomic.Bool
	// refusing is set once the entry takes no more requests.
	refusing atomic.Bool
	// stopped is done once the entry has stopped; stop ends it with a cause.
	stopped context.Context
	stop    context.CancelCauseFunc
	// dispatchCount is the number of dispatches of this incarnation; it numbers
	// them.
	dispatchCount atomic.Uint64
	retryBudget   *outcome.RetryBudget
	answerMemory  *membudget.Budget
	queries       queryTable
	planners      *planners
	claims        *claimState
	quarantine    *quarantine.Table
	// peerMux routes the messages of other entries, agentMux those messages of
	// agents that belong to no attempt. Both are filled before the entry
	// starts.
	peerMux  wire.Mux
	agentMux wire.Mux
	// queryMux routes the answers on connections that are opened for one query.
	queryMux wire.Mux
}

// New returns an entry. It keeps connections to upstreams until ctx is done.
func New(ctx context.Context, opts Options) *Entry {
	if opts.Picker == nil {
		opts.Picker = balance.LeastWork{}
	}
	if opts.Log == nil {
		opts.Log = zap.NewNop()
	}
	e := &Entry{opts: opts, links: newLinkTable(opts.Hello.DataCentre), admitter: newAdmitter(), queries: queryTable{pending: map[uint64]chan wire.Message{}}}
	e.stopped, e.stop = context.WithCancelCause(context.WithoutCancel(ctx))
	e.answerMemory = membudget.New(maxAnswerMemory)
	e.retryBudget = outcome.NewRetryBudget(outcome.DefaultRetriesPerSuccess, outcome.DefaultInitialRetries, outcome.DefaultMaxSavedRetries)
	e.peerMux.Funcs = map[wire.Kind]func(*wire.Conn, wire.Message){}
	e.peerMux.Funcs[wire.KindUsageDigest] = e.handleUsageDigest
	e.agentMux.Funcs = map[wire.Kind]func(*wire.Conn, wire.Message){}
	e.planners = newPlanners()
	e.registerPlannerRoutes()
	e.registerQueryRoutes()
	e.initClaims(ctx)
	e.initQuarantine()
	opts.Store.OnChange(func(s *config.Snapshot) { e.handleConfigChange(ctx, s) })
	if opts.View != nil {
		opts.View.OnChange(func() { e.handleViewChange(ctx) })
	}
	go e.exchangeUsage(ctx)
	return e
}

// agentWireOptions returns the options of connections to agents. Their idle
// factor is set, since there are many such connections and few are in use at a
// time.
func (e *Entry) agentWireOptions() wire.Options {
	o := e.opts.Wire
	o.IdleFactor = wire.IdleFactor
	return o
}

// PeerHandler returns the handler of the other entries' messages.
func (e *Entry) PeerHandler() wire.Handler { return &e.peerMux }

// Muxes returns the muxes of the messages of other entries and of agents, on
// which other packages register handlers.
func (e *Entry) Muxes() (peers, agents *wire.Mux) { return &e.peerMux, &e.agentMux }

// AnnounceConfig sends a new state message to each connected agent whose
// revision is lower.
func (e *Entry) AnnounceConfig(revision int64, state func() wire.Message) {
	for _, l := range e.links.all() {
		if l.revisionBelow(revision) {
			_ = l.send(state())
		}
	}
}

// rejectedDetail names the rejected records of a snapshot for the timeline.
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

// handleConfigChange applies a new configuration to the links and the limits.
func (e *Entry) handleConfigChange(ctx context.Context, s *config.Snapshot) {
	e.event(timeline.Event{Kind: timeline.ConfigApplied, Revision: s.Revision, Detail: rejectedDetail(s)})
	e.links.reconcile(ctx, e)
	e.admitter.setLimits(s)
}

// Hello returns the entry's Hello with its current revision and number of
// dispatches.
func (e *Entry) Hello() *wire.Hello {
	h := e.opts.Hello
	h.Revision = e.opts.Store.Current().Revision
	h.LastDispatch = e.dispatchCount.Load()
	return &h
}

// subsetID returns the id by which the entry's subset of the upstreams is
// chosen: its VM id, or its process name without one.
func (e *Entry) subsetID() string {
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

// handleViewChange stops new work to upstreams whose VM is shown as leaving,
// drains the entry when its own VM is, and updates the subset of upstreams that
// it connects to.
func (e *Entry) handleViewChange(ctx context.Context) {
	e.links.reconcile(ctx, e)
	if e.opts.Peers != nil && e.vmLeaving(e.opts.Peers.Self) {
		e.Drain()
	}
	for _, l := range e.links.all() {
		l.setVMLeaving(e.vmLeaving(l.upstream.VM))
	}
}

func (e *Entry) vmLeaving(vm string) bool { return e.opts.View != nil && e.opts.View.Leaving(vm) }

// Drain makes the readiness check fail; requests in flight and new ones are
// still served.
func (e *Entry) Drain() {
	if !e.draining.Swap(true) {
		e.event(timeline.Event{Kind: timeline.Stopping})
	}
}

var errStopping = fault.New(fault.Unavailable, "send the request again", "the entry is stopping")

// RefuseNew refuses all further requests. Connections that have been accepted may still bring
// some, and one that is closed as idle may just have.
func (e *Entry) RefuseNew() { e.refusing.Store(true) }

// Stop ends the requests in flight, and further ones, with an error.
func (e *Entry) Stop() { e.stop(errStopping) }

// requestContext returns the context of a request with the given parent and timeout, which Stop
// ends too.
func (e *Entry) requestContext(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, end := context.WithCancelCause(parent)
	detach := context.AfterFunc(e.stopped, func() { end(context.Cause(e.stopped)) })
	ctx, cancel := context.WithTimeout(ctx, timeout)
	return ctx, func() {
		detach()
		cancel()
		end(nil)
	}
}

// endError returns the error of a request whose context has ended.
func endError(ctx context.Context) error {
	if context.Cause(ctx) == errStopping {
		return errStopping
	}
	return fault.Wrap(fault.Timeout, ctx.Err(), "allow more time with Request-Timeout", "the caller disconnected or the request's deadline passed")
}

// Draining reports whether Drain was called.
func (e *Entry) Draining() bool { return e.draining.Load() }

func (e *Entry) event(ev timeline.Event) { e.opts.Events.Add(ev) }

func (e *Entry) count(name string) { telemetry.Counter(e.opts.Metrics, name).Inc(1) }
