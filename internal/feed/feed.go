// Package feed follows the keys below a prefix of the key-value service: a
// listing first, then watches from its revision on.
package feed

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/kvstore"
)

const (
	// DefaultWatchTimeout is how long a watch waits. Each return is a priced call, and
	// a watch that has gone silent is noticed only at its end.
	DefaultWatchTimeout = 10 * time.Second
	// watchJitter takes up to that part off each wait, so that the watches of a
	// fleet end at different moments.
	watchJitter = 0.25
	// startupPeriod is how long the processes of a deployment that starts take to
	// appear, and startGather the pause after changes in that time.
	startupPeriod     = 6 * time.Second
	startupBatchDelay = 600 * time.Millisecond
	// catchUpTimeout is the wait of a watch that only fetches what was missed.
	catchUpTimeout = 1 * time.Millisecond
	// minBackoff and maxBackoff bound the wait after a failed call. The upper
	// one is half of the time in which a change has to be known.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 1 * time.Second
)

// Sink takes what a feed learns.
type Sink interface {
	// Replace takes all keys at a revision.
	Replace(l kvstore.Listing)
	// Apply takes changes in order.
	Apply(b kvstore.Batch)
	// SetReachable takes whether the service answers. It is called at each change.
	SetReachable(reachable bool)
}

// Feed follows one prefix.
type Feed struct {
	KV           kvstore.KV
	Prefix       string
	Sink         Sink
	WatchTimeout time.Duration
	// BatchDelay is the pause after changes, in which more of them gather for the
	// next watch; 0 means none. While the deployment may still be starting it is
	// startGather at least.
	BatchDelay time.Duration
	Clock      clockwork.Clock
	Log        *zap.Logger

	revision int64
	// reachable says whether the service answers, told whether the sink knows.
	reachable      bool
	reported       bool
	reachableSince time.Time
	startedAt      time.Time
	backoff        time.Duration
}

// Run follows the prefix until ctx is done.
func (f *Feed) Run(ctx context.Context) {
	if f.WatchTimeout == 0 {
		f.WatchTimeout = DefaultWatchTimeout
	}
	f.startedAt = f.Clock.Now()
	f.reachableSince = f.startedAt
	for ctx.Err() == nil {
		err := f.poll(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			continue
		}
		f.recordResult(err)
		f.sleep(ctx, f.backoff/2+rand.N(f.backoff/2))
	}
}

// poll lists when nothing is known yet, and waits for changes otherwise.
func (f *Feed) poll(ctx context.Context) error {
	if f.revision == 0 {
		l, err := f.KV.List(ctx, f.Prefix)
		if err != nil {
			return err
		}
		f.revision = l.Revision
		f.recordResult(nil)
		f.Sink.Replace(l)
		return nil
	}
	b, err := f.KV.Watch(ctx, f.Prefix, f.revision, f.watchTimeout())
	if fault.KindOf(err) == fault.Stale {
		f.Log.Info("history of the store is gone, listing anew", zap.String("prefix", f.Prefix), zap.Int64("revision", f.revision))
		f.revision = 0
		return nil
	}
	if err != nil {
		return err
	}
	f.revision = max(f.revision, b.Revision)
	f.recordResult(nil)
	if len(b.Events) == 0 {
		return nil
	}
	f.Sink.Apply(b)
	if f.BatchDelay > 0 {
		f.sleep(ctx, f.batchDelay())
	}
	return nil
}

// sleep waits, or until ctx is done.
func (f *Feed) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-f.Clock.After(d):
	}
}

// watchTimeout returns how long the next watch waits. The first one after a failure
// returns at once, so that the service's return is known from then.
func (f *Feed) watchTimeout() time.Duration {
	if !f.reachable {
		return catchUpTimeout
	}
	return time.Duration(float64(f.WatchTimeout) * (1 - watchJitter*rand.Float64()))
}

// batchDelay returns the pause after changes.
func (f *Feed) batchDelay() time.Duration {
	if f.Clock.Since(f.startedAt) < startupPeriod {
		return max(f.BatchDelay, startupBatchDelay)
	}
	return f.BatchDelay
}

// recordResult keeps the state of the contact and the backoff.
func (f *Feed) recordResult(err error) {
	now := f.Clock.Now()
	ok := err == nil
	if ok {
		f.backoff = 0
	} else {
		f.backoff = min(max(2*f.backoff, minBackoff), maxBackoff)
	}
	if ok == f.reachable && f.reported {
		return
	}
	f.reachable, f.reported = ok, true
	f.Sink.SetReachable(ok)
	if ok {
		f.Log.Info("store answers", zap.String("prefix", f.Prefix), zap.Int64("revision", f.revision), zap.Duration("after", now.Sub(f.reachableSince)))
	} else {
		f.Log.Warn("store doesn't answer", zap.String("prefix", f.Prefix), zap.Int64("revision", f.revision), zap.Error(err), zap.Duration("after", now.Sub(f.reachableSince)))
	}
	f.reachableSince = now
}
