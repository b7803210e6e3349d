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

// maxRetries is the maximum number of times that a caller sends a request again
// that was not run or got no answer.
const maxRetries = 5

// loadOptions are the flags of the load command.
type loadOptions struct {
	targets         []string
	rate            float64
	duration        time.Duration
	accounts        int
	tokenFormat     string
	model           string
	tokens          int
	stream          bool
	retryNotRun     bool
	serviceCallRate float64
	servicePath     string
	seed            uint64
}

// LoadReport is the line that the load command prints.
type LoadReport struct {
	// Offered counts requests and service calls, Sent how often they were sent,
	// retries included.
	Offered int64 `json:"offered"`
	Sent    int64 `json:"sent"`
	// Completed, NotRun, Failed and Unknown count requests by the outcome of the
	// last time they were sent. WrongAnswers are the completed ones with a wrong
	// text; Unanswered are those whose last call returned an error, such as a broken
	// connection.
	Completed    int64 `json:"completed"`
	NotRun       int64 `json:"not_run"`
	Failed       int64 `json:"failed"`
	Unknown      int64 `json:"unknown"`
	WrongAnswers int64 `json:"wrong_answers"`
	Unanswered   int64 `json:"unanswered"`
	// Goodput is Completed less WrongAnswers, per second.
	Goodput float64 `json:"goodput"`
	// FirstToken is the time to the first token, or to the full answer without
	// streaming; InterToken is the time between tokens.
	FirstToken Quantiles `json:"first_token"`
	InterToken Quantiles `json:"inter_token"`
	Seed       uint64    `json:"seed"`
	// ServiceIDs are the idempotency keys of the service calls.
	ServiceIDs []string `json:"service_ids,omitempty"`
}

func declareLoad(app *kingpin.Application, e env) (string, command) {
	cmd := app.Command("load", "Send requests at a rate and report their outcomes.")
	var o loadOptions
	cmd.Flag("target", "Callers' base URL of an entry; repeatable, used in turn.").Required().StringsVar(&o.targets)
	cmd.Flag("rate", "Requests per second, as a Poisson process.").Default("10").Float64Var(&o.rate)
	cmd.Flag("duration", "Time over which requests are sent.").Default("10s").DurationVar(&o.duration)
	cmd.Flag("accounts", "Number of client accounts.").Default("1").IntVar(&o.accounts)
	cmd.Flag("token-format", "Bearer token of account N, counted from 1.").Default("account-%d").StringVar(&o.tokenFormat)
	cmd.Flag("model", "Model to ask for.").Default("m").StringVar(&o.model)
	cmd.Flag("tokens", "Tokens of each answer.").Default("16").IntVar(&o.tokens)
	cmd.Flag("stream", "Ask for streamed answers.").BoolVar(&o.stream)
	cmd.Flag("retry-callers", "Send a request again at once if it was not run or got no answer.").BoolVar(&o.retryNotRun)
	cmd.Flag("service-calls", "Non-idempotent calls per second in addition to the requests.").Default("0").Float64Var(&o.serviceCallRate)
	cmd.Flag("service-path", "Path of the non-idempotent call.").Default("/v1/services/s/once").StringVar(&o.servicePath)
	cmd.Flag("seed", "Seed of the arrivals.").Default("1").Uint64Var(&o.seed)
	return cmd.FullCommand(), func(ctx context.Context) error { return e.print(runLoad(ctx, o)) }
}

// loadRun counts the outcomes of a run's requests.
type loadRun struct {
	opts   loadOptions
	caller *caller
	wg     sync.WaitGroup

	sent, offered, wrong, unanswered atomic.Int64
	completed, notRun, failed        atomic.Int64
	unknown                          atomic.Int64

	mu         sync.Mutex
	serviceIDs []string
}

// runLoad sends requests and service calls until the duration is over, waits for
// their answers and reports them.
func runLoad(ctx context.Context, o loadOptions) LoadReport {
	l := &loadRun{opts: o, caller: newCaller(o.model, o.tokens, o.stream)}
	start := time.Now()
	l.wg.Go(func() { l.runArrivals(ctx, o.rate, 0, l.sendCompletion) })
	if o.serviceCallRate > 0 {
		l.wg.Go(func() { l.runArrivals(ctx, o.serviceCallRate, 1, l.sendServiceCall) })
	}
	l.wg.Wait()
	return l.report(time.Since(start))
}

// runArrivals calls f as a Poisson process of the given rate per second until the
// duration is over. Each call runs in its own goroutine. rngStream selects the
// random sequence, so that two arrival processes with one seed are independent.
func (l *loadRun) runArrivals(ctx context.Context, rate float64, rngStream uint64, f func(context.Context, int)) {
	rng := rand.New(rand.NewPCG(l.opts.seed, rngStream))
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

func (l *loadRun) tokenFor(n int) string { return fmt.Sprintf(l.opts.tokenFormat, n%l.opts.accounts+1) }

func (l *loadRun) targetFor(n int) string { return l.opts.targets[n%len(l.opts.targets)] }

// sendCompletion sends the n-th completion request; retries go to the next
// target.
func (l *loadRun) sendCompletion(ctx context.Context, n int) {
	prompt := fmt.Sprintf("request %d of seed %d", n, l.opts.seed)
	l.sendWithRetries(func(attempt int) (callResult, error) {
		return l.caller.complete(ctx, l.targetFor(n+attempt), l.tokenFor(n), prompt)
	})
}

// sendServiceCall sends the n-th non-idempotent call with a new idempotency key.
func (l *loadRun) sendServiceCall(ctx context.Context, n int) {
	key := uuid.NewString()
	l.mu.Lock()
	l.serviceIDs = append(l.serviceIDs, key)
	l.mu.Unlock()
	l.sendWithRetries(func(attempt int) (callResult, error) {
		return l.caller.callService(ctx, l.targetFor(n+attempt), l.tokenFor(n), l.opts.servicePath, key)
	})
}

// sendWithRetries sends a request and counts its last outcome. With the option
// retryNotRun it sends again while there is no answer or the outcome is not run,
// up to maxRetries times.
func (l *loadRun) sendWithRetries(send func(attempt int) (callResult, error)) {
	var r callResult
	var err error
	for attempt := 0; attempt <= maxRetries; attempt++ {
		l.sent.Add(1)
		r, err = send(attempt)
		if !l.opts.retryNotRun || err == nil && r.outcome != outcome.NotRun {
			break
		}
	}
	l.countOutcome(r, err)
}

func (l *loadRun) countOutcome(r callResult, err error) {
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
	correct := l.completed.Load() - l.wrong.Load()
	return LoadReport{
		Offered: l.offered.Load(), Sent: l.sent.Load(), Completed: l.completed.Load(), NotRun: l.notRun.Load(),
		Failed: l.failed.Load(), Unknown: l.unknown.Load(), WrongAnswers: l.wrong.Load(), Unanswered: l.unanswered.Load(),
		Goodput:    float64(correct) / elapsed.Seconds(),
		FirstToken: l.caller.firstToken.quantiles(), InterToken: l.caller.interToken.quantiles(),
		Seed: l.opts.seed, ServiceIDs: l.serviceIDs,
	}
}
