package rankagent

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/fleet"
	"github.com/kingcupreel/kingcupreel/internal/lease"
	"github.com/kingcupreel/kingcupreel/internal/ranks"
)

// leadership is one period in which this process leads a group: the lease, which is
// renewed concurrently with the leader's work, and the fences of its orders. It is safe
// for concurrent use.
type leadership struct {
	a      *Agent
	group  string
	holder *lease.Holder
	// fence is the lease's fencing number, the high bits of the orders' fences.
	fence int64

	mu sync.Mutex // leaf
	// fencesUsed counts the fences of the orders so far.
	fencesUsed int64
	// held is set while the lease can be relied on.
	held bool
	// ended is set once the lease is known to be lost or an engine has fenced an
	// order.
	ended bool
}

const (
	// orderFenceBits is the number of low bits of a fence that count the orders of
	// one leadership. The lease's fencing number is above them; together they stay
	// exact in a float64.
	orderFenceBits = 20
	// maxFencesUsed is the number of used fences after which a leadership ends. The
	// remaining half is enough for the switch in progress.
	maxFencesUsed = 1 << (orderFenceBits - 1)
)

// refreshesPerTTL is how often a lease is refreshed within its TTL.
const refreshesPerTTL = 6

// acquireLease acquires the leader lease of a group that has no leader.
func (a *Agent) acquireLease(ctx context.Context, group string) (*leadership, error) {
	h := &lease.Holder{KV: a.KV, Clock: a.Clock, Key: fleet.LeaderKey(group), Process: a.Self.Name, TTL: a.LeaderLeaseTTL, RetainOnOutage: true}
	if err := h.Refresh(ctx); err != nil {
		return nil, err
	}
	return &leadership{a: a, group: group, holder: h, fence: h.Fence(), held: true}, nil
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
		err := l.holder.Refresh(ctx)
		l.mu.Lock()
		before := l.held
		l.held = l.holder.Held()
		l.ended = l.ended || l.holder.Fence() != l.fence
		now := l.held
		l.mu.Unlock()
		if before != now {
			l.a.Log.Info("leader's lease changed", zap.String("group", l.group), zap.Bool("held", now), zap.Int64("fence", l.fence), zap.Error(err))
		}
	}
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
// the orders of a superseded leader.
func (l *leadership) isLeader() bool {
	l.mu.Lock()
	held, ended := l.held, l.ended
	l.mu.Unlock()
	if ended {
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
	return l.fence<<orderFenceBits + l.fencesUsed
}

// release gives up the lease.
func (l *leadership) release(ctx context.Context) { l.holder.Release(ctx) }

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
