package agent

import (
	"net/http"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/claim"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// onceTimeout bounds a non-idempotent call at its upstream when its caller
// allows less.
const onceTimeout = 10 * time.Minute

// keepRedirect leaves a redirect to the caller: following it would send a call
// a second time.
func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func callID(d *wire.Dispatch) claim.ID { return claim.ID{Account: d.Account, Key: d.Key} }

// runTimeout is how long the upstream may have a call: until the caller's
// deadline, but a non-idempotent one has time to end after its caller gave up.
func runTimeout(d *wire.Dispatch) time.Duration {
	timeout := time.Duration(d.TimeoutMS) * time.Millisecond
	if d.NonIdempotent {
		return max(timeout, onceTimeout)
	}
	return timeout
}

// beginOnce takes a non-idempotent call; an error means that it must not run.
func (r *run) beginOnce(calls *claim.Ledger) error {
	if !r.dispatch.NonIdempotent {
		return nil
	}
	r.calls = calls
	return calls.Begin(callID(r.dispatch), claim.Ticket(r.dispatch.Ticket))
}

// withdrawOnce gives up a call that was not run. The caller holds mu.
func (r *run) withdrawOnce() {
	if r.calls != nil {
		r.calls.Withdraw(callID(r.dispatch), r.dispatch.Ticket.Generation)
	}
}

// endOnce keeps the answer of a non-idempotent call. The caller holds mu.
func (r *run) endOnce(o outcome.Outcome, err error) {
	if r.calls == nil {
		return
	}
	r.kept.Outcome = o
	if err != nil {
		r.kept.Message = fault.As(err).Message
	}
	r.calls.End(callID(r.dispatch), r.dispatch.Ticket.Generation, r.kept)
}

// goesOn says whether the run is a non-idempotent call that the upstream has.
func (r *run) goesOn() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls != nil && r.phase == running
}

// keepHead remembers the status of a non-idempotent call's answer. The caller
// holds mu.
func (r *run) keepHead(status int, contentType string) {
	r.kept.Status, r.kept.ContentType = status, contentType
}

// keepChunk remembers a part of a non-idempotent call's answer. The caller
// holds mu.
func (r *run) keepChunk(data []byte) {
	switch {
	case r.calls == nil || r.kept.BodyDropped:
	case len(r.kept.Body)+len(data) > claim.MaxAnswerBody:
		r.kept.Body, r.kept.BodyDropped = nil, true
	default:
		r.kept.Body = append(r.kept.Body, data...)
	}
}

// queryCall tells an entry what is known of a non-idempotent call.
func (a *Agent) queryCall(c *wire.Conn, m *wire.CallQuery) {
	send := func(s claim.Status) {
		_ = c.Send(&wire.CallStatus{Nonce: m.Nonce, State: string(s.State), Answer: wire.CallAnswer(s.Answer)})
	}
	wait := send
	if !m.Wait {
		wait = nil
	}
	a.count("calls.queried")
	send(a.calls.Query(claim.ID{Account: m.Account, Key: m.Key}, claim.Ticket(m.Ticket), m.Fence, wait))
}
