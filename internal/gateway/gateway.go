// Package gateway forwards callers' HTTP requests to upstreams: it routes and
// admits each request, makes attempts, and returns exactly one final answer.
// Whether another attempt may follow one depends on the route's kind and on
// the attempt's status, never on the HTTP method. It belongs to the platform
// deployment; package entry is its counterpart in the stand-alone one.
//
// Lock order: Gateway.mu, Pools.mu, the lock of Options.Reachability. None is held while a
// request is sent.
package gateway

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/directory"
	"github.com/kingcupreel/kingcupreel/internal/outage"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/quarantine"
	"github.com/kingcupreel/kingcupreel/internal/routing"
	"github.com/kingcupreel/kingcupreel/internal/upstream"
)

// Inbound holds what a caller's headers say about a request.
type Inbound struct {
	// ID identifies one attempt of the caller; each retry of the caller has
	// its own.
	ID string
	// CallerTimeout is how long the caller waits for the answer, 0 for
	// unknown.
	CallerTimeout time.Duration
	// Key is the caller's key, empty for none.
	Key string
	// ResumeAfter is the ID of the last event that the caller of a stream has
	// received, empty for none.
	ResumeAfter string
	// PromptParts are the IDs of the parts of the prompt that other requests may share.
	PromptParts []string
}

// Outbound holds what the headers of an attempt say to the upstream.
type Outbound struct {
	Upstream string
	// Remaining is the time left until the request's deadline, 0 or less if it
	// has passed.
	Remaining time.Duration
	// Account is the caller's client account, empty for none.
	Account string
	// StripKey is set if the caller's key was meant for this gateway and must
	// not be forwarded.
	StripKey    bool
	ResumeAfter string
	// Priority is the request's priority at the upstream, 0 the highest;
	// negative means none.
	Priority int
}

// Incarnation is what an upstream says of itself in an answer.
type Incarnation struct {
	// ID is empty and Started 0 if the upstream doesn't say them.
	ID      string
	Started int64
	// Misdirected is set if the call was meant for another upstream.
	Misdirected bool
}

// Codec translates the headers of the protocol with callers and upstreams.
type Codec interface {
	upstream.Codec
	Inbound(h http.Header) Inbound
	// Outbound turns a copy of the caller's headers into those of an attempt.
	Outbound(h http.Header, o Outbound)
	// LivenessCall returns a call that an upstream of the service answers without running a
	// request. Incarnation reads from the answer which incarnation gave it.
	LivenessCall(u directory.Upstream, s *routing.Service) *upstream.Call
	Incarnation(a *upstream.Answer) Incarnation
	// SetErrorHeaders sets the headers of an answer that the gateway itself
	// gives to the request with the given ID. A retryAfter of 0 sets no delay.
	SetErrorHeaders(h http.Header, id string, retryAfter time.Duration)
}

// Reachability tells which data centres are heard from.
type Reachability interface {
	// Heard records an answer from a data centre.
	Heard(dataCentre string)
	Reachable(dataCentre string) bool
}

// Options holds the dependencies and settings of a gateway.
type Options struct {
	Routes      *routing.Store
	Directory   *directory.Directory
	Transport   *upstream.Transport
	Codec       Codec
	Pools       *Pools
	RetryLimits outcome.WindowLimits
	// MinOutage is the shortest expected outage of a group that can't serve; 0
	// means defaultMinOutage. A negative value means that the group may reopen
	// at any moment.
	MinOutage time.Duration
	// Self is the name of this entry. Entries, if not nil, returns those of all entries that
	// act in common, none while this one isn't among them.
	Self    string
	Entries func() []string
	// Reachability may be nil; then every data centre counts as reachable.
	Reachability Reachability
	// OnDeparture, if not nil, is called after an answer has shown that an upstream is
	// leaving and the directory has recorded it.
	OnDeparture func()
	// Quarantine holds the requests that were in flight at crashes; nil means a table of
	// the gateway's own.
	Quarantine *quarantine.Table
	// OnCrashReport, if not nil, is called with each report that the gateway has added to
	// the quarantine. It must not block.
	OnCrashReport func(quarantine.Report)
	// OnQuarantine, if not nil, is called with the requests and parts that a report of the
	// gateway's own has put into quarantine or holds. It must not block.
	OnQuarantine func([]quarantine.Fingerprint)
	// OnAcquittal, if not nil, is called with the parts in quarantine, or held before, of a
	// request that has succeeded. It must not block.
	OnAcquittal func([]quarantine.Fingerprint)
	// MemoryBytes is the memory of the VM, 0 for unknown.
	MemoryBytes int64
	Clock       clockwork.Clock
	Log         *zap.Logger
	Metrics     metrics.Registry
}

// Gateway serves callers. It is safe for concurrent use.
type Gateway struct {
	Options
	stats     *stats
	draining  atomic.Bool
	startedAt time.Time
	// standstill is observed by Run.
	standstill standstill

	mu           sync.Mutex
	running      map[*request]struct{}
	drain        drainState
	retryBudgets map[string]*outcome.WindowBudget
	entryShare   float64
	bodyMemory   bodyBudget
	// callerTimeouts holds the timeouts that callers named last, by route.
	callerTimeouts map[string]*outage.Timeouts
}

