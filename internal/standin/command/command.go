// Package command runs the stand-ins as a program, one stand-in a process.
package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
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

// Main parses the arguments and serves a stand-in. It returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	app := kingpin.New("kingcupreel-standin", "Stand-ins of the systems around kingcupreel, for tests and demos.")
	app.UsageWriter(out).ErrorWriter(errOut)
	listen := app.Flag("listen", "Address, IP:port; port 0 takes a free one.").Default("127.0.0.1:0").String()

	app.Command("kv", "Key-value service and VM list.")
	engineCmd := app.Command("engine", "Model engine.")
	var opts engine.Options
	engineCmd.Flag("capacity", "Requests in the running batch.").Default("32").IntVar(&opts.Capacity)
	engineCmd.Flag("token-time", "Time between tokens.").Default("10ms").DurationVar(&opts.TokenTime)
	engineCmd.Flag("prefill-time", "Time to the first token.").Default("20ms").DurationVar(&opts.PrefillTime)
	engineCmd.Flag("cached-prefill-time", "Time to the first token of a prompt whose prefix is cached; 0 means no difference.").DurationVar(&opts.CachedPrefillTime)
	engineCmd.Flag("cache-prefixes", "Prefixes that the cache holds; 0 means no cache.").IntVar(&opts.CachePrefixes)
	engineCmd.Flag("cache-event-delay", "How late cache events come.").DurationVar(&opts.CacheEventDelay)
	engineCmd.Flag("cache-event-loss", "Share of cache events that never comes.").Float64Var(&opts.CacheEventLoss)
	engineCmd.Flag("load-lag", "Age of load reports.").DurationVar(&opts.LoadLag)
	engineCmd.Flag("crash-on", "Text in a prompt that crashes the engine.").StringVar(&opts.Crash.Mark)
	engineCmd.Flag("restart-time", "Time that a crashed engine refuses connections.").Default("1s").DurationVar(&opts.Crash.RestartTime)
	plainCmd := app.Command("plain", "Plain service that records its calls.")
	delay := plainCmd.Flag("delay", "Time that a call takes after its effect.").Default("0s").Duration()

	ranksCmd := app.Command("ranks", "Ranks of a group in lock-step on an expert map.")
	var group ranks.Options
	ranksCmd.Flag("ranks", "Ranks of the group.").Default("3").IntVar(&group.Ranks)
	ranksCmd.Flag("experts", "Experts a layer.").Default("8").IntVar(&group.Experts)
	ranksCmd.Flag("slots", "Slots a rank.").Default("6").IntVar(&group.Slots)
	ranksCmd.Flag("step-time", "Time of a step.").Default("10ms").DurationVar(&group.StepTime)
	ranksCmd.Flag("stage-time", "Time to load one expert's weights.").Default("20ms").DurationVar(&group.StageTime)
	ranksCmd.Flag("weights", "Base URL of the weight store to load from, in place of the stage time.").StringVar(&group.Weights)
	ranksCmd.Flag("expert-bytes", "Size of an expert's weights.").Default("1000000").Int64Var(&group.ExpertBytes)
	ranksCmd.Flag("no-hold", "Be unable to hold a step: switches stop the group.").BoolVar(&group.NoHold)
	ranksCmd.Flag("checks-fencing", "Refuse old fencing numbers.").BoolVar(&group.ChecksFencing)

	weightsCmd := app.Command("weights", "Weight store with a bounded rate.")
	rate := weightsCmd.Flag("rate", "Bytes a second over all callers.").Default("10000000").Int64()

	linkCmd := app.Command("link", "Network path that can be cut.")
	to := linkCmd.Flag("to", "Address to forward to, IP:port.").Required().String()
	linkListen := linkCmd.Flag("link-listen", "Address that is forwarded.").Default("127.0.0.1:0").String()

	cmd, err := app.Parse(args)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return daemon.ExitSettings
	}
	var h http.Handler
	run := func(l net.Listener) error { return http.Serve(l, h) }
	switch cmd {
	case engineCmd.FullCommand():
		run = engine.New(opts).Serve
	case plainCmd.FullCommand():
		h = (&plain.Service{Delay: *delay}).Handler()
	case ranksCmd.FullCommand():
		g := ranks.New(group)
		go g.Run()
		h = g.Handler()
	case weightsCmd.FullCommand():
		h = weights.New(*rate).Handler()
	case linkCmd.FullCommand():
	default:
		h = keyValue()
	}
	ready := daemon.Ready{Process: cmd, Listen: map[string]string{}}
	if cmd == linkCmd.FullCommand() {
		h, err = startLink(*to, *linkListen, &ready)
	}
	if err == nil {
		err = serve(ready, *listen, run, out)
	}
	if err != nil {
		fmt.Fprintln(errOut, err)
		return daemon.ExitFailure
	}
	return daemon.ExitOK
}

func keyValue() http.Handler {
	store := kv.NewStore(clockwork.NewRealClock())
	go func() {
		for range time.Tick(expiryInterval) {
			store.Expire()
		}
	}()
	return kv.NewServer(store).Handler()
}

// startLink forwards in the background and returns the handler of its orders.
func startLink(to, address string, ready *daemon.Ready) (http.Handler, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	ready.Listen["link"] = ln.Addr().String()
	l := link.New(to)
	go func() { _ = l.Serve(context.Background(), ln) }()
	return l.Handler(), nil
}

func serve(ready daemon.Ready, address string, run func(net.Listener) error, out io.Writer) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	ready.Listen["http"] = l.Addr().String()
	if err := json.NewEncoder(out).Encode(ready); err != nil {
		return err
	}
	return run(l)
}

// Exit runs Main with the process's own arguments and exits.
func Exit() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr)) }
