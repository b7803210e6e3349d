// Package daemon builds and runs the processes of kingcupreeld: it turns the
// settings of an entry, an agent, a gateway or a rank agent into a kratos
// application. A stand-alone deployment has entries, which send requests to the
// agents of the upstreams. On the platform the entries are gateways, which call
// the upstreams directly, and rank agents manage the model engines.
package daemon

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/go-kratos/kratos/v2"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/config/codec"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/settings"
	"github.com/kingcupreel/kingcupreel/internal/telemetry"
	"github.com/kingcupreel/kingcupreel/internal/timeline"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

const (
	// headerTimeout bounds the time to read a request's headers.
	headerTimeout = 10 * time.Second
	// idleTimeout closes a caller's connection without requests.
	idleTimeout    = 120 * time.Second
	maxHeaderBytes = 64 << 10
)

// Ready is the JSON line that a process prints on standard output once it
// listens on all its addresses. Listen maps the names of the listeners to
// their addresses.
type Ready struct {
	Process string            `json:"process"`
	Listen  map[string]string `json:"listen"`
}

// printReady prints the Ready line.
func printReady(out io.Writer, process string, listeners map[string]net.Listener) {
	r := Ready{Process: process, Listen: map[string]string{}}
	for name, l := range listeners {
		r.Listen[name] = l.Addr().String()
	}
	_ = json.NewEncoder(out).Encode(r)
}

// components are the parts that entries and agents have in common.
type components struct {
	log     *zap.Logger
	metrics metrics.Registry
	events  *timeline.Ring
	store   *config.Store
	hello   wire.Hello
	wire    wire.Options
}

func newComponents(s settings.Common, role wire.Role) (*components, error) {
	log, err := telemetry.NewLogger(s.LogLevel, s.Process)
	if err != nil {
		return nil, err
	}
	reg := metrics.NewRegistry()
	meter := &wire.Meter{}
	telemetry.RegisterProcess(reg)
	telemetry.RegisterMeter(reg, meter)
	events := timeline.NewRing(s.Process, timeline.DefaultCapacity, clockwork.NewRealClock())
	return &components{
		log:     log,
		metrics: reg,
		events:  events,
		store:   config.NewStore(codec.Decode),
		hello:   wire.Hello{Process: s.Process, Incarnation: uuid.NewString(), Role: role, DataCentre: s.DataCentre, VM: s.VM},
		wire:    wire.Options{HeartbeatInterval: s.HeartbeatInterval, SilenceTimeout: s.SilenceTimeout, Meter: meter, Clock: events},
	}, nil
}

// listen opens the named addresses. If one fails, it closes the others.
func listen(addresses map[string]string) (map[string]net.Listener, error) {
	open := map[string]net.Listener{}
	for name, address := range addresses {
		l, err := net.Listen("tcp", address)
		if err != nil {
			for _, o := range open {
				o.Close()
			}
			return nil, fault.Wrap(fault.Unavailable, err, "choose a free address of this VM", "opening the %s listener", name)
		}
		open[name] = l
	}
	return open, nil
}

// httpServer returns a kratos server of a handler. Only reading headers and
// idling have a timeout, since a stream may last for any time.
func httpServer(l net.Listener, h http.Handler) *khttp.Server {
	// An explicit endpoint keeps kratos from searching the network interfaces.
	endpoint := &url.URL{Scheme: "http", Host: l.Addr().String()}
	s := khttp.NewServer(khttp.Listener(l), khttp.Endpoint(endpoint), khttp.Timeout(0))
	s.HandlePrefix("/", h)
	s.ReadHeaderTimeout = headerTimeout
	s.IdleTimeout = idleTimeout
	s.MaxHeaderBytes = maxHeaderBytes
	return s
}

// innerServer serves the inner protocol as a kratos transport.
type innerServer struct {
	listener net.Listener
	serve    func(ctx context.Context, l net.Listener) error
	ctx      context.Context
	cancel   context.CancelFunc
}

func newInnerServer(l net.Listener, serve func(ctx context.Context, l net.Listener) error) *innerServer {
	ctx, cancel := context.WithCancel(context.Background())
	return &innerServer{listener: l, serve: serve, ctx: ctx, cancel: cancel}
}

// Start implements transport.Server.
func (s *innerServer) Start(context.Context) error {
	err := s.serve(s.ctx, s.listener)
	if s.ctx.Err() != nil {
		return nil
	}
	return err
}

// Stop implements transport.Server.
func (s *innerServer) Stop(context.Context) error {
	s.cancel()
	return nil
}

// newApp builds the kratos application. It calls drain before it stops the
// servers.
func (p *components) newApp(ctx context.Context, s settings.Common, drain func(context.Context) error, opts ...kratos.Option) *kratos.App {
	return kratos.New(append([]kratos.Option{
		kratos.Context(ctx),
		kratos.Name(s.Process),
		kratos.Logger(telemetry.KratosLogger{Zap: p.log}),
		kratos.StopTimeout(s.DrainTimeout),
		kratos.BeforeStop(func(context.Context) error {
			p.log.Info("stopping", zap.Duration("drain_timeout", s.DrainTimeout))
			ctx, cancel := context.WithTimeout(context.Background(), s.DrainTimeout)
			defer cancel()
			if err := drain(ctx); err != nil {
				p.log.Warn("stopped with work in flight", zap.Error(err))
			}
			return nil
		}),
	}, opts...)...)
}
