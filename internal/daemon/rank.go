package daemon

import (
	"context"
	"io"
	"time"

	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/feed"
	"github.com/kingcupreel/kingcupreel/internal/fleet"
	"github.com/kingcupreel/kingcupreel/internal/rankagent"
	"github.com/kingcupreel/kingcupreel/internal/routing"
	"github.com/kingcupreel/kingcupreel/internal/settings"
	"github.com/kingcupreel/kingcupreel/platform"
)

// leaderLeaseTTL is the TTL of a group leader's lease: if the leader fails,
// another rank agent takes over after this time, and a group that the failed
// leader holds stays held until then.
const leaderLeaseTTL = 1500 * time.Millisecond

// RunRank runs the rank agent of the model replica on this VM of the platform
// until ctx is done or the process gets a signal to stop.
func RunRank(ctx context.Context, s settings.Hosted, out io.Writer) error {
	p, err := newPlatformProcess(s, out)
	if err != nil {
		return err
	}
	defer func() { _ = p.log.Sync() }()
	// work outlives ctx, so that background work continues during the drain.
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	f, err := p.join(work, fleet.RoleRank, nil)
	if err != nil {
		return err
	}
	routes := &routing.Store{}
	sink := platform.ConfigurationSink{Routes: routes, Clock: p.clock, Log: p.log}
	a := rankagent.New(rankagent.Options{
		Self: f.self, Service: p.node.LocalService, Engine: platform.NewEngine(p.node.LocalUpstream),
		Connect: func(address string) rankagent.Engine { return platform.NewEngine(address) },
		View:    f.view, Datagrams: f.datagrams, Routes: routes, KV: p.store,
		FollowConfiguration: func(ctx context.Context) {
			p.follow(ctx, f, &feed.Feed{Prefix: p.operatorPrefix(), Sink: sink, WatchTimeout: maxWatchTimeout})
		},
		LeaderLeaseTTL: max(leaderLeaseTTL, p.node.MinLeaseTTL), Fencing: p.node.FencingEnforced, Clock: p.clock, Log: p.log, Metrics: p.metrics,
	})
	if err := fleet.Serve(work, f.self.Address, a.Handler(work), p.log); err != nil {
		return err
	}
	p.reload(work, func(settings.Node) {})
	go f.datagrams.Run(work, a.Received)
	go a.Run(work)
	electionDone := make(chan struct{})
	election, stopElection := context.WithCancel(work)
	defer stopElection()
	go func() {
		defer close(electionDone)
		a.RunElection(election)
	}()
	ops, err := p.newMetricsServer(work, s.MetricsPort)
	if err != nil {
		return err
	}
	drain := func(ctx context.Context) error {
		stopElection()
		select {
		case <-electionDone:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	app := p.newApp(ctx, drain, ops)
	p.log.Info("rank agent started", zap.String("data_centre", p.node.DataCentre), zap.String("upstream", p.node.LocalUpstream))
	return app.Run()
}
