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
	"github.com/kingcupreel/kingcupreel/internal/relay"
	"github.com/kingcupreel/kingcupreel/internal/settings"
	"github.com/kingcupreel/kingcupreel/internal/socket"
	"github.com/kingcupreel/kingcupreel/internal/telemetry"
	"github.com/kingcupreel/kingcupreel/platform"
)

const (
	// memoryLimitFraction is the fraction of the VM's memory that is the Go
	// runtime's soft limit. The rest is for memory outside the runtime, such as
	// socket buffers.
	memoryLimitFraction = 0.6
	// callerAckTimeout closes a connection whose caller acknowledges nothing.
	callerAckTimeout = 5 * time.Second
	// maxWatchTimeout is the timeout of a watch that may miss a change for some
	// seconds without harm.
	maxWatchTimeout = 20 * time.Second
	// registrationBatchDelay is the pause after changes of registrations, in
	// which further changes are batched: many come when a deployment starts.
	registrationBatchDelay = 1 * time.Second
	// shutdownMargin is the part of the grace period reserved for stopping the
	// servers after the drain.
	shutdownMargin = 400 * time.Millisecond
	// serverStopTimeout is how long the servers may take to stop; a connection without a
	// request doesn't hold them longer.
	serverStopTimeout = shutdownMargin / 2
)

// platformProcess holds what the gateway and the rank agent, the processes that
// run from the platform's settings file, have in common.
type platformProcess struct {
	node    settings.Node
	log     *zap.Logger
	metrics metrics.Registry
	store   *platform.Store
	clock   clockwork.Clock
	// hup receives SIGHUP. It is registered before anything else, since an
	// unhandled SIGHUP terminates the process.
	hup chan os.Signal
}

// newPlatformProcess reads the platform's settings and sets up logging, metrics
// and the store's client.
func newPlatformProcess(s settings.Hosted, w io.Writer) (*platformProcess, error) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	node, err := platform.ReadSettings()
	if err != nil {
		return nil, err
	}
	log, out, err := telemetry.NewBoundedLogger(w, s.LogLevel, node.Name)
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "use debug, info, warn or error", "parsing the log level")
	}
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(node.MemoryBytes)))
	reg := metrics.NewRegistry()
	telemetry.RegisterProcess(reg)
	p := &platformProcess{node: node, log: log, metrics: reg, clock: clockwork.NewRealClock(), hup: hup}
	p.store = platform.NewStore(node.StoreAddress, platform.DefaultStoreTimeout)
	p.store.Observe = func(path string, err error) {
		result := "ok"
		if err != nil {
			result = string(fault.KindOf(err))
		}
		path, _, _ = strings.Cut(path, "?")
		telemetry.Counter(reg, "store_calls."+path+"."+result).Inc(1)
	}
	return p, p.registerGauges(map[string]func() int64{"log_lines_dropped": out.Dropped})
}

// registerGauges registers functions as gauges, by metric name.
func (p *platformProcess) registerGauges(all map[string]func() int64) error {
	for name, f := range all {
		if err := p.metrics.Register(name, metrics.NewFunctionalGauge(f)); err != nil {
			return fault.Wrap(fault.Internal, err, "report this as a bug", "registering the metric %s", name)
		}
	}
	return nil
}

// reloadInterval is how often the settings file is read again, since it may
// change without a signal.
const reloadInterval = 5 * time.Second

// reload starts a goroutine that reads the settings file at SIGHUP and every
// reloadInterval, and calls apply at SIGHUP or if they have changed. If the new
// settings are faulty, the old ones stay in force.
func (p *platformProcess) reload(ctx context.Context, apply func(settings.Node)) {
	go func() {
		defer signal.Stop(p.hup)
		last := p.node
		for {
			signalled := false
			select {
			case <-ctx.Done():
				return
			case <-p.hup:
				signalled = true
			case <-p.clock.After(reloadInterval):
			}
			node, err := platform.ReadSettings()
			if err != nil {
				p.log.Warn("settings not reloaded, the old ones stay", zap.Bool("signalled", signalled), zap.Error(err))
				continue
			}
			if node == last && !signalled {
				continue
			}
			p.log.Info("settings reloaded", zap.Bool("signalled", signalled), zap.Bool("changed", node != last))
			last = node
			debug.SetMemoryLimit(int64(memoryLimitFraction * float64(node.MemoryBytes)))
			apply(node)
		}
	}()
}

