// Package kv is a stand-in of the platform's key-value service (transactions
// with revision checks, leases, watches) and of its VM list. It counts calls
// and injects faults (outage, delay, lost responses).
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

// historyLimit is the maximum number of events kept for watches.
const historyLimit = 10000

// lease is a lease and its expiry time.
type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// backup is a saved copy of the items.
type backup struct {
	revision    int64
	items       map[string]kvstore.Item
	leases      map[int64]*lease
	lastLeaseID int64
}

// Store is the state of the key-value service. Invariant: history holds the
// events of all revisions above compactedRevision, in order.
type Store struct {
	clock clockwork.Clock

	mu sync.Mutex
	// era counts how often the store has reverted to a copy, from 1.
	era               int64
	revision          int64
	compactedRevision int64
	items             map[string]kvstore.Item
	history           []kvstore.Event
	leases            map[int64]*lease
	lastLeaseID       int64
	saved             backup
	changed           chan struct{} // closed and replaced at each change
}

// NewStore returns an empty store.
func NewStore(clock clockwork.Clock) *Store {
	return &Store{
		clock:   clock,
		era:     1,
		items:   map[string]kvstore.Item{},
		leases:  map[int64]*lease{},
		changed: make(chan struct{}),
	}
}

// Get returns the item of a key.
func (s *Store) Get(key string) (kvstore.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	item, ok := s.items[key]
	if !ok {
		return kvstore.Item{}, fault.New(fault.NotFound, "", "no key %q", key)
	}
	return item, nil
}

// List returns all items whose keys have the prefix, sorted by key.
func (s *Store) List(prefix string) kvstore.Listing {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	listing := kvstore.Listing{Revision: s.revision, Era: s.era}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			listing.Items = append(listing.Items, item)
		}
	}
	slices.SortFunc(listing.Items, func(a, b kvstore.Item) int { return strings.Compare(a.Key, b.Key) })
	return listing
}

// Condition requires that a key is at a revision; 0 means that the key is
// absent.
type Condition struct {
	Key      string
	Revision int64
}

// Txn is an atomic change of several keys. The Expect fields of Writes are
// ignored.
type Txn struct {
	Expect  []Condition
	Writes  []kvstore.Put
	Deletes []string
}

// Commit applies txn and returns the new revision. If a condition fails, it
// changes nothing and returns an error of kind Conflict with the current items
// of all existing keys in txn.Expect. A write with an unknown lease fails with
// kind NotFound.
func (s *Store) Commit(txn Txn) (int64, []kvstore.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	var currentItems []kvstore.Item
	var conflict error
	for _, c := range txn.Expect {
		item, exists := s.items[c.Key]
		if exists {
			currentItems = append(currentItems, item)
		}
		if item.ModRevision != c.Revision {
			conflict = fault.New(fault.Conflict, "", "key %q is at revision %d", c.Key, item.ModRevision)
		}
	}
	if conflict != nil {
		return 0, currentItems, conflict
	}
	for _, w := range txn.Writes {
		if w.Lease != 0 && s.leases[w.Lease] == nil {
			return 0, nil, fault.New(fault.NotFound, "", "no lease %d", w.Lease)
		}
	}
	for _, w := range txn.Writes {
		s.putItem(w)
	}
	for _, key := range txn.Deletes {
		if _, exists := s.items[key]; exists {
			s.deleteItem(key)
		}
	}
	return s.revision, nil, nil
}

// Put writes a key if it is at p.Expect.
func (s *Store) Put(p kvstore.Put) (int64, error) {
	txn := Txn{Writes: []kvstore.Put{p}}
	if p.Expect != kvstore.AnyRevision {
		txn.Expect = []Condition{{p.Key, p.Expect}}
	}
	revision, _, err := s.Commit(txn)
	return revision, err
}

// Delete removes a key if it is at revision expect. It fails with kind NotFound
// if the key is absent.
func (s *Store) Delete(key string, expect int64) (int64, error) {
	if _, err := s.Get(key); err != nil {
		return 0, err
	}
	txn := Txn{Deletes: []string{key}}
	if expect != kvstore.AnyRevision {
		txn.Expect = []Condition{{key, expect}}
	}
	revision, _, err := s.Commit(txn)
	return revision, err
}

