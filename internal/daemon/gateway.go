package daemon

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"github.com/go-kratos/kratos/v2"
	"github.com/go-kratos/kratos/v2/transport"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/directory"
	"github.com/kingcupreel/kingcupreel/internal/dispatch"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/fleet"
	"github.com/kingcupreel/kingcupreel/internal/gateway"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/routing"
	"github.com/kingcupreel/kingcupreel/internal/settings"
	"github.com/kingcupreel/kingcupreel/internal/socket"
	"github.com/kingcupreel/kingcupreel/internal/telemetry"
	"github.com/kingcupreel/kingcupreel/internal/upstream"
	"github.com/kingcupreel/kingcupreel/internal/wire"
	"github.com/kingcupreel/kingcupreel/platform"
)

const (
	// memoryPart is the part of a VM's memory that the runtime aims at; the
	// rest is for what it doesn't count, such as sockets' buffers.
	memoryPart = 0.6
	// callerSilence ends a caller's connection that acknowledges nothing.
	callerSilence = 5 * time.Second
	// drainNotice is how long a stopping process still takes connections: the
	// balancer looks at readiness once a second and acts after two misses.
	drainNotice = 2500 * time.Millisecond
	// configurationWait bounds a watch of the configuration. A watch may hear
	// nothing of a change, and one that ends soon after lets an entry that can't
	// hear others know within the bound on a change.
	configurationWait = 2500 * time.Millisecond
	// replicasWait bounds a watch of the upstreams, whose changes entries also
	// tell each other.
	replicasWait = 5 * time.Second
	// drainMargin is kept back from the grace for closing down.
	drainMargin = 400 * time.Millisecond
)

// host is what every process on the platform has.
type host struct {
	node    settings.Node
	log     *zap.Logger
	metrics metrics.Registry
	store   *platform.Store
	clock   clockwork.Clock
}

// newHost reads the platform's settings and sets up what all roles share.
func newHost(s settings.Hosted, out io.Writer) (*host, error) {
	node, err := platform.ReadSettings()
	if err != nil {
		return nil, err
	}
	log, _, err := telemetry.NewBoundedLogger(out, s.LogLevel, node.Name)
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "use debug, info, warn or error", "log level")
	}
	debug.SetMemoryLimit(int64(memoryPart * float64(node.MemoryBytes)))
	reg := metrics.NewRegistry()
	telemetry.RegisterProcess(reg)
	h := &host{node: node, log: log, metrics: reg, clock: clockwork.NewRealClock()}
	h.store = platform.NewStore(node.StoreAddress, platform.DefaultStoreTimeout)
	h.store.Observe = func(path string, err error) {
		result := "ok"
		if err != nil {
			result = string(fault.KindOf(err))
		}
		path, _, _ = strings.Cut(path, "?")
		telemetry.Counter(reg, "store_calls."+path+"."+result).Inc(1)
	}
	return h, nil
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
	routes := &routing.Store{}
	dir := directory.New(h.clock)
	g := gateway.New(gateway.Options{
		Routes: routes, Directory: dir, Codec: platform.Headers{},
		Transport: upstream.NewTransport(upstream.Options{Codec: platform.Headers{}}),
		Pools:     gateway.NewPools(h.clock, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		Limits:    outcome.WindowLimits{Window: h.node.RetryWindow, Ratio: h.node.RetryRatio, Allowance: h.node.RetryAllowance},
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
			g.Pools.Reported(m.Address, m.Started, dispatch.Load{Queued: m.Queued, Active: m.Active, Pace: float64(m.Pace), Open: m.Open})
		}
	})
	go x.Run(work)
	go g.Run(work)
	go shareAllowances(work, h.clock, g, f.view)
	h.follow(work, platform.KeyConfiguration, configuration, configurationWait)
	h.follow(work, platform.PrefixReplicas, replicas, replicasWait)
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
	app := h.newApp(ctx, func(ctx context.Context) error { return drainGateway(ctx, g, callers) }, callers, ready, ops)
	h.log.Info("gateway started", zap.String("data_centre", h.node.DataCentre), zap.String("callers", h.node.CallerListen), zap.Duration("grace", h.node.Grace))
	return app.Run()
}

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

// serve opens a listener and returns a server of h on it. Paths reach h as the
// caller sent them.
func (h *host) serve(ctx context.Context, address string, handler http.Handler) (*khttp.Server, error) {
	l, err := socket.ListenConfig(callerSilence).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, err, "check the platform's settings", "listening on %s", address)
	}
	s := httpServer(l, handler)
	s.Handler = handler // past the router, which redirects paths that aren't clean
	return s, nil
}

func readiness(g *gateway.Gateway) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !g.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// newApp builds the kratos application; drain runs before the servers stop.
func (h *host) newApp(ctx context.Context, drain func(context.Context) error, servers ...transport.Server) *kratos.App {
	return kratos.New(
		kratos.Context(ctx),
		kratos.Name(h.node.Name),
		kratos.Logger(telemetry.KratosLogger{Zap: h.log}),
		kratos.StopTimeout(drainMargin),
		kratos.BeforeStop(func(context.Context) error {
			h.log.Info("stopping", zap.Duration("grace", h.node.Grace))
			ctx, cancel := context.WithTimeout(context.Background(), h.node.Grace-drainMargin)
			defer cancel()
			if err := drain(ctx); err != nil {
				h.log.Warn("stopped with requests in flight", zap.Error(err))
			}
			return nil
		}),
		kratos.Server(servers...),
	)
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
