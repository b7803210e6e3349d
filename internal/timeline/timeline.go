// Package timeline records typed events in a ring buffer per process and merges
// the events of all processes in causal order.
package timeline

import (
	"cmp"
	"slices"
	"sync"

	"github.com/jonboulle/clockwork"
)

// DefaultCapacity is the default number of events that a ring holds.
const DefaultCapacity = 4096

// Kind is the type of an event.
type Kind string

// The event kinds.
const (
	Started         Kind = "started"
	Stopping        Kind = "stopping"
	ConfigApplied   Kind = "config-applied"
	Connected       Kind = "connected"
	Disconnected    Kind = "disconnected"
	Admitted        Kind = "admitted"
	Dispatched      Kind = "dispatched"
	AttemptRefused  Kind = "attempt-refused"
	AttemptStarted  Kind = "attempt-started"
	AttemptEnded    Kind = "attempt-ended"
	Answered        Kind = "answered"
	UpstreamLeaving Kind = "upstream-leaving"
	UpstreamLimit   Kind = "upstream-limit"
	MapActive       Kind = "map-active"
	MapPlanned      Kind = "map-planned"
	LeaseAcquired   Kind = "lease-taken"
	OrderRefused    Kind = "order-refused"
	UpstreamCrashed Kind = "upstream-crashed"
)

// Stamp is a hybrid logical clock value: wall time in microseconds and a
// counter that orders events of the same microsecond.
type Stamp struct {
	WallUS int64  `json:"wall_us"`
	Count  uint32 `json:"count"`
}

// Compare returns -1, 0 or 1 if s is before, equal to or after o.
func (s Stamp) Compare(o Stamp) int {
	if c := cmp.Compare(s.WallUS, o.WallUS); c != 0 {
		return c
	}
	return cmp.Compare(s.Count, o.Count)
}

// Event is one event of the timeline. Fields that don't apply are empty.
type Event struct {
	At       Stamp  `json:"at"`
	Process  string `json:"process"`
	Kind     Kind   `json:"kind"`
	Object   string `json:"object,omitempty"`
	Revision int64  `json:"revision,omitempty"`
	Request  string `json:"request,omitempty"`
	Attempt  uint32 `json:"attempt,omitempty"`
	Detail   string `json:"detail,omitempty"`
}

// Ring holds a process's latest events and its hybrid logical clock. It is safe
// for concurrent use.
type Ring struct {
	process string
	clock   clockwork.Clock

	mu     sync.Mutex // leaf lock: nothing is called while it is held
	last   Stamp
	events []Event
	next   int
}

// NewRing returns a ring that holds the latest events of a process, at most
// capacity.
func NewRing(process string, capacity int, clock clockwork.Clock) *Ring {
	return &Ring{process: process, clock: clock, events: make([]Event, 0, capacity)}
}

// Add records an event, with its stamp and process set. If the ring is full, it
// replaces the oldest event.
func (r *Ring) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tick(Stamp{})
	e.At = r.last
	e.Process = r.process
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % len(r.events)
}

// Observe advances the ring's clock past a stamp received from another process,
// so that later events here are ordered after the sender's earlier ones.
func (r *Ring) Observe(s Stamp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tick(s)
}

// Now returns a stamp for a message to another process.
func (r *Ring) Now() Stamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tick(Stamp{})
	return r.last
}

// tick advances the clock to the wall time or, if that isn't later, just past
// the last stamp and the received one. The caller holds mu.
func (r *Ring) tick(received Stamp) {
	wall := Stamp{WallUS: r.clock.Now().UnixMicro()}
	last := r.last
	if received.Compare(last) > 0 {
		last = received
	}
	if wall.Compare(last) > 0 {
		r.last = wall
		return
	}
	r.last = Stamp{WallUS: last.WallUS, Count: last.Count + 1}
}

// Events returns the recorded events, oldest first.
func (r *Ring) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Event, 0, len(r.events))
	out = append(out, r.events[r.next:]...)
	return append(out, r.events[:r.next]...)
}

// Merge returns the events of several rings in causal order.
func Merge(rings ...[]Event) []Event {
	all := slices.Concat(rings...)
	slices.SortStableFunc(all, func(a, b Event) int {
		if c := a.At.Compare(b.At); c != 0 {
			return c
		}
		return cmp.Compare(a.Process, b.Process)
	})
	return all
}
