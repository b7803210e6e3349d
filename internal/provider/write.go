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
	// writeAttempts bounds the tries of one write.
	writeAttempts   = 3
	writeRetryDelay = 100 * time.Millisecond
)

// Put writes a record under its condition and returns the revision of the
// write. When no answer comes it reads the record back and recognises its own
// write by the content; a repeated try is safe, since the condition fails if
// the first took effect after all. An error of kind Unavailable means that it
// may have taken effect.
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
	return 0, fault.Wrap(fault.Unavailable, err, "apply it again when the key-value service answers: a write that took effect is recognised", "the write of %s has no answer and may have taken effect", p.Key)
}

// Delete removes a record under its condition.
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

// mayHaveTakenEffect says whether a write with this error may have taken effect.
func mayHaveTakenEffect(err error) bool {
	switch fault.KindOf(err) {
	case fault.Timeout, fault.Unavailable, fault.Overloaded:
		return true
	}
	return false
}

// TouchEpoch writes the epoch with its present base, so that a deletion before it
// has a revision, and returns the service's revision of the write.
func TouchEpoch(ctx context.Context, kv kvstore.KV) (int64, error) {
	return writeEpoch(ctx, kv, func(base int64) int64 { return base })
}

// RaiseEpochBase raises the epoch's base to highest, so that what the service holds is
// newer than every revision up to it.
func RaiseEpochBase(ctx context.Context, kv kvstore.KV, highest int64) (int64, error) {
	return writeEpoch(ctx, kv, func(base int64) int64 { return max(base, highest) })
}

// writeEpoch changes the epoch's base. A lost race is tried again, since the
// winner may have written before the deletion that is to be shown.
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
