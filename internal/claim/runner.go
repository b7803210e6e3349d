package claim

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
)

const (
	// maxClaims is the maximum number of claims that one request makes.
	maxClaims = 4
	// RetryAfter is the Retry-After of an error response after which a later
	// request with the same key may get the call's answer.
	RetryAfter = 1 * time.Second

	remedyRetry = "send the request again with the same Idempotency-Key"
	remedyCheck = "check with the service whether the call took effect, then use a new key"
)

// Target is an agent that can run a call.
type Target struct {
	Upstream    string
	Incarnation string
}

// Call is one request of a caller.
type Call struct {
	ID       ID
	BodyHash string
}

// Result is the result of a request. Err is nil if the call has completed and
// its answer is available.
type Result struct {
	Answer Answer
	Err    error
	// Replayed is set if Answer is a stored answer and did not come from this
	// request's own dispatch.
	Replayed bool
}

// Upstreams gives the runner access to the agents.
type Upstreams interface {
	// Pick returns an agent that is not in exclude; false means that there is
	// none.
	Pick(exclude map[string]bool) (Target, bool)
	// Dispatch runs the call at the claim's agent and waits until it ends. The
	// outcome NotRun means that the agent has fenced the claim's generation.
	Dispatch(ctx context.Context, r Record) Result
	// Query returns the call's state at the claim's agent. If wait is set and
	// the call is running, Query waits until the call ends. An error means that
	// the agent did not answer in time.
	Query(ctx context.Context, r Record, fence, wait bool) (Status, error)
	// IncarnationEnded reports whether the claim's incarnation of the agent has
	// ended.
	IncarnationEnded(r Record) bool
	// QueryAll queries all connected agents for a call whose claim can't be
	// read; false means that none of them has the call.
	QueryAll(ctx context.Context, id ID) (Status, bool)
}

// Events counts what a runner does.
type Events interface {
	Count(event string)
}

// Runner runs non-idempotent calls at most once each. It holds no state between
// requests: any number of runners may process requests with the same key.
type Runner struct {
	Store     *Store
	Upstreams Upstreams
	Events    Events
	// Completed is called with the call's claim when a call that this runner
	// dispatched or queried has completed. It records the answer in the claim.
	Completed func(StoredRecord, Answer)
}

// Run processes one request.
func (r *Runner) Run(ctx context.Context, call Call) Result {
	if err := CheckKey(call.ID.Key, r.Store.Clock.Now()); err != nil {
		return r.refuseKey(err)
	}
	s := &session{Runner: r, call: call, attempted: map[string]bool{}}
	return s.run(ctx)
}

// refuseKey returns the result for a key that CheckKey rejects. The outcome for
// an old key is Unknown, because its call may have run.
func (r *Runner) refuseKey(err error) Result {
	r.Events.Count("once.key_refused")
	o := outcome.NotRun
	if fault.KindOf(err) == fault.Stale {
		o = outcome.Unknown
	}
	return Result{Answer: Answer{Outcome: o}, Err: err}
}

// session is the processing of one request.
type session struct {
	*Runner
	call      Call
	attempted map[string]bool
	// stored is the current claim. fenced is set if its generation is fenced at
	// its agent, so that the claim may be reassigned. Both are zero until a claim
	// is known.
	stored StoredRecord
	fenced bool
}

func (s *session) run(ctx context.Context) Result {
	var lastResult Result
	for range maxClaims {
		owned, err := s.acquireClaim(ctx)
		if err != nil {
			return s.finishWithoutClaim(ctx, err, lastResult)
		}
		res := s.dispatchOrFollow(ctx, owned)
		if !s.fenced {
			return res
		}
		lastResult = res
		if ctx.Err() != nil {
			break
		}
	}
	return lastResult
}

// acquireClaim creates a claim, or reassigns the fenced one, for an agent that
// has not been attempted. It returns false if the stored claim belongs to
// another request.
func (s *session) acquireClaim(ctx context.Context) (bool, error) {
	target, ok := s.Upstreams.Pick(s.attempted)
	if !ok {
		return false, s.findExistingClaim(ctx)
	}
	r := Record{
		Account: s.call.ID.Account, Key: s.call.ID.Key, BodyHash: s.call.BodyHash, Generation: s.stored.Record.Generation + 1,
		Upstream: target.Upstream, Incarnation: target.Incarnation,
		Nonce: uuid.NewString(), ClaimedMS: s.Store.Clock.Now().UnixMilli(),
	}
	stored, owned, err := s.writeClaim(ctx, r)
	if err != nil {
		s.Events.Count("once.claim_failed")
		return false, err
	}
	s.stored, s.fenced = stored, false
	return owned, nil
}

func (s *session) writeClaim(ctx context.Context, r Record) (StoredRecord, bool, error) {
	if s.fenced {
		s.Events.Count("once.claim_moved")
		return s.Store.Reassign(ctx, s.stored, r)
	}
	s.Events.Count("once.claim_created")
	return s.Store.Create(ctx, r)
}

