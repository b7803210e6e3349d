package daemon

import (
	"context"
	"io"
	"net/http"

	"github.com/go-kratos/kratos/v2"
	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/agent"
	"github.com/kingcupreel/kingcupreel/internal/settings"
	"github.com/kingcupreel/kingcupreel/internal/telemetry"
	"github.com/kingcupreel/kingcupreel/internal/timeline"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// RunAgent runs an agent until ctx is done or the process gets a signal to
// stop.
func RunAgent(ctx context.Context, s settings.Agent, out io.Writer) error {
	p, err := newComponents(s.Common, wire.RoleAgent)
	if err != nil {
		return err
	}
	listeners, err := listen(map[string]string{"inner": s.InnerListen, "ops": s.OpsListen})
	if err != nil {
		return err
	}
	p.hello.Upstream = s.Upstream
	a := agent.New(agent.Options{
		Hello: p.hello, Target: s.Target, Workers: s.Workers, Wire: p.wire, Store: p.store,
		StallTimeout: s.StallTimeout, OrphanTimeout: s.OrphanTimeout, Events: p.events, Metrics: p.metrics, Log: p.log,
	})
	inner := newInnerServer(listeners["inner"], a.Serve)
	ops := httpServer(listeners["ops"], agentHandler(p))
	app := p.newApp(ctx, s.Common, a.Leave, kratos.Server(inner, ops))
	p.events.Add(timeline.Event{Kind: timeline.Started})
	p.log.Info("agent started", zap.String("upstream", s.Upstream), zap.String("data_centre", s.DataCentre))
	printReady(out, s.Process, listeners)
	return app.Run()
}

// agentHandler returns the handler of an agent's health check and metrics.
func agentHandler(p *components) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /metrics", telemetry.MetricsHandler(p.metrics))
	return mux
}
