package claim

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
)

const (
	// maxMoves bounds the claims that one request makes.
	maxMoves = 4
	// RetryAfter is the Retry-After of an answer that a later request under
	// the same key may settle.
	RetryAfter = 1 * time.Second

	remedySame  = "send the request again with the same Idempotency-Key"
	remedyCheck = "check with the service whether the call took effect, then use a new key"
)

// Target is an agent that could run a call.
type Target struct {
	Upstream    string
	Incarnation string
}

// Call is one caller's request.
type Call struct {
	ID       ID
	BodyHash string
}

// Result is the end of a request. Err is nil for a completed one whose answer
// is at hand.
type Result struct {
	Answer Answer
	Err    error
	// Replayed says that Answer came from an earlier request or a record.
	Replayed bool
}

// Upstreams is what the runner asks of the agents.
type Upstreams interface {
	// Pick returns an agent that has not been tried; false means none.
	Pick(tried map[string]bool) (Target, bool)
	// Dispatch runs the call at the claim's agent and waits for its end. An
	// outcome of NotRun means that the agent fenced the claim's generation.
	Dispatch(ctx context.Context, r Record) Result
	// Query returns the named agent's word, and with wait the call's end if it
	// is running. An error means that the agent gave no answer in time.
	Query(ctx context.Context, r Record, fence, wait bool) (Status, error)
	// IncarnationEnded says that the claim's incarnation of the agent has ended.
	IncarnationEnded(r Record) bool
	// QueryAll asks every agent at hand for a call whose claim can't be read;
	// false means that none has it.
	QueryAll(ctx context.Context, id ID) (Status, bool)
}

// Events counts what a runner does.
type Events interface {
	Count(event string)
}

// Runner runs non-idempotent calls at most once each. It holds no state of its
// own: any number of runners may run the same call.
type Runner struct {
	Store     *Store
	Upstreams Upstreams
	Events    Events
	// Completed is called with the claim of a call that this runner ran to its
	// end, after the answer is known; it records the answer.
	Completed func(StoredRecord, Answer)
}

// Run brings a call to its end.
func (r *Runner) Run(ctx context.Context, call Call) Result {
	if err := CheckKey(call.ID.Key, r.Store.Clock.Now()); err != nil {
		return r.refuseKey(err)
	}
	s := &session{Runner: r, call: call, tried: map[string]bool{}}
	return s.run(ctx)
}

// refuseKey answers a call whose key can't be checked: an old one may have run.
func (r *Runner) refuseKey(err error) Result {
	r.Events.Count("once.key_refused")
	o := outcome.NotRun
	if fault.KindOf(err) == fault.Stale {
		o = outcome.Unknown
	}
	return Result{Answer: Answer{Outcome: o}, Err: err}
}

// session is one request's way to its end.
type session struct {
	*Runner
	call  Call
	tried map[string]bool
	// held is the claim in force, free says that its generation is fenced at
	// its agent, so that it may move. Before a claim is known both are zero.
	held StoredRecord
	free bool
}

func (s *session) run(ctx context.Context) Result {
	var last Result
	for range maxMoves {
		mine, err := s.claim(ctx)
		if err != nil {
			return s.withoutClaim(ctx, err, last)
		}
		res := s.step(ctx, mine)
		if !s.free {
			return res
		}
		last = res
		if ctx.Err() != nil {
			break
		}
	}
	return last
}

// claim creates or moves the claim, or finds another's.
func (s *session) claim(ctx context.Context) (bool, error) {
	target, ok := s.Upstreams.Pick(s.tried)
	if !ok {
		return false, s.noTarget(ctx)
	}
	r := Record{
		Account: s.call.ID.Account, Key: s.call.ID.Key, BodyHash: s.call.BodyHash, Generation: s.held.Record.Generation + 1,
		Upstream: target.Upstream, Incarnation: target.Incarnation,
		Nonce: uuid.NewString(), ClaimedMS: s.Store.Clock.Now().UnixMilli(),
	}
	held, mine, err := s.put(ctx, r)
	if err != nil {
		s.Events.Count("once.claim_failed")
		return false, err
	}
	s.held, s.free = held, false
	return mine, nil
}

func (s *session) put(ctx context.Context, r Record) (StoredRecord, bool, error) {
	if s.free {
		s.Events.Count("once.claim_moved")
		return s.Store.Reassign(ctx, s.held, r)
	}
	s.Events.Count("once.claim_created")
	return s.Store.Create(ctx, r)
}

