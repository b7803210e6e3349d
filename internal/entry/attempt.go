package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

const (
	// reattachTimeout bounds the wait for a lost connection to come back before
	// an idempotent request goes on elsewhere; a non-idempotent one, which
	// can't, waits for onceReattachTimeout.
	reattachTimeout     = 2 * time.Second
	onceReattachTimeout = 10 * time.Second
	// maxReattach bounds the repetitions that one attempt asks for.
	maxReattach = 8
	// withdrawLead is how long before the caller's deadline the agent is asked
	// to withdraw an attempt that the upstream doesn't have yet; at most a
	// withdrawShare of the time allowed.
	withdrawLead  = 250 * time.Millisecond
	withdrawShare = 10
)

// sender passes messages to an agent; *link is one.
type sender interface {
	send(m wire.Message) error
}

// attempt relays one attempt of an exchange. It belongs to the request's
// goroutine.
type attempt struct {
	x    *exchange
	link sender
	id   wire.AttemptID
	box  *mailbox
	seq  *sequence

	headed bool
	// ran says that the upstream has had the attempt.
	ran bool
	// attaching says that an Attach has been sent and nothing has come since.
	attaching  bool
	reattached int
	// lost fires when a lost connection has not come back in time.
	lost *time.Timer
}

// run relays messages until the attempt ends or ctx is done.
func (a *attempt) run(ctx context.Context) result {
	a.lost = time.NewTimer(0)
	a.lost.Stop()
	defer a.lost.Stop()
	withdraw := time.NewTimer(withdrawIn(ctx))
	defer withdraw.Stop()
	for {
		select {
		case <-ctx.Done():
			return a.giveUp(fault.Wrap(fault.Timeout, ctx.Err(), "allow more time with Request-Timeout", "the request was given up"))
		case <-withdraw.C:
			_ = a.link.send(&wire.Cancel{ID: a.id, Waiting: true})
			continue
		case <-a.lost.C:
			return a.giveUp(fault.New(fault.Unavailable, "check whether the call took effect", "the connection to the upstream was lost"))
		case <-a.box.notify:
		}
		if res, ended := a.drain(); ended {
			return res
		}
	}
}

// withdrawIn returns the time until the agent is asked to withdraw.
func withdrawIn(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return time.Hour
	}
	left := time.Until(deadline)
	return left - min(withdrawLead, left/withdrawShare)
}

// drain handles the waiting messages; true means that the attempt has ended.
func (a *attempt) drain() (result, bool) {
	messages, overflow := a.box.take()
	for _, m := range messages {
		if res, ended := a.receive(m); ended {
			return res, true
		}
	}
	if overflow {
		return a.giveUp(fault.New(fault.Overloaded, "read the answer faster", "the caller reads too slowly").After(unavailableRetry)), true
	}
	return result{}, false
}

// receive handles one message of the attempt; true means that it has ended.
func (a *attempt) receive(m wire.Message) (result, bool) {
	switch m := m.(type) {
	case *linkLost:
		a.lost.Reset(a.reattachTimeout())
		return result{}, false
	case *linkDown:
		return a.down()
	case *linkBack:
		return a.back(m)
	case *wire.Verdict:
		return a.verdict(m)
	}
	a.attaching = false
	a.lost.Stop()
	switch m := m.(type) {
	case *wire.Refused:
		err := fault.New(m.Reason, "send the request again", "%s", m.Message).After(time.Duration(m.RetryAfterMS) * time.Millisecond)
		return result{outcome.NotRun, err}, true
	case *wire.Head:
		return a.head(m)
	case *wire.Chunk:
		return a.chunk(m)
	case *wire.Done:
		return a.done(m)
	}
	return result{}, false
}

// head takes the answer's status; a repeated one is ignored. A stream that has
// begun can go on only with a stream.
func (a *attempt) head(m *wire.Head) (result, bool) {
	a.ran = true
	if a.headed {
		return result{}, false
	}
	if m.Status < http.StatusOK || a.x.answer.started && m.Status != http.StatusOK {
		return a.giveUp(fault.New(fault.Crashed, "send the request again", "the upstream answered with status %d", m.Status)), true
	}
	a.headed = true
	a.x.answer.head(m.Status, m.ContentType)
	return result{}, false
}

