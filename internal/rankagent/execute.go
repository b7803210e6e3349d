package rankagent

import (
	"context"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/ranks"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

const (
	// localOrderTimeout bounds an order to the engine on the same VM, which answers
	// within milliseconds or not at all.
	localOrderTimeout = 12 * time.Millisecond
	// localPrepareTimeout is the same bound for a Prepare, which isn't urgent. A call that
	// is given up takes its kept connection with it.
	localPrepareTimeout = 48 * time.Millisecond
	// sendingTime bounds all sends of an order, unless it is too short for minSends of
	// them: the leader's call waits for the answer.
	sendingTime = ranks.MaxSends * localOrderTimeout
	minSends    = 4
	// fallbackOrderTimeout bounds an order that is sent directly to an engine on
	// another VM because its agent doesn't answer.
	fallbackOrderTimeout = 150 * time.Millisecond
	// remoteOrderTimeout bounds an order that an agent sends for the leader to a
	// reachable engine on another VM: a few round trips.
	remoteOrderTimeout = 30 * time.Millisecond
)

// send sends an order to an engine, up to ranks.MaxSends times while the verdict is
// Unknown. Each resend has a higher fence, so that the engine refuses the earlier copies if
// they arrive late.
func send(ctx context.Context, e Engine, o ranks.Order, timeout time.Duration) (verdict ranks.Verdict, sends int) {
	for ; sends < ranks.MaxSends && verdict == ranks.Unknown && ctx.Err() == nil; sends++ {
		verdict, _ = e.Order(ctx, o, timeout) // the leader needs only the verdict
		o.Fence++
	}
	return verdict, sends
}

// deliver is send for an engine whose status can be read at once. Every second send uses a
// kept connection if the status can show the order's effect: an engine whose slots are all
// taken may leave new connections waiting for seconds, while it holds its group.
func deliver(ctx context.Context, e Engine, o ranks.Order, timeout time.Duration) (verdict ranks.Verdict, sends int) {
	ctx, cancel := context.WithTimeout(ctx, max(sendingTime, minSends*timeout))
	defer cancel()
	for ; sends < ranks.MaxSends && verdict == ranks.Unknown && ctx.Err() == nil; sends++ {
		if sends%2 == 1 && o.HasVisibleEffect() {
			verdict = sendOnKeptConnection(ctx, e, o)
		} else {
			verdict, _ = e.Order(ctx, o, timeout) // the leader needs only the verdict
		}
		o.Fence++
	}
	return verdict, sends
}

// keptOrderTimeout bounds an order on a kept connection with the reading after it. It is
// several times localOrderTimeout, as a call that is given up takes its connection with it.
const keptOrderTimeout = 60 * time.Millisecond

// sendOnKeptConnection returns Accepted if the engine's status shows the order's effect, and
// Unknown otherwise.
func sendOnKeptConnection(ctx context.Context, e Engine, o ranks.Order) ranks.Verdict {
	ctx, cancel := context.WithTimeout(ctx, keptOrderTimeout)
	defer cancel()
	if err := e.OrderOnKeptConnection(ctx, o, keptOrderTimeout); err != nil {
		return ranks.Unknown
	}
	if st, err := e.Status(ctx); err != nil || !o.IsShownBy(st) {
		return ranks.Unknown
	}
	return ranks.Accepted
}

// settles reports whether the verdict on an order alone tells the leader the rank's state.
func settles(o ranks.Order, v ranks.Verdict) bool { return v == ranks.Accepted && !o.Confirm }

// execute sends an order to an engine and then, unless the verdict settles it, reads the
// engine's status. A Prepare order is held back until the engine begins the order's step
// (see awaitStep).
func execute(ctx context.Context, e Engine, o ranks.Order, timeout time.Duration) *wire.RankState {
	if o.Op == ranks.Prepare {
		awaitStep(ctx, e, o.Step)
	}
	verdict, sends := deliver(ctx, e, o, timeout)
	reply := &wire.RankState{}
	switch {
	case o.Op == ranks.Prepare:
		reply = read(ctx, e, false)
		if verdict == ranks.Accepted {
			reply = awaitCopy(ctx, e, o.Version, reply)
		}
		if sends > 1 && verdict == ranks.Refused && reply.OK && reply.Status.Prepared == o.Version {
			verdict = ranks.Accepted // an earlier send was accepted, but its answer was lost
		}
	case !settles(o, verdict):
		st, err := e.CurrentStatus(ctx)
		reply.Status, reply.OK = st, err == nil
	}
	reply.Verdict = verdict
	return reply
}
