package daemon

import (
	"context"
	"io"
	"math/rand/v2"
	"time"

	"github.com/go-kratos/kratos/v2"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/entry"
	"github.com/kingcupreel/kingcupreel/internal/membership"
	"github.com/kingcupreel/kingcupreel/internal/platform"
	"github.com/kingcupreel/kingcupreel/internal/platform/kvhttp"
	"github.com/kingcupreel/kingcupreel/internal/provider"
	"github.com/kingcupreel/kingcupreel/internal/settings"
	"github.com/kingcupreel/kingcupreel/internal/timeline"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// RunEntry runs an entry until ctx is done or the process is told to stop.
func RunEntry(ctx context.Context, s settings.Entry, out io.Writer) error {
	p, err := newParts(s.Common, wire.RoleEntry)
	if err != nil {
		return err
	}
	listeners, err := listen(map[string]string{"caller": s.CallerListen, "ops": s.OpsListen, "inner": s.InnerListen})
	if err != nil {
		return err
	}
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	kv := kvhttp.New(s.Platform, s.PlatformTimeout)
	view := &membership.View{}
	peers := &membership.Peers{Self: s.VM, DataCentre: s.DataCentre, Seeds: s.Seeds, View: view, Wire: p.wire}
	e := entry.New(work, entry.Options{
		Hello: p.hello, Wire: p.wire, Store: p.store, KV: kv, Peers: peers, View: view, Events: p.events,
		Metrics: p.metrics, Log: p.log, OperatorTokenSHA256: s.OperatorTokenSHA256,
	})
	peers.Hello, peers.Handler = e.Hello, e.PeerHandler()
	go peers.Run(work)
	go pollVMs(work, kv, view, s.VMListInterval)
	watcher := provider.Watcher{KV: kv, Store: p.store, Log: p.log}
	go watcher.Run(work)
	go e.RunPlanners(work, s.Planner)
	caller := httpServer(listeners["caller"], e.CallerHandler())
	ops := httpServer(listeners["ops"], e.OperatorHandler())
	inner := &innerServer{listener: listeners["inner"], serve: peers.Serve}
	drain := func(ctx context.Context) error { return drainEntry(ctx, e, caller, s.DrainNotice) }
	app := p.newApp(ctx, s.Common, drain, kratos.Server(caller, ops, inner))
	p.events.Add(timeline.Event{Kind: timeline.Started})
	p.log.Info("entry started", zap.String("data_centre", s.DataCentre))
	announce(out, s.Process, listeners)
	return app.Run()
}

// drainEntry turns the entry's readiness negative, still takes requests for the
// notice, so that the platform's balancer sees it, and then waits for the
// requests in flight.
func drainEntry(ctx context.Context, e *entry.Entry, caller *khttp.Server, notice time.Duration) error {
	e.Drain()
	select {
	case <-time.After(notice):
	case <-ctx.Done():
	}
	return caller.Stop(ctx)
}

// pollVMs reads the VM list at jittered intervals until ctx is done.
func pollVMs(ctx context.Context, list platform.VMList, view *membership.View, interval time.Duration) {
	for ctx.Err() == nil {
		if vms, err := list.VMs(ctx); err == nil {
			view.Set(vms)
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval/2 + rand.N(interval)):
		}
	}
}
