package daemon

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/directory"
	"github.com/kingcupreel/kingcupreel/internal/dispatch"
	"github.com/kingcupreel/kingcupreel/internal/fleet"
	"github.com/kingcupreel/kingcupreel/internal/gateway"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/routing"
	"github.com/kingcupreel/kingcupreel/internal/settings"
	"github.com/kingcupreel/kingcupreel/internal/upstream"
	"github.com/kingcupreel/kingcupreel/internal/wire"
	"github.com/kingcupreel/kingcupreel/platform"
)

const (
	// drainNotice is how long a stopping process still takes connections: the
	// balancer looks at readiness once a second and acts after two misses.
	drainNotice = 2500 * time.Millisecond
	// configurationWait bounds a watch of the configuration, in parts of the
	// bound on a change. A watch may hear nothing of a change, and one that ends
	// soon after lets an entry that can't hear others know.
	configurationWait = 1.25
	// replicasWait bounds a watch of the upstreams, in parts of the bound on
	// leaving ones. Entries also tell each other of those.
	replicasWait = 2.5
	// replicasGather is the pause after changes of upstreams: a small part of
	// the bound on leaving ones.
	replicasGather = 100 * time.Millisecond
)

// entryRole holds the parts of a gateway process.
type entryRole struct {
	*host
	fleet     *fleetPart
	routes    *routing.Store
	directory *directory.Directory
	transport *upstream.Transport
	gateway   *gateway.Gateway
	exchange  *fleet.Exchange
}

// RunGateway serves callers on a VM of the platform until ctx is done or the
// process is told to stop.
func RunGateway(ctx context.Context, s settings.Hosted, out io.Writer) error {
	h, err := newHost(s, out)
	if err != nil {
		return err
	}
	defer func() { _ = h.log.Sync() }()
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	e, err := newEntryRole(work, h)
	if err != nil {
		return err
	}
	if err := e.meet(work); err != nil {
		return err
	}
	e.learn(work)
	callers, err := h.serve(work, h.node.CallerListen, e.gateway)
	if err != nil {
		return err
	}
	ready, err := h.serve(work, h.node.ReadyListen, readiness(e.gateway))
	if err != nil {
		return err
	}
	ops, err := h.serveMetrics(work, s.MetricsPort)
	if err != nil {
		return err
	}
	app := h.newApp(ctx, func(ctx context.Context) error { return drainGateway(ctx, e.gateway, callers) }, callers, ready, ops)
	h.log.Info("gateway started", zap.String("data_centre", h.node.DataCentre), zap.String("callers", h.node.CallerListen), zap.Duration("grace", h.node.Grace))
	return app.Run()
}

