package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/timeline"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

const (
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 3
	// unavailableRetry is the Retry-After when no upstream can take a request.
	unavailableRetry = 1 * time.Second
	// verdictTimeout bounds the wait for an agent's word on an attempt.
	verdictTimeout = 2 * time.Second
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
}

// run makes attempts until one ends the request, writes the final answer and
// returns its outcome.
func (x *exchange) run(ctx context.Context) outcome.Outcome {
	last := result{outcome: outcome.NotRun}
	for n := uint32(1); n <= maxAttempts; n++ {
		l := x.pick()
		if l == nil {
			break
		}
		last = x.attempt(ctx, l, n)
		if last.outcome != outcome.NotRun || ctx.Err() != nil {
			break
		}
		x.tried[l.upstream.Name] = true
	}
	if last.err == nil && last.outcome == outcome.NotRun {
		last.err = fault.New(fault.Unavailable, "send the request again after Retry-After", "no upstream can take the request").After(x.entry.retryAfter(x.req.pool))
	}
	x.end(last)
	return last.outcome
}

// end writes the final answer.
func (x *exchange) end(last result) {
	x.entry.count("requests." + string(last.outcome))
	x.entry.event(timeline.Event{Kind: timeline.Answered, Request: x.req.id, Detail: string(last.outcome)})
	x.answer.finish(last)
}

// pick chooses an upstream that has not been tried, or nil.
func (x *exchange) pick() *link {
	return x.entry.links.pick(x.entry.opts.Picker, x.req, x.tried)
}

// attempt dispatches to one upstream and relays what comes back.
func (x *exchange) attempt(ctx context.Context, l *link, n uint32) result {
	d := x.req.dispatch
	d.ID = wire.AttemptID{Request: x.req.id, Attempt: n}
	d.Account = x.req.account.Name
	d.Priority = x.req.account.Priority
	if deadline, ok := ctx.Deadline(); ok {
		d.TimeoutMS = time.Until(deadline).Milliseconds()
	}
	box, err := l.open(&d)
	if err != nil {
		return result{outcome.NotRun, err}
	}
	defer l.close(d.ID)
	x.entry.event(timeline.Event{Kind: timeline.Dispatched, Object: l.upstream.Name, Request: x.req.id, Attempt: n})
	for {
		select {
		case <-ctx.Done():
			return x.giveUp(l, d.ID, box, fault.Wrap(fault.Timeout, ctx.Err(), "allow more time with Request-Timeout", "the request was given up"))
		case <-box.notify:
		}
		messages, overflow := box.take()
		for _, m := range messages {
			if res, ended := x.receive(m); ended {
				return res
			}
		}
		if overflow {
			return x.giveUp(l, d.ID, box, fault.New(fault.Overloaded, "read the answer faster", "the caller reads too slowly"))
		}
	}
}

// receive handles one message of the attempt; true means that it has ended.
func (x *exchange) receive(m wire.Message) (result, bool) {
	switch m := m.(type) {
	case *wire.Refused:
		err := fault.New(m.Reason, "send the request again", "%s", m.Message).After(time.Duration(m.RetryAfterMS) * time.Millisecond)
		return result{outcome.NotRun, err}, true
	case *wire.Head:
		x.answer.head(m.Status, m.ContentType)
	case *wire.Chunk:
		if err := x.answer.chunk(m.Seq, m.Data); err != nil {
			return result{outcome.Unknown, err}, true
		}
	case *wire.Done:
		return x.done(m)
	case *linkLost:
		return result{outcome.Unknown, fault.New(fault.Unavailable, "check whether the call took effect", "the connection to the upstream was lost")}, true
	}
	return result{}, false
}

func (x *exchange) done(m *wire.Done) (result, bool) {
	if m.Outcome != outcome.Completed {
		return result{m.Outcome, fault.New(m.Reason, "send the request again", "%s", m.Message)}, true
	}
	if x.answer.chunks != m.Chunks {
		err := fault.New(fault.Crashed, "send the request again", "the answer has a gap: %d of %d parts", x.answer.chunks, m.Chunks)
		return result{outcome.Failed, err}, true
	}
	return result{outcome: outcome.Completed}, true
}

// giveUp cancels the attempt and asks the agent whether it ran.
func (x *exchange) giveUp(l *link, id wire.AttemptID, box *mailbox, cause error) result {
	if err := l.send(&wire.Cancel{ID: id}); err != nil {
		return result{outcome.Unknown, cause}
	}
	timer := time.NewTimer(verdictTimeout)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return result{outcome.Unknown, cause}
		case <-box.notify:
		}
		messages, _ := box.take()
		for _, m := range messages {
			if v, ok := m.(*wire.Verdict); ok {
				return result{outcomeOf(v.State), cause}
			}
		}
	}
}

// outcomeOf says what an agent's word means for the caller.
func outcomeOf(s wire.AttemptState) outcome.Outcome {
	switch s {
	case wire.NeverSeen, wire.NeverRun:
		return outcome.NotRun
	case wire.Running, wire.Ended:
		return outcome.Failed
	}
	return outcome.Unknown
}

// serve runs a request to its end.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request, req *request, stream bool) {
	e.event(timeline.Event{Kind: timeline.Admitted, Object: req.account.Name, Request: req.id})
	x := &exchange{entry: e, req: req, answer: newAnswer(w, req.id, stream), tried: map[string]bool{}}
	release, err := e.admit(r.Context(), req)
	if err != nil {
		x.end(result{outcome.NotRun, err})
		return
	}
	release(x.run(r.Context()) == outcome.Completed)
}
