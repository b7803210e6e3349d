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

// tenure is one leadership: the lease, renewed beside the leader's work, and
// the fences that come with it.
type tenure struct {
	a      *Agent
	group  string
	holder *lease.Holder
	fence  int64

	mu     sync.Mutex // leaf
	orders int64
	held   bool
	// over says that the lease, or the leadership, is known to be another's.
	over bool
}

const (
	// fenceBits are the bits of a fence that count the orders of one tenure. With
	// the lease's number above them it stays exact in a double.
	fenceBits = 20
	// fencesKept is the part of a tenure's fences after which it ends, so that
	// the switch under way finds enough.
	fencesKept = 1 << (fenceBits - 1)
)

// renewals is how often a lease is looked at in its term.
const renewals = 6

// take takes the lease of a group that has no leader.
func (a *Agent) take(ctx context.Context, group string) (*tenure, error) {
	h := &lease.Holder{KV: a.KV, Clock: a.Clock, Key: fleet.LeaderKey(group), Process: a.Self.Name, TTL: a.LeaderLeaseTTL, RetainOnOutage: true}
	if err := h.Refresh(ctx); err != nil {
		return nil, err
	}
	return &tenure{a: a, group: group, holder: h, fence: h.Fence(), held: true}, nil
}

// endEarlier removes the lease that an earlier life of this process holds: it
// leads no more.
func (a *Agent) endEarlier(ctx context.Context, group string) error {
	item, err := a.KV.Get(ctx, fleet.LeaderKey(group))
	if err != nil || string(item.Value) != a.Self.Name {
		return err
	}
	a.Log.Info("ending the leadership of this process's earlier life", zap.String("group", group), zap.Int64("fence", item.CreateRevision))
	_, err = a.KV.Delete(ctx, item.Key, item.ModRevision)
	return err
}

// keep renews the lease until ctx is done or it is gone.
func (t *tenure) keep(ctx context.Context) {
	for !t.isOver() {
		t.a.sleep(ctx, t.a.LeaderLeaseTTL/renewals)
		if ctx.Err() != nil {
			return
		}
		err := t.holder.Refresh(ctx)
		t.mu.Lock()
		before := t.held
		t.held = t.holder.Held()
		t.over = t.over || t.holder.Fence() != t.fence
		now := t.held
		t.mu.Unlock()
		if before != now {
			t.a.Log.Info("leader's lease changed", zap.String("group", t.group), zap.Bool("held", now), zap.Int64("fence", t.fence), zap.Error(err))
		}
	}
}

// isOver says whether another leads, or may.
func (t *tenure) isOver() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.over
}

// deposed notes that an engine has seen a newer leader's order.
func (t *tenure) deposed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.over = true
}

// leads says whether this process may begin something. Without a lease that can
// be relied on, it may while nothing shows another leader: nobody can take the
// lease while the service is away, and engines refuse a deposed leader's orders.
func (t *tenure) leads() bool {
	t.mu.Lock()
	held, over := t.held, t.over
	t.mu.Unlock()
	if over {
		return false
	}
	if held {
		return true
	}
	other := t.a.View.Leader(t.group)
	return other == "" || other == t.a.Self.Name
}

// spent says whether the fences of this tenure run out: the leader has to take
// the lease anew, under a higher number, before it begins another switch.
func (t *tenure) spent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.orders > fencesKept
}

// next returns the fence of the next order.
func (t *tenure) next() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.orders += ranks.MaxSends
	return t.fence<<fenceBits + t.orders
}

// release ends the lease.
func (t *tenure) release(ctx context.Context) { t.holder.Release(ctx) }

// vacant says whether a group has no leader but this process's earlier life.
func (a *Agent) vacant(ctx context.Context, group string) bool {
	leader := a.View.Leader(group)
	if leader != a.Self.Name {
		return leader == ""
	}
	if err := a.endEarlier(ctx, group); err != nil && fault.KindOf(err) != fault.NotFound {
		a.Log.Info("earlier leadership not ended", zap.String("group", group), zap.Error(err))
		return false
	}
	return true
}

// sleep waits, or until ctx is done.
func (a *Agent) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-a.Clock.After(d):
	}
}
