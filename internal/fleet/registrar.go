package fleet

import (
	"context"
	"encoding/json"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/kvstore"
)

const (
	// registrationTTL is how long a registration remains after its process has
	// died. Until then other processes still send datagrams to it, which does no
	// harm.
	registrationTTL = 15 * time.Second
	// renewInterval allows two more renewal attempts before a registration
	// expires.
	renewInterval = 5 * time.Second
	// retryDelay is the delay after a failed call.
	retryDelay = 1 * time.Second
)

// Registrar registers this process in the key-value service under a lease and
// renews it.
type Registrar struct {
	KV    kvstore.KV
	Self  Member
	Clock clockwork.Clock
	Log   *zap.Logger

	leaseID int64
	wake    chan struct{}
}

// ReregisterOnLoss makes the process register again as soon as the view shows
// that its registration has ended. It is called before Run and before the view
// is used.
func (r *Registrar) ReregisterOnLoss(v *View) {
	r.wake = make(chan struct{}, 1)
	v.OnRegistrationEnd(func(name string) {
		if name != r.Self.Name {
			return
		}
		select {
		case r.wake <- struct{}{}:
		default:
		}
	})
}

// Run keeps the process registered until ctx is done, and then removes the
// registration.
func (r *Registrar) Run(ctx context.Context) {
	for {
		wait := renewInterval
		if err := r.registerOrRenew(ctx); err != nil && ctx.Err() == nil {
			r.Log.Warn("failed to renew the registration", zap.Int64("lease", r.leaseID), zap.Error(err))
			wait = retryDelay
		}
		select {
		case <-ctx.Done():
			r.revoke(context.WithoutCancel(ctx))
			return
		case <-r.wake:
		case <-r.Clock.After(wait):
		}
	}
}

func (r *Registrar) registerOrRenew(ctx context.Context) error {
	if r.leaseID != 0 {
		err := r.KV.KeepAlive(ctx, r.leaseID)
		if fault.KindOf(err) != fault.NotFound {
			return err
		}
		r.Log.Warn("registration has expired; registering again", zap.Int64("lease", r.leaseID))
		r.leaseID = 0
	}
	leaseID, err := r.KV.Grant(ctx, registrationTTL)
	if err != nil {
		return err
	}
	value, err := json.Marshal(r.Self)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "report this as a bug", "encoding the registration")
	}
	put := kvstore.Put{Key: memberPrefix + r.Self.Name, Value: value, Expect: kvstore.AnyRevision, Lease: leaseID}
	if _, err := r.KV.Put(ctx, put); err != nil {
		return err
	}
	r.leaseID = leaseID
	return nil
}

func (r *Registrar) revoke(ctx context.Context) {
	if r.leaseID == 0 {
		return
	}
	if err := r.KV.Revoke(ctx, r.leaseID); err != nil {
		r.Log.Info("failed to revoke the registration; it will expire", zap.Int64("lease", r.leaseID), zap.Error(err))
	}
}
