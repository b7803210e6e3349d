package claim

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/kvstore"
)

// DefaultTimeout is the default time limit of one operation of a Store.
const DefaultTimeout = 1 * time.Second

// StoredRecord is a claim together with the revision at which it was read or
// written.
type StoredRecord struct {
	Record   Record
	Revision int64
}

// Store reads and writes claims in the key-value service.
type Store struct {
	KV    kvstore.KV
	Clock clockwork.Clock
	// Timeout limits one operation, including the read-back of a failed write.
	// Zero means DefaultTimeout.
	Timeout     time.Duration
	sharedLease sharedLease
}

func (s *Store) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	timeout := s.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	return context.WithTimeout(ctx, timeout)
}

// Find reads the claim of a call. The error is of kind NotFound if there is
// none.
func (s *Store) Find(ctx context.Context, id ID) (StoredRecord, error) {
	ctx, cancel := s.withTimeout(ctx)
	defer cancel()
	return s.read(ctx, id)
}

// Create writes a claim unless the call already has one. It returns the claim
// that is stored now and whether it is the given one. After an error the given
// claim must not be used, although its write may still take effect.
func (s *Store) Create(ctx context.Context, r Record) (StoredRecord, bool, error) {
	return s.write(ctx, r, kvstore.MustNotExist)
}

// Reassign replaces the current claim by one of the next generation. It returns
// the claim that is stored now and whether it is the given one.
func (s *Store) Reassign(ctx context.Context, current StoredRecord, r Record) (StoredRecord, bool, error) {
	return s.write(ctx, r, current.Revision)
}

// Complete adds the call's answer to its claim.
func (s *Store) Complete(ctx context.Context, stored StoredRecord, a Answer) error {
	stored.Record.Answer = &a
	_, _, err := s.write(ctx, stored.Record, stored.Revision)
	return err
}

func (s *Store) write(ctx context.Context, r Record, expect int64) (StoredRecord, bool, error) {
	ctx, cancel := s.withTimeout(ctx)
	defer cancel()
	value, err := r.encode()
	if err != nil {
		return StoredRecord{}, false, err
	}
	revision, err := s.putWithLease(ctx, kvstore.Put{Key: r.ID().Path(), Value: value, Expect: expect})
	if err != nil {
		return s.readBack(ctx, r, err)
	}
	return StoredRecord{r, revision}, true, nil
}

// putWithLease writes under the shared lease. If the key-value service no
// longer has that lease, it tries once more with a new one.
func (s *Store) putWithLease(ctx context.Context, p kvstore.Put) (int64, error) {
	var err error
	for range 2 {
		if p.Lease, err = s.sharedLease.current(ctx, s.KV, s.Clock.Now()); err != nil {
			return 0, err
		}
		var revision int64
		if revision, err = s.KV.Put(ctx, p); fault.KindOf(err) != fault.NotFound {
			return revision, err
		}
		s.sharedLease.invalidate(p.Lease)
	}
	return 0, err
}

// readBack determines the result of a write that conflicted or whose reply was
// lost. A stored claim with the given record's nonce is this writer's own.
func (s *Store) readBack(ctx context.Context, r Record, cause error) (StoredRecord, bool, error) {
	found, err := s.read(ctx, r.ID())
	if err != nil {
		return StoredRecord{}, false, cause
	}
	if found.Record.Nonce == r.Nonce {
		return found, true, nil
	}
	return found, false, nil
}

func (s *Store) read(ctx context.Context, id ID) (StoredRecord, error) {
	item, err := s.KV.Get(ctx, id.Path())
	if err != nil {
		return StoredRecord{}, err
	}
	r, err := decode(item.Value)
	return StoredRecord{r, item.ModRevision}, err
}
