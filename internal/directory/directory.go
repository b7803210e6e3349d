// Package directory tracks the upstreams of every service: their addresses,
// whether they accept new work, and since when their registration is missing.
// Upstreams register in the key-value service, which this package calls the
// store. It does no I/O; its only dependency is a clock.
package directory

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupreel/kingcupreel/internal/kvstore"
)

// Upstream is one incarnation of an upstream, as its registration in the store
// describes it.
type Upstream struct {
	ID, Service, Address, DataCentre string
	// Slots is the number of requests that the upstream runs at once.
	Slots int
	// Started is the start time of this incarnation in Unix milliseconds, 0
	// for unknown. A later incarnation may use the same ID.
	Started int64
	// Leaving is set if the upstream accepts no new work.
	Leaving bool
	// Warmup is how much longer the upstream stays slow after its start.
	Warmup time.Duration
}

const (
	// RecoveryGrace is how long after the store becomes reachable again an
	// upstream without a registration is still used. Running upstreams
	// register again within about two seconds.
	RecoveryGrace = 2200 * time.Millisecond
	// catchUpWindow is the time after the store becomes reachable again within
	// which the changes that were missed arrive.
	catchUpWindow = 300 * time.Millisecond
	// massLossFraction is the fraction of a service's upstreams whose
	// simultaneous loss is treated as an outage of the store rather than of
	// the upstreams.
	massLossFraction = 0.5
	// minMassLoss is the smallest number of lost upstreams that counts as a
	// mass loss.
	minMassLoss = 3
	// massLossGraceFraction limits the grace after a mass loss, which may be a departure
	// after all, to that fraction of the bound on leaving upstreams. The rest is for
	// learning of the loss and for requests that are already on their way.
	massLossGraceFraction = 0.6
	// lossWindow is the time within which losses count as simultaneous.
	lossWindow = 300 * time.Millisecond
	// DefaultHeartbeat is the interval at which upstreams renew their registrations,
	// unless SetHeartbeat sets another one.
	DefaultHeartbeat = 1 * time.Second
	// restoreHeartbeats is the number of heartbeats after the store came back from an
	// older copy until its registrations can be relied on: running upstreams have
	// registered again and the store has removed those that missed three heartbeats.
	restoreHeartbeats = 4
)

// Departure identifies an incarnation that accepts no new work.
type Departure struct {
	ID string
	// Started is as in Upstream.
	Started int64
}

// Incarnation identifies this incarnation of the upstream.
func (u Upstream) Incarnation() Departure { return Departure{ID: u.ID, Started: u.Started} }

// record is an upstream with the state of its registration in the store.
type record struct {
	Upstream
	position kvstore.Position
	// absentSince is the time when the registration was found missing, zero
	// while it exists. Until graceUntil the upstream is used without one.
	absentSince, graceUntil time.Time
	// unconfirmedUntil is the time until which a registration may be outdated.
	unconfirmedUntil time.Time
}

// Directory holds the upstreams. It is safe for concurrent use. Its lock is a
// leaf: no other lock is taken while it is held.
type Directory struct {
	clock clockwork.Clock

	mu       sync.Mutex
	records  map[string]*record
	departed map[Departure]time.Time
	// storeUnreachable is set if the store can't be reached. storeRegainedAt
	// is the time when it last became reachable again.
	storeUnreachable bool
	storeRegainedAt  time.Time
	synced           bool
	changed          chan struct{}
	// removed holds the incarnations whose registrations were removed, and when. If a
	// restored store shows one again, its registration may be outdated.
	removed map[Departure]time.Time
	// era is the era of the last listing, heartbeat the interval at which upstreams
	// renew their registrations.
	era       int64
	heartbeat time.Duration
	// departureBound is the longest time for which a leaving upstream may get requests, 0
	// for no bound.
	departureBound time.Duration
	// onDeparture is called without the lock after the store has shown a new
	// departure.
	onDeparture func()
}

// departureTTL is how long a departure is remembered. It exceeds the time that
// an upstream usually keeps running after it has announced its departure.
const departureTTL = 2 * time.Minute

// New returns an empty directory.
func New(clock clockwork.Clock) *Directory {
	return &Directory{clock: clock, records: map[string]*record{}, departed: map[Departure]time.Time{}, removed: map[Departure]time.Time{}, heartbeat: DefaultHeartbeat, changed: make(chan struct{}, 1)}
}

