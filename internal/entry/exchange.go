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
	// unavailableRetryAfter is the Retry-After while no upstream can take a
	// request.
	unavailableRetryAfter = 1 * time.Second
	// The delay before a retry is drawn at random below a bound. minRetryDelay
	// is the bound for the first retry; it doubles with each further one, up to
	// maxRetryDelay.
	minRetryDelay = 25 * time.Millisecond
	maxRetryDelay = 1 * time.Second
	// resumeTimeout bounds the wait of a request that has run for an upstream
	// that can continue it. resumePollInterval is the interval at which it looks
	// for one.
	resumeTimeout      = 5 * time.Second
	resumePollInterval = 50 * time.Millisecond
)

// request is one caller's request and the dispatch made from it.
type request struct {
	id       string
	account  *config.ClientAccount
	dispatch wire.Dispatch
	// prefix is the start of the prompt; routing prefers the same upstream for
	// the same prefix.
	prefix string
	// pool names the pool of upstreams that can serve the request.
	pool string
}

// result is the outcome of an attempt or of a request. err is the error to
// report and nil for a completed one.
type result struct {
	outcome outcome.Outcome
	err     error
}

// exchange runs the attempts of one request and writes its answer.
type exchange struct {
	entry  *Entry
	req    *request
	answer *answer
	// attempted holds the upstreams that must not be picked again.
	attempted map[string]bool
	// fingerprint identifies the request's content; it is empty until it is
	// first needed. quarantineRecord is what was known of that content before
	// the current attempt.
	fingerprint      quarantine.Fingerprint
	quarantineRecord quarantine.Record
	// releaseAdmission and refusal are the result of admission for a
	// non-idempotent call; both are nil before it. refusal is also set when
	// quarantine refuses the call.
	releaseAdmission func(served bool)
	refusal          error
}

// run makes attempts until one ends the request, writes the final answer and
// returns the request's outcome.
func (x *exchange) run(ctx context.Context) outcome.Outcome {
	last := result{outcome: outcome.NotRun}
	var priorOutcome outcome.Outcome
	for n := uint32(1); n <= maxAttempts; n++ {
		if err := x.checkQuarantine(); err != nil {
			last = result{outcome.NotRun, err}
			break
		}
		l := x.pickOrWait(ctx, priorOutcome)
		if l == nil {
			break
		}
		last = x.attempt(ctx, l, n)
		if last.outcome != outcome.NotRun {
			priorOutcome = last.outcome
		}
		x.attempted[l.upstream.Name] = true
		if n == maxAttempts || !x.prepareRetry(ctx, last) {
			break
		}
		x.entry.count("requests.retried")
		pause(ctx, retryDelay(n))
	}
	last.outcome = outcome.Combine(priorOutcome, last.outcome)
	x.finish(last)
	return last.outcome
}

// finish counts and records the outcome and writes the end of the answer.
func (x *exchange) finish(last result) {
	if last.err == nil && last.outcome == outcome.NotRun {
		last.err = x.noUpstream()
	}
	if last.outcome == outcome.Completed {
		x.entry.retryBudget.RecordSuccess()
		x.clear()
	}
	x.entry.count("requests." + string(last.outcome))
	x.entry.event(timeline.Event{Kind: timeline.Answered, Request: x.req.id, Detail: string(last.outcome)})
	x.answer.finish(last)
}

// pickOrWait picks an upstream for the next attempt, or returns nil. A request
// of which an attempt may have run (priorOutcome is set) waits up to
// resumeTimeout for an upstream, since its caller can't safely resend it. Any
// other request does not wait.
func (x *exchange) pickOrWait(ctx context.Context, priorOutcome outcome.Outcome) *link {
	l := x.pick()
	if l == nil {
		l = x.awaitPermit(ctx)
	}
	if l != nil || priorOutcome == "" {
		return l
	}
	ctx, cancel := context.WithTimeout(ctx, resumeTimeout)
	defer cancel()
	clear(x.attempted)
	for ; l == nil && ctx.Err() == nil; l = x.pick() {
		pause(ctx, resumePollInterval)
	}
	return l
}

// prepareRetry reports whether another attempt may follow one that ended with
// last, and prepares the answer for it.
func (x *exchange) prepareRetry(ctx context.Context, last result) bool {
	if last.outcome == outcome.Completed || ctx.Err() != nil {
		return false
	}
	kind := fault.KindOf(last.err)
	if last.outcome == outcome.NotRun {
		return kind == fault.Unavailable || kind == fault.Stale || kind == fault.Overloaded && x.entry.retryBudget.TrySpend()
	}
	if x.req.dispatch.NonIdempotent || kind != fault.Unavailable && kind != fault.Crashed {
		return false
	}
	if x.answer.headerWritten {
		return x.prepareResume()
	}
	x.answer.reset()
	return x.isSuspected() || x.entry.retryBudget.TrySpend()
}

// prepareResume sets the dispatch to continue a stream that has begun; false
// means that the stream can't be resumed. A resumed stream repeats no work, so
// it spends nothing from the retry budget.
func (x *exchange) prepareResume() bool {
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

// retryDelay returns the jittered delay after the n-th attempt.
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

// pick picks an upstream that has not been attempted, or returns nil.
func (x *exchange) pick() *link {
	if x.quarantineRecord.State == quarantine.Suspected {
		if l := x.pickIsolated(); l != nil {
			l.member.takePermit()
			return l
		}
	}
	return x.entry.links.pick(x.entry.opts.Picker, x.req, x.attempted)
}

// attempt dispatches the request to one upstream and relays the answer.
func (x *exchange) attempt(ctx context.Context, l *link, n uint32) result {
	d := x.req.dispatch
	d.ID = wire.AttemptID{Request: x.req.id, Attempt: n}
	d.Account = x.req.account.Name
	d.Priority = x.req.account.Priority
	d.Isolated = x.quarantineRecord.State == quarantine.Suspected
	if deadline, ok := ctx.Deadline(); ok {
		d.TimeoutMS = time.Until(deadline).Milliseconds()
	}
	inbox, err := l.open(&d)
	if err != nil {
		return result{outcome.NotRun, err}
	}
	defer l.close(d.ID)
	x.entry.event(timeline.Event{Kind: timeline.Dispatched, Object: l.upstream.Name, Request: x.req.id, Attempt: n})
	a := &attempt{x: x, link: l, id: d.ID, inbox: inbox, reorder: newReorderBuffer(d.ResumeFrom)}
	res := a.run(ctx)
	// The caller has the whole stream if its last event was written, even if
	// the attempt failed after that.
	if res.outcome != outcome.Completed && x.answer.transcript.complete() {
		return result{outcome: outcome.Completed}
	}
	return res
}

// serve runs a request to its end and writes the answer.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request, req *request, stream bool) {
	x := &exchange{entry: e, req: req, answer: newAnswer(w, req.id, stream), attempted: map[string]bool{}}
	x.answer.http10, x.answer.log = !r.ProtoAtLeast(1, 1), e.opts.Log
	x.answer.memory, x.answer.account = e.answerMemory, req.account.Name
	defer x.answer.release()
	if req.dispatch.NonIdempotent {
		x.runNonIdempotent(r.Context())
		return
	}
	release, err := e.admit(r.Context(), req)
	if err != nil {
		x.finish(result{outcome.NotRun, err})
		return
	}
	release(x.run(r.Context()) == outcome.Completed)
}