// findExistingClaim looks for the call's claim when no agent can accept the
// call. The error is nil if another request's claim was found.
func (s *session) findExistingClaim(ctx context.Context) error {
	errNoUpstream := fault.New(fault.Unavailable, remedyRetry, "no upstream can accept the call").After(RetryAfter)
	if s.fenced {
		return errNoUpstream
	}
	stored, err := s.Store.Find(ctx, s.call.ID)
	if fault.KindOf(err) == fault.NotFound {
		return errNoUpstream
	}
	s.stored = stored
	return err
}

// dispatchOrFollow dispatches the call under this request's own claim, or
// follows the claim of another request.
func (s *session) dispatchOrFollow(ctx context.Context, owned bool) Result {
	if !owned {
		return s.follow(ctx)
	}
	res := s.Upstreams.Dispatch(ctx, s.stored.Record)
	s.attempted[s.stored.Record.Upstream] = true
	switch {
	case res.Answer.Outcome == outcome.NotRun:
		s.fenced = true
	case res.Answer.Outcome == outcome.Completed:
		s.Completed(s.stored, res.Answer)
	case res.Answer.Outcome == outcome.Unknown && ctx.Err() == nil:
		return s.queryAgent(ctx)
	}
	return res
}

// follow returns the result for a request whose call was claimed by another
// request.
func (s *session) follow(ctx context.Context) Result {
	r := s.stored.Record
	if r.BodyHash != s.call.BodyHash {
		s.Events.Count("once.mismatch")
		err := fault.New(fault.Mismatch, "use a different key for a different call", "the Idempotency-Key was used for a call with another path or body")
		return Result{Answer: Answer{Outcome: outcome.NotRun}, Err: err}
	}
	if r.Answer != nil {
		return s.replay(*r.Answer)
	}
	return s.queryAgent(ctx)
}

// queryAgent queries the claim's agent for the call's state and returns the
// result that follows from it.
func (s *session) queryAgent(ctx context.Context) Result {
	r := s.stored.Record
	if s.Upstreams.IncarnationEnded(r) {
		return s.agentLostResult()
	}
	status, err := s.Upstreams.Query(ctx, r, true, true)
	if err != nil {
		if s.Upstreams.IncarnationEnded(r) {
			return s.agentLostResult()
		}
		return s.unknownResult(err)
	}
	switch status.State {
	case NeverRun:
		s.fenced = true
		err := fault.New(fault.Unavailable, remedyRetry, "the upstream did not accept the call").After(RetryAfter)
		return Result{Answer: Answer{Outcome: outcome.NotRun}, Err: err}
	case Ended:
		if status.Answer.Outcome == outcome.Completed {
			s.Completed(s.stored, status.Answer)
		}
		return s.replay(status.Answer)
	case Running:
		return s.unknownResult(nil)
	}
	return s.agentLostResult()
}

// replay returns the call's stored answer.
func (s *session) replay(a Answer) Result {
	s.Events.Count("once.replayed")
	res := Result{Answer: a, Replayed: true}
	switch {
	case a.Outcome != outcome.Completed:
		res.Err = fault.New(fault.Crashed, remedyCheck, "the call ran once and did not complete: %s", a.Message)
	case a.BodyDropped:
		res.Err = fault.New(fault.Conflict, "fetch the result from the service", "the call has completed; its answer is no longer stored")
	}
	return res
}

// unknownResult returns the result for a call that may be running or may have
// run.
func (s *session) unknownResult(cause error) Result {
	s.Events.Count("once.unsettled")
	err := fault.Wrap(fault.Unavailable, cause, remedyRetry, "the call may be running").After(RetryAfter)
	return Result{Answer: Answer{Outcome: outcome.Unknown}, Err: err}
}

// agentLostResult returns the result for a call whose state is lost: the
// claim's agent is the only process that knew it, and its incarnation has ended
// or it has evicted the call.
func (s *session) agentLostResult() Result {
	s.Events.Count("once.lost")
	err := fault.New(fault.Conflict, remedyCheck, "the call's state is lost; only the agent that the call was assigned to knew it")
	return Result{Answer: Answer{Outcome: outcome.Unknown}, Err: err}
}

// finishWithoutClaim returns the result for a request that could not use the
// key-value service or found no upstream. Every dispatch of this request is
// fenced at its agent; if an earlier request ran the call, the agents know.
func (s *session) finishWithoutClaim(ctx context.Context, cause error, lastResult Result) Result {
	if !s.fenced {
		if status, ok := s.Upstreams.QueryAll(ctx, s.call.ID); ok {
			return s.resultFromStatus(status)
		}
	}
	s.Events.Count("once.refused")
	if lastResult.Err != nil {
		return lastResult
	}
	err := fault.Wrap(fault.Unavailable, cause, remedyRetry, "the call could not be claimed").After(RetryAfter)
	return Result{Answer: Answer{Outcome: outcome.NotRun}, Err: err}
}

func (s *session) resultFromStatus(status Status) Result {
	if status.State == Ended {
		return s.replay(status.Answer)
	}
	return s.unknownResult(nil)
}