// server is an HTTP server that closes its connections if they don't end in time.
type server struct {
	*khttp.Server
	listener *drainableListener
}

// Stop implements transport.Server.
func (s *server) Stop(ctx context.Context) error {
	if s.Server.Stop(ctx) == nil {
		return nil
	}
	return s.Close()
}

// newServer opens a listener and returns a server of the handler on it. The
// handler sees paths as the caller sent them.
func (p *platformProcess) newServer(ctx context.Context, address string, handler http.Handler) (*server, error) {
	l, err := socket.ListenConfig(callerAckTimeout).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, err, "check the addresses and ports in the platform's settings file, and that no other process listens there", "listening on %s", address)
	}
	listener := newDrainableListener(l)
	s := httpServer(listener, handler)
	s.Handler = handler // bypasses the router, which redirects unclean paths
	return &server{s, listener}, nil
}

// newMetricsServer returns a server of the process's metrics on the VM's address.
func (p *platformProcess) newMetricsServer(ctx context.Context, port int) (*server, error) {
	return p.newServer(ctx, net.JoinHostPort(p.node.IP, strconv.Itoa(port)), telemetry.ExpositionHandler(p.metrics))
}

// newApp builds the kratos application. It calls drain before it stops the
// servers, with a deadline of the grace period less shutdownMargin.
func (p *platformProcess) newApp(ctx context.Context, drain func(context.Context) error, servers ...transport.Server) *kratos.App {
	return kratos.New(
		kratos.Context(ctx),
		kratos.Name(p.node.Name),
		kratos.Logger(telemetry.KratosLogger{Zap: p.log}),
		kratos.StopTimeout(serverStopTimeout),
		kratos.BeforeStop(func(context.Context) error {
			p.log.Info("stopping", zap.Duration("grace", p.node.Grace))
			ctx, cancel := context.WithTimeout(context.Background(), p.node.Grace-shutdownMargin)
			defer cancel()
			if err := drain(ctx); err != nil {
				p.log.Warn("stopped with requests in flight", zap.Error(err))
			}
			return nil
		}),
		kratos.Server(servers...),
	)
}

// fleetMembership is a process's registration in the fleet, its view of the
// other members, its socket for datagrams to them, and its access to the store through
// them.
type fleetMembership struct {
	self      fleet.Member
	view      *fleet.View
	datagrams *fleet.Datagrams
	reads     *relay.Client
	// mirrors answers other processes' reads of the store; nil on a rank's VM.
	mirrors *relay.Server
}

// join registers the process in the fleet and follows the other members'
// registrations. onEvidence, if not nil, is called with stored evidence of crashes; see
// fleet.View.OnEvidence.
func (p *platformProcess) join(ctx context.Context, role fleet.Role, onEvidence func(value []byte)) (*fleetMembership, error) {
	f := &fleetMembership{
		self: fleet.Member{
			Name: p.node.Name, Role: role, DataCentre: p.node.DataCentre,
			Address: net.JoinHostPort(p.node.IP, strconv.Itoa(p.node.FirstPort)), Upstream: p.node.LocalUpstream,
		},
		view: fleet.NewView(p.clock, p.log),
	}
	f.view.OnEvidence(onEvidence)
	f.reads = relay.NewClient(ctx, p.store, f.self, f.view, p.clock, p.log)
	if role == fleet.RoleEntry {
		f.mirrors = &relay.Server{Client: f.reads, Clock: p.clock}
	}
	var err error
	if f.datagrams, err = fleet.ListenDatagrams(f.self.Address, p.log); err != nil {
		return nil, err
	}
	registrar := &fleet.Registrar{KV: p.store, Self: f.self, Clock: p.clock, Log: p.log}
	registrar.ReregisterOnLoss(f.view)
	p.follow(ctx, f, &feed.Feed{Prefix: fleet.Prefix, Sink: f.view, WatchTimeout: maxWatchTimeout, BatchDelay: registrationBatchDelay})
	go registrar.Run(ctx)
	return f, nil
}

// follow starts a feed, of which the caller gives the prefix, the sink and the times.
func (p *platformProcess) follow(ctx context.Context, f *fleetMembership, keys *feed.Feed) {
	if f.mirrors != nil {
		m := relay.NewMirror(keys.Sink)
		f.mirrors.Add(keys.Prefix, m)
		keys.Sink = m
	}
	keys.KV, keys.Clock, keys.Log = f.reads, p.clock, p.log
	go keys.Run(ctx)
}
