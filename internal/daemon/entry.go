package daemon

import (
	"context"
	"io"
	"net"

	"github.com/go-kratos/kratos/v2"
	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/entry"
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
	e := entry.New(work, entry.Options{
		Hello: p.hello, Wire: p.wire, Store: p.store, KV: kv, Events: p.events,
		Metrics: p.metrics, Log: p.log, OperatorTokenSHA256: s.OperatorTokenSHA256,
	})
	watcher := provider.Watcher{KV: kv, Store: p.store, Log: p.log}
	go watcher.Run(work)
	caller := httpServer(listeners["caller"], e.CallerHandler())
	ops := httpServer(listeners["ops"], e.OperatorHandler())
	inner := &innerServer{listener: listeners["inner"], serve: func(ctx context.Context, l net.Listener) error {
		<-ctx.Done()
		return l.Close()
	}}
	drain := func(context.Context) error {
		e.Drain()
		return nil
	}
	app := p.newApp(ctx, s.Common, drain, kratos.Server(caller, ops, inner))
	p.events.Add(timeline.Event{Kind: timeline.Started})
	p.log.Info("entry started", zap.String("data_centre", s.DataCentre))
	announce(out, s.Process, listeners)
	return app.Run()
}