// New returns a gateway that follows the configurations of o.Routes.
func New(o Options) *Gateway {
	g := &Gateway{
		Options:      o,
		stats:        newStats(o.Metrics),
		running:      map[*request]struct{}{},
		retryBudgets: map[string]*outcome.WindowBudget{},
		entryShare:   defaultEntryShare,
		startedAt:    o.Clock.Now(),
		bodyMemory:   newBodyBudget(o.MemoryBytes),

		callerTimeouts: map[string]*outage.Timeouts{},
	}
	if g.Quarantine == nil {
		g.Quarantine = quarantine.NewTable(o.Clock)
	}
	if g.MinOutage == 0 {
		g.MinOutage = defaultMinOutage
	}
	o.Routes.OnChange(g.applyTable)
	return g
}

// defaultEntryShare is an entry's share of shared budgets and capacity while
// the number of entries is unknown: the share of one entry in a large data
// centre.
const defaultEntryShare = 1.0 / 32

// HeldBytes returns the memory that is held for bodies, in bytes.
func (g *Gateway) HeldBytes() int64 {
	total, _ := g.bodyMemory.Held()
	return total
}

// SetEntryCount sets the number of entries that share the budgets and the
// capacity.
func (g *Gateway) SetEntryCount(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.entryShare = 1 / float64(max(n, 1))
	g.Pools.SetEntryShare(g.entryShare)
	for _, b := range g.retryBudgets {
		b.SetEntryShare(g.entryShare)
	}
}

// SetLimits changes the limits of the retry budgets.
func (g *Gateway) SetLimits(l outcome.WindowLimits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.RetryLimits = l
	for _, b := range g.retryBudgets {
		b.SetLimits(l)
	}
}

// retryBudget returns the retry budget of a service.
func (g *Gateway) retryBudget(service string) *outcome.WindowBudget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.retryBudgets[service]
	if b == nil {
		b = outcome.NewWindowBudget(g.Clock, g.RetryLimits, g.startedAt)
		b.SetEntryShare(g.entryShare)
		g.retryBudgets[service] = b
	}
	return b
}

// Ready reports whether the gateway can serve callers: it is not draining and
// knows the configuration and the upstreams.
func (g *Gateway) Ready() bool {
	return !g.draining.Load() && g.Routes.Current() != nil && g.Directory.Synced()
}

// InFlight returns the number of requests without a final answer.
func (g *Gateway) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.running)
}

// applyTable applies a new configuration to the pools and its timeouts to the
// requests in flight.
func (g *Gateway) applyTable(t *routing.Table) {
	g.Pools.Configure(t.Services)
	g.Pools.configureOutages(t)
	g.forgetTimeouts(t)
	for _, r := range g.inProgress() {
		if route := t.Route(r.route.Name); route != nil {
			r.setTimeout(route.Timeout)
		}
	}
}

// inProgress returns the requests without a final answer.
func (g *Gateway) inProgress() []*request {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Collect(maps.Keys(g.running))
}

// track adds a request to those in progress. It returns an error if a planned stop refuses it.
func (g *Gateway) track(r *request) error {
	usual := r.usualDuration()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.drain.refuses(time.Now(), usual, r.route.Resumable) {
		return errStopping
	}
	g.running[r] = struct{}{}
	return nil
}

func (g *Gateway) untrack(r *request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.running, r)
}

// Run keeps the pools in step with the directory, starts waiting requests and looks for
// silent upstreams until ctx is done.
func (g *Gateway) Run(ctx context.Context) {
	ticker := g.Clock.NewTicker(reconcileInterval)
	defer ticker.Stop()
	leftover := g.Clock.NewTicker(leftoverInterval)
	defer leftover.Stop()
	silence := g.Clock.NewTicker(silenceCheckInterval)
	defer silence.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-leftover.Chan():
			g.Pools.startOnLeftover()
			g.reportPace()
			continue
		case <-silence.Chan():
			g.standstill.observe(time.Now())
			g.checkSilence()
			continue
		case <-g.Directory.Changed():
		case <-ticker.Chan():
			g.Directory.RemoveExpired()
			if g.Reachability != nil {
				g.Pools.SetReachable(g.Reachability.Reachable)
			}
			if g.Entries != nil {
				g.Pools.SetEntries(g.Self, g.Entries())
			}
		}
		usable := g.Directory.Usable()
		changed := g.Pools.Reconcile(usable)
		g.logWarmups()
		if !changed {
			continue
		}
		addresses := map[string]bool{}
		for _, u := range usable {
			addresses[u.Address] = true
		}
		g.Transport.CloseIdleExcept(addresses)
		g.Log.Info("upstreams changed", zap.Int("usable", len(usable)))
	}
}

// reconcileInterval is how often upstreams whose registration is missing are
// checked for the end of their grace period. It is several times shorter than
// the bound on the removal of leaving upstreams.
const reconcileInterval = 250 * time.Millisecond
