// Package feed follows the keys below a prefix of the key-value service: it
// lists them once and then watches for changes from the listing's revision on.
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
	// DefaultWatchTimeout is how long a watch waits for changes. Each return is a
	// call that is billed, and a connection that has gone silent is noticed only
	// when the watch times out.
	DefaultWatchTimeout = 10 * time.Second
	// watchJitter is the largest fraction by which each watch timeout is shortened
	// at random, so that the watches of a fleet do not end at the same time.
	watchJitter = 0.25
	// startupPeriod is how long the processes of a deployment take to appear when
	// it starts. startupBatchDelay is the pause after changes during that time.
	startupPeriod     = 6 * time.Second
	startupBatchDelay = 600 * time.Millisecond
	// catchUpTimeout is the timeout of a watch that only fetches missed changes.
	catchUpTimeout = 1 * time.Millisecond
	// minBackoff and maxBackoff bound the delay after a failed call. maxBackoff is
	// half of the time within which a change has to be known.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 1 * time.Second
)

// Sink receives the keys and changes that a feed reads.
type Sink interface {
	// Replace replaces all keys with those of a listing.
	Replace(l kvstore.Listing)
	// Apply applies changes in order.
	Apply(b kvstore.Batch)
	// SetReachable tells the sink whether the service answers. It is called after
	// the first call to the service and at each change.
	SetReachable(reachable bool)
}

// Feed follows the keys below one prefix.
type Feed struct {
	KV     kvstore.KV
	Prefix string
	Sink   Sink
	// WatchTimeout is how long a watch waits for changes; 0 means
	// DefaultWatchTimeout.
	WatchTimeout time.Duration
	// BatchDelay is the pause after changes, which lets further changes accumulate
	// for the next watch; 0 means no pause. While the deployment may still be
	// starting, a pause takes at least startupBatchDelay.
	BatchDelay time.Duration
	Clock      clockwork.Clock
	Log        *zap.Logger

	// position is the position up to which the sink has all changes; a Revision of 0
	// means that the prefix has to be listed.
	position kvstore.Position
	// relisting is set if the prefix is to be listed again, which needs a current
	// listing.
	relisting bool
	// reachable is whether the last call to the service succeeded; reported is
	// whether the sink has been told. reachabilityChangedAt is when reachable last
	// changed.
	reachable             bool
	reported              bool
	reachabilityChangedAt time.Time
	startedAt             time.Time
	backoff               time.Duration
}

// Run follows the prefix until ctx is done.
func (f *Feed) Run(ctx context.Context) {
	if f.WatchTimeout == 0 {
		f.WatchTimeout = DefaultWatchTimeout
	}
	f.startedAt = f.Clock.Now()
	f.reachabilityChangedAt = f.startedAt
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

// poll lists the keys if no position is known, and otherwise waits for changes.
func (f *Feed) poll(ctx context.Context) error {
	if f.position.Revision == 0 {
		return f.list(ctx)
	}
	watch, cancel := context.WithCancel(ctx)
	defer cancel()
	era, risen := f.KV.Eras().Current()
	if era != f.position.Era {
		f.restart("key-value service began a new era; listing again", era)
		return nil
	}
	go func() {
		select {
		case <-risen:
			cancel()
		case <-watch.Done():
		}
	}()
	b, err := f.KV.Watch(watch, f.Prefix, f.position.Revision, f.watchTimeout())
	if era, _ := f.KV.Eras().Current(); era != f.position.Era && ctx.Err() == nil {
		f.restart("key-value service began a new era; listing again", era)
		return nil
	}
	if fault.KindOf(err) == fault.Stale {
		f.restart("key-value service has discarded the watched revision; listing again", era)
		return nil
	}
	if err != nil {
		return err
	}
	f.position.Revision = max(f.position.Revision, b.Revision)
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

// list lists the keys. A listing during which a new era began is discarded.
func (f *Feed) list(ctx context.Context) error {
	// The first watch adds what a stale listing lacks.
	list := f.KV.ListStale
	if f.relisting {
		list = f.KV.List
	}
	l, err := list(ctx, f.Prefix)
	if fault.KindOf(err) == fault.Stale || err == nil && !f.KV.Eras().Has(l.Era) {
		f.Log.Info("key-value service began a new era during a listing; listing again", zap.String("prefix", f.Prefix), zap.Error(err))
		return nil
	}
	if err != nil {
		return err
	}
	f.position = l.Position()
	f.recordResult(nil)
	f.Sink.Replace(l)
	return nil
}

// restart makes the next poll list the keys.
func (f *Feed) restart(reason string, era int64) {
	f.Log.Info(reason, zap.String("prefix", f.Prefix), zap.Int64("revision", f.position.Revision), zap.Int64("revision_era", f.position.Era), zap.Int64("era", era))
	f.position, f.relisting = kvstore.Position{}, true
}

// sleep waits for d or until ctx is done.
func (f *Feed) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-f.Clock.After(d):
	}
}

// watchTimeout returns the timeout of the next watch. The first watch after a
// failure returns at once, so that the recovery of the service is noticed
// immediately.
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

// recordResult updates the backoff and the reachability after a call, and
// reports a change of the reachability to the sink and the log.
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
		f.Log.Info("key-value service is reachable", zap.String("prefix", f.Prefix), zap.Int64("revision", f.position.Revision), zap.Duration("after", now.Sub(f.reachabilityChangedAt)))
	} else {
		f.Log.Warn("key-value service is unreachable", zap.String("prefix", f.Prefix), zap.Int64("revision", f.position.Revision), zap.Error(err), zap.Duration("after", now.Sub(f.reachabilityChangedAt)))
	}
	f.reachabilityChangedAt = now
}
