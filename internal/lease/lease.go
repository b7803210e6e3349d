// Package lease holds a key of the key-value service under a lease. The
// position at which the key was created gives the holder's fencing number: it
// increases from holder to holder and is sent with every order.
//
// A holder that was paused may believe that it still holds the lease. Held
// checks the monotonic clock just before an order, which makes stale orders
// rare; the receivers of orders reject the remaining ones by their fencing
// number.
package lease

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/kvstore"
)

// safetyMarginDivisor sets the safety margin: the holder stops acting
// TTL/safetyMarginDivisor before the lease expires.
const safetyMarginDivisor = 4

// renewDivisor sets when the lease is renewed: TTL/renewDivisor after the last
// renewal.
const renewDivisor = 3

// Holder acquires and renews the lease of one key. It is not safe for
// concurrent use.
type Holder struct {
	KV    kvstore.KV
	Clock clockwork.Clock
	// Key is the key to hold. Process is the name of the process, which is written
	// as its value.
	Key, Process string
	// TTL is how long the lease lasts without a renewal.
	TTL time.Duration
	// RetainOnOutage makes the holder keep trying to renew a lease that is no
	// longer Held until the service reports that it is gone or begins a new era.
	// While the service is unreachable no other process can acquire the key.
	RetainOnOutage bool

	lease kvstore.Lease
	// position is where the key was created, zero without a lease.
	position  kvstore.Position
	expiresAt time.Time
}

// Held reports whether the lease is held and has not reached its safety margin. A lease
// ends with the era of the service.
func (h *Holder) Held() bool {
	return h.lease.ID != 0 && !h.lease.EndedWithEra(h.KV) && h.Clock.Now().Before(h.expiresAt.Add(-h.TTL/safetyMarginDivisor))
}

// Position returns the position at which the key was created, zero while the holder has
// no lease.
func (h *Holder) Position() kvstore.Position { return h.position }

// Fence returns the fencing number, 0 while the holder has no lease.
func (h *Holder) Fence() int64 { return h.position.FencingNumber() }

// Refresh acquires the lease, or renews it when a third of its TTL has passed
// since the last renewal. It returns an error if another process holds the key
// or the service does not answer.
func (h *Holder) Refresh(ctx context.Context) error {
	if h.lease.ID == 0 {
		return h.acquire(ctx)
	}
	if h.lease.EndedWithEra(h.KV) {
		h.reset()
		return kvstore.ErrNewEra
	}
	if h.Clock.Now().Before(h.expiresAt.Add(-h.TTL * (renewDivisor - 1) / renewDivisor)) {
		return nil
	}
	return h.Renew(ctx)
}

// Renew renews the lease. Without an error, the lease was held without a break since it
// was acquired.
func (h *Holder) Renew(ctx context.Context) error {
	if h.lease.ID == 0 {
		return errNotHeld
	}
	start := h.Clock.Now()
	err := h.KV.KeepAlive(ctx, h.lease.ID)
	switch {
	case h.lease.EndedWithEra(h.KV):
		h.reset()
		return kvstore.ErrNewEra
	case err == nil:
		h.expiresAt = start.Add(h.TTL)
	case fault.KindOf(err) == fault.NotFound, !h.Held() && !h.RetainOnOutage:
		h.reset()
	}
	return err
}

var errNotHeld = fault.New(fault.NotFound, "acquire the lease first", "the process doesn't hold the lease")

func (h *Holder) reset() { h.lease, h.position = kvstore.Lease{}, kvstore.Position{} }

// acquire creates the key unless another process holds it. If the answer to the
// write is lost, it reads the key back: the lease attached to the key shows
// whether the write took effect.
func (h *Holder) acquire(ctx context.Context) error {
	if process, _, err := ReadHolder(ctx, h.KV, h.Key); err != nil || process != "" {
		if err == nil {
			err = fault.New(fault.Conflict, "wait until its lease has expired", "process %s holds the key %s", process, h.Key)
		}
		return err
	}
	start := h.Clock.Now()
	granted, err := kvstore.Grant(ctx, h.KV, h.TTL)
	if err != nil {
		return err
	}
	rev, err := h.KV.Put(ctx, kvstore.Put{Key: h.Key, Value: []byte(h.Process), Expect: kvstore.MustNotExist, Lease: granted.ID})
	if err != nil {
		if rev, err = h.confirmPut(ctx, granted.ID, err); err != nil {
			if !granted.EndedWithEra(h.KV) {
				_ = h.KV.Revoke(ctx, granted.ID)
			}
			return err
		}
	}
	if granted.EndedWithEra(h.KV) {
		return kvstore.ErrNewEra
	}
	h.lease, h.position = granted, kvstore.Position{Era: granted.Era, Revision: rev}
	h.expiresAt = start.Add(h.TTL)
	return nil
}

// confirmPut reads the key back after a write without an answer. It returns the
// key's creation revision if the write took effect, and otherwise putErr.
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

// Release revokes the lease.
func (h *Holder) Release(ctx context.Context) {
	if h.lease.ID != 0 && !h.lease.EndedWithEra(h.KV) {
		_ = h.KV.Revoke(ctx, h.lease.ID)
	}
	h.reset()
}

// ReadHolder returns the process that holds a key and its fencing number. If
// there is no holder, process is "" and fence is that of the service's current position,
// which is lower than any later holder's fencing number.
func ReadHolder(ctx context.Context, kv kvstore.KV, key string) (process string, fence int64, err error) {
	list, err := kv.List(ctx, key)
	if err != nil {
		return "", 0, err
	}
	for _, item := range list.Items {
		if item.Key == key {
			return string(item.Value), kvstore.Position{Era: list.Era, Revision: item.CreateRevision}.FencingNumber(), nil
		}
	}
	return "", list.Position().FencingNumber(), nil
}
