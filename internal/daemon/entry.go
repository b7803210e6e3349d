package daemon

import (
	"context"
	"io"

	"github.com/go-kratos/kratos/v2"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/entry"
	"github.com/kingcupreel/kingcupreel/internal/membership"
	"github.com/kingcupreel/kingcupreel/internal/provider"
	"github.com/kingcupreel/kingcupreel/internal/settings"
	"github.com/kingcupreel/kingcupreel/internal/timeline"
	"github.com/kingcupreel/kingcupreel/internal/vmlist"
	"github.com/kingcupreel/kingcupreel/internal/wire"
	"github.com/kingcupreel/kingcupreel/platform"
)

// RunEntry runs an entry until ctx is done or the process gets a signal to
// stop.
func RunEntry(ctx context.Context, s settings.Entry, out io.Writer) error {
	p, err := newComponents(s.Common, wire.RoleEntry)
	if err != nil {
		return err
	}
	listeners, err := listen(map[string]string{"caller": s.CallerListen, "ops": s.OpsListen, "inner": s.InnerListen})
	if err != nil {
		return err
	}
	// work outlives ctx, so that background work continues during the drain.
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	kv := platform.NewStore(s.Platform, s.PlatformTimeout)
	vms := vmlist.New(s.Platform, s.PlatformTimeout, p.log)
	view := &membership.View{}
	exchange := provider.NewExchange(p.store, view, clockwork.NewRealClock())
	peers := &membership.Peers{Self: s.VM, DataCentre: s.DataCentre, Seeds: s.Seeds, View: view, Wire: p.wire}
	e := entry.New(work, entry.Options{
		Hello: p.hello, Wire: p.wire, Store: p.store, KV: kv, Peers: peers, View: view, Events: p.events,
		Metrics: p.metrics, Log: p.log, OperatorTokenSHA256: s.OperatorTokenSHA256, Staleness: exchange.Staleness,
	})
	peers.Hello, peers.Handler = e.Hello, e.PeerHandler()
	exchange.Conns, exchange.Agents = peers.DistinctConns, e.AnnounceConfig
	exchange.Register(e.Muxes())
	duty := membership.NewDuty(view, s.VM, s.DataCentre)
	source := provider.Source{KV: kv, Exchange: exchange, IsWatcher: duty.Watches, Log: p.log}
	go peers.Run(work)
	go exchange.Run(work)
	go exchange.VMs.Run(work, vms, s.VMListInterval, duty.ReadsVMList)
	go source.Run(work)
	go e.RunPlanners(work, s.Planner)
	callerListener := newDrainableListener(listeners["caller"])
	caller := httpServer(callerListener, e.CallerHandler())
	ops := httpServer(listeners["ops"], e.OperatorHandler())
	inner := newInnerServer(listeners["inner"], peers.Serve)
	open := trackConnections(caller.Server)
	drain := func(ctx context.Context) error {
		e.Drain()
		return drainServer(ctx, caller.Server, callerListener, open, s.DrainNotice, e.RefuseNew, func() {
			if open.active() > 0 {
				p.log.Warn("requests in flight at the drain timeout", open.fields()...)
			}
			e.Stop()
		})
	}
	app := p.newApp(ctx, s.Common, drain, kratos.Server(caller, ops, inner))
	p.events.Add(timeline.Event{Kind: timeline.Started})
	p.log.Info("entry started", zap.String("data_centre", s.DataCentre))
	printReady(out, s.Process, listeners)
	return app.Run()
}
