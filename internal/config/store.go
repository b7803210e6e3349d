package config

import (
	"slices"
	"sync"

	"github.com/kingcupreel/kingcupreel/internal/fault"
)

const (
	// removalLimit bounds the deleted keys that a store remembers; a node
	// that is further behind gets a whole snapshot.
	removalLimit = 1024

	restoredRemedy = "compare the records, then run kingcupreelctl adopt to put what the service holds into force"
)

// Store keeps the newest snapshot in force. It never goes to a lower
// revision, and it takes nothing that contradicts what it has held.
//
// Lock order: updating before mu. Listeners run under updating, so that they see
// snapshots in order; they must not call Update.
type Store struct {
	decode   Decoder
	updating sync.Mutex

	mu       sync.Mutex // leaf lock
	current  *Snapshot
	onChange []func(*Snapshot)
	// removals covers the deletions after revision covered, oldest first.
	removals []removal
	covered  int64
	restored error
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

// Apply puts a whole snapshot into force if its revision is higher than the
// present one, and says whether it did.
func (s *Store) Apply(revision int64, records []Record) bool {
	_, base := RevisionOf(records)
	return s.Update(Update{Base: base, To: revision, Whole: true, Records: records}) == nil
}

// Update puts an update into force. An error of kind Stale means that it is
// not newer, Invalid that changes before it are missing, Conflict that the
// service has been restored from an older copy.
func (s *Store) Update(u Update) error {
	s.updating.Lock()
	defer s.updating.Unlock()
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
	if s.restored != nil && u.Base == s.current.Base && s.current.Revision > 0 {
		return nil, nil, s.restored
	}
	if u.Base > s.current.Base {
		s.restored = nil
	}
	s.remember(u)
	s.current = build(s.current, u.To, u.Base, u.merge(s.current), s.decode)
	return s.current, slices.Clone(s.onChange), nil
}

// remember keeps the update's deletions. The caller holds mu.
func (s *Store) remember(u Update) {
	if u.Whole {
		s.removals, s.covered = nil, u.To
		return
	}
	for _, key := range u.Removed {
		s.removals = append(s.removals, removal{key, u.To})
	}
	if over := len(s.removals) - removalLimit; over > 0 {
		s.covered = s.removals[over-1].revision
		s.removals = slices.Clone(s.removals[over:])
	}
}

// Since returns the update from a revision and base to the present one: the
// changes, or everything when the store no longer knows them.
func (s *Store) Since(revision, base int64) Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	return since(s.current, s.removals, s.covered, revision, base)
}

// SinceFor is Since for the agent of an upstream, with only the records that
// the agent needs.
func (s *Store) SinceFor(upstream string, revision, base int64) Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	return since(s.current, s.removals, s.covered, revision, base).narrow(s.current, upstream)
}

// Restored returns the error that tells of a service restored from an older
// copy, or nil. While it is set, only an adopted epoch is taken; a store at
// revision 0 takes what peers have.
func (s *Store) Restored() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.restored
}

// MarkRestored notes that the service with the given base was seen restored.
func (s *Store) MarkRestored(base int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.restored == nil && base == s.current.Base {
		s.restored = fault.New(fault.Conflict, restoredRemedy, "the key-value service was restored from an older copy; revision %d stays in force", s.current.Revision)
	}
}
