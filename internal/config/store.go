package config

import (
	"slices"
	"sync"

	"github.com/kingcupreel/kingcupreel/internal/fault"
)

const (
	// maxRemovals bounds the deleted keys that a store remembers; a node that
	// is further behind is sent all records.
	maxRemovals = 1024

	restoredRemedy = "compare the records, then run kingcupreelctl adopt to put the records of the service into force"
)

// Store keeps the newest snapshot in force. It never goes to a lower
// revision, and it refuses updates that contradict records that were in force.
//
// Lock order: updateMu before mu. Listeners run under updateMu, so that they
// see snapshots in order; they must not call Update.
type Store struct {
	decode   Decoder
	updateMu sync.Mutex

	mu       sync.Mutex // leaf lock
	current  *Snapshot
	onChange []func(*Snapshot)
	// removals lists all deletions after revision removalsSince, oldest first.
	removals      []removal
	removalsSince int64
	restoreErr    error
}

// NewStore returns a store at revision 0.
func NewStore(decode Decoder) *Store {
	return &Store{decode: decode, current: &Snapshot{}}
}

// Current returns the snapshot in force.
func (s *Store) Current() *Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// OnChange registers a function that is called after each newer snapshot.
func (s *Store) OnChange(f func(*Snapshot)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onChange = append(s.onChange, f)
}

// Apply puts a full set of records into force if its revision is higher than
// that of the current snapshot, and reports whether it did.
func (s *Store) Apply(revision int64, records []Record) bool {
	_, base := RevisionOf(records)
	return s.Update(Update{Base: base, To: revision, Full: true, Records: records}) == nil
}

// Update puts an update into force. An error of kind Stale means that the
// update is not newer than the current snapshot, Invalid that changes before it
// are missing, Conflict that the service was restored from an older copy.
func (s *Store) Update(u Update) error {
	s.updateMu.Lock()
	defer s.updateMu.Unlock()
	snap, listeners, err := s.replace(u)
	if err != nil {
		return err
	}
	for _, f := range listeners {
		f(snap)
	}
	return nil
}

func (s *Store) replace(u Update) (*Snapshot, []func(*Snapshot), error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := u.check(s.current); err != nil {
		return nil, nil, err
	}
	if s.restoreErr != nil && u.Base == s.current.Base && s.current.Revision > 0 {
		return nil, nil, s.restoreErr
	}
	if u.Base > s.current.Base {
		s.restoreErr = nil
	}
	s.recordRemovals(u)
	s.current = build(s.current, u.To, u.Base, u.merge(s.current), s.decode)
	return s.current, slices.Clone(s.onChange), nil
}

// recordRemovals adds the update's deletions to removals and drops the oldest
// above maxRemovals. The caller holds mu.
func (s *Store) recordRemovals(u Update) {
	if u.Full {
		s.removals, s.removalsSince = nil, u.To
		return
	}
	for _, key := range u.Removed {
		s.removals = append(s.removals, removal{key, u.To})
	}
	if excess := len(s.removals) - maxRemovals; excess > 0 {
		s.removalsSince = s.removals[excess-1].revision
		s.removals = slices.Clone(s.removals[excess:])
	}
}

// Since returns the update from a revision and base to the current snapshot:
// the changes, or all records if the store no longer has all changes.
func (s *Store) Since(revision, base int64) Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	return updateSince(s.current, s.removals, s.removalsSince, revision, base)
}

// SinceFor is like Since, with only the records that the agent of the named
// upstream needs.
func (s *Store) SinceFor(upstream string, revision, base int64) Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	return updateSince(s.current, s.removals, s.removalsSince, revision, base).restrictTo(s.current, upstream)
}

// Restored returns the error that says that the service was restored from an
// older copy, or nil. While it is set, the store accepts only updates with a
// higher base, which an operator sets by adopting the service's records. A
// store at revision 0 still accepts the updates of its peers.
func (s *Store) Restored() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.restoreErr
}

// MarkRestored records that the service was found to be restored from an older
// copy. It has no effect if base is not that of the current snapshot.
func (s *Store) MarkRestored(base int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.restoreErr == nil && base == s.current.Base {
		s.restoreErr = fault.New(fault.Conflict, restoredRemedy, "the key-value service was restored from an older copy; revision %d stays in force", s.current.Revision)
	}
}
