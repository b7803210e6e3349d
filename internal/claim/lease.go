package claim

import (
	"context"
	"sync"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/kvstore"
)

// leaseSpan is how long new claims are bound to one lease. The service deletes
// a lease's claims together, so a span bounds that burst.
const leaseSpan = 10 * time.Minute

// leases binds claims to leases that lapse after the retention, so that old
// claims go without a write each.
type leases struct {
	mu    sync.Mutex
	id    int64
	until time.Time
	// granting is closed when the grant under way has ended; nil when none is.
	granting chan struct{}
}

// current returns the lease of the present span, and makes one when there is
// none. The lease outlives the span's last claim by the retention.
func (l *leases) current(ctx context.Context, kv kvstore.KV, now time.Time) (int64, error) {
	for {
		id, granting, mine := l.look(now)
		switch {
		case id != 0:
			return id, nil
		case mine:
			return l.grant(ctx, kv, now)
		}
		select {
		case <-granting:
		case <-ctx.Done():
			return 0, fault.Wrap(fault.Timeout, ctx.Err(), remedySame, "waiting for a lease")
		}
	}
}

// look returns the present lease, or the grant under way, or true for the one
// caller that is to make the grant.
func (l *leases) look(now time.Time) (int64, chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id != 0 && now.Before(l.until) {
		return l.id, nil, false
	}
	if l.granting != nil {
		return 0, l.granting, false
	}
	l.granting = make(chan struct{})
	return 0, nil, true
}

func (l *leases) grant(ctx context.Context, kv kvstore.KV, now time.Time) (int64, error) {
	id, err := kv.Grant(ctx, Retention+leaseSpan+MaxSkew)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		l.id, l.until = id, now.Add(leaseSpan)
	}
	close(l.granting)
	l.granting = nil
	return id, err
}

// drop forgets a lease that the service no longer has.
func (l *leases) drop(id int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id == id {
		l.id = 0
	}
}
