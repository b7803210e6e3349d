package claim

import (
	"context"
	"sync"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/kvstore"
)

// leaseReuseTime is how long new claims are attached to the same lease. When a
// lease expires, the key-value service deletes all its claims at once; this
// time limits the size of that burst.
const leaseReuseTime = 10 * time.Minute

// sharedLease is the lease that new claims are attached to. The key-value
// service deletes a claim when its lease expires, after the retention, so that
// the removal of old claims needs no writes.
type sharedLease struct {
	mu         sync.Mutex
	lease      kvstore.Lease
	reuseUntil time.Time
	// grantDone is closed when the grant in progress finishes. It is nil when
	// no grant is in progress.
	grantDone chan struct{}
}

// current returns the lease for new claims and requests a new one if there is
// none or its reuse time has passed. A lease outlives the last claim attached
// to it by the retention.
func (l *sharedLease) current(ctx context.Context, kv kvstore.KV, now time.Time) (int64, error) {
	for {
		id, grantDone, mustGrant := l.lookup(kv, now)
		switch {
		case id != 0:
			return id, nil
		case mustGrant:
			return l.grant(ctx, kv, now)
		}
		select {
		case <-grantDone:
		case <-ctx.Done():
			return 0, fault.Wrap(fault.Timeout, ctx.Err(), remedyRetry, "waiting for the lease of new claims to be granted")
		}
	}
}

// lookup returns the ID of the current lease. If there is none, it returns the channel
// of the grant in progress, or true for the one caller that must request the
// grant.
func (l *sharedLease) lookup(kv kvstore.KV, now time.Time) (int64, chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lease.ID != 0 && now.Before(l.reuseUntil) && !l.lease.EndedWithEra(kv) {
		return l.lease.ID, nil, false
	}
	if l.grantDone != nil {
		return 0, l.grantDone, false
	}
	l.grantDone = make(chan struct{})
	return 0, nil, true
}

func (l *sharedLease) grant(ctx context.Context, kv kvstore.KV, now time.Time) (int64, error) {
	lease, err := kvstore.Grant(ctx, kv, Retention+leaseReuseTime+MaxSkew)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		l.lease, l.reuseUntil = lease, now.Add(leaseReuseTime)
	}
	close(l.grantDone)
	l.grantDone = nil
	return lease.ID, err
}

// invalidate discards a lease that the key-value service no longer has.
func (l *sharedLease) invalidate(id int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lease.ID == id {
		l.lease = kvstore.Lease{}
	}
}
