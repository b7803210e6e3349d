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
	"github.com/kingcupreel/kingcupreel/internal/standin/weights"
)

// expiryInterval is how often the key-value stand-in ends lapsed leases.
const expiryInterval = 50 * time.Millisecond

func declareKV(app *kingpin.Application) (string, starter) {
	cmd := app.Command("kv", "Key-value service and VM list.")
	return cmd.FullCommand(), func(*daemon.Ready) (server, error) {
		store := kv.NewStore(clockwork.NewRealClock())
		go func() {
			for range time.Tick(expiryInterval) {
				store.ExpireLeases()
			}
		}()
		return handler(kv.NewServer(store).Handler())
	}
}

func declareEngine(app *kingpin.Application) (string, starter) {
	cmd := app.Command("engine", "Model engine.")
	var o engine.Options
	cmd.Flag("capacity", "Requests in the running batch.").Default("32").IntVar(&o.Capacity)
	cmd.Flag("token-time", "Time between tokens.").Default("10ms").DurationVar(&o.TokenTime)
	cmd.Flag("prefill-time", "Time to the first token.").Default("20ms").DurationVar(&o.PrefillTime)
	cmd.Flag("cached-prefill-time", "Time to the first token of a prompt whose prefix is cached; 0 means no difference.").DurationVar(&o.CachedPrefillTime)
	cmd.Flag("cache-prefixes", "Prefixes that the cache holds; 0 means no cache.").IntVar(&o.CachePrefixes)
	cmd.Flag("cache-event-delay", "How late cache events come.").DurationVar(&o.CacheEventDelay)
	cmd.Flag("cache-event-loss", "Share of cache events that never comes.").Float64Var(&o.CacheEventLossRate)
	cmd.Flag("load-lag", "Age of load reports.").DurationVar(&o.LoadLag)
	cmd.Flag("crash-on", "Text in a prompt that crashes the engine.").StringVar(&o.Crash.TriggerText)
	cmd.Flag("restart-time", "Time that a crashed engine refuses connections.").Default("1s").DurationVar(&o.Crash.RestartTime)
	return cmd.FullCommand(), func(*daemon.Ready) (server, error) { return engine.New(o).Serve, nil }
}

func declarePlain(app *kingpin.Application) (string, starter) {
	cmd := app.Command("plain", "Plain service that records its calls.")
	delay := cmd.Flag("delay", "Time that a call takes after its effect.").Default("0s").Duration()
	return cmd.FullCommand(), func(*daemon.Ready) (server, error) {
		return handler((&plain.Service{Delay: *delay}).Handler())
	}
}

func declareRanks(app *kingpin.Application) (string, starter) {
	cmd := app.Command("ranks", "Ranks of a group in lock-step on an expert map.")
	var o ranks.Options
	cmd.Flag("ranks", "Ranks of the group.").Default("3").IntVar(&o.Ranks)
	cmd.Flag("experts", "Experts a layer.").Default("8").IntVar(&o.Experts)
	cmd.Flag("slots", "Slots a rank.").Default("6").IntVar(&o.Slots)
	cmd.Flag("step-time", "Time of a step.").Default("10ms").DurationVar(&o.StepTime)
	cmd.Flag("stage-time", "Time to load one expert's weights.").Default("20ms").DurationVar(&o.StageTime)
	cmd.Flag("weights", "Base URL of the weight store to load from, in place of the stage time.").StringVar(&o.Weights)
	cmd.Flag("expert-bytes", "Size of an expert's weights.").Default("1000000").Int64Var(&o.ExpertBytes)
	cmd.Flag("no-hold", "Be unable to hold a step: switches stop the group.").BoolVar(&o.NoHold)
	cmd.Flag("checks-fencing", "Refuse old fencing numbers.").BoolVar(&o.ChecksFencing)
	return cmd.FullCommand(), func(*daemon.Ready) (server, error) {
		g := ranks.New(o)
		go g.Run()
		return handler(g.Handler())
	}
}

func declareWeights(app *kingpin.Application) (string, starter) {
	cmd := app.Command("weights", "Weight store with a bounded rate.")
	rate := cmd.Flag("rate", "Bytes a second over all callers.").Default("10000000").Int64()
	return cmd.FullCommand(), func(*daemon.Ready) (server, error) {
		return handler(weights.New(*rate).Handler())
	}
}

func declareLink(app *kingpin.Application) (string, starter) {
	cmd := app.Command("link", "Network path that can be cut; its orders come over HTTP.")
	to := cmd.Flag("to", "Address to forward to, IP:port.").Required().String()
	address := cmd.Flag("link-listen", "Address that is forwarded.").Default("127.0.0.1:0").String()
	return cmd.FullCommand(), func(ready *daemon.Ready) (server, error) {
		ln, err := net.Listen("tcp", *address)
		if err != nil {
			return nil, err
		}
		ready.Listen["link"] = ln.Addr().String()
		l := link.New(*to)
		go func() { _ = l.Serve(context.Background(), ln) }()
		return handler(l.Handler())
	}
}
