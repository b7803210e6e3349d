package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/go-kratos/kratos/v2"
	"github.com/go-kratos/kratos/v2/transport"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/feed"
	"github.com/kingcupreel/kingcupreel/internal/fleet"
	"github.com/kingcupreel/kingcupreel/internal/settings"
	"github.com/kingcupreel/kingcupreel/internal/socket"
	"github.com/kingcupreel/kingcupreel/internal/telemetry"
	"github.com/kingcupreel/kingcupreel/platform"
)

const (
	// memoryPart is the part of a VM's memory that the runtime aims at; the
	// rest is for what it doesn't count, such as sockets' buffers.
	memoryPart = 0.6
	// callerSilence ends a caller's connection that acknowledges nothing.
	callerSilence = 5 * time.Second
	// registrationWait bounds a watch of the registrations, whose loss harms
	// nobody for some seconds.
	registrationWait = 20 * time.Second
	// registrationGather is the pause after changes of registrations, which
	// come in series when a deployment starts.
	registrationGather = 1 * time.Second
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
	// hup gets SIGHUP from the start on, which would end the process otherwise.
	hup chan os.Signal
}

// newHost reads the platform's settings and sets up what all roles share.
func newHost(s settings.Hosted, w io.Writer) (*host, error) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	node, err := platform.ReadSettings()
	if err != nil {
		return nil, err
	}
	log, out, err := telemetry.NewBoundedLogger(w, s.LogLevel, node.Name)
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "use debug, info, warn or error", "log level")
	}
	debug.SetMemoryLimit(int64(memoryPart * float64(node.MemoryBytes)))
	reg := metrics.NewRegistry()
	telemetry.RegisterProcess(reg)
	h := &host{node: node, log: log, metrics: reg, clock: clockwork.NewRealClock(), hup: hup}
	h.store = platform.NewStore(node.StoreAddress, platform.DefaultStoreTimeout)
	h.store.Observe = func(path string, err error) {
		result := "ok"
		if err != nil {
			result = string(fault.KindOf(err))
		}
		path, _, _ = strings.Cut(path, "?")
		telemetry.Counter(reg, "store_calls."+path+"."+result).Inc(1)
	}
	return h, h.gauges(map[string]func() int64{"log_lines_dropped": out.Dropped})
}

// gauges registers functions whose values the metrics address shows.
func (h *host) gauges(all map[string]func() int64) error {
	for name, f := range all {
		if err := h.metrics.Register(name, metrics.NewFunctionalGauge(f)); err != nil {
			return fault.Wrap(fault.Internal, err, "report this", "registering the metric %s", name)
		}
	}
	return nil
}

// reloadInterval is how often the settings file is looked at: it may change
// without a signal.
const reloadInterval = 5 * time.Second

// reload reads the settings again at SIGHUP and when the file has changed, and
// passes them to apply. Faulty settings leave the old ones in force.
func (h *host) reload(ctx context.Context, apply func(settings.Node)) {
	go func() {
		defer signal.Stop(h.hup)
		last := h.node
		for {
			signalled := false
			select {
			case <-ctx.Done():
				return
			case <-h.hup:
				signalled = true
			case <-h.clock.After(reloadInterval):
			}
			node, err := platform.ReadSettings()
			if err != nil {
				h.log.Warn("settings not reloaded, the old ones stay", zap.Bool("signalled", signalled), zap.Error(err))
				continue
			}
			if node == last && !signalled {
				continue
			}
			h.log.Info("settings reloaded", zap.Bool("signalled", signalled), zap.Bool("changed", node != last))
			last = node
			debug.SetMemoryLimit(int64(memoryPart * float64(node.MemoryBytes)))
			apply(node)
		}
	}()
}

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

// serveMetrics serves the process's metrics on the VM's address.
func (h *host) serveMetrics(ctx context.Context, port int) (*khttp.Server, error) {
	return h.serve(ctx, net.JoinHostPort(h.node.IP, strconv.Itoa(port)), telemetry.ExpositionHandler(h.metrics))
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

// fleetPart is a process's part in the fleet.
type fleetPart struct {
	self      fleet.Member
	view      *fleet.View
	datagrams *fleet.Datagrams
}

// join registers the process and follows the others' registrations.
func (h *host) join(ctx context.Context, role fleet.Role) (*fleetPart, error) {
	f := &fleetPart{
		self: fleet.Member{
			Name: h.node.Name, Role: role, DataCentre: h.node.DataCentre,
			Address: net.JoinHostPort(h.node.IP, strconv.Itoa(h.node.FirstPort)), Upstream: h.node.LocalUpstream,
		},
		view: fleet.NewView(h.clock, h.log),
	}
	var err error
	if f.datagrams, err = fleet.ListenDatagrams(f.self.Address, h.log); err != nil {
		return nil, err
	}
	registrar := &fleet.Registrar{KV: h.store, Self: f.self, Clock: h.clock, Log: h.log}
	registrar.ReregisterOnLoss(f.view)
	h.follow(ctx, fleet.Prefix, f.view, registrationWait, registrationGather)
	go registrar.Run(ctx)
	return f, nil
}

// follow keeps a sink in step with the keys below a prefix, by watches that
// wait at most that long, with a pause after changes.
func (h *host) follow(ctx context.Context, prefix string, sink feed.Sink, wait, gather time.Duration) {
	go (&feed.Feed{KV: h.store, Prefix: prefix, Sink: sink, WatchTimeout: wait, BatchDelay: gather, Clock: h.clock, Log: h.log}).Run(ctx)
}
