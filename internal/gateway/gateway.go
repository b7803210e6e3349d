// Package gateway serves callers whose requests go straight to upstreams over
// HTTP: it routes, admits, sends, and gives each request one answer. What an
// attempt may be followed by is decided by the route's kind and by what is
// known of the attempt, never by the method.
//
// Lock order: Gateway.mu before Pools.mu; neither is held while sending.
package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/directory"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/routing"
	"github.com/kingcupreel/kingcupreel/internal/upstream"
)

// Inbound is what a caller's headers say of a request.
type Inbound struct {
	// ID names this attempt of the caller; each of its attempts has its own.
	ID string
	// CallerTimeout is how long the caller waits, 0 for unknown.
	CallerTimeout time.Duration
	// Key is the caller's key, empty for none.
	Key string
	// ResumeAfter is the last event that a stream's caller has, empty for none.
	ResumeAfter string
}

// Outbound is what an attempt's headers say to an upstream.
type Outbound struct {
	Upstream string
	// Remaining is the time that the upstream may take.
	Remaining time.Duration
	// Account is the caller's client account, empty for none.
	Account string
	// StripKey says that the caller's key has been used up and must not go on.
	StripKey    bool
	ResumeAfter string
	// Priority orders requests at the upstream, 0 first; negative means none.
	Priority int
}

// Codec reads and writes the headers that callers and upstreams speak.
type Codec interface {
	upstream.Codec
	Inbound(h http.Header) Inbound
	// Outbound changes a copy of the caller's headers into an attempt's.
	Outbound(h http.Header, o Outbound)
	// SetErrorHeaders marks an answer of the gateway's own to a request.
	SetErrorHeaders(h http.Header, id string, retryAfter time.Duration)
}

// Options are the parts of a gateway.
type Options struct {
	Routes      *routing.Store
	Directory   *directory.Directory
	Transport   *upstream.Transport
	Codec       Codec
	Pools       *Pools
	RetryLimits outcome.WindowLimits
	// MinOutage is how long a group that can't serve is taken to be away at least; 0
	// means defaultOutage, negative that it may be back at any moment.
	MinOutage time.Duration
	Clock     clockwork.Clock
	Log       *zap.Logger
	Metrics   metrics.Registry
}

// Gateway serves callers. It is safe for concurrent use.
type Gateway struct {
	Options
	stats     *stats
	draining  atomic.Bool
	startedAt time.Time

	mu           sync.Mutex
	running      map[*request]struct{}
	retryBudgets map[string]*outcome.WindowBudget
	entryShare   float64
	bodyMemory   *bodyBudget
}

// New returns a gateway.
func New(o Options) *Gateway {
	g := &Gateway{
		Options:      o,
		stats:        newStats(o.Metrics),
		running:      map[*request]struct{}{},
		retryBudgets: map[string]*outcome.WindowBudget{},
		entryShare:   defaultEntryShare,
		startedAt:    o.Clock.Now(),
		bodyMemory:   newBodyBudget(maxBodyMemory),
	}
	if g.MinOutage == 0 {
		g.MinOutage = defaultOutage
	}
	o.Routes.OnChange(g.applyTable)
	return g
}

// defaultEntryShare is an entry's part of shared allowances while it doesn't know
// how many entries there are: one of a large data centre's.
const defaultEntryShare = 1.0 / 32

// SetEntryCount tells the number of entries that share the allowances.
func (g *Gateway) SetEntryCount(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.entryShare = 1 / float64(max(n, 1))
	g.Pools.SetEntryShare(g.entryShare)
	for _, b := range g.retryBudgets {
		b.SetEntryShare(g.entryShare)
	}
}

// SetLimits changes the bounds on repeats.
func (g *Gateway) SetLimits(l outcome.WindowLimits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.RetryLimits = l
	for _, b := range g.retryBudgets {
		b.SetLimits(l)
	}
}

// retryBudget returns the repeats of a service.
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

// Drain makes every answer from now on close its connection.
func (g *Gateway) Drain() { g.draining.Store(true) }

// Ready says whether the gateway knows enough to serve callers.
func (g *Gateway) Ready() bool {
	return !g.draining.Load() && g.Routes.Current() != nil && g.Directory.Synced()
}

// InFlight returns the requests that have no final answer yet.
func (g *Gateway) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.running)
}

// applyTable applies a new configuration to the pools, and its timeouts to the
// running requests.
func (g *Gateway) applyTable(t *routing.Table) {
	g.Pools.Configure(t.Services)
	g.mu.Lock()
	running := make([]*request, 0, len(g.running))
	for r := range g.running {
		running = append(running, r)
	}
	g.mu.Unlock()
	for _, r := range running {
		if route := t.Route(r.route.Name); route != nil {
			r.setTimeout(route.Timeout)
		}
	}
}

func (g *Gateway) track(r *request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running[r] = struct{}{}
}

func (g *Gateway) untrack(r *request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.running, r)
}

// Run keeps the pools in step with the directory until ctx is done.
func (g *Gateway) Run(ctx context.Context) {
	ticker := g.Clock.NewTicker(reconcileInterval)
	defer ticker.Stop()
	leftover := g.Clock.NewTicker(leftoverInterval)
	defer leftover.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-leftover.Chan():
			g.Pools.startOnLeftover()
			continue
		case <-g.Directory.Changed():
		case <-ticker.Chan():
			g.Directory.RemoveExpired()
		}
		usable := g.Directory.Usable()
		if !g.Pools.Reconcile(usable) {
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

// reconcileInterval is how often absences are looked at: several
// times within the bound on leaving upstreams.
const reconcileInterval = 250 * time.Millisecond
