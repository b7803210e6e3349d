// Package provider distributes the configuration from the key-value service to
// the stores of all processes.
//
// A few entries of each data centre, the watchers, follow the service with a
// watch. Every entry announces its revision to a bounded set of other entries
// and to the agents that are behind; a process that is behind pulls the change.
// An entry that receives no announcement for a bounded time follows the service
// itself.
package provider

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/kvstore"
)

const (
	// watchTimeout bounds a watch, so that a connection that has gone silent is
	// noticed and the age of the configuration stays low.
	watchTimeout = 2 * time.Second
	// staleAfter is the age of the configuration at which an entry that is not a
	// watcher reads the service itself, after a jitter of up to staleJitter.
	staleAfter  = 4 * time.Second
	staleJitter = 1 * time.Second
	// startDelay is how long an entry without a configuration waits for its peers
	// before it reads the service, after a jitter of up to startJitter.
	startDelay  = 300 * time.Millisecond
	startJitter = 200 * time.Millisecond
	// followPollInterval is how often an entry checks whether it has to read the
	// service.
	followPollInterval = 50 * time.Millisecond

	// minRetry and maxRetry bound a watcher's delay after a failed call.
	minRetry = 200 * time.Millisecond
	maxRetry = 2 * time.Second
	// nonWatcherRetry is the delay of other entries, which leaves the service to
	// the watchers while it recovers.
	nonWatcherRetry = 4 * time.Second
	// writeJitter spreads the writes that several watchers have to make at the
	// same time.
	writeJitter = 100 * time.Millisecond
)

// Source follows the configuration in the key-value service.
type Source struct {
	KV       kvstore.KV
	Exchange *Exchange
	// IsWatcher reports whether this entry is one of its data centre's watchers.
	IsWatcher func() bool
	Log       *zap.Logger

	// seenRevision is the service's revision up to which events have been read; 0
	// means that the configuration has to be listed.
	seenRevision int64
	// era is the service's era of seenRevision, 0 if not known.
	era int64
	// listRequired is set when the epoch's base has changed, so that the whole
	// configuration has to be listed.
	listRequired bool
	// pendingDeletions maps the keys that were deleted without a later write of
	// the epoch to the service's revision of the deletion. Only such a write gives
	// the deletion a revision of the configuration.
	pendingDeletions map[string]int64
	unreachable      bool
	// listings counts the listings, because a listing is followed by a delay as a
	// failed call is.
	listings int
	// jitter is the fraction of staleJitter or startJitter that maxAge adds, 0 to
	// 1.
	jitter float64
}

// Run follows the service until ctx is done, while mustFollow reports that this
// entry has to.
func (s *Source) Run(ctx context.Context) {
	retry := minRetry
	s.jitter = rand.Float64()
	s.pendingDeletions = map[string]int64{}
	for ctx.Err() == nil {
		if !s.mustFollow() {
			s.seenRevision = 0
			clear(s.pendingDeletions)
			sleep(ctx, followPollInterval)
			continue
		}
		listings := s.listings
		err := s.poll(ctx)
		s.jitter = rand.Float64()
		if ctx.Err() != nil {
			return
		}
		s.logReachability(err)
		if err == nil && s.listings == listings {
			retry = minRetry
			continue
		}
		sleep(ctx, s.retryDelay(retry))
		retry = min(2*retry, maxRetry)
	}
}

func (s *Source) retryDelay(retry time.Duration) time.Duration {
	if s.IsWatcher() {
		return jittered(retry)
	}
	return jittered(nonWatcherRetry)
}

// maxAge returns the age of the configuration at which this entry reads the
// service itself.
func (s *Source) maxAge() time.Duration {
	if s.store().Current().Revision == 0 {
		return startDelay + time.Duration(s.jitter*float64(startJitter))
	}
	return staleAfter + time.Duration(s.jitter*float64(staleJitter))
}

// mustFollow reports whether this entry has to read the service: it is a
// watcher, or it has received no current announcement for maxAge. Even a
// watcher without a configuration gives its peers time to send theirs first.
func (s *Source) mustFollow() bool {
	age, _ := s.Exchange.PeerAge.Get()
	starting := s.store().Current().Revision == 0
	return (s.IsWatcher() && !starting) || age > s.maxAge()
}

func (s *Source) store() *config.Store { return s.Exchange.Store }

// logReachability logs when the service becomes unreachable or reachable again.
func (s *Source) logReachability(err error) {
	unreachable := err != nil
	if unreachable == s.unreachable {
		return
	}
	s.unreachable = unreachable
	if unreachable {
		s.Log.Warn("key-value service is unreachable", zap.Error(err))
		return
	}
	s.Log.Info("key-value service is reachable again")
}