// newEntryRole builds the parts and registers the process.
func newEntryRole(work context.Context, h *host) (*entryRole, error) {
	e := &entryRole{host: h, routes: &routing.Store{}, directory: directory.New(h.clock)}
	e.transport = upstream.NewTransport(upstream.Options{Codec: platform.Headers{}})
	e.gateway = gateway.New(gateway.Options{
		Routes: e.routes, Directory: e.directory, Codec: platform.Headers{}, Transport: e.transport,
		Pools:       gateway.NewPools(h.clock, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		RetryLimits: retryLimits(h.node), MinOutage: h.node.PartitionBound,
		Clock: h.clock, Log: h.log, Metrics: h.metrics,
	})
	var err error
	if e.fleet, err = h.join(work, fleet.RoleEntry); err != nil {
		return nil, err
	}
	return e, h.gauges(map[string]func() int64{
		"configuration.version": (&knowledge{routes: e.routes}).Version,
		"configuration.age_ms":  func() int64 { return age(h.clock, e.routes) },
		"upstreams.usable":      func() int64 { return int64(len(e.directory.Usable())) },
		"requests_in_flight":    func() int64 { return int64(e.gateway.InFlight()) },
		"entries.known":         func() int64 { return int64(e.fleet.view.EntryCount()) },
		"connections.opened":    e.transport.ConnectionsOpened,
	})
}

// configuration returns the sink that puts configurations in force.
func (e *entryRole) configuration() platform.ConfigurationSink {
	return platform.ConfigurationSink{Routes: e.routes, Clock: e.clock, Log: e.log}
}

// meet exchanges what entries know of, and takes the ranks' loads.
func (e *entryRole) meet(work context.Context) error {
	e.exchange = &fleet.Exchange{
		Self: e.fleet.self.Name, View: e.fleet.view, Datagrams: e.fleet.datagrams, Clock: e.clock, Log: e.log,
		SharedState: &knowledge{routes: e.routes, directory: e.directory, learn: e.configuration().Put},
	}
	e.routes.OnChange(func(*routing.Table) { e.exchange.TriggerDigest() })
	e.directory.OnDeparture(e.exchange.TriggerDigest)
	answers := &wire.Mux{Funcs: map[wire.Kind]func(*wire.Conn, wire.Message){wire.KindConfigurationRequest: e.exchange.SendConfiguration}}
	if err := fleet.Serve(work, e.fleet.self.Address, answers, e.log); err != nil {
		return err
	}
	go e.fleet.datagrams.Run(work, func(from netip.AddrPort, m wire.Message) { e.received(work, from, m) })
	go e.exchange.Run(work)
	return nil
}

// received takes a datagram of another process.
func (e *entryRole) received(work context.Context, from netip.AddrPort, m wire.Message) {
	switch m := m.(type) {
	case *wire.EntryDigest:
		e.exchange.HandleDigest(work, from, m)
	case *wire.RankLoad:
		load := dispatch.Load{Queued: m.Queued, Active: m.Active, Slowness: float64(m.Slowness), GroupServing: m.GroupServing}
		if u := e.gateway.Pools.UpdateLoad(m.Address, m.Started, load); u != nil {
			e.log.Info("rank's report changed", zap.String("upstream", u.ID), zap.Bool("group_serves", m.GroupServing),
				zap.Int64("step", m.Step), zap.Int("queued", m.Queued), zap.Int("active", m.Active))
		}
	}
}

// learn follows the store and the settings.
func (e *entryRole) learn(work context.Context) {
	go e.gateway.Run(work)
	go shareAllowances(work, e.clock, e.gateway, e.fleet.view)
	e.reload(work, func(n settings.Node) { e.gateway.SetLimits(retryLimits(n)) })
	e.follow(work, platform.KeyConfiguration, e.configuration(), part(e.node.ConfigBound, configurationWait), 0)
	replicas := platform.ReplicaSink{Directory: e.directory, Log: e.log}
	e.follow(work, platform.PrefixReplicas, replicas, part(e.node.DrainBound, replicasWait), replicasGather)
}

// part returns a part of a bound.
func part(bound time.Duration, p float64) time.Duration { return time.Duration(float64(bound) * p) }

// allowanceInterval is how often an entry's part of shared allowances follows
// the number of entries.
const allowanceInterval = 1 * time.Second

// shareAllowances tells the gateway how many entries there are.
func shareAllowances(ctx context.Context, clock clockwork.Clock, g *gateway.Gateway, view *fleet.View) {
	ticker := clock.NewTicker(allowanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			if n := view.EntryCount(); n > 0 {
				g.SetEntryCount(n)
			}
		}
	}
}

// knowledge is what an entry exchanges with others. It implements
// fleet.SharedState.
type knowledge struct {
	routes    *routing.Store
	directory *directory.Directory
	learn     func(encoded []byte, source string, revision int64)
}

// Version implements fleet.SharedState.
func (k *knowledge) Version() int64 {
	if t := k.routes.Current(); t != nil {
		return t.Version
	}
	return 0
}

// Encoded implements fleet.SharedState.
func (k *knowledge) Encoded() []byte {
	if t := k.routes.Current(); t != nil {
		return t.Encoded
	}
	return nil
}

// ApplyConfiguration implements fleet.SharedState.
func (k *knowledge) ApplyConfiguration(encoded []byte, from string) { k.learn(encoded, from, 0) }

// Departures implements fleet.SharedState.
func (k *knowledge) Departures() []wire.Departure {
	var list []wire.Departure
	for _, d := range k.directory.Departures() {
		list = append(list, wire.Departure(d))
	}
	return list
}

// Depart implements fleet.SharedState.
func (k *knowledge) Depart(d wire.Departure) bool { return k.directory.Depart(directory.Departure(d)) }

// age returns how long the configuration in force has been, in milliseconds, and
// -1 while there is none.
func age(clock clockwork.Clock, routes *routing.Store) int64 {
	t := routes.Current()
	if t == nil {
		return -1
	}
	return clock.Since(t.Since).Milliseconds()
}

// retryLimits are the bounds on repeats that the platform's settings state.
func retryLimits(n settings.Node) outcome.WindowLimits {
	return outcome.WindowLimits{Window: n.RetryWindow, Ratio: n.RetryRatio, Allowance: n.RetryAllowance}
}

func readiness(g *gateway.Gateway) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !g.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// drainGateway turns readiness off, still takes connections until the balancer
// has seen that, and waits for the requests in flight.
func drainGateway(ctx context.Context, g *gateway.Gateway, callers *khttp.Server) error {
	g.Drain()
	select {
	case <-time.After(drainNotice):
	case <-ctx.Done():
	}
	return callers.Shutdown(ctx)
}
