package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

const (
	// reattachTimeout bounds the wait for a lost connection to be restored
	// before an idempotent request is retried on another upstream. A
	// non-idempotent request can't be retried elsewhere and waits for
	// nonIdempotentReattachTimeout.
	reattachTimeout              = 2 * time.Second
	nonIdempotentReattachTimeout = 10 * time.Second
	// maxReattaches bounds the Attach messages of one attempt.
	maxReattaches = 8
	// withdrawLead is how long before the caller's deadline the agent is asked
	// to withdraw an attempt that the upstream has not received yet. It is at
	// most the remaining time divided by withdrawLeadDivisor.
	withdrawLead        = 250 * time.Millisecond
	withdrawLeadDivisor = 10
)

// sender sends messages to an agent; *link implements it.
type sender interface {
	send(m wire.Message) error
	// cancel cancels an attempt, also if the agent isn't connected at present.
	cancel(id wire.AttemptID)
}

// attempt relays one attempt of an exchange. Only the request's goroutine uses
// it.
type attempt struct {
	x       *exchange
	link    sender
	id      wire.AttemptID
	inbox   *mailbox
	reorder *reorderBuffer

	headReceived bool
	// reachedUpstream is set once the upstream is known to have received the
	// attempt.
	reachedUpstream bool
	// attachPending is set from sending an Attach until the next message of the
	// answer.
	attachPending bool
	reattachCount int
	// reattachTimer fires when a lost connection was not restored, or an Attach
	// not answered, in time.
	reattachTimer *time.Timer
}

// run relays messages until the attempt ends or ctx is done.
func (a *attempt) run(ctx context.Context) result {
	a.reattachTimer = time.NewTimer(0)
	a.reattachTimer.Stop()
	defer a.reattachTimer.Stop()
	withdraw := time.NewTimer(withdrawDelay(ctx))
	defer withdraw.Stop()
	for {
		select {
		case <-ctx.Done():
			return a.abort(endError(ctx))
		case <-withdraw.C:
			_ = a.link.send(&wire.Cancel{ID: a.id, OnlyIfWaiting: true})
			continue
		case <-a.reattachTimer.C:
			return a.abort(fault.New(fault.Unavailable, "check whether the call took effect", "the connection to the upstream was lost"))
		case <-a.inbox.notify:
		}
		if res, ended := a.handlePending(); ended {
			return res
		}
	}
}

// withdrawDelay returns the time until the agent is asked to withdraw the
// attempt: an hour if ctx has no deadline.
func withdrawDelay(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return time.Hour
	}
	remaining := time.Until(deadline)
	return remaining - min(withdrawLead, remaining/withdrawLeadDivisor)
}

// handlePending handles the queued messages; true means that the attempt has
// ended.
func (a *attempt) handlePending() (result, bool) {
	messages, overflow := a.inbox.removeAll()
	for _, m := range messages {
		if res, ended := a.handle(m); ended {
			return res, true
		}
	}
	if overflow {
		return a.abort(fault.New(fault.Overloaded, "read the answer faster", "the caller reads the answer too slowly").After(unavailableRetryAfter)), true
	}
	return result{}, false
}

// handle handles one message of the attempt; true means that the attempt has
// ended. An attempt whose answer has begun has run, whatever the agent says later.
func (a *attempt) handle(m wire.Message) (result, bool) {
	res, ended := a.handleMessage(m)
	if ended && res.outcome == outcome.NotRun && a.headReceived {
		a.x.entry.count("attempts.contradicted")
		return a.abort(fault.New(fault.Crashed, "check whether the request took effect", "the agent reports as not run an attempt whose answer has begun")), true
	}
	return res, ended
}

func (a *attempt) handleMessage(m wire.Message) (result, bool) {
	switch m := m.(type) {
	case *linkLost:
		a.reattachTimer.Reset(a.reattachTimeout())
		return result{}, false
	case *linkRefused:
		return a.handleLinkRefused()
	case *linkRestored:
		return a.handleLinkRestored(m)
	case *wire.Verdict:
		return a.handleVerdict(m)
	}
	a.attachPending = false
	a.reattachTimer.Stop()
	switch m := m.(type) {
	case *wire.Refused:
		err := fault.New(m.Reason, "send the request again", "%s", m.Message).After(time.Duration(m.RetryAfterMS) * time.Millisecond)
		return result{outcome.NotRun, err}, true
	case *wire.Head:
		return a.setHead(m)
	case *wire.Chunk:
		return a.addChunk(m)
	case *wire.Done:
		return a.handleDone(m)
	}
	return result{}, false
}