// poll makes one call that reads the configuration, and then the pending
// writes.
func (s *Source) poll(ctx context.Context) error {
	if s.seenRevision == 0 {
		s.seenRevision = s.store().Current().ServiceRevision()
	}
	if era, _ := s.KV.Eras().Current(); s.era != 0 && era != s.era {
		s.listRequired = true
	}
	if s.seenRevision == 0 || s.listRequired {
		return s.list(ctx)
	}
	batch, err := s.KV.Watch(ctx, config.Prefix, s.seenRevision, watchTimeout)
	if fault.KindOf(err) == fault.Stale {
		return s.list(ctx)
	}
	if err != nil {
		return err
	}
	if s.era != 0 && batch.Era != s.era {
		return nil // events of a new era; the next poll lists the configuration
	}
	s.seenRevision, s.era = batch.Revision, batch.Era
	s.applyEvents(batch)
	s.Exchange.ServiceAge.Observe(0)
	s.writePending(ctx)
	return nil
}

// list reads the whole configuration: at the start, after a change of the
// epoch's base, or when the service no longer has the events since
// seenRevision.
func (s *Source) list(ctx context.Context) error {
	s.listings++
	before := s.store().Current()
	l, err := s.KV.List(ctx, config.Prefix)
	if err != nil {
		return err
	}
	records := make([]config.Record, 0, len(l.Items))
	for _, i := range l.Items {
		records = append(records, config.Record{Key: i.Key, Value: i.Value, Revision: i.ModRevision})
	}
	newEra := s.era != 0 && l.Era != s.era
	s.seenRevision, s.listRequired, s.era = l.Revision, false, l.Era
	update := config.FullUpdate(records)
	if newEra && update.Base == before.Base {
		s.Log.Error("key-value service restored from an older copy", zap.Int64("era", l.Era), zap.Int64("revision", l.Revision), zap.Int64("in_force", before.Revision))
		s.store().MarkRestored(before.Base)
		return nil
	}
	if update.Base < before.Base || (update.Base == before.Base && update.Base+l.Revision < before.Revision) {
		s.store().MarkRestored(before.Base)
		return nil
	}
	s.applyUpdate(update)
	s.recordMissing(before, records, l.Revision)
	s.Exchange.ServiceAge.Observe(0)
	return nil
}

// applyUpdate applies an update read from the service. If the update
// contradicts the configuration in force, the service was restored from an
// older copy; until an operator resolves that, updates with an unchanged base
// are ignored.
func (s *Source) applyUpdate(u config.Update) {
	if s.store().Restored() != nil && u.Base == s.store().Current().Base {
		return
	}
	if err := s.store().Update(u); fault.KindOf(err) == fault.Conflict {
		s.store().MarkRestored(u.Base)
		s.Log.Error("key-value service restored from an older copy", zap.Error(err))
	}
}

// recordMissing records the deletions that were missed: keys that are in the
// configuration in force but not in the listing. If the epoch was written
// since, the listing's revision already covers them.
func (s *Source) recordMissing(before *config.Snapshot, records []config.Record, revision int64) {
	present := make(map[string]int64, len(records))
	for _, r := range records {
		present[r.Key] = r.Revision
	}
	epoch, _ := before.Record(config.EpochKey)
	if present[config.EpochKey] > epoch.Revision {
		return
	}
	for _, r := range before.Records {
		if _, ok := present[r.Key]; !ok {
			s.pendingDeletions[r.Key] = revision
		}
	}
}

// applyEvents converts a batch of events to an update and applies it.
func (s *Source) applyEvents(batch kvstore.Batch) {
	current := s.store().Current()
	changed := map[string]config.Record{}
	update := config.Update{Base: current.Base, From: current.Revision, To: current.Revision}
	for _, e := range batch.Events {
		r := config.Record{Key: e.Item.Key, Value: e.Item.Value, Revision: e.Item.ModRevision}
		if e.Deleted {
			delete(changed, r.Key)
			s.pendingDeletions[r.Key] = r.Revision
			continue
		}
		delete(s.pendingDeletions, r.Key)
		changed[r.Key] = r
		update.To = max(update.To, update.Base+r.Revision)
	}
	epoch, epochWritten := changed[config.EpochKey]
	if _, base := config.RevisionOf([]config.Record{epoch}); epochWritten && base != current.Base {
		s.listRequired = true
		return
	}
	for key, revision := range s.pendingDeletions {
		if epochWritten && revision < epoch.Revision {
			update.Removed = append(update.Removed, key)
			delete(s.pendingDeletions, key)
		}
	}
	if update.To == current.Revision {
		return
	}
	for _, r := range changed {
		update.Records = append(update.Records, r)
	}
	s.applyUpdate(update)
}

// writePending makes the writes that are needed to repair the configuration and
// to give deletions a revision. A failed condition needs no retry: another
// watcher has then written the same.
func (s *Source) writePending(ctx context.Context) {
	current := s.store().Current()
	pending := current.Repairs()
	if len(s.pendingDeletions) > 0 {
		pending = append(pending, current.TouchEpoch())
	}
	if len(pending) == 0 || s.store().Restored() != nil || !sleep(ctx, rand.N(writeJitter)) {
		return
	}
	for _, w := range pending {
		_, _ = s.KV.Put(ctx, kvstore.Put{Key: w.Key, Value: w.Value, Expect: w.Expect})
	}
}