// Changed returns a channel that receives after changes. One receive may cover
// several changes.
func (d *Directory) Changed() <-chan struct{} { return d.changed }

// Synced reports whether the store has been read completely at least once.
func (d *Directory) Synced() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.synced
}

// SetHeartbeat sets the interval at which upstreams renew their registrations. It must
// be called before the directory is used.
func (d *Directory) SetHeartbeat(interval time.Duration) { d.heartbeat = interval }

// SetDepartureBound sets the longest time for which a leaving upstream may get requests; 0
// means no bound. It must be called before the directory is used.
func (d *Directory) SetDepartureBound(bound time.Duration) { d.departureBound = bound }

// Put stores an upstream's registration as of a position of the store. It ignores a
// position that is not after the stored one.
func (d *Directory) Put(u Upstream, at kvstore.Position) {
	d.mu.Lock()
	before := len(d.departed)
	delete(d.removed, u.Incarnation())
	d.put(u, at)
	departed, notify := len(d.departed) > before, d.onDeparture
	d.mu.Unlock()
	if departed && notify != nil {
		notify()
	}
}

// OnDeparture registers the function that is called when the store shows a new
// departure. It must be called before the directory is used.
func (d *Directory) OnDeparture(f func()) { d.onDeparture = f }

// put is Put without notification. The caller holds mu.
func (d *Directory) put(u Upstream, at kvstore.Position) {
	old := d.records[u.ID]
	if old != nil && !at.After(old.position) {
		return
	}
	dep := u.Incarnation()
	if _, known := d.departed[dep]; u.Leaving && !known {
		d.departed[dep] = d.clock.Now()
	}
	if _, gone := d.departed[dep]; gone {
		u.Leaving = true
	}
	if old != nil && old.Upstream == u && old.absentSince.IsZero() {
		old.position = at
		return
	}
	d.records[u.ID] = &record{Upstream: u, position: at}
	d.removeSuperseded(u)
	d.signal()
}

// removeSuperseded removes older incarnations at the address of u: only the
// process that started last can use the address. The caller holds mu.
func (d *Directory) removeSuperseded(u Upstream) {
	for id, r := range d.records {
		if id != u.ID && r.Address == u.Address && r.Started < u.Started {
			delete(d.records, id)
		}
	}
}

// Delete records the removal of an upstream's registration at a position of the store.
func (d *Directory) Delete(id string, at kvstore.Position) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delete(id, at)
}

// delete is Delete for a caller that holds mu.
func (d *Directory) delete(id string, at kvstore.Position) {
	r := d.records[id]
	if r == nil || !at.After(r.position) || !r.absentSince.IsZero() {
		return
	}
	now := d.clock.Now()
	r.position = at
	r.absentSince = now
	d.removed[r.Incarnation()] = now
	switch {
	case now.Sub(d.storeRegainedAt) < catchUpWindow:
		r.graceUntil = d.storeRegainedAt.Add(RecoveryGrace)
	case d.isMassLoss(r.Service, now):
		d.extendGrace(r.Service, now)
	}
	d.signal()
}

// extendGrace keeps upstreams of a service in use that were lost within
// lossWindow. The caller holds mu.
func (d *Directory) extendGrace(service string, now time.Time) {
	for _, r := range d.records {
		if r.Service == service && !r.absentSince.IsZero() && now.Sub(r.absentSince) < lossWindow {
			r.graceUntil = now.Add(d.massLossGrace())
		}
	}
}

// massLossGrace is how long upstreams that were lost together stay in use.
func (d *Directory) massLossGrace() time.Duration {
	if d.departureBound == 0 {
		return RecoveryGrace
	}
	return min(RecoveryGrace, time.Duration(massLossGraceFraction*float64(d.departureBound)))
}

// isMassLoss reports whether so many upstreams of a service were lost within
// lossWindow that an outage of the store is the likelier cause. An upstream whose
// registration says that it is leaving counts as present: the store has kept that one. The
// caller holds mu.
func (d *Directory) isMassLoss(service string, now time.Time) bool {
	all, lost := 0, 0
	for _, r := range d.records {
		if r.Service != service {
			continue
		}
		switch {
		case r.absentSince.IsZero():
			all++
		case !r.Leaving && now.Sub(r.absentSince) < lossWindow:
			all++
			lost++
		}
	}
	return lost >= minMassLoss && float64(lost) >= massLossFraction*float64(all)
}

