package fleet

import (
	"context"
	"encoding/json"
	"math/rand/v2"
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
	// reregisterWindow is the time over which the processes of a deployment spread
	// their registrations after a new era has ended all of them. Other processes
	// remember registrations for longer than that.
	reregisterWindow = 2 * time.Second
)

// Registrar registers this process in the key-value service under a lease and
// renews it.
type Registrar struct {
	KV    kvstore.KV
	Self  Member
	Clock clockwork.Clock
	Log   *zap.Logger

	lease kvstore.Lease
	wake  chan struct{}
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
			r.Log.Warn("failed to renew the registration", zap.Int64("lease", r.lease.ID), zap.Error(err))
			wait = retryDelay
		}
		_, risen := r.KV.Eras().Current()
		select {
		case <-ctx.Done():
			r.revoke(context.WithoutCancel(ctx))
			return
		case <-r.wake:
		case <-risen:
		case <-r.Clock.After(wait):
		}
		r.awaitTurn(ctx)
	}
}

// awaitTurn waits for a random part of reregisterWindow if a new era has ended the
// registrations of all processes.
func (r *Registrar) awaitTurn(ctx context.Context) {
	if r.lease.ID == 0 || !r.lease.EndedWithEra(r.KV) {
		return
	}
	select {
	case <-ctx.Done():
	case <-r.Clock.After(rand.N(reregisterWindow)):
	}
}

func (r *Registrar) registerOrRenew(ctx context.Context) error {
	if r.lease.ID != 0 {
		err := kvstore.ErrNewEra
		if !r.lease.EndedWithEra(r.KV) {
			err = r.KV.KeepAlive(ctx, r.lease.ID)
		}
		if fault.KindOf(err) != fault.NotFound {
			return err
		}
		r.Log.Warn("registration has ended; registering again", zap.Int64("lease", r.lease.ID), zap.Int64("lease_era", r.lease.Era), zap.Error(err))
		r.lease = kvstore.Lease{}
	}
	lease, err := kvstore.Grant(ctx, r.KV, registrationTTL)
	if err != nil {
		return err
	}
	value, err := json.Marshal(r.Self)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "report this as a bug", "encoding the registration")
	}
	put := kvstore.Put{Key: memberPrefix + r.Self.Name, Value: value, Expect: kvstore.AnyRevision, Lease: lease.ID}
	if _, err := r.KV.Put(ctx, put); err != nil {
		return err
	}
	r.lease = lease
	return nil
}

func (r *Registrar) revoke(ctx context.Context) {
	if r.lease.ID == 0 || r.lease.EndedWithEra(r.KV) {
		return
	}
	if err := r.KV.Revoke(ctx, r.lease.ID); err != nil {
		r.Log.Info("failed to revoke the registration; it will expire", zap.Int64("lease", r.lease.ID), zap.Error(err))
	}
}
