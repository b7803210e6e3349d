package rankagent

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/fleet"
	"github.com/kingcupreel/kingcupreel/internal/kvstore"
	"github.com/kingcupreel/kingcupreel/internal/lease"
	"github.com/kingcupreel/kingcupreel/internal/ranks"
)

// leadership is one period in which this process leads a group: the lease, which is
// renewed concurrently with the leader's work, and the fences of its orders. It is safe
// for concurrent use.
type leadership struct {
	a     *Agent
	group string
	// holderMu guards holder. It is acquired before mu.
	holderMu sync.Mutex
	holder   *lease.Holder
	// position is the position of the lease.
	position kvstore.Position

	mu sync.Mutex // leaf
	// term is the high bits of the orders' fences, which order the leaderships of the
	// group. fencesUsed counts the fences of the orders so far.
	term, fencesUsed int64
	// held is set while the lease can be relied on.
	held bool
	// ended is set once the lease is known to be lost or an engine has fenced an
	// order.
	ended bool
}

const (
	// orderFenceBits is the number of low bits of a fence that count the orders of
	// one leadership. The term is above them; together they stay exact in a float64.
	orderFenceBits = 20
	// eraFenceBit is set in the fences of leaderships in odd eras: leaderships of
	// successive eras may have the same term.
	eraFenceBit = 1 << (orderFenceBits - 1)
	// maxFencesUsed is the number of used fences after which a leadership ends. The
	// remaining half is enough for the switch in progress.
	maxFencesUsed = eraFenceBit / 2
)

// refreshesPerTTL is how often a lease is refreshed within its TTL.
const refreshesPerTTL = 6

// acquireLease acquires the leader lease of a group that has no leader.
func (a *Agent) acquireLease(ctx context.Context, group string) (*leadership, error) {
	h := &lease.Holder{KV: a.KV, Clock: a.Clock, Key: fleet.LeaderKey(group), Process: a.Self.Name, TTL: a.LeaderLeaseTTL, RetainOnOutage: true}
	if err := h.Refresh(ctx); err != nil {
		return nil, err
	}
	position := h.Position()
	return &leadership{a: a, group: group, holder: h, position: position, term: position.Revision, held: true}, nil
}

// raiseTerm makes the orders' fences higher than highest, the highest one that the ranks
// have seen so far. It is called before the first order. Within an era the term, which is
// a revision of the key-value service, is higher already. In a new era revisions are given
// out again. A renewal after the ranks were read shows that no other process can have been
// elected since: without one, this process might overtake its own successor.
func (l *leadership) raiseTerm(ctx context.Context, highest int64) error {
	if highest < l.firstFence() {
		return nil
	}
	l.holderMu.Lock()
	err := l.holder.Renew(ctx)
	l.holderMu.Unlock()
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.term
	l.term = highest>>orderFenceBits + 1
	l.a.Log.Info("term raised above the fences that the ranks have seen", zap.String("group", l.group), zap.Int64("before", before), zap.Int64("term", l.term),
		zap.Int64("highest_fence", highest), zap.Int64("era", l.position.Era))
	return nil
}

// confirm reports whether the key-value service still has the lease.
func (l *leadership) confirm(ctx context.Context) bool {
	l.holderMu.Lock()
	err := l.holder.Renew(ctx)
	l.holderMu.Unlock()
	l.a.Log.Info("a rank has fenced an order", zap.String("group", l.group), zap.Bool("still_leader", err == nil && !l.hasEnded()), zap.Error(err))
	return err == nil && !l.hasEnded()
}

// firstFence returns the first fence of this leadership.
func (l *leadership) firstFence() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fenceAt(0)
}

// fenceAt returns the fence after used fences. The caller holds mu.
func (l *leadership) fenceAt(used int64) int64 {
	return l.term<<orderFenceBits | l.position.Era%2*eraFenceBit | used
}

// deleteStaleLease deletes the lease if an earlier incarnation of this process holds it.
func (a *Agent) deleteStaleLease(ctx context.Context, group string) error {
	item, err := a.KV.Get(ctx, fleet.LeaderKey(group))
	if err != nil || string(item.Value) != a.Self.Name {
		return err
	}
	a.Log.Info("deleting the leader lease of an earlier incarnation of this process", zap.String("group", group), zap.Int64("fence", item.CreateRevision))
	_, err = a.KV.Delete(ctx, item.Key, item.ModRevision)
	return err
}

// renewLease renews the lease until ctx is done or the leadership has ended.
func (l *leadership) renewLease(ctx context.Context) {
	for !l.hasEnded() {
		l.a.sleep(ctx, l.a.LeaderLeaseTTL/refreshesPerTTL)
		if ctx.Err() != nil {
			return
		}
		before, now, err := l.refresh(ctx)
		if before != now {
			l.a.Log.Info("leader's lease changed", zap.String("group", l.group), zap.Bool("held", now), zap.Int64("revision", l.position.Revision), zap.Int64("era", l.position.Era), zap.Error(err))
		}
	}
}

// refresh renews the lease if it is due and returns whether it was held before and is
// held now.
func (l *leadership) refresh(ctx context.Context) (before, now bool, err error) {
	l.holderMu.Lock()
	defer l.holderMu.Unlock()
	err = l.holder.Refresh(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	before = l.held
	l.held = l.holder.Held()
	l.ended = l.ended || l.holder.Position() != l.position
	return before, l.held, err
}

// hasEnded reports whether the leadership is known to be lost.
func (l *leadership) hasEnded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ended
}

// markSuperseded ends the leadership after an engine has seen a newer leader's order.
func (l *leadership) markSuperseded() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
}

// isLeader reports whether this process may start an action as leader. If the lease can't
// be relied on, the process still may unless the view shows another leader: no process
// can acquire the lease while the key-value service is unreachable, and engines refuse
// the orders of a superseded leader. A lease of an earlier era is gone.
func (l *leadership) isLeader() bool {
	l.mu.Lock()
	held, ended := l.held, l.ended
	l.mu.Unlock()
	if ended || !l.a.KV.Eras().Has(l.position.Era) {
		return false
	}
	if held {
		return true
	}
	other := l.a.View.Leader(l.group)
	return other == "" || other == l.a.Self.Name
}

// fencesExhausted reports whether too few fences are left for another switch. The leader
// has to acquire the lease again, with a higher fencing number, before it starts one.
func (l *leadership) fencesExhausted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fencesUsed > maxFencesUsed
}

// next returns the fence of the next order.
func (l *leadership) next() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fencesUsed += ranks.MaxSends
	return l.fenceAt(l.fencesUsed)
}

// release gives up the lease.
func (l *leadership) release(ctx context.Context) {
	l.holderMu.Lock()
	defer l.holderMu.Unlock()
	l.holder.Release(ctx)
}

// hasNoLeader reports whether a group has no leader. It deletes a lease that an earlier
// incarnation of this process still holds.
func (a *Agent) hasNoLeader(ctx context.Context, group string) bool {
	leader := a.View.Leader(group)
	if leader != a.Self.Name {
		return leader == ""
	}
	if err := a.deleteStaleLease(ctx, group); err != nil && fault.KindOf(err) != fault.NotFound {
		a.Log.Info("failed to delete the leader lease of an earlier incarnation of this process", zap.String("group", group), zap.Error(err))
		return false
	}
	return true
}

// sleep waits for d or until ctx is done.
func (a *Agent) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-a.Clock.After(d):
	}
}
