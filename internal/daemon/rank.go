package daemon

import (
	"context"
	"io"
	"time"

	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/fleet"
	"github.com/kingcupreel/kingcupreel/internal/rankagent"
	"github.com/kingcupreel/kingcupreel/internal/routing"
	"github.com/kingcupreel/kingcupreel/internal/settings"
	"github.com/kingcupreel/kingcupreel/platform"
)

// leaderTerm is how long a group's leader may be silent before another takes
// its place. A group that the dead one holds waits that long.
const leaderTerm = 1500 * time.Millisecond

// shapeWait bounds a watch of the configuration, of which a leader needs the
// engines' description only.
const shapeWait = 30 * time.Second

// RunRank looks after the model replica on this VM of the platform until ctx
// is done or the process is told to stop.
func RunRank(ctx context.Context, s settings.Hosted, out io.Writer) error {
	h, err := newHost(s, out)
	if err != nil {
		return err
	}
	defer func() { _ = h.log.Sync() }()
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	f, err := h.join(work, fleet.RoleRank)
	if err != nil {
		return err
	}
	routes := &routing.Store{}
	sink := platform.ConfigurationSink{Routes: routes, Clock: h.clock, Log: h.log}
	a := rankagent.New(rankagent.Options{
		Self: f.self, Service: h.node.LocalService, Engine: platform.NewEngine(h.node.LocalUpstream),
		Connect: func(address string) rankagent.Engine { return platform.NewEngine(address) },
		View:    f.view, Datagrams: f.datagrams, Routes: routes, KV: h.store,
		FollowConfiguration: func(ctx context.Context) { h.follow(ctx, platform.KeyConfiguration, sink, shapeWait, 0) },
		LeaderLeaseTTL:      max(leaderTerm, h.node.MinLeaseTTL), Fencing: h.node.FencingEnforced, Clock: h.clock, Log: h.log, Metrics: h.metrics,
	})
	if err := fleet.Serve(work, f.self.Address, a.Handler(work), h.log); err != nil {
		return err
	}
	h.reload(work, func(settings.Node) {})
	go f.datagrams.Run(work, a.Received)
	go a.Run(work)
	led := make(chan struct{})
	lead, stopLeading := context.WithCancel(work)
	defer stopLeading()
	go func() {
		defer close(led)
		a.RunElection(lead)
	}()
	ops, err := h.serveMetrics(work, s.MetricsPort)
	if err != nil {
		return err
	}
	drain := func(ctx context.Context) error {
		stopLeading()
		select {
		case <-led:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	app := h.newApp(ctx, drain, ops)
	h.log.Info("rank agent started", zap.String("data_centre", h.node.DataCentre), zap.String("upstream", h.node.LocalUpstream))
	return app.Run()
}