func (a *attempt) chunk(m *wire.Chunk) (result, bool) {
	if !a.headed {
		return a.reattach()
	}
	ready, arrived := a.seq.add(m.Seq, m.Data)
	switch arrived {
	case duplicate:
		a.x.entry.count("frames.duplicate")
	case early:
		a.x.entry.count("frames.early")
	case tooEarly:
		return a.reattach()
	}
	for _, data := range ready {
		if err := a.x.answer.chunk(data); err != nil {
			return a.giveUp(err), true
		}
	}
	return result{}, false
}

func (a *attempt) done(m *wire.Done) (result, bool) {
	if m.Outcome == outcome.Completed && (!a.headed || a.seq.last != m.Chunks) {
		return a.reattach()
	}
	_ = a.link.send(&wire.Release{ID: a.id})
	if m.Outcome != outcome.Completed {
		return result{m.Outcome, fault.New(m.Reason, "send the request again", "%s", m.Message)}, true
	}
	return result{outcome: outcome.Completed}, true
}

// verdict handles the agent's word: on a withdrawal, or on an Attach that it
// can't serve.
func (a *attempt) verdict(m *wire.Verdict) (result, bool) {
	switch m.State {
	case wire.NeverSeen:
		return result{outcome.NotRun, fault.New(fault.Unavailable, "send the request again", "the upstream never had the request").After(unavailableRetry)}, true
	case wire.NeverRun:
		if a.attaching {
			return result{outcome.NotRun, fault.New(fault.Unavailable, "send the request again", "the upstream refused the request").After(unavailableRetry)}, true
		}
		return result{outcome.NotRun, fault.New(fault.Timeout, "allow more time with Request-Timeout", "the request was withdrawn before it ran")}, true
	case wire.Running, wire.Ended:
		a.ran = true
	case wire.Forgotten:
	}
	if !a.attaching {
		return result{}, false
	}
	return a.giveUp(fault.New(fault.Unavailable, "send the request again", "the upstream no longer has the whole answer")), true
}

func (a *attempt) reattachTimeout() time.Duration {
	if a.x.req.dispatch.NonIdempotent {
		return onceReattachTimeout
	}
	return reattachTimeout
}

// down handles a refused dial: the agent's process is gone or going, so that an
// idempotent request needn't wait for it.
func (a *attempt) down() (result, bool) {
	if a.x.req.dispatch.NonIdempotent {
		return result{}, false
	}
	return a.giveUp(fault.New(fault.Unavailable, "send the request again", "the upstream's agent is gone")), true
}

// back handles a new connection to the agent.
func (a *attempt) back(m *linkBack) (result, bool) {
	if m.incarnation != a.id.Incarnation {
		return a.giveUp(fault.New(fault.Unavailable, "check whether the call took effect", "the upstream's agent was restarted")), true
	}
	return a.reattach()
}

// reattach asks the agent to repeat the answer from the last chunk.
func (a *attempt) reattach() (result, bool) {
	a.reattached++
	if a.reattached > maxReattach {
		return a.giveUp(fault.New(fault.Unavailable, "send the request again", "the answer keeps breaking off")), true
	}
	a.x.entry.count("attempts.reattached")
	a.attaching = true
	a.lost.Reset(a.reattachTimeout())
	_ = a.link.send(&wire.Attach{ID: a.id, After: a.seq.last})
	return result{}, false
}

// giveUp stops the attempt and says what is known of it at once.
func (a *attempt) giveUp(cause error) result {
	_ = a.link.send(&wire.Cancel{ID: a.id})
	if a.ran && !a.x.req.dispatch.NonIdempotent {
		return result{outcome.Failed, cause}
	}
	return result{outcome.Unknown, cause}
}
