package bench

import (
	"context"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// PathReport compares requests through entry and agent with requests sent
// directly to the engine, in one run. Ratios are those of the medians; added
// times are differences of the 95th percentiles.
type PathReport struct {
	Through         LoadReport `json:"through"`
	Direct          LoadReport `json:"direct"`
	FirstTokenRatio float64    `json:"first_token_p50_ratio"`
	InterTokenRatio float64    `json:"inter_token_p50_ratio"`
	FirstTokenAddMS float64    `json:"first_token_p95_added_ms"`
	InterTokenAddMS float64    `json:"inter_token_p95_added_ms"`
}

func declarePath(app *kingpin.Application, e env) (string, command) {
	cmd := app.Command("path", "Measure the latency that the path through entry and agent adds to a direct call of the engine.")
	target := cmd.Flag("target", "Callers' base URL of an entry.").Required().String()
	direct := cmd.Flag("direct", "Base URL of the engine behind it.").Required().String()
	o := loadOptions{accounts: 1, tokenFormat: "account-%d", stream: true}
	cmd.Flag("rate", "Requests per second on each of the two paths.").Default("20").Float64Var(&o.rate)
	cmd.Flag("duration", "Time over which requests are sent.").Default("10s").DurationVar(&o.duration)
	cmd.Flag("model", "Model to ask for.").Default("m").StringVar(&o.model)
	cmd.Flag("tokens", "Tokens of each answer.").Default("64").IntVar(&o.tokens)
	cmd.Flag("seed", "Seed of the arrivals.").Default("1").Uint64Var(&o.seed)
	return cmd.FullCommand(), func(ctx context.Context) error {
		return e.print(runPath(ctx, o, *target, *direct))
	}
}

// runPath sends the same arrivals both ways. It alternates between both in slices
// of the duration, so that the state of the machine affects both alike.
func runPath(ctx context.Context, o loadOptions, target, direct string) PathReport {
	const slices = 5
	throughOptions, directOptions := o, o
	throughOptions.targets, directOptions.targets = []string{target}, []string{direct}
	throughOptions.duration = o.duration / slices
	directOptions.duration = throughOptions.duration
	throughRun := &loadRun{opts: throughOptions, caller: newCaller(o.model, o.tokens, true)}
	directRun := &loadRun{opts: directOptions, caller: newCaller(o.model, o.tokens, true)}
	start := time.Now()
	for range slices {
		for _, l := range []*loadRun{throughRun, directRun} {
			l.wg.Go(func() { l.runArrivals(ctx, o.rate, 0, l.sendCompletion) })
			l.wg.Wait()
		}
	}
	elapsed := time.Since(start) / 2
	r := PathReport{Through: throughRun.report(elapsed), Direct: directRun.report(elapsed)}
	r.FirstTokenRatio = r.Through.FirstToken.P50 / r.Direct.FirstToken.P50
	r.InterTokenRatio = r.Through.InterToken.P50 / r.Direct.InterToken.P50
	r.FirstTokenAddMS = r.Through.FirstToken.P95 - r.Direct.FirstToken.P95
	r.InterTokenAddMS = r.Through.InterToken.P95 - r.Direct.InterToken.P95
	return r
}
