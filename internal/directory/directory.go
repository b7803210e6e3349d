// Package directory knows the upstreams of every service: where they are,
// whether they take work, and since when that is known. It is pure but for its
// clock.
package directory

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Upstream is one start of an upstream as it announces itself.
type Upstream struct {
	ID, Service, Address, DataCentre string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Started is the start of this incarnation in Unix milliseconds, 0 for
	// unknown. An id may come back with a later one.
	Started int64
	// Leaving says that it takes no new work.
	Leaving bool
	// Warmup is how much longer the upstream is slow after its start.
	Warmup time.Duration
}

const (
	// RecoveryGrace is how long after the store's return an absent upstream is
	// still used: those alive are back in about two seconds.
	RecoveryGrace = 2200 * time.Millisecond
	// catchUpWindow is the time after the store's return in which what was missed
	// comes in.
	catchUpWindow = 300 * time.Millisecond
	// massLossFraction is the part of a service's upstreams whose loss at one moment is
	// taken for an outage of the store and not for the loss of upstreams.
	massLossFraction = 0.5
	// minMassLoss is the least number of upstreams that makes a mass loss.
	minMassLoss = 3
	// lossWindow is the time within which losses count as one moment.
	lossWindow = 300 * time.Millisecond
)

// Departure names an incarnation that takes no new work.
type Departure struct {
	ID      string
	Started int64
}

// record is an upstream with what is known of its entry.
type record struct {
	Upstream
	revision int64
	// absentSince is when the entry was found missing; zero while it is there.
	// It is used until graceUntil all the same.
	absentSince, graceUntil time.Time
}

// Directory holds the upstreams. It is safe for concurrent use; its lock is a
// leaf.
type Directory struct {
	clock clockwork.Clock

	mu       sync.Mutex
	records  map[string]*record
	departed map[Departure]time.Time
	// storeUnreachable says that the store can't be reached, regainedAt is when it
	// could be again.
	storeUnreachable bool
	storeRegainedAt  time.Time
	synced           bool
	changed          chan struct{}
	// onDeparture is called, without the lock, after a departure becomes known
	// from the store.
	onDeparture func()
}

// departureTTL is how long a departure is remembered: longer than an
// upstream goes on serving after it has announced its end.
const departureTTL = 2 * time.Minute

// New returns an empty directory.
func New(clock clockwork.Clock) *Directory {
	return &Directory{clock: clock, records: map[string]*record{}, departed: map[Departure]time.Time{}, changed: make(chan struct{}, 1)}
}

// Changed receives after changes; several changes may be one signal.
func (d *Directory) Changed() <-chan struct{} { return d.changed }

// Synced says whether the store has been read once.
func (d *Directory) Synced() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.synced
}

// Put takes an upstream's entry at a revision of the store.
func (d *Directory) Put(u Upstream, revision int64) {
	d.mu.Lock()
	before := len(d.departed)
	d.put(u, revision)
	departed, notify := len(d.departed) > before, d.onDeparture
	d.mu.Unlock()
	if departed && notify != nil {
		notify()
	}
}

// OnDeparture registers the function that is called when the store shows a
// departure. It is set before the directory is used.
func (d *Directory) OnDeparture(f func()) { d.onDeparture = f }

// put is Put. The caller holds mu.
func (d *Directory) put(u Upstream, revision int64) {
	old := d.records[u.ID]
	if old != nil && old.revision >= revision {
		return
	}
	dep := Departure{u.ID, u.Started}
	if _, known := d.departed[dep]; u.Leaving && !known {
		d.departed[dep] = d.clock.Now()
	}
	if _, gone := d.departed[dep]; gone {
		u.Leaving = true
	}
	if old != nil && old.Upstream == u && old.absentSince.IsZero() {
		old.revision = revision
		return
	}
	d.records[u.ID] = &record{Upstream: u, revision: revision}
	d.removeSuperseded(u)
	d.signal()
}

// removeSuperseded drops the upstreams that had the address before: a process that
// starts at an address is the only one there. The caller holds mu.
func (d *Directory) removeSuperseded(u Upstream) {
	for id, r := range d.records {
		if id != u.ID && r.Address == u.Address && r.Started < u.Started {
			delete(d.records, id)
		}
	}
}

