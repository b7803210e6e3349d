package relay

import (
	"maps"
	"slices"
	"sync"

	"github.com/kingcupreel/kingcupreel/internal/feed"
	"github.com/kingcupreel/kingcupreel/internal/kvstore"
)

// maxMirrorEvents is the number of changes that a mirror keeps. A process that is further
// behind lists the keys again.
const maxMirrorEvents = 1024

// Mirror holds the keys below one prefix as a feed has read them, with the latest changes,
// and passes everything on to the next sink. It implements feed.Sink and is safe for
// concurrent use; mu is a leaf.
//
// Invariant: events holds every change after the position base up to position.
type Mirror struct {
	next feed.Sink

	mu             sync.Mutex
	items          map[string]kvstore.Item
	events         []kvstore.Event
	base, position kvstore.Position
	// lastChange is the position of the last change known.
	lastChange kvstore.Position
	reachable  bool
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// NewMirror returns an empty mirror in front of a sink.
func NewMirror(next feed.Sink) *Mirror {
	return &Mirror{next: next, items: map[string]kvstore.Item{}, changed: make(chan struct{})}
}

// Replace implements feed.Sink.
func (m *Mirror) Replace(l kvstore.Listing) {
	m.mu.Lock()
	m.items, m.events = map[string]kvstore.Item{}, nil
	m.base, m.position, m.lastChange = l.Position(), l.Position(), kvstore.Position{Era: l.Era}
	for _, item := range l.Items {
		m.items[item.Key] = item
		m.lastChange.Revision = max(m.lastChange.Revision, item.ModRevision)
	}
	m.signal()
	m.mu.Unlock()
	m.next.Replace(l)
}

// Apply implements feed.Sink.
func (m *Mirror) Apply(b kvstore.Batch) {
	m.mu.Lock()
	for _, e := range b.Events {
		if e.Deleted {
			delete(m.items, e.Item.Key)
		} else {
			m.items[e.Item.Key] = e.Item
		}
		m.lastChange.Revision = max(m.lastChange.Revision, e.Item.ModRevision)
	}
	m.events = append(m.events, b.Events...)
	if excess := len(m.events) - maxMirrorEvents; excess > 0 {
		m.base.Revision = m.events[excess-1].Item.ModRevision
		m.events = slices.Clone(m.events[excess:])
	}
	m.position.Revision = max(m.position.Revision, b.Revision)
	m.signal()
	m.mu.Unlock()
	m.next.Apply(b)
}

// SetReachable implements feed.Sink.
func (m *Mirror) SetReachable(reachable bool) {
	m.mu.Lock()
	m.reachable = reachable
	m.signal()
	m.mu.Unlock()
	m.next.SetReachable(reachable)
}

// signal wakes the waiting watches. The caller holds mu.
func (m *Mirror) signal() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Position returns the position up to which the mirror has all changes, and LastChange
// that of the last change it knows.
func (m *Mirror) Position() kvstore.Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.position
}

// LastChange returns the position of the last change that the mirror knows.
func (m *Mirror) LastChange() kvstore.Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastChange
}

// list returns all keys. ok is false before the first listing and while the service is
// unreachable. changed is closed at the next change of the mirror.
func (m *Mirror) list() (l kvstore.Listing, ok bool, changed <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.position.Revision == 0 || !m.reachable {
		return kvstore.Listing{}, false, m.changed
	}
	return kvstore.Listing{Revision: m.position.Revision, Era: m.position.Era, Items: slices.Collect(maps.Values(m.items))}, true, m.changed
}

// changes is what a mirror knows of the changes after a position.
type changes struct {
	batch kvstore.Batch
	// stale is set if the mirror doesn't have all changes after the position.
	stale bool
	// reachable is set if the mirror is up to date with the service.
	reachable bool
	// changed is closed at the next change of the mirror.
	changed <-chan struct{}
}

// after returns the changes after a position.
func (m *Mirror) after(at kvstore.Position) changes {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := changes{batch: kvstore.Batch{Revision: m.position.Revision, Era: m.position.Era}, reachable: m.reachable && m.position.Revision != 0, changed: m.changed}
	if at.Era != m.position.Era {
		c.stale = m.position.Era > at.Era
		c.reachable = c.reachable && c.stale // a mirror of an earlier era lies behind
		return c
	}
	c.stale = at.Revision < m.base.Revision
	for _, e := range m.events {
		if e.Item.ModRevision > at.Revision {
			c.batch.Events = append(c.batch.Events, e)
		}
	}
	return c
}
