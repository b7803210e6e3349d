package daemon

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
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
	"github.com/kingcupreel/kingcupreel/internal/telemetry"
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
	routes := &routing.Store{}
	dir := directory.New(h.clock)
	transport := upstream.NewTransport(upstream.Options{Codec: platform.Headers{}})
	g := gateway.New(gateway.Options{
		Routes: routes, Directory: dir, Codec: platform.Headers{},
		Transport: transport,
		Pools:     gateway.NewPools(h.clock, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		Limits:    retryLimits(h.node),
		Clock:     h.clock, Log: h.log, Metrics: h.metrics,
	})
	configuration := platform.ConfigurationSink{Routes: routes, Clock: h.clock, Log: h.log}
	replicas := platform.ReplicaSink{Directory: dir, Log: h.log}
	f, err := h.join(work, fleet.RoleEntry)
	if err != nil {
		return err
	}
	x := &fleet.Exchange{
		Self: f.self.Name, View: f.view, Datagrams: f.datagrams, Clock: h.clock, Log: h.log,
		Knowledge: &knowledge{routes: routes, directory: dir, learn: configuration.Put},
	}
	routes.OnChange(func(*routing.Table) { x.Changed() })
	dir.OnDeparture(x.Changed)
	if err := fleet.Serve(work, f.self.Address, &wire.Mux{Funcs: map[wire.Kind]func(*wire.Conn, wire.Message){wire.KindConfigurationAsk: x.Answer}}, h.log); err != nil {
		return err
	}
	go f.datagrams.Run(work, func(from netip.AddrPort, m wire.Message) {
		switch m := m.(type) {
		case *wire.EntryDigest:
			x.Receive(work, from, m)
		case *wire.RankLoad:
			load := dispatch.Load{Queued: m.Queued, Active: m.Active, Pace: float64(m.Pace), Open: m.Open}
			if u := g.Pools.Reported(m.Address, m.Started, load); u != nil {
				h.log.Info("rank's report changed", zap.String("upstream", u.ID), zap.Bool("group_serves", m.Open), zap.Int64("step", m.Step), zap.Int("queued", m.Queued), zap.Int("active", m.Active))
			}
		}
	})
	go x.Run(work)
	go g.Run(work)
	h.reload(work, func(n settings.Node) { g.SetLimits(retryLimits(n)) })
	go shareAllowances(work, h.clock, g, f.view)
	h.follow(work, platform.KeyConfiguration, configuration, part(h.node.ConfigBound, configurationWait), 0)
	h.follow(work, platform.PrefixReplicas, replicas, part(h.node.DrainBound, replicasWait), replicasGather)
	callers, err := h.serve(work, h.node.CallerListen, g)
	if err != nil {
		return err
	}
	ready, err := h.serve(work, h.node.ReadyListen, readiness(g))
	if err != nil {
		return err
	}
	ops, err := h.serve(work, net.JoinHostPort(h.node.IP, strconv.Itoa(s.MetricsPort)), telemetry.ExpositionHandler(h.metrics))
	if err != nil {
		return err
	}
	if err := h.gauges(map[string]func() int64{
		"configuration.version": func() int64 { return (&knowledge{routes: routes}).Version() },
		"configuration.age_ms":  func() int64 { return age(h.clock, routes) },
		"upstreams.usable":      func() int64 { return int64(len(dir.Usable())) },
		"requests_in_flight":    func() int64 { return int64(g.InFlight()) },
		"entries.known":         func() int64 { return int64(f.view.Entries()) },
		"connections.opened":    transport.Opened,
	}); err != nil {
		return err
	}
	app := h.newApp(ctx, func(ctx context.Context) error { return drainGateway(ctx, g, callers) }, callers, ready, ops)
	h.log.Info("gateway started", zap.String("data_centre", h.node.DataCentre), zap.String("callers", h.node.CallerListen), zap.Duration("grace", h.node.Grace))
	return app.Run()
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
			if n := view.Entries(); n > 0 {
				g.SetEntries(n)
			}
		}
	}
}

// knowledge is what an entry exchanges with others. It implements
// fleet.Knowledge.
type knowledge struct {
	routes    *routing.Store
	directory *directory.Directory
	learn     func(encoded []byte, source string, revision int64)
}

// Version implements fleet.Knowledge.
func (k *knowledge) Version() int64 {
	if t := k.routes.Current(); t != nil {
		return t.Version
	}
	return 0
}

// Encoded implements fleet.Knowledge.
func (k *knowledge) Encoded() []byte {
	if t := k.routes.Current(); t != nil {
		return t.Encoded
	}
	return nil
}

// Learn implements fleet.Knowledge.
func (k *knowledge) Learn(encoded []byte, from string) { k.learn(encoded, from, 0) }

// Departures implements fleet.Knowledge.
func (k *knowledge) Departures() []wire.Departure {
	var list []wire.Departure
	for _, d := range k.directory.Departures() {
		list = append(list, wire.Departure(d))
	}
	return list
}

// Depart implements fleet.Knowledge.
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
