package claim

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/kvstore"
)

// DefaultTimeout bounds one use of the key-value service.
const DefaultTimeout = 1 * time.Second

// StoredRecord is a claim and the revision at which it was read or written.
type StoredRecord struct {
	Record   Record
	Revision int64
}

// Store reads and writes claims in the key-value service.
type Store struct {
	KV    kvstore.KV
	Clock clockwork.Clock
	// Timeout bounds one claim, read-back included; 0 means DefaultTimeout.
	Timeout time.Duration
	leases  leases
}

func (s *Store) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	timeout := s.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	return context.WithTimeout(ctx, timeout)
}

// Find reads the claim of a call; an error of kind NotFound means there is
// none.
func (s *Store) Find(ctx context.Context, id ID) (StoredRecord, error) {
	ctx, cancel := s.bound(ctx)
	defer cancel()
	return s.read(ctx, id)
}

// Create records a claim unless the call has one. It returns the claim in
// force, and whether that is the given one. An error means that the given claim
// must not be used, though its write may yet take effect.
func (s *Store) Create(ctx context.Context, r Record) (StoredRecord, bool, error) {
	return s.write(ctx, r, kvstore.MustNotExist)
}

// Reassign replaces a claim by one of the next generation. It returns the claim in
// force, and whether that is the given one.
func (s *Store) Reassign(ctx context.Context, from StoredRecord, r Record) (StoredRecord, bool, error) {
	return s.write(ctx, r, from.Revision)
}

// Complete adds the call's answer to its claim.
func (s *Store) Complete(ctx context.Context, held StoredRecord, a Answer) error {
	held.Record.Answer = &a
	_, _, err := s.write(ctx, held.Record, held.Revision)
	return err
}

func (s *Store) write(ctx context.Context, r Record, expect int64) (StoredRecord, bool, error) {
	ctx, cancel := s.bound(ctx)
	defer cancel()
	value, err := r.encode()
	if err != nil {
		return StoredRecord{}, false, err
	}
	revision, err := s.put(ctx, kvstore.Put{Key: r.ID().Path(), Value: value, Expect: expect})
	if err != nil {
		return s.readBack(ctx, r, err)
	}
	return StoredRecord{r, revision}, true, nil
}

// put writes under the present lease, or a new one when that has gone.
func (s *Store) put(ctx context.Context, p kvstore.Put) (int64, error) {
	var err error
	for range 2 {
		if p.Lease, err = s.leases.current(ctx, s.KV, s.Clock.Now()); err != nil {
			return 0, err
		}
		var revision int64
		if revision, err = s.KV.Put(ctx, p); fault.KindOf(err) != fault.NotFound {
			return revision, err
		}
		s.leases.drop(p.Lease)
	}
	return 0, err
}

// readBack finds out what became of a write that conflicted or whose answer was
// lost: a claim with the writer's own nonce is the writer's.
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
