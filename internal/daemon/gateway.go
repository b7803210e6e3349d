package daemon

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/directory"
	"github.com/kingcupreel/kingcupreel/internal/dispatch"
	"github.com/kingcupreel/kingcupreel/internal/evacuation"
	"github.com/kingcupreel/kingcupreel/internal/feed"
	"github.com/kingcupreel/kingcupreel/internal/fleet"
	"github.com/kingcupreel/kingcupreel/internal/gateway"
	"github.com/kingcupreel/kingcupreel/internal/kvstore"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/quarantine"
	"github.com/kingcupreel/kingcupreel/internal/routing"
	"github.com/kingcupreel/kingcupreel/internal/settings"
	"github.com/kingcupreel/kingcupreel/internal/upstream"
	"github.com/kingcupreel/kingcupreel/internal/wire"
	"github.com/kingcupreel/kingcupreel/platform"
)

const (
	// drainNotice is how long a draining gateway accepts connections: the
	// balancer checks readiness every second and acts after two failed checks.
	drainNotice = 2500 * time.Millisecond
	// configurationWatchFactor times settings.Node.ConfigBound, and
	// replicasWatchFactor times settings.Node.DrainBound, are the timeouts of the
	// watches of the configuration and of the upstreams. evacuationWatchFactor times
	// settings.Node.EvacuationBound limits the first of them, since both come by one watch. A store that discards its
	// history lets a watch wait in vain to its end, at all watchers alike.
	configurationWatchFactor = 1.25
	evacuationWatchFactor    = 0.75
	replicasWatchFactor      = 2.5
	// replicasBatchDelay is the pause after changes of upstreams, in which
	// further changes are batched. It is a small fraction of DrainBound.
	replicasBatchDelay = 100 * time.Millisecond
)

// gatewayProcess is a gateway process on the platform.
type gatewayProcess struct {
	*platformProcess
	fleet     *fleetMembership
	routes    *routing.Store
	directory *directory.Directory
	transport *upstream.Transport
	gateway   *gateway.Gateway
	exchange  *fleet.Exchange
	crashes   *fleet.CrashReports
	// reachability is updated by the datagrams of other processes and by answers.
	reachability *fleet.Reachability
	// evacuations is nil if the platform doesn't evacuate.
	evacuations *evacuation.Table
	groups      *groupLog
}

// RunGateway serves callers on a VM of the platform until ctx is done or the
// process gets a signal to stop.
func RunGateway(ctx context.Context, s settings.Hosted, out io.Writer) error {
	p, err := newPlatformProcess(s, out)
	if err != nil {
		return err
	}
	defer func() { _ = p.log.Sync() }()
	// work outlives ctx, so that background work continues during the drain.
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, err := newGatewayProcess(work, p)
	if err != nil {
		return err
	}
	if err := g.startExchange(work); err != nil {
		return err
	}
	g.startUpdates(work)
	callers, err := p.newServer(work, p.node.CallerListen, g.gateway)
	if err != nil {
		return err
	}
	open := trackConnections(callers.Server.Server)
	ready, err := p.newServer(work, p.node.ReadyListen, readinessHandler(g.gateway))
	if err != nil {
		return err
	}
	ops, err := p.newMetricsServer(work, s.MetricsPort)
	if err != nil {
		return err
	}
	drain := func(ctx context.Context) error { return g.drain(ctx, callers, open) }
	app := p.newApp(ctx, drain, callers, ready, ops)
	p.log.Info("gateway started", zap.String("data_centre", p.node.DataCentre), zap.String("callers", p.node.CallerListen), zap.Duration("grace", p.node.Grace))
	return app.Run()
}

