package bench

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/agent"
	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/config/codec"
	v2 "github.com/kingcupreel/kingcupreel/internal/config/v2"
	"github.com/kingcupreel/kingcupreel/internal/kvstore"
	"github.com/kingcupreel/kingcupreel/internal/standin/engine"
	"github.com/kingcupreel/kingcupreel/internal/timeline"
	"github.com/kingcupreel/kingcupreel/internal/wire"
	"github.com/kingcupreel/kingcupreel/platform"
)

const (
	// hostedEvents and hostedWorkers are small so that many agents fit into one
	// process.
	hostedEvents  = 64
	hostedWorkers = 4
	// hostedPoolSize is the number of upstreams of each hosted model, few enough
	// that an entry links to all of them.
	hostedPoolSize = 10
)

// hostOptions are the flags of the upstreams command.
type hostOptions struct {
	platform  string
	count     int
	accounts  int
	tokenTime time.Duration
	// modelAgent and plainAgent are the inner addresses of agents that run in
	// processes of their own, for model m and for plain service s; empty means
	// none.
	modelAgent string
	plainAgent string
	// rankAgents are the inner addresses of agents that run in processes of their
	// own, one per rank of a group with an expert map.
	rankAgents []string
}

func declareUpstreams(app *kingpin.Application, e env) (string, command) {
	cmd := app.Command("upstreams", "Host many agents with engines in one process, and write their configuration records.")
	var o hostOptions
	cmd.Flag("platform", "Base URL of the key-value stand-in.").Required().StringVar(&o.platform)
	cmd.Flag("count", "Number of upstreams.").Default("100").IntVar(&o.count)
	cmd.Flag("accounts", "Number of client accounts, with tokens account-1 and so on.").Default("10").IntVar(&o.accounts)
	cmd.Flag("token-time", "Time between tokens of an engine.").Default("10ms").DurationVar(&o.tokenTime)
	cmd.Flag("agent", "Inner address of a running agent of upstream u; a record for model m is written.").StringVar(&o.modelAgent)
	cmd.Flag("plain-agent", "Inner address of a running agent of upstream u; a record for plain service s is written.").StringVar(&o.plainAgent)
	cmd.Flag("rank-agent", "Inner address of a running agent, repeatable; the n-th is of upstream r<n>, rank n of a group with an expert map.").StringsVar(&o.rankAgents)
	return cmd.FullCommand(), func(ctx context.Context) error { return hostUpstreams(ctx, e, o) }
}

// HostReport is the line that the upstreams command prints once all upstreams
// serve.
type HostReport struct {
	Upstreams int `json:"upstreams"`
	Accounts  int `json:"accounts"`
}

// hostUpstreams starts the upstreams, writes all records and serves until ctx is
// done.
func hostUpstreams(ctx context.Context, e env, o hostOptions) error {
	objects := o.fixedRecords()
	for n := range o.count {
		u, err := hostUpstream(ctx, fmt.Sprintf("u%d", n), o.tokenTime)
		if err != nil {
			return err
		}
		u.Group = hostedGroup(n)
		objects = append(objects, u)
	}
	kv := platform.NewStore(o.platform, platform.DefaultStoreTimeout)
	for _, obj := range objects {
		if err := writeRecord(ctx, kv, obj); err != nil {
			return err
		}
	}
	if err := e.print(HostReport{Upstreams: o.count, Accounts: o.accounts}); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

func writeRecord(ctx context.Context, kv kvstore.KV, obj config.Object) error {
	record, err := v2.Encode(obj)
	if err != nil {
		return err
	}
	_, err = kv.Put(ctx, kvstore.Put{Key: obj.Key().Path(), Value: record, Expect: kvstore.AnyRevision})
	return err
}

// fixedRecords returns all records except those of the hosted upstreams.
func (o hostOptions) fixedRecords() []config.Object {
	objects := []config.Object{
		&config.ModelGroup{Name: "g", Model: "m", Ranks: hostedPoolSize},
		&config.PlainService{Name: "s", NonIdempotent: []config.CallPattern{{Method: "POST", PathPrefix: "/once"}}},
		&config.Operator{Name: "op", TokenSHA256: []string{config.HashToken("operator")}},
	}
	for n := 1; n <= o.accounts; n++ {
		name := fmt.Sprintf("account-%d", n)
		objects = append(objects, &config.ClientAccount{Name: name, TokenSHA256: []string{config.HashToken(name)}, Priority: 5})
	}
	for n := hostedPoolSize; n < o.count; n += hostedPoolSize {
		objects = append(objects, &config.ModelGroup{Name: hostedGroup(n), Model: "m-" + hostedGroup(n), Ranks: hostedPoolSize})
	}
	if o.modelAgent != "" {
		objects = append(objects, &config.Upstream{Name: "u", VM: "vm-u", DataCentre: "dc1", Address: o.modelAgent, Group: "g"})
	}
	if o.plainAgent != "" {
		objects = append(objects, &config.Upstream{Name: "u", VM: "vm-u", DataCentre: "dc1", Address: o.plainAgent, Service: "s"})
	}
	return append(objects, o.rankRecords()...)
}

// rankRecords returns the records of the group with an expert map. Its numbers of
// experts and slots are the defaults of the ranks stand-in.
func (o hostOptions) rankRecords() []config.Object {
	if len(o.rankAgents) == 0 {
		return nil
	}
	const experts, slots = 8, 6
	objects := []config.Object{&config.ModelGroup{Name: "ranks", Model: "ranks", Ranks: len(o.rankAgents), Experts: experts, SlotsPerRank: slots}}
	for n, address := range o.rankAgents {
		name := fmt.Sprintf("r%d", n)
		objects = append(objects, &config.Upstream{Name: name, VM: "vm-" + name, DataCentre: "dc1", Address: address, Group: "ranks", Rank: n})
	}
	return objects
}

// hostedGroup returns the model group of the n-th hosted upstream. The first
// group serves model m.
func hostedGroup(n int) string {
	if n < hostedPoolSize {
		return "g"
	}
	return fmt.Sprintf("g%d", n/hostedPoolSize)
}

// hostUpstream starts an engine and its agent and returns the upstream's record.
func hostUpstream(ctx context.Context, name string, tokenTime time.Duration) (*config.Upstream, error) {
	engineListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := engine.New(engine.Options{Capacity: hostedWorkers, TokenTime: tokenTime, PrefillTime: tokenTime}).Handler()
	go func() { _ = http.Serve(engineListener, h) }()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := agent.New(agent.Options{
		Hello:   wire.Hello{Process: "agent-" + name, Incarnation: name, Role: wire.RoleAgent, DataCentre: "dc1", Upstream: name},
		Target:  "http://" + engineListener.Addr().String(),
		Workers: hostedWorkers,
		Store:   config.NewStore(codec.Decode),
		Events:  timeline.NewRing("agent-"+name, hostedEvents, clockwork.NewRealClock()),
		Metrics: metrics.NewRegistry(),
		Log:     zap.NewNop(),
	})
	go func() { _ = a.Serve(ctx, inner) }()
	return &config.Upstream{Name: name, VM: "vm-" + name, DataCentre: "dc1", Address: inner.Addr().String()}, nil
}
