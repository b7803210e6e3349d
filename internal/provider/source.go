// Package provider brings the configuration from the key-value service into
// the stores of all processes.
//
// A few entries of each data centre follow the service with a watch. Every
// entry announces its revision to a bounded set of other entries and to the
// agents that are behind; who is behind pulls the change. An entry that hears
// nothing for a bounded time follows the service itself.
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
	// watchTimeout bounds a waiting watch, so that a silent connection is noticed
	// and the age of the configuration stays low.
	watchTimeout = 2 * time.Second
	// staleAfter is the age of the configuration at which an entry that does
	// not watch asks the service itself, after a jitter of up to staleJitter.
	staleAfter  = 4 * time.Second
	staleJitter = 1 * time.Second
	// startDelay is how long an entry without a configuration waits for its
	// peers before it asks the service, after a jitter of up to startJitter.
	startDelay  = 300 * time.Millisecond
	startJitter = 200 * time.Millisecond
	// followPollInterval is how often an entry checks whether it has to ask.
	followPollInterval = 50 * time.Millisecond

	// minRetry and maxRetry bound the delay after a failed call of a watcher.
	minRetry = 200 * time.Millisecond
	maxRetry = 2 * time.Second
	// nonWatcherRetry is the delay for the others, which leaves the service to the
	// watchers when it comes back.
	nonWatcherRetry = 4 * time.Second
	// writeJitter spreads writes that several watchers owe at once.
	writeJitter = 100 * time.Millisecond
)

// Source follows the configuration in the key-value service.
type Source struct {
	KV       kvstore.KV
	Exchange *Exchange
	// IsWatcher says whether this entry is one of its data centre's watchers.
	IsWatcher func() bool
	Log       *zap.Logger

	// seenRevision is the service's revision up to which events were seen; 0 means
	// that the configuration has to be listed.
	seenRevision int64
	// listRequired says that the epoch's base has changed.
	listRequired bool
	// pendingDeletions holds the keys whose deletion no revision shows yet, with the
	// service's revision of the deletion.
	pendingDeletions map[string]int64
	unreachable      bool
	// listings counts the listings: they don't follow each other without a delay.
	listings int
	// jitter is the share of the jitters that patience adds, 0 to 1.
	jitter float64
}

// Run follows the service, while this entry has to, until ctx is done.
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

// maxAge is how old the configuration may get before this entry asks itself.
func (s *Source) maxAge() time.Duration {
	if s.store().Current().Revision == 0 {
		return startDelay + time.Duration(s.jitter*float64(startJitter))
	}
	return staleAfter + time.Duration(s.jitter*float64(staleJitter))
}

// mustFollow says whether this entry has to ask the service: it watches, or it
// has heard nothing for too long. One without a configuration gives its peers a
// moment first.
func (s *Source) mustFollow() bool {
	age, _ := s.Exchange.PeerAge.Get()
	starting := s.store().Current().Revision == 0
	return (s.IsWatcher() && !starting) || age > s.maxAge()
}

func (s *Source) store() *config.Store { return s.Exchange.Store }

// logReachability logs when the service goes out of reach or comes back.
func (s *Source) logReachability(err error) {
	unreachable := err != nil
	if unreachable == s.unreachable {
		return
	}
	s.unreachable = unreachable
	if unreachable {
		s.Log.Warn("key-value service out of reach", zap.Error(err))
		return
	}
	s.Log.Info("key-value service back")
}

// poll makes one call that reads the configuration, and the writes owed.
func (s *Source) poll(ctx context.Context) error {
	if s.seenRevision == 0 {
		s.seenRevision = s.store().Current().ServiceRevision()
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
	s.seenRevision = batch.Revision
	s.applyEvents(batch)
	s.Exchange.ServiceAge.Observe(0)
	s.writePending(ctx)
	return nil
}

// list reads the whole configuration: at a start, or when the service no
// longer has the events since the revision in force.
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
	s.seenRevision, s.listRequired = l.Revision, false
	update := config.WholeUpdate(records)
	if update.Base < before.Base || (update.Base == before.Base && update.Base+l.Revision < before.Revision) {
		s.store().MarkRestored(before.Base)
		return nil
	}
	s.applyUpdate(update)
	s.recordMissing(before, records, l.Revision)
	s.Exchange.ServiceAge.Observe(0)
	return nil
}

// applyUpdate applies an update that came from the service.
func (s *Source) applyUpdate(u config.Update) {
	if s.store().Restored() != nil && u.Base == s.store().Current().Base {
		return
	}
	if err := s.store().Update(u); fault.KindOf(err) == fault.Conflict {
		s.store().MarkRestored(u.Base)
		s.Log.Error("key-value service restored from an older copy", zap.Error(err))
	}
}

// recordMissing finds keys that were deleted unseen: unless the epoch moved
// since, no revision shows that.
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

// applyEvents turns a batch's events into an update.
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

// writePending makes the writes that this entry owes the service. A lost race is
// fine: another watcher has written the same.
func (s *Source) writePending(ctx context.Context) {
	current := s.store().Current()
	pending := current.Repairs()
	if len(s.pendingDeletions) > 0 {
		pending = append(pending, current.Touch())
	}
	if len(pending) == 0 || s.store().Restored() != nil || !sleep(ctx, rand.N(writeJitter)) {
		return
	}
	for _, w := range pending {
		_, _ = s.KV.Put(ctx, kvstore.Put{Key: w.Key, Value: w.Value, Expect: w.Expect})
	}
}