// setHead records the answer's status and ignores a repeated Head. A stream whose header
// is written is continued only by the rest of that stream.
func (a *attempt) setHead(m *wire.Head) (result, bool) {
	a.reachedUpstream = true
	if a.headReceived {
		return result{}, false
	}
	if m.Status < http.StatusOK || !a.x.answer.accepts(m.Status, m.ContentType) {
		return a.abort(fault.New(fault.Crashed, "send the request again", "the upstream answered with status %d and content type %.64q", m.Status, m.ContentType)), true
	}
	a.headReceived = true
	a.x.answer.setHead(m.Status, m.ContentType)
	return result{}, false
}

// addChunk adds the chunks that are next in order to the answer. It reattaches if
// the head is missing, or if earlier chunks are missing and too many are pending.
func (a *attempt) addChunk(m *wire.Chunk) (result, bool) {
	if !a.headReceived {
		return a.reattach()
	}
	ready, arrived := a.reorder.add(m.Seq, m.Data)
	switch arrived {
	case duplicate:
		a.x.entry.count("frames.duplicate")
	case outOfOrder:
		a.x.entry.count("frames.early")
	case windowFull:
		return a.reattach()
	}
	for _, data := range ready {
		if err := a.x.answer.addChunk(data); err != nil {
			if errors.Is(err, errAnswerMemory) {
				a.x.entry.count("answers.no_memory")
			}
			return a.abort(err), true
		}
	}
	return result{}, false
}

// handleDone ends the attempt, or reattaches if parts of a completed answer are
// missing.
func (a *attempt) handleDone(m *wire.Done) (result, bool) {
	if m.Outcome == outcome.Completed && (!a.headReceived || a.reorder.lastDelivered != m.Chunks) {
		return a.reattach()
	}
	_ = a.link.send(&wire.Release{ID: a.id})
	if m.Outcome != outcome.Completed {
		return result{m.Outcome, fault.New(m.Reason, "send the request again", "%s", m.Message)}, true
	}
	return result{outcome: outcome.Completed}, true
}

// handleVerdict handles the state of the attempt that the agent reports, in
// answer to a withdrawal or to an Attach that it can't serve.
func (a *attempt) handleVerdict(m *wire.Verdict) (result, bool) {
	switch m.State {
	case wire.NeverSeen:
		return result{outcome.NotRun, fault.New(fault.Unavailable, "send the request again", "the request did not reach the upstream").After(unavailableRetryAfter)}, true
	case wire.NeverRun:
		if a.attachPending {
			return result{outcome.NotRun, fault.New(fault.Unavailable, "send the request again", "the upstream refused the request").After(unavailableRetryAfter)}, true
		}
		return result{outcome.NotRun, fault.New(fault.Timeout, "allow more time with Request-Timeout", "the request was withdrawn before it ran")}, true
	case wire.Running, wire.Ended:
		a.reachedUpstream = true
	case wire.Forgotten:
	}
	if !a.attachPending {
		return result{}, false
	}
	return a.abort(fault.New(fault.Unavailable, "send the request again", "the upstream's agent no longer has the whole answer")), true
}

func (a *attempt) reattachTimeout() time.Duration {
	if a.x.req.dispatch.NonIdempotent {
		return nonIdempotentReattachTimeout
	}
	return reattachTimeout
}

// handleLinkRefused handles a refused dial. The agent's process is gone or
// about to exit, so an idempotent request does not wait for it.
func (a *attempt) handleLinkRefused() (result, bool) {
	if a.x.req.dispatch.NonIdempotent {
		return result{}, false
	}
	return a.abort(fault.New(fault.Unavailable, "send the request again", "the upstream's agent refuses connections")), true
}

// handleLinkRestored handles a new connection to the agent's address. It
// reattaches unless another incarnation of the agent answers.
func (a *attempt) handleLinkRestored(m *linkRestored) (result, bool) {
	if m.incarnation != a.id.Incarnation {
		return a.abort(fault.New(fault.Unavailable, "check whether the call took effect", "the upstream's agent was restarted")), true
	}
	return a.reattach()
}

// reattach asks the agent to send the answer again from the chunk after the
// last one delivered.
func (a *attempt) reattach() (result, bool) {
	a.reattachCount++
	if a.reattachCount > maxReattaches {
		return a.abort(fault.New(fault.Unavailable, "send the request again", "the answer was interrupted too often")), true
	}
	a.x.entry.count("attempts.reattached")
	a.attachPending = true
	a.reattachTimer.Reset(a.reattachTimeout())
	_ = a.link.send(&wire.Attach{ID: a.id, AfterSeq: a.reorder.lastDelivered})
	return result{}, false
}

// abort cancels the attempt at the agent and returns its outcome without
// waiting for a reply: Failed for an idempotent request that has reached the
// upstream, else Unknown.
func (a *attempt) abort(cause error) result {
	a.link.cancel(a.id)
	if a.reachedUpstream && !a.x.req.dispatch.NonIdempotent {
		return result{outcome.Failed, cause}
	}
	return result{outcome.Unknown, cause}
}
