package command

import (
	"context"
	"net"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/jonboulle/clockwork"

	"github.com/kingcupreel/kingcupreel/internal/daemon"
	"github.com/kingcupreel/kingcupreel/internal/standin/engine"
	"github.com/kingcupreel/kingcupreel/internal/standin/kv"
	"github.com/kingcupreel/kingcupreel/internal/standin/link"
	"github.com/kingcupreel/kingcupreel/internal/standin/plain"
	"github.com/kingcupreel/kingcupreel/internal/standin/ranks"
	"github.com/kingcupreel/kingcupreel/internal/standin/raw"
	"github.com/kingcupreel/kingcupreel/internal/standin/weights"
)

// expiryInterval is how often the key-value stand-in checks for expired leases,
// so that watchers learn of the deletions without another call.
const expiryInterval = 50 * time.Millisecond

func declareKV(app *kingpin.Application) (string, startFunc) {
	cmd := app.Command("kv", "Key-value service and VM list.")
	return cmd.FullCommand(), func(*daemon.Ready) (serveFunc, error) {
		store := kv.NewStore(clockwork.NewRealClock())
		go func() {
			for range time.Tick(expiryInterval) {
				store.ExpireLeases()
			}
		}()
		return serveHTTP(kv.NewServer(store).Handler())
	}
}

func declareEngine(app *kingpin.Application) (string, startFunc) {
	cmd := app.Command("engine", "Model engine.")
	var o engine.Options
	cmd.Flag("capacity", "Requests in the running batch.").Default("32").IntVar(&o.Capacity)
	cmd.Flag("token-time", "Time between tokens.").Default("10ms").DurationVar(&o.TokenTime)
	cmd.Flag("prefill-time", "Time to the first token.").Default("20ms").DurationVar(&o.PrefillTime)
	cmd.Flag("cached-prefill-time", "Time to the first token of a prompt whose prefix is cached; 0 means no difference.").DurationVar(&o.CachedPrefillTime)
	cmd.Flag("cache-prefixes", "Capacity of the prefix cache, in prefixes; 0 disables it.").IntVar(&o.CachePrefixes)
	cmd.Flag("cache-event-delay", "Delay of cache events.").DurationVar(&o.CacheEventDelay)
	cmd.Flag("cache-event-loss", "Fraction of cache events that are dropped.").Float64Var(&o.CacheEventLossRate)
	cmd.Flag("load-lag", "Minimum age of the load in load reports.").DurationVar(&o.LoadLag)
	cmd.Flag("crash-on", "Text in a prompt that crashes the engine.").StringVar(&o.Crash.TriggerText)
	cmd.Flag("restart-time", "Time for which a crashed engine refuses connections.").Default("1s").DurationVar(&o.Crash.RestartTime)
	return cmd.FullCommand(), func(*daemon.Ready) (serveFunc, error) { return engine.New(o).Serve, nil }
}

func declarePlain(app *kingpin.Application) (string, startFunc) {
	cmd := app.Command("plain", "Plain service that records its calls.")
	delay := cmd.Flag("delay", "Time between recording a call and responding to it.").Default("0s").Duration()
	return cmd.FullCommand(), func(*daemon.Ready) (serveFunc, error) {
		return serveHTTP((&plain.Service{Delay: *delay}).Handler())
	}
}

func declareRaw(app *kingpin.Application) (string, startFunc) {
	cmd := app.Command("raw", "Plain service whose answers are cut, invalid or without end.")
	return cmd.FullCommand(), func(*daemon.Ready) (serveFunc, error) { return raw.ServeOdd, nil }
}

func declareRanks(app *kingpin.Application) (string, startFunc) {
	cmd := app.Command("ranks", "Rank group that runs steps in lock-step on an expert map.")
	var o ranks.Options
	cmd.Flag("ranks", "Number of ranks.").Default("3").IntVar(&o.Ranks)
	cmd.Flag("experts", "Experts per layer.").Default("8").IntVar(&o.Experts)
	cmd.Flag("slots", "Slots per rank.").Default("6").IntVar(&o.Slots)
	cmd.Flag("step-time", "Duration of a step.").Default("10ms").DurationVar(&o.StepTime)
	cmd.Flag("stage-time", "Time to load one expert's weights.").Default("20ms").DurationVar(&o.StageTime)
	cmd.Flag("weights", "Base URL of the weight store to load from instead of waiting for the stage time.").StringVar(&o.Weights)
	cmd.Flag("expert-bytes", "Size of an expert's weights in the weight store.").Default("1000000").Int64Var(&o.ExpertBytes)
	cmd.Flag("no-hold", "Make engines unable to hold a step, so that map switches stop the group.").BoolVar(&o.NoHold)
	cmd.Flag("checks-fencing", "Refuse orders with outdated fencing numbers.").BoolVar(&o.ChecksFencing)
	return cmd.FullCommand(), func(*daemon.Ready) (serveFunc, error) {
		g := ranks.New(o)
		go g.Run()
		return serveHTTP(g.Handler())
	}
}

func declareWeights(app *kingpin.Application) (string, startFunc) {
	cmd := app.Command("weights", "Weight store with a limited rate.")
	rate := cmd.Flag("rate", "Bytes per second over all callers.").Default("10000000").Int64()
	return cmd.FullCommand(), func(*daemon.Ready) (serveFunc, error) {
		return serveHTTP(weights.New(*rate).Handler())
	}
}

func declareLink(app *kingpin.Application) (string, startFunc) {
	cmd := app.Command("link", "Network path that can be dropped or silenced over HTTP.")
	to := cmd.Flag("to", "Address to forward to, IP:port.").Required().String()
	address := cmd.Flag("link-listen", "Address whose connections are forwarded, IP:port.").Default("127.0.0.1:0").String()
	return cmd.FullCommand(), func(ready *daemon.Ready) (serveFunc, error) {
		ln, err := net.Listen("tcp", *address)
		if err != nil {
			return nil, err
		}
		ready.Listen["link"] = ln.Addr().String()
		l := link.New(*to)
		go func() { _ = l.Serve(context.Background(), ln) }()
		return serveHTTP(l.Handler())
	}
}
