// Package lease holds one key of the key-value service under a lease. The
// revision at which the key was created is the holder's fencing number: it
// rises from holder to holder and goes with every order.
//
// A holder that was paused may believe that it still holds the lease: Held
// looks at the monotonic clock just before an order, which makes stale orders
// rare. That none takes effect is the work of those who check the number.
package lease

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/kvstore"
)

// safetyMarginDivisor is the part of the term, counted back from its end, in which the
// holder no longer acts.
const safetyMarginDivisor = 4

// renewDivisor is the part of the term after which the lease is renewed.
const renewDivisor = 3

// Holder stands for one key. It is not safe for concurrent use.
type Holder struct {
	KV    kvstore.KV
	Clock clockwork.Clock
	// Key is the key to hold, Process the name written into it.
	Key, Process string
	// TTL is how long the lease lasts without renewal.
	TTL time.Duration
	// RetainOnOutage keeps an unrenewed lease, though it isn't held, until the
	// service says that it is gone: while the service is away nobody else can
	// have taken it.
	RetainOnOutage bool

	leaseID, fence int64
	expiresAt      time.Time
}

// Held says whether the lease can still be relied on.
func (h *Holder) Held() bool {
	return h.fence != 0 && h.Clock.Now().Before(h.expiresAt.Add(-h.TTL/safetyMarginDivisor))
}

// Fence returns the fencing number, 0 when no lease was taken.
func (h *Holder) Fence() int64 { return h.fence }

// Refresh takes the lease, or renews it when a third of its term has passed. It returns an error when
// another process holds it or the service does not answer.
func (h *Holder) Refresh(ctx context.Context) error {
	if h.fence == 0 {
		return h.acquire(ctx)
	}
	start := h.Clock.Now()
	if start.Before(h.expiresAt.Add(-h.TTL * (renewDivisor - 1) / renewDivisor)) {
		return nil
	}
	err := h.KV.KeepAlive(ctx, h.leaseID)
	switch {
	case err == nil:
		h.expiresAt = start.Add(h.TTL)
	case fault.KindOf(err) == fault.NotFound, !h.Held() && !h.RetainOnOutage:
		h.reset()
	}
	return err
}

func (h *Holder) reset() { h.leaseID, h.fence = 0, 0 }

// acquire creates the key, if nobody has it. When the answer is lost, the key is read back: the
// lease in it tells whose it is.
func (h *Holder) acquire(ctx context.Context) error {
	if process, _, err := ReadHolder(ctx, h.KV, h.Key); err != nil || process != "" {
		if err == nil {
			err = fault.New(fault.Conflict, "wait until its lease has lapsed", "%s holds %s", process, h.Key)
		}
		return err
	}
	start := h.Clock.Now()
	id, err := h.KV.Grant(ctx, h.TTL)
	if err != nil {
		return err
	}
	rev, err := h.KV.Put(ctx, kvstore.Put{Key: h.Key, Value: []byte(h.Process), Expect: kvstore.MustNotExist, Lease: id})
	if err != nil {
		if rev, err = h.confirmPut(ctx, id, err); err != nil {
			_ = h.KV.Revoke(ctx, id)
			return err
		}
	}
	h.leaseID, h.fence = id, rev
	h.expiresAt = start.Add(h.TTL)
	return nil
}

func (h *Holder) confirmPut(ctx context.Context, id int64, putErr error) (int64, error) {
	if fault.KindOf(putErr) == fault.Conflict {
		return 0, putErr
	}
	item, err := h.KV.Get(ctx, h.Key)
	if err != nil || item.Lease != id {
		return 0, putErr
	}
	return item.CreateRevision, nil
}

// Release ends the lease.
func (h *Holder) Release(ctx context.Context) {
	if h.leaseID != 0 {
		_ = h.KV.Revoke(ctx, h.leaseID)
	}
	h.reset()
}

// ReadHolder returns who holds a key and the fencing number. Without a holder the
// number is the service's revision: a later holder's is higher.
func ReadHolder(ctx context.Context, kv kvstore.KV, key string) (process string, fence int64, err error) {
	list, err := kv.List(ctx, key)
	if err != nil {
		return "", 0, err
	}
	for _, item := range list.Items {
		if item.Key == key {
			return string(item.Value), item.CreateRevision, nil
		}
	}
	return "", list.Revision, nil
}
