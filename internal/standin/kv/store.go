// Package kv is a stand-in of the platform's key-value service: compare and
// swap, leases and watches, a call counter and a rate limit, and faults to
// order (outage, delay, lost answers).
package kv

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/kvstore"
)

// historyLimit is the number of events kept for watches.
const historyLimit = 10000

// lease is a lease and the time at which it lapses.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// backup is a saved copy of the items.
type backup struct {
	revision int64
	items    map[string]kvstore.Item
}

// Store is the service's state. Invariant: history holds the events of all
// revisions above oldest, in order.
type Store struct {
	clock clockwork.Clock

	mu       sync.Mutex
	revision int64
	oldest   int64
	items    map[string]kvstore.Item
	history  []kvstore.Event
	leases   map[int64]*lease
	nextID   int64
	saved    backup
	changed  chan struct{} // closed and replaced at each change
}

// NewStore returns an empty store.
func NewStore(clock clockwork.Clock) *Store {
	return &Store{
		clock:   clock,
		items:   map[string]kvstore.Item{},
		leases:  map[int64]*lease{},
		changed: make(chan struct{}),
	}
}

// Get reads one key.
func (s *Store) Get(key string) (kvstore.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	item, ok := s.items[key]
	if !ok {
		return kvstore.Item{}, fault.New(fault.NotFound, "", "no key %q", key)
	}
	return item, nil
}

// List reads all keys below a prefix.
func (s *Store) List(prefix string) kvstore.Listing {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := kvstore.Listing{Revision: s.revision}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			l.Items = append(l.Items, item)
		}
	}
	slices.SortFunc(l.Items, func(a, b kvstore.Item) int { return strings.Compare(a.Key, b.Key) })
	return l
}

// Condition is the revision that a key must have, 0 for absent.
type Condition struct {
	Key      string
	Revision int64
}

// Txn is a change that takes effect whole or not at all. The writes' own
// conditions aren't looked at.
type Txn struct {
	Expect  []Condition
	Writes  []kvstore.Put
	Deletes []string
}

// Commit makes a change. When a condition fails, the error is of kind Conflict
// and the items of the conditions come with it.
func (s *Store) Commit(t Txn) (int64, []kvstore.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var found []kvstore.Item
	var conflict error
	for _, c := range t.Expect {
		present, there := s.items[c.Key]
		if there {
			found = append(found, present)
		}
		if present.ModRevision != c.Revision {
			conflict = fault.New(fault.Conflict, "", "key %q is at revision %d", c.Key, present.ModRevision)
		}
	}
	if conflict != nil {
		return 0, found, conflict
	}
	for _, w := range t.Writes {
		if w.Lease != 0 && s.leases[w.Lease] == nil {
			return 0, nil, fault.New(fault.NotFound, "", "no lease %d", w.Lease)
		}
	}
	for _, w := range t.Writes {
		s.put(w)
	}
	for _, key := range t.Deletes {
		if _, there := s.items[key]; there {
			s.remove(key)
		}
	}
	return s.revision, nil, nil
}

// Put writes a key under its condition.
func (s *Store) Put(p kvstore.Put) (int64, error) {
	t := Txn{Writes: []kvstore.Put{p}}
	if p.Expect != kvstore.AnyRevision {
		t.Expect = []Condition{{p.Key, p.Expect}}
	}
	revision, _, err := s.Commit(t)
	return revision, err
}

// Delete removes a key under its condition.
func (s *Store) Delete(key string, expect int64) (int64, error) {
	if _, err := s.Get(key); err != nil {
		return 0, err
	}
	t := Txn{Deletes: []string{key}}
	if expect != kvstore.AnyRevision {
		t.Expect = []Condition{{key, expect}}
	}
	revision, _, err := s.Commit(t)
	return revision, err
}

// put writes a key. The caller holds mu.
func (s *Store) put(p kvstore.Put) {
	present := s.items[p.Key]
	s.revision++
	item := kvstore.Item{Key: p.Key, Value: p.Value, CreateRevision: present.CreateRevision, ModRevision: s.revision, Lease: p.Lease}
	if item.CreateRevision == 0 {
		item.CreateRevision = s.revision
	}
	s.items[p.Key] = item
	s.record(kvstore.Event{Item: item})
}

// Changes returns the events below prefix after a revision, and a channel that
// is closed at the next change.
func (s *Store) Changes(prefix string, after int64) (kvstore.Batch, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if after < s.oldest || after > s.revision {
		return kvstore.Batch{}, nil, fault.New(fault.Stale, "", "revision %d is not in %d to %d", after, s.oldest, s.revision)
	}
	b := kvstore.Batch{Revision: s.revision}
	for _, e := range s.history {
		if e.Item.ModRevision > after && strings.HasPrefix(e.Item.Key, prefix) {
			b.Events = append(b.Events, e)
		}
	}
	return b, s.changed, nil
}

// Save keeps a copy of the items, as a backup of the service would.
func (s *Store) Save() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saved = backup{revision: s.revision, items: maps.Clone(s.items)}
}

// Restore goes back to the saved copy, revision included, and forgets the
// history.
func (s *Store) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = s.saved.revision
	s.oldest = s.saved.revision
	s.items = maps.Clone(s.saved.items)
	s.history = nil
	close(s.changed)
	s.changed = make(chan struct{})
}

// Grant makes a lease.
func (s *Store) Grant(ttl time.Duration) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	s.leases[s.nextID] = &lease{ttl: ttl, expires: s.clock.Now().Add(ttl)}
	return s.nextID
}

// KeepAlive renews a lease.
func (s *Store) KeepAlive(id int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := s.leases[id]
	if l == nil {
		return fault.New(fault.NotFound, "", "no lease %d", id)
	}
	l.expires = s.clock.Now().Add(l.ttl)
	return nil
}

// Revoke ends a lease and deletes its keys.
func (s *Store) Revoke(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
}

// ExpireLeases ends the leases that have lapsed.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
}

// expire ends lapsed leases. The caller holds mu.
func (s *Store) expire() {
	now := s.clock.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

// endLease deletes a lease and its keys. The caller holds mu.
func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.remove(key)
		}
	}
}

// remove deletes a key. The caller holds mu.
func (s *Store) remove(key string) {
	s.revision++
	delete(s.items, key)
	s.record(kvstore.Event{Item: kvstore.Item{Key: key, ModRevision: s.revision}, Deleted: true})
}

// record appends to the history and wakes the watches. The caller holds mu.
func (s *Store) record(e kvstore.Event) {
	s.history = append(s.history, e)
	if len(s.history) > historyLimit {
		s.oldest = s.history[0].Item.ModRevision
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}
