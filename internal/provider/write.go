package provider

import (
	"bytes"
	"context"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/kvstore"
)

const (
	// writeAttempts bounds the attempts of one write. writeRetryDelay is the delay
	// between them, before jitter.
	writeAttempts   = 3
	writeRetryDelay = 100 * time.Millisecond
)

// Put writes a record under its condition and returns the revision of the
// write. If no answer arrives it reads the record back and recognises its own
// write by the content. A retry is safe, since its condition fails if the first
// attempt took effect. An error of kind Unavailable means that the write may
// have taken effect.
func Put(ctx context.Context, kv kvstore.KV, p kvstore.Put) (int64, error) {
	var err error
	for range writeAttempts {
		var revision int64
		if revision, err = kv.Put(ctx, p); err == nil {
			return revision, nil
		}
		item, readErr := kv.Get(ctx, p.Key)
		if readErr == nil && bytes.Equal(item.Value, p.Value) && item.ModRevision > p.Expect {
			return item.ModRevision, nil
		}
		if !mayHaveTakenEffect(err) {
			return 0, err
		}
		if !sleep(ctx, jittered(writeRetryDelay)) {
			break
		}
	}
	return 0, fault.Wrap(fault.Unavailable, err, "repeat the write when the key-value service answers; a write that took effect is recognised", "the write of %s got no answer and may have taken effect", p.Key)
}

// Delete removes a record if its revision is expect. After an attempt without
// an answer it treats a missing record as success.
func Delete(ctx context.Context, kv kvstore.KV, key string, expect int64) error {
	var err error
	for range writeAttempts {
		if _, err = kv.Delete(ctx, key, expect); err == nil {
			return nil
		}
		if _, readErr := kv.Get(ctx, key); fault.KindOf(readErr) == fault.NotFound && mayHaveTakenEffect(err) {
			return nil
		}
		if !mayHaveTakenEffect(err) {
			return err
		}
		if !sleep(ctx, jittered(writeRetryDelay)) {
			break
		}
	}
	return err
}

// mayHaveTakenEffect reports whether a write that failed with err may have
// taken effect.
func mayHaveTakenEffect(err error) bool {
	switch fault.KindOf(err) {
	case fault.Timeout, fault.Unavailable, fault.Overloaded:
		return true
	}
	return false
}

// TouchEpoch writes the epoch with its current base, which gives the deletions
// before it a revision, and returns the service's revision of the write.
func TouchEpoch(ctx context.Context, kv kvstore.KV) (int64, error) {
	return writeEpoch(ctx, kv, func(base int64) int64 { return base })
}

// RaiseEpochBase raises the epoch's base to highest, so that what the service
// holds counts as newer than every revision up to highest. It returns the
// service's revision of the write.
func RaiseEpochBase(ctx context.Context, kv kvstore.KV, highest int64) (int64, error) {
	return writeEpoch(ctx, kv, func(base int64) int64 { return max(base, highest) })
}

// writeEpoch writes the epoch with a new base. It retries after a failed
// condition, since the concurrent write may precede the deletion that needs a
// revision.
func writeEpoch(ctx context.Context, kv kvstore.KV, base func(int64) int64) (int64, error) {
	var err error
	for range writeAttempts {
		var item kvstore.Item
		if item, err = kv.Get(ctx, config.EpochKey); err != nil && fault.KindOf(err) != fault.NotFound {
			return 0, err
		}
		_, currentBase := config.RevisionOf([]config.Record{{Key: config.EpochKey, Value: item.Value}})
		value := config.EncodeEpoch(base(currentBase))
		var revision int64
		revision, err = kv.Put(ctx, kvstore.Put{Key: config.EpochKey, Value: value, Expect: item.ModRevision})
		if err == nil {
			return revision, nil
		}
		if !sleep(ctx, jittered(writeRetryDelay)) {
			break
		}
	}
	return 0, err
}