// noTarget looks for the call's claim when no agent can take the call. The
// error is nil when there is a claim to follow.
func (s *session) noTarget(ctx context.Context) error {
	none := fault.New(fault.Unavailable, remedySame, "no upstream can take the call").After(RetryAfter)
	if s.free {
		return none
	}
	held, err := s.Store.Find(ctx, s.call.ID)
	if fault.KindOf(err) == fault.NotFound {
		return none
	}
	s.held = held
	return err
}

// step dispatches under an own claim, or follows another's.
func (s *session) step(ctx context.Context, mine bool) Result {
	if !mine {
		return s.follow(ctx)
	}
	res := s.Upstreams.Dispatch(ctx, s.held.Record)
	s.tried[s.held.Record.Upstream] = true
	switch {
	case res.Answer.Outcome == outcome.NotRun:
		s.free = true
	case res.Answer.Outcome == outcome.Completed:
		s.Completed(s.held, res.Answer)
	case res.Answer.Outcome == outcome.Unknown && ctx.Err() == nil:
		return s.ask(ctx)
	}
	return res
}

// follow ends a request whose claim another request has made.
func (s *session) follow(ctx context.Context) Result {
	r := s.held.Record
	if r.BodyHash != s.call.BodyHash {
		s.Events.Count("once.mismatch")
		err := fault.New(fault.Mismatch, "use a new key for another call", "the Idempotency-Key was used for a call with another path or body")
		return Result{Answer: Answer{Outcome: outcome.NotRun}, Err: err}
	}
	if r.Answer != nil {
		return s.replay(*r.Answer)
	}
	return s.ask(ctx)
}

// ask learns the call's fate from the claim's agent.
func (s *session) ask(ctx context.Context) Result {
	r := s.held.Record
	if s.Upstreams.IncarnationEnded(r) {
		return s.lost()
	}
	status, err := s.Upstreams.Query(ctx, r, true, true)
	if err != nil {
		if s.Upstreams.IncarnationEnded(r) {
			return s.lost()
		}
		return s.unsettled(err)
	}
	switch status.State {
	case NeverRun:
		s.free = true
		err := fault.New(fault.Unavailable, remedySame, "the call was not taken by its upstream").After(RetryAfter)
		return Result{Answer: Answer{Outcome: outcome.NotRun}, Err: err}
	case Ended:
		if status.Answer.Outcome == outcome.Completed {
			s.Completed(s.held, status.Answer)
		}
		return s.replay(status.Answer)
	case Running:
		return s.unsettled(nil)
	}
	return s.lost()
}

// replay answers with the call's kept answer.
func (s *session) replay(a Answer) Result {
	s.Events.Count("once.replayed")
	res := Result{Answer: a, Replayed: true}
	switch {
	case a.Outcome != outcome.Completed:
		res.Err = fault.New(fault.Crashed, remedyCheck, "the call was run once and did not complete: %s", a.Message)
	case a.BodyDropped:
		res.Err = fault.New(fault.Conflict, "fetch the result from the service", "the call has completed; its answer is no longer kept")
	}
	return res
}

// unsettled answers a request whose call may run or have run.
func (s *session) unsettled(cause error) Result {
	s.Events.Count("once.unsettled")
	err := fault.Wrap(fault.Unavailable, cause, remedySame, "the call may be running").After(RetryAfter)
	return Result{Answer: Answer{Outcome: outcome.Unknown}, Err: err}
}

// lost answers a request whose call's only witness is gone.
func (s *session) lost() Result {
	s.Events.Count("once.lost")
	err := fault.New(fault.Conflict, remedyCheck, "the agent that had the call is gone")
	return Result{Answer: Answer{Outcome: outcome.Unknown}, Err: err}
}

// withoutClaim answers a request that could not use the key-value service, or
// found no upstream. Nothing was dispatched by it that is not fenced; an
// earlier request's run is known to the agents.
func (s *session) withoutClaim(ctx context.Context, cause error, last Result) Result {
	if !s.free {
		if status, ok := s.Upstreams.QueryAll(ctx, s.call.ID); ok {
			return s.known(status)
		}
	}
	s.Events.Count("once.refused")
	if last.Err != nil {
		return last
	}
	err := fault.Wrap(fault.Unavailable, cause, remedySame, "the call can't be claimed").After(RetryAfter)
	return Result{Answer: Answer{Outcome: outcome.NotRun}, Err: err}
}

func (s *session) known(status Status) Result {
	if status.State == Ended {
		return s.replay(status.Answer)
	}
	return s.unsettled(nil)
}