// newGatewayProcess builds the gateway, joins the fleet and registers the
// gauges.
func newGatewayProcess(work context.Context, p *platformProcess) (*gatewayProcess, error) {
	g := &gatewayProcess{platformProcess: p, routes: &routing.Store{}, directory: directory.New(p.clock), reachability: fleet.NewReachability(p.clock, p.node.DataCentre), groups: newGroupLog(p.clock, p.log)}
	if p.node.Heartbeat > 0 {
		g.directory.SetHeartbeat(p.node.Heartbeat)
	}
	g.directory.SetDepartureBound(p.node.DrainBound)
	g.transport = upstream.NewTransport(upstream.Options{Codec: platform.Headers{}})
	g.gateway = gateway.New(gateway.Options{
		Routes: g.routes, Directory: g.directory, Codec: platform.Headers{}, Transport: g.transport,
		Pools:       gateway.NewPools(p.clock, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		RetryLimits: retryLimits(p.node), MinOutage: p.node.MaxPartition,
		Self: p.node.Name, Entries: func() []string { return g.fleet.view.EntryNames(p.node.Name) },
		Reachability: g.reachability, OnDeparture: func() { g.exchange.TriggerDigest() }, OnCrashReport: func(r quarantine.Report) { g.crashes.Send(r) },
		OnQuarantine: func(quarantined []quarantine.Fingerprint) {
			for _, f := range quarantined {
				go g.crashes.Store(work, f)
			}
		},
		OnAcquittal: func(acquitted []quarantine.Fingerprint) {
			for _, f := range acquitted {
				go g.crashes.Remove(work, f)
			}
		},
		MemoryBytes: p.node.MemoryBytes, Clock: p.clock, Log: p.log, Metrics: p.metrics,
	})
	if err := g.initEvacuations(); err != nil {
		return nil, err
	}
	// Stored evidence may arrive before the rest is known.
	g.crashes = &fleet.CrashReports{KV: p.store, Table: g.gateway.Quarantine, Clock: p.clock, Log: p.log}
	onEvidence := func(value []byte) {
		g.crashes.Load(value)
		go g.gateway.EnforceQuarantine()
	}
	var err error
	if g.fleet, err = p.join(work, fleet.RoleEntry, onEvidence); err != nil {
		return nil, err
	}
	g.crashes.Self, g.crashes.View, g.crashes.Datagrams = g.fleet.self.Name, g.fleet.view, g.fleet.datagrams
	return g, p.registerGauges(map[string]func() int64{
		"configuration.version": (&sharedState{routes: g.routes}).Version,
		"configuration.age_ms":  func() int64 { return configurationAgeMS(p.clock, g.routes) },
		"upstreams.usable":      func() int64 { return int64(len(g.directory.Usable())) },
		"upstreams.limited":     func() int64 { return int64(g.gateway.Pools.Limited()) },
		"upstreams.cold":        func() int64 { return int64(g.gateway.Pools.Cold()) },
		"requests_in_flight":    func() int64 { return int64(g.gateway.InFlight()) },
		"bodies.held_bytes":     g.gateway.HeldBytes,
		"entries.known":         func() int64 { return int64(g.fleet.view.EntryCount()) },
		"connections.opened":    g.transport.ConnectionsOpened,
	})
}

// configurationSink returns the sink that puts configurations in force.
func (g *gatewayProcess) configurationSink() platform.ConfigurationSink {
	return platform.ConfigurationSink{Routes: g.routes, Clock: g.clock, Log: g.log}
}

// startExchange starts the exchange of shared state with other entries and
// receives the ranks' load reports.
func (g *gatewayProcess) startExchange(work context.Context) error {
	g.exchange = &fleet.Exchange{
		Self: g.fleet.self.Name, View: g.fleet.view, Datagrams: g.fleet.datagrams, Clock: g.clock, Log: g.log,
		SharedState: &sharedState{routes: g.routes, directory: g.directory, pools: g.gateway.Pools, fleet: g.fleet, evacuations: g.evacuations, applyConfiguration: g.configurationSink().ApplyConfiguration},
	}
	g.routes.OnChange(func(*routing.Table) { g.exchange.TriggerDigest() })
	g.directory.OnDeparture(g.exchange.TriggerDigest)
	mux := &wire.Mux{Funcs: map[wire.Kind]func(*wire.Conn, wire.Message){
		wire.KindConfigurationRequest: g.exchange.SendConfiguration,
		wire.KindStoreQuery:           func(c *wire.Conn, m wire.Message) { g.fleet.mirrors.Handle(work, c, m.(*wire.StoreQuery)) },
	}}
	if err := fleet.Serve(work, g.fleet.self.Address, mux, g.log); err != nil {
		return err
	}
	go g.fleet.datagrams.Run(work, func(from netip.AddrPort, m wire.Message) { g.handleDatagram(work, from, m) })
	go g.exchange.Run(work)
	if g.evacuations != nil {
		go g.exchange.LearnAtStart(work)
	}
	go g.crashes.Run(work)
	return nil
}

// handleDatagram handles another entry's digest or crash report, or a rank's load report.
func (g *gatewayProcess) handleDatagram(work context.Context, from netip.AddrPort, m wire.Message) {
	switch m := m.(type) {
	case *wire.EntryDigest:
		if sender, ok := g.fleet.view.Get(m.Entry); ok {
			g.reachability.Heard(sender.DataCentre)
		}
		g.exchange.HandleDigest(work, from, m)
	case *wire.RankLoad:
		g.handleLoad(m)
	case *wire.Evacuations:
		g.exchange.HandleEvacuations(m)
	case *wire.UpstreamLimits:
		g.gateway.ApplySharedLimits(m.Limits)
	case *wire.CrashReport:
		g.crashes.Handle(m)
		g.gateway.EnforceQuarantine()
	}
}

// handleLoad handles the load report of an upstream that is in use, or was until it left.
func (g *gatewayProcess) handleLoad(m *wire.RankLoad) {
	load := dispatch.Load{Queued: m.Queued, Active: m.Active, Slowness: float64(m.Slowness), GroupServing: m.GroupServing, Group: m.Group, GroupSize: m.GroupSize}
	u := g.gateway.Pools.Get(m.Address, m.Started)
	if u == nil {
		g.gateway.Pools.UpdateLoad(m.Address, m.Started, load)
		return
	}
	g.reachability.Heard(u.DataCentre)
	if m.Leaving && g.directory.Depart(u.Incarnation()) {
		g.log.Info("upstream is leaving", zap.String("upstream", u.ID), zap.Int64("started", u.Started), zap.String("source", "load report"))
		g.exchange.TriggerDigest()
	}
	g.gateway.ApplyReportedLimit(u, m.RequestLimit)
	if g.gateway.Pools.UpdateLoad(m.Address, m.Started, load) != nil {
		g.groups.add(m)
	}
}

// startUpdates starts the gateway's periodic work and keeps it up to date with
// the store and the settings file.
func (g *gatewayProcess) startUpdates(work context.Context) {
	go g.gateway.Run(work)
	g.gateway.Pools.SetWarmupBound(g.node.WarmupOverage, g.node.WarmupAllowance)
	go updateEntryCount(work, g.clock, g.gateway, g.fleet.view)
	g.reload(work, func(n settings.Node) {
		g.gateway.SetLimits(retryLimits(n))
		g.gateway.Pools.SetWarmupBound(n.WarmupOverage, n.WarmupAllowance)
	})
	g.follow(work, g.fleet, g.operatorFeed())
	g.follow(work, g.fleet, &feed.Feed{
		Prefix: platform.PrefixReplicas, Sink: platform.ReplicaSink{Directory: g.directory, Log: g.log},
		WatchTimeout: scale(g.node.DrainBound, replicasWatchFactor), BatchDelay: replicasBatchDelay,
	})
}

// scale returns a duration times a factor.
func scale(bound time.Duration, factor float64) time.Duration {
	return time.Duration(float64(bound) * factor)
}

// entryCountInterval is how often an entry's share of common limits is adapted
// to the number of entries.
const entryCountInterval = 1 * time.Second

// updateEntryCount tells the gateway the number of entries every
// entryCountInterval until ctx is done. It skips 0, which means that the number
// is not known yet.
func updateEntryCount(ctx context.Context, clock clockwork.Clock, g *gateway.Gateway, view *fleet.View) {
	ticker := clock.NewTicker(entryCountInterval)
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

// sharedState is the state that an entry exchanges with other entries: its
// configuration, the departures and limits of upstreams, and evacuations. It implements
// fleet.SharedState.
type sharedState struct {
	routes             *routing.Store
	directory          *directory.Directory
	pools              *gateway.Pools
	fleet              *fleetMembership
	evacuations        *evacuation.Table
	applyConfiguration func(encoded []byte, source string, revision int64)
}

// Version implements fleet.SharedState.
func (s *sharedState) Version() int64 {
	if t := s.routes.Current(); t != nil {
		return t.Version
	}
	return 0
}

// Encoded implements fleet.SharedState.
func (s *sharedState) Encoded() []byte {
	if t := s.routes.Current(); t != nil {
		return t.Encoded
	}
	return nil
}

// ApplyConfiguration implements fleet.SharedState.
func (s *sharedState) ApplyConfiguration(encoded []byte, from string) {
	s.applyConfiguration(encoded, from, 0)
}

// Departures implements fleet.SharedState.
func (s *sharedState) Departures() []wire.Departure {
	var list []wire.Departure
	for _, d := range s.directory.Departures() {
		list = append(list, wire.Departure(d))
	}
	return list
}

// Depart implements fleet.SharedState.
func (s *sharedState) Depart(d wire.Departure) bool {
	return s.directory.Depart(directory.Departure(d))
}

// RecentLimits implements fleet.SharedState.
func (s *sharedState) RecentLimits(max int) []wire.UpstreamLimit { return s.pools.RecentLimits(max) }

// UpstreamsChange implements fleet.SharedState.
func (s *sharedState) UpstreamsChange() kvstore.Position {
	if m := s.fleet.mirrors.Mirror(platform.PrefixReplicas); m != nil {
		return m.LastChange()
	}
	return kvstore.Position{}
}

// ObserveUpstreamsChange implements fleet.SharedState.
func (s *sharedState) ObserveUpstreamsChange(at kvstore.Position) {
	if m := s.fleet.mirrors.Mirror(platform.PrefixReplicas); m != nil {
		s.fleet.reads.ObserveChange(platform.PrefixReplicas, m, at)
	}
}

// configurationAgeMS returns how long the current configuration has been in
// force, in milliseconds, or -1 if there is none.
func configurationAgeMS(clock clockwork.Clock, routes *routing.Store) int64 {
	t := routes.Current()
	if t == nil {
		return -1
	}
	return clock.Since(t.Since).Milliseconds()
}

// retryLimits returns the retry budget that the platform's settings give.
func retryLimits(n settings.Node) outcome.WindowLimits {
	return outcome.WindowLimits{Window: n.RetryWindow, Ratio: n.RetryRatio, Allowance: n.RetryAllowance}
}

// readinessHandler answers 200 while the gateway is ready and 503 otherwise.
func readinessHandler(g *gateway.Gateway) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !g.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// drain makes the gateway report that it isn't ready and drains its callers' server.
func (g *gatewayProcess) drain(ctx context.Context, callers *server, open *connections) error {
	g.gateway.Drain(drainEnd(ctx))
	return drainServer(ctx, callers.Server.Server, callers.listener, open, drainNotice, g.gateway.RefuseNew, func() {
		if g.gateway.InFlight() > 0 {
			g.log.Warn("requests in flight at the end of the drain", append(g.gateway.InFlightFields(), open.fields()...)...)
		}
		g.gateway.Stop()
	})
}