// putItem writes a key. The caller holds mu.
func (s *Store) putItem(p kvstore.Put) {
	current := s.items[p.Key]
	s.revision++
	item := kvstore.Item{Key: p.Key, Value: p.Value, CreateRevision: current.CreateRevision, ModRevision: s.revision, Lease: p.Lease}
	if item.CreateRevision == 0 {
		item.CreateRevision = s.revision
	}
	s.items[p.Key] = item
	s.appendEvent(kvstore.Event{Item: item})
}

// Changes returns the events after a revision for keys with the prefix, and a
// channel that is closed at the next change. It fails with kind Stale if the
// history no longer holds all of these events or if after is above the current
// revision.
func (s *Store) Changes(prefix string, after int64) (kvstore.Batch, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if after < s.compactedRevision || after > s.revision {
		return kvstore.Batch{}, nil, fault.New(fault.Stale, "", "revision %d is not in %d to %d", after, s.compactedRevision, s.revision)
	}
	batch := kvstore.Batch{Revision: s.revision, Era: s.era}
	for _, e := range s.history {
		if e.Item.ModRevision > after && strings.HasPrefix(e.Item.Key, prefix) {
			batch.Events = append(batch.Events, e)
		}
	}
	return batch, s.changed, nil
}

// Save keeps a copy of the items and leases, as a backup of the service does.
func (s *Store) Save() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saved = backup{revision: s.revision, items: maps.Clone(s.items), leases: cloneLeases(s.leases), lastLeaseID: s.lastLeaseID}
}

func cloneLeases(leases map[int64]*lease) map[int64]*lease {
	clone := make(map[int64]*lease, len(leases))
	for id, l := range leases {
		copied := *l
		clone[id] = &copied
	}
	return clone
}

// Restore sets the items and the revision back to the copy of the last Save, or to the
// empty state, and drops the history, as a restore from a backup does. Leases stay.
func (s *Store) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restore()
}

// restore is Restore for a caller that holds mu.
func (s *Store) restore() {
	s.revision = s.saved.revision
	s.compactedRevision = s.saved.revision
	s.items = maps.Clone(s.saved.items)
	if s.items == nil {
		s.items = map[string]kvstore.Item{}
	}
	s.history = nil
	close(s.changed)
	s.changed = make(chan struct{})
}

// Revert is Restore for a service that also loses the leases granted since the copy and
// begins a new era.
func (s *Store) Revert() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restore()
	s.leases, s.lastLeaseID = cloneLeases(s.saved.leases), s.saved.lastLeaseID
	s.era++
}

// Era returns the era.
func (s *Store) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Grant creates a lease and returns its ID.
func (s *Store) Grant(ttl time.Duration) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLeaseID++
	s.leases[s.lastLeaseID] = &lease{ttl: ttl, expiresAt: s.clock.Now().Add(ttl)}
	return s.lastLeaseID
}

// KeepAlive renews a lease for its full TTL.
func (s *Store) KeepAlive(id int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	l := s.leases[id]
	if l == nil {
		return fault.New(fault.NotFound, "", "no lease %d", id)
	}
	l.expiresAt = s.clock.Now().Add(l.ttl)
	return nil
}

// Revoke deletes a lease and its keys.
func (s *Store) Revoke(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revoke(id)
}

// ExpireLeases deletes expired leases and their keys.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
}

// expireLeases deletes expired leases and their keys. The caller holds mu.
func (s *Store) expireLeases() {
	now := s.clock.Now()
	for id, l := range s.leases {
		if now.After(l.expiresAt) {
			s.revoke(id)
		}
	}
}

// revoke deletes a lease and its keys. The caller holds mu.
func (s *Store) revoke(id int64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.deleteItem(key)
		}
	}
}

// deleteItem removes a key. The caller holds mu.
func (s *Store) deleteItem(key string) {
	s.revision++
	delete(s.items, key)
	s.appendEvent(kvstore.Event{Item: kvstore.Item{Key: key, ModRevision: s.revision}, Deleted: true})
}

// appendEvent appends e to the history and wakes the watches. The caller holds
// mu.
func (s *Store) appendEvent(e kvstore.Event) {
	s.history = append(s.history, e)
	if len(s.history) > historyLimit {
		s.compactedRevision = s.history[0].Item.ModRevision
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}
