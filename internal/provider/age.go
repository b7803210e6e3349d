package provider

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// unknownAge is an age on the wire of what was never known to be the newest.
const unknownAge int64 = -1

// Age knows when something was last known to be the newest at the platform.
// Ages, not times, travel between processes, so that their clocks need not
// agree. It is safe for concurrent use.
type Age struct {
	clock clockwork.Clock

	mu        sync.Mutex // leaf lock
	createdAt time.Time
	asOf      time.Time // zero means never
}

// NewAge returns an age that was never observed.
func NewAge(clock clockwork.Clock) *Age {
	return &Age{clock: clock, createdAt: clock.Now()}
}

// Observe notes that it was the newest the given age ago.
func (a *Age) Observe(age time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t := a.clock.Now().Add(-age); age >= 0 && t.After(a.asOf) {
		a.asOf = t
	}
}

// Get returns the age; false means that it was never the newest, and then the
// age is the time since the start.
func (a *Age) Get() (time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.asOf.IsZero() {
		return a.clock.Since(a.createdAt), false
	}
	return a.clock.Since(a.asOf), true
}

// wire returns the age in milliseconds for a message.
func (a *Age) wire() int64 {
	age, known := a.Get()
	if !known {
		return unknownAge
	}
	return age.Milliseconds()
}

func fromWire(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
