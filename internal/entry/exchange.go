package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/quarantine"
	"github.com/kingcupreel/kingcupreel/internal/timeline"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

const (
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 3
	// unavailableRetry is the Retry-After when no upstream can take a request.
	unavailableRetry = 1 * time.Second
	// minRetryDelay and maxRetryDelay bound the wait between two attempts.
	minRetryDelay = 25 * time.Millisecond
	maxRetryDelay = 1 * time.Second
	// resumeWait bounds the wait of a request that has run for an upstream that
	// can go on with it; resumePoll is the interval of looking for one.
	resumeWait = 5 * time.Second
	resumePoll = 50 * time.Millisecond
)

// request is one caller's request on its way through the entry.
type request struct {
	id       string
	account  *config.ClientAccount
	dispatch wire.Dispatch
	prefix   string
	// pool names the upstreams that could serve it.
	pool string
}

// result is the end of an attempt.
type result struct {
	outcome outcome.Outcome
	err     error
}

// exchange runs one request's attempts and writes its answer.
type exchange struct {
	entry  *Entry
	req    *request
	answer *answer
	tried  map[string]bool
	// fingerprint names the request's content once it has been asked for;
	// suspect is what was known of it before the present attempt.
	fingerprint quarantine.Fingerprint
	suspect     quarantine.Record
	// release and refused are a non-idempotent call's word from admission; both
	// are nil before it.
	release func(served bool)
	refused error
}

// run makes attempts until one ends the request, writes the final answer and
// returns its outcome.
func (x *exchange) run(ctx context.Context) outcome.Outcome {
	last := result{outcome: outcome.NotRun}
	var earlier outcome.Outcome
	for n := uint32(1); n <= maxAttempts; n++ {
		if err := x.judge(); err != nil {
			last = result{outcome.NotRun, err}
			break
		}
		l := x.choose(ctx, earlier)
		if l == nil {
			break
		}
		last = x.attempt(ctx, l, n)
		if last.outcome != outcome.NotRun {
			earlier = last.outcome
		}
		x.tried[l.upstream.Name] = true
		if n == maxAttempts || !x.again(ctx, last) {
			break
		}
		x.entry.count("requests.retried")
		pause(ctx, retryDelay(n))
	}
	last.outcome = outcome.Combine(earlier, last.outcome)
	x.finish(last)
	return last.outcome
}

func (x *exchange) finish(last result) {
	if last.err == nil && last.outcome == outcome.NotRun {
		last.err = fault.New(fault.Unavailable, "send the request again after Retry-After", "no upstream can take the request").After(x.entry.retryAfter(x.req.pool))
	}
	if last.outcome == outcome.Completed {
		x.entry.budget.RecordSuccess()
		x.clear()
	}
	x.entry.count("requests." + string(last.outcome))
	x.entry.event(timeline.Event{Kind: timeline.Answered, Request: x.req.id, Detail: string(last.outcome)})
	x.answer.finish(last)
}

// choose picks an upstream for the next attempt, or nil. A request that has run
// waits a while for one, since its caller can't simply send it again; any other
// is answered at once.
func (x *exchange) choose(ctx context.Context, earlier outcome.Outcome) *link {
	l := x.pick()
	if l != nil || earlier == "" {
		return l
	}
	ctx, cancel := context.WithTimeout(ctx, resumeWait)
	defer cancel()
	clear(x.tried)
	for ; l == nil && ctx.Err() == nil; l = x.pick() {
		pause(ctx, resumePoll)
	}
	return l
}

// again says whether another attempt may follow, and prepares the answer for
// it.
func (x *exchange) again(ctx context.Context, last result) bool {
	if last.outcome == outcome.Completed || ctx.Err() != nil {
		return false
	}
	kind := fault.KindOf(last.err)
	if last.outcome == outcome.NotRun {
		return kind == fault.Unavailable || kind == fault.Stale || kind == fault.Overloaded && x.entry.budget.TrySpend()
	}
	if x.req.dispatch.NonIdempotent || kind != fault.Unavailable && kind != fault.Crashed {
		return false
	}
	if x.answer.started {
		return x.resumable()
	}
	x.answer.reset()
	return x.suspected() || x.entry.budget.TrySpend()
}

// resumable prepares the dispatch to go on with a stream that has begun. A
// resumed stream repeats no work, so it takes nothing from the retry budget.
func (x *exchange) resumable() bool {
	text, tokens, ok := x.answer.transcript.text()
	if !ok || x.req.dispatch.Model == "" {
		return false
	}
	x.req.dispatch.ResumeFrom = x.answer.chunks
	x.req.dispatch.ResumeText = text
	x.req.dispatch.ResumeTokens = tokens
	x.entry.count("requests.resumed")
	return true
}

// retryDelay returns the jittered wait after the n-th attempt.
func retryDelay(n uint32) time.Duration {
	return rand.N(min(minRetryDelay<<(n-1), maxRetryDelay))
}

// pause waits for d or until ctx is done.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// pick chooses an upstream that has not been tried, or nil.
func (x *exchange) pick() *link {
	if x.suspect.State == quarantine.Suspected {
		if l := x.isolated(); l != nil {
			return l
		}
	}
	return x.entry.links.pick(x.entry.opts.Picker, x.req, x.tried)
}

// attempt dispatches to one upstream and relays what comes back.
func (x *exchange) attempt(ctx context.Context, l *link, n uint32) result {
	d := x.req.dispatch
	d.ID = wire.AttemptID{Request: x.req.id, Attempt: n}
	d.Account = x.req.account.Name
	d.Priority = x.req.account.Priority
	d.Isolated = x.suspect.State == quarantine.Suspected
	if deadline, ok := ctx.Deadline(); ok {
		d.TimeoutMS = time.Until(deadline).Milliseconds()
	}
	box, err := l.open(&d)
	if err != nil {
		return result{outcome.NotRun, err}
	}
	defer l.close(d.ID)
	x.entry.event(timeline.Event{Kind: timeline.Dispatched, Object: l.upstream.Name, Request: x.req.id, Attempt: n})
	a := &attempt{x: x, link: l, id: d.ID, box: box, seq: newSequence(d.ResumeFrom)}
	res := a.run(ctx)
	if res.outcome != outcome.Completed && x.answer.transcript.ended() {
		return result{outcome: outcome.Completed}
	}
	return res
}

// serve runs a request to its end.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request, req *request, stream bool) {
	x := &exchange{entry: e, req: req, answer: newAnswer(w, req.id, stream), tried: map[string]bool{}}
	if req.dispatch.NonIdempotent {
		x.runOnce(r.Context())
		return
	}
	release, err := e.admit(r.Context(), req)
	if err != nil {
		x.finish(result{outcome.NotRun, err})
		return
	}
	release(x.run(r.Context()) == outcome.Completed)
}
