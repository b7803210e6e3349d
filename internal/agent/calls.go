package agent

import (
	"net/http"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/claim"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// minCallTimeout is the least timeout of a non-idempotent call at its upstream,
// also when its caller's deadline is earlier.
const minCallTimeout = 10 * time.Minute

// returnRedirect makes the HTTP client return a redirect instead of following it,
// which would send a call a second time.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func callID(d *wire.Dispatch) claim.ID { return claim.ID{Account: d.Account, Key: d.Key} }

// runTimeout returns the time that the upstream gets for a call: until the
// caller's deadline, or minCallTimeout if that is longer and the call is
// non-idempotent, so that it can complete after its caller has given up.
func runTimeout(d *wire.Dispatch) time.Duration {
	timeout := time.Duration(d.TimeoutMS) * time.Millisecond
	if d.NonIdempotent {
		return max(timeout, minCallTimeout)
	}
	return timeout
}

// beginCall records a non-idempotent call in the ledger. An error means that it
// must not run.
func (r *run) beginCall(ledger *claim.Ledger) error {
	if !r.dispatch.NonIdempotent {
		return nil
	}
	r.ledger = ledger
	return ledger.Begin(callID(r.dispatch), claim.Ticket(r.dispatch.Ticket))
}

// withdrawCall records in the ledger that a non-idempotent call was not run. The
// caller holds mu.
func (r *run) withdrawCall() {
	if r.ledger != nil {
		r.ledger.Withdraw(callID(r.dispatch), r.dispatch.Ticket.Generation)
	}
}

// endCall stores the answer of a non-idempotent call in the ledger. The caller
// holds mu.
func (r *run) endCall(o outcome.Outcome, err error) {
	if r.ledger == nil {
		return
	}
	r.answer.Outcome = o
	if err != nil {
		r.answer.Message = fault.As(err).Message
	}
	r.ledger.End(callID(r.dispatch), r.dispatch.Ticket.Generation, r.answer)
}

// mustFinish reports whether the run is a non-idempotent call that the upstream
// is executing, so that it must not be cancelled.
func (r *run) mustFinish() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger != nil && r.phase == running
}

// recordHead stores the status and the content type of a non-idempotent call's
// answer. The caller holds mu.
func (r *run) recordHead(status int, contentType string) {
	r.answer.Status, r.answer.ContentType = status, contentType
}

// recordChunk appends a part of a non-idempotent call's answer. A body over
// claim.MaxAnswerBody is dropped whole. The caller holds mu.
func (r *run) recordChunk(data []byte) {
	switch {
	case r.ledger == nil || r.answer.BodyDropped:
	case len(r.answer.Body)+len(data) > claim.MaxAnswerBody:
		r.answer.Body, r.answer.BodyDropped = nil, true
	default:
		r.answer.Body = append(r.answer.Body, data...)
	}
}

// queryCall answers an entry's CallQuery from the ledger. If the entry asks to
// wait and the call is running, a second answer follows when it ends.
func (a *Agent) queryCall(c *wire.Conn, m *wire.CallQuery) {
	send := func(s claim.Status) {
		_ = c.Send(&wire.CallStatus{Nonce: m.Nonce, State: string(s.State), Answer: wire.CallAnswer(s.Answer)})
	}
	wait := send
	if !m.Wait {
		wait = nil
	}
	a.count("calls.queried")
	send(a.ledger.Query(claim.ID{Account: m.Account, Key: m.Key}, claim.Ticket(m.Ticket), m.Fence, wait))
}