// Delete takes the removal of an upstream's entry at a revision.
func (d *Directory) Delete(id string, revision int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delete(id, revision)
}

// delete is Delete. The caller holds mu.
func (d *Directory) delete(id string, revision int64) {
	r := d.records[id]
	if r == nil || r.revision >= revision || !r.absentSince.IsZero() {
		return
	}
	now := d.clock.Now()
	r.revision = revision
	r.absentSince = now
	switch {
	case now.Sub(d.storeRegainedAt) < catchUpWindow:
		r.graceUntil = d.storeRegainedAt.Add(RecoveryGrace)
	case d.isMassLoss(r.Service, now):
		d.extendGrace(r.Service, now)
	}
	d.signal()
}

// extendGrace keeps in use the upstreams of a service that vanished just now.
// The caller holds mu.
func (d *Directory) extendGrace(service string, now time.Time) {
	for _, r := range d.records {
		if r.Service == service && !r.absentSince.IsZero() && now.Sub(r.absentSince) < lossWindow {
			r.graceUntil = now.Add(RecoveryGrace)
		}
	}
}

// isMassLoss says whether so many upstreams of a service vanished just now that
// the store's own outage explains it better. The caller holds mu.
func (d *Directory) isMassLoss(service string, now time.Time) bool {
	all, lost := 0, 0
	for _, r := range d.records {
		if r.Service != service || r.Leaving {
			continue
		}
		if r.absentSince.IsZero() {
			all++
		} else if now.Sub(r.absentSince) < lossWindow {
			all++
			lost++
		}
	}
	return lost >= minMassLoss && float64(lost) >= massLossFraction*float64(all)
}

// Replace takes a whole listing at a revision.
func (d *Directory) Replace(list map[string]Upstream, revisions map[string]int64, revision int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, u := range list {
		d.put(u, revisions[id])
	}
	for id := range d.records {
		if _, listed := list[id]; !listed {
			d.delete(id, revision)
		}
	}
	if !d.synced {
		d.synced = true
		d.signal()
	}
}

// Depart takes the word of another process that an incarnation is leaving. It
// returns false when that was known.
func (d *Directory) Depart(dep Departure) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, known := d.departed[dep]; known {
		return false
	}
	d.departed[dep] = d.clock.Now()
	if r := d.records[dep.ID]; r != nil && r.Started == dep.Started && !r.Leaving {
		r.Leaving = true
		d.signal()
	}
	return true
}

// Departures returns the incarnations that are known to be leaving, the one
// known longest first.
func (d *Directory) Departures() []Departure {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	var list []Departure
	for dep, at := range d.departed {
		if now.Sub(at) > departureTTL {
			delete(d.departed, dep)
			continue
		}
		list = append(list, dep)
	}
	slices.SortFunc(list, func(a, b Departure) int {
		return cmp.Or(d.departed[a].Compare(d.departed[b]), cmp.Compare(a.ID, b.ID))
	})
	return list
}

// SetReachable takes whether the store answers. An upstream whose entry is found
// missing just when it answers again is used until ReturnGrace has passed.
func (d *Directory) SetReachable(ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ok && d.storeUnreachable {
		d.storeRegainedAt = d.clock.Now()
	}
	d.storeUnreachable = !ok
}

// RemoveExpired drops the upstreams whose absence has become final.
func (d *Directory) RemoveExpired() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	for id, r := range d.records {
		if !r.inUse(now) {
			delete(d.records, id)
			d.signal()
		}
	}
}

// inUse says whether the upstream's entry is there, or its absence means
// nothing.
func (r *record) inUse(now time.Time) bool {
	return r.absentSince.IsZero() || now.Before(r.graceUntil)
}

// Usable returns the upstreams that take new work, by id.
func (d *Directory) Usable() []Upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	var list []Upstream
	for _, r := range d.records {
		if !r.Leaving && r.inUse(now) {
			list = append(list, r.Upstream)
		}
	}
	slices.SortFunc(list, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// signal wakes the receiver of Changed. The caller holds mu.
func (d *Directory) signal() {
	select {
	case d.changed <- struct{}{}:
	default:
	}
}
