package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"

	"github.com/kingcupreel/kingcupreel/internal/outcome"
)

// maxResends bounds how often a caller sends a refused request again.
const maxResends = 5

// loadOptions are the flags of the load command.
type loadOptions struct {
	targets      []string
	rate         float64
	duration     time.Duration
	accounts     int
	tokenFormat  string
	model        string
	tokens       int
	stream       bool
	retry        bool
	serviceCalls float64
	servicePath  string
	seed         uint64
}

// LoadReport is the line that the load command prints.
type LoadReport struct {
	Offered      int64     `json:"offered"`
	Sent         int64     `json:"sent"`
	Completed    int64     `json:"completed"`
	NotRun       int64     `json:"not_run"`
	Failed       int64     `json:"failed"`
	Unknown      int64     `json:"unknown"`
	WrongAnswers int64     `json:"wrong_answers"`
	Unanswered   int64     `json:"unanswered"`
	Goodput      float64   `json:"goodput"`
	FirstToken   Quantiles `json:"first_token"`
	InterToken   Quantiles `json:"inter_token"`
	Seed         uint64    `json:"seed"`
	ServiceIDs   []string  `json:"service_ids,omitempty"`
}

func declareLoad(app *kingpin.Application, e env) (string, command) {
	cmd := app.Command("load", "Send requests at a rate and report their fate.")
	var o loadOptions
	cmd.Flag("target", "Callers' base URL of an entry; repeatable, used in turn.").Required().StringsVar(&o.targets)
	cmd.Flag("rate", "Requests a second, arriving at random times.").Default("10").Float64Var(&o.rate)
	cmd.Flag("duration", "Time over which requests are sent.").Default("10s").DurationVar(&o.duration)
	cmd.Flag("accounts", "Number of client accounts.").Default("1").IntVar(&o.accounts)
	cmd.Flag("token-format", "Bearer token of account N, counted from 1.").Default("account-%d").StringVar(&o.tokenFormat)
	cmd.Flag("model", "Model to ask for.").Default("m").StringVar(&o.model)
	cmd.Flag("tokens", "Tokens of each answer.").Default("16").IntVar(&o.tokens)
	cmd.Flag("stream", "Ask for streams.").BoolVar(&o.stream)
	cmd.Flag("retry-callers", "Send a request again at once when it was not run.").BoolVar(&o.retry)
	cmd.Flag("service-calls", "Non-idempotent calls a second beside the requests.").Default("0").Float64Var(&o.serviceCalls)
	cmd.Flag("service-path", "Path of the non-idempotent call.").Default("/v1/services/s/once").StringVar(&o.servicePath)
	cmd.Flag("seed", "Seed of the arrivals.").Default("1").Uint64Var(&o.seed)
	return cmd.FullCommand(), func(ctx context.Context) error { return e.print(runLoad(ctx, o)) }
}

// loadRun counts the fates of a run's requests.
type loadRun struct {
	opts   loadOptions
	caller *caller
	wg     sync.WaitGroup

	sent, offered, wrong, unanswered atomic.Int64
	completed, notRun, failed        atomic.Int64
	unknown                          atomic.Int64

	mu  sync.Mutex
	ids []string
}

func runLoad(ctx context.Context, o loadOptions) LoadReport {
	l := &loadRun{opts: o, caller: newCaller(o.model, o.tokens, o.stream)}
	start := time.Now()
	l.wg.Go(func() { l.arrivals(ctx, o.rate, 0, l.completion) })
	if o.serviceCalls > 0 {
		l.wg.Go(func() { l.arrivals(ctx, o.serviceCalls, 1, l.serviceCall) })
	}
	l.wg.Wait()
	return l.report(time.Since(start))
}

// arrivals starts f at random times until the duration is over.
func (l *loadRun) arrivals(ctx context.Context, rate float64, stream uint64, f func(context.Context, int)) {
	rng := rand.New(rand.NewPCG(l.opts.seed, stream))
	start := time.Now()
	var due time.Duration
	for n := 0; ; n++ {
		due += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if due > l.opts.duration {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(start.Add(due))):
		}
		l.offered.Add(1)
		l.wg.Go(func() { f(ctx, n) })
	}
}

func (l *loadRun) token(n int) string { return fmt.Sprintf(l.opts.tokenFormat, n%l.opts.accounts+1) }

func (l *loadRun) target(n int) string { return l.opts.targets[n%len(l.opts.targets)] }

func (l *loadRun) completion(ctx context.Context, n int) {
	prompt := fmt.Sprintf("request %d of seed %d", n, l.opts.seed)
	l.resend(func(try int) (reply, error) {
		return l.caller.complete(ctx, l.target(n+try), l.token(n), prompt)
	})
}

func (l *loadRun) serviceCall(ctx context.Context, n int) {
	key := uuid.NewString()
	l.mu.Lock()
	l.ids = append(l.ids, key)
	l.mu.Unlock()
	l.resend(func(try int) (reply, error) {
		return l.caller.order(ctx, l.target(n+try), l.token(n), l.opts.servicePath, key)
	})
}

// resend sends until the fate is other than not run, or once without retries,
// and counts the last fate.
func (l *loadRun) resend(send func(try int) (reply, error)) {
	var r reply
	var err error
	for try := 0; try <= maxResends; try++ {
		l.sent.Add(1)
		r, err = send(try)
		if !l.opts.retry || err == nil && r.outcome != outcome.NotRun {
			break
		}
	}
	l.count(r, err)
}

func (l *loadRun) count(r reply, err error) {
	if err != nil {
		l.unanswered.Add(1)
		return
	}
	if r.wrong {
		l.wrong.Add(1)
	}
	switch r.outcome {
	case outcome.Completed:
		l.completed.Add(1)
	case outcome.NotRun:
		l.notRun.Add(1)
	case outcome.Failed:
		l.failed.Add(1)
	default:
		l.unknown.Add(1)
	}
}

func (l *loadRun) report(elapsed time.Duration) LoadReport {
	right := l.completed.Load() - l.wrong.Load()
	return LoadReport{
		Offered: l.offered.Load(), Sent: l.sent.Load(), Completed: l.completed.Load(), NotRun: l.notRun.Load(),
		Failed: l.failed.Load(), Unknown: l.unknown.Load(), WrongAnswers: l.wrong.Load(), Unanswered: l.unanswered.Load(),
		Goodput:    float64(right) / elapsed.Seconds(),
		FirstToken: l.caller.first.quantiles(), InterToken: l.caller.next.quantiles(),
		Seed: l.opts.seed, ServiceIDs: l.ids,
	}
}