// Replace stores a complete listing of the store with the position of each registration.
// Upstreams that are not listed are removed at the position of the listing.
func (d *Directory) Replace(list map[string]Upstream, positions map[string]kvstore.Position, at kvstore.Position) {
	d.mu.Lock()
	defer d.mu.Unlock()
	restored := d.synced && at.Era != d.era
	d.era = at.Era
	for id, u := range list {
		if restored {
			d.putRestored(u, positions[id])
		} else {
			d.put(u, positions[id])
		}
	}
	for id, r := range d.records {
		if _, listed := list[id]; listed {
			continue
		}
		known := r.absentSince.IsZero()
		d.delete(id, at)
		if restored && known {
			// The copy may be older than the registration.
			r.graceUntil = d.clock.Now().Add(d.restoreGrace())
		}
	}
	if !d.synced {
		d.synced = true
		d.signal()
	}
}

// restoreGrace is how long the registrations of a store that came back from an older copy
// can't be relied on.
func (d *Directory) restoreGrace() time.Duration { return restoreHeartbeats * d.heartbeat }

// putRestored is put for a registration in the first listing of a new era. It ignores one
// of an earlier incarnation than the known one under its ID or at its address. If the registration was removed in an
// earlier era, the upstream is only used once it is known that it renews its
// registration. The caller holds mu.
func (d *Directory) putRestored(u Upstream, at kvstore.Position) {
	for _, r := range d.records {
		if (r.ID == u.ID || r.Address == u.Address) && r.Started > u.Started {
			return
		}
	}
	d.put(u, at)
	_, removed := d.removed[u.Incarnation()]
	if r := d.records[u.ID]; removed && r != nil && r.Incarnation() == u.Incarnation() {
		r.unconfirmedUntil = d.clock.Now().Add(d.restoreGrace())
	}
}

// Depart records another process's report that an incarnation is leaving. It
// returns false if that was already known.
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

// Departures returns the incarnations that are known to be leaving, oldest report
// first, without those reported more than departureTTL ago. These are forgotten unless
// they are still registered.
func (d *Directory) Departures() []Departure {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	var list []Departure
	for dep, at := range d.departed {
		if now.Sub(at) > departureTTL {
			if r := d.records[dep.ID]; r == nil || r.Started != dep.Started {
				delete(d.departed, dep)
			}
			continue
		}
		list = append(list, dep)
	}
	slices.SortFunc(list, func(a, b Departure) int {
		return cmp.Or(d.departed[a].Compare(d.departed[b]), cmp.Compare(a.ID, b.ID))
	})
	return list
}

// SetReachable records whether the store answers. After an outage, an upstream
// whose registration is found missing within catchUpWindow stays in use until
// RecoveryGrace has passed.
func (d *Directory) SetReachable(ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ok && d.storeUnreachable {
		d.storeRegainedAt = d.clock.Now()
	}
	d.storeUnreachable = !ok
}

// RemoveExpired removes the upstreams that have no registration and whose grace period,
// if any, has ended, and uses those whose registrations have been confirmed.
func (d *Directory) RemoveExpired() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	for id, r := range d.records {
		if !r.inUse(now) {
			delete(d.records, id)
			d.signal()
		}
		if !r.unconfirmedUntil.IsZero() && !now.Before(r.unconfirmedUntil) {
			r.unconfirmedUntil = time.Time{}
			d.signal()
		}
	}
	maps.DeleteFunc(d.removed, func(_ Departure, at time.Time) bool { return now.Sub(at) > departureTTL })
}

// inUse reports whether the upstream has a registration or is within its
// grace period.
func (r *record) inUse(now time.Time) bool {
	return r.absentSince.IsZero() || now.Before(r.graceUntil)
}

// Usable returns the upstreams that accept new work, sorted by ID.
func (d *Directory) Usable() []Upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	var list []Upstream
	for _, r := range d.records {
		if !r.Leaving && r.inUse(now) && !now.Before(r.unconfirmedUntil) {
			list = append(list, r.Upstream)
		}
	}
	slices.SortFunc(list, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// signal makes the channel of Changed ready to receive. The caller holds mu.
func (d *Directory) signal() {
	select {
	case d.changed <- struct{}{}:
	default:
	}
}
