package provider

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// unknownAge is the age in a message, in milliseconds, of data that was never
// known to be current.
const unknownAge int64 = -1

// Age tracks how long ago some data was last known to be current at its source,
// the key-value service or the VM list. Processes exchange ages, not times, so
// that their clocks need not agree. It is safe for concurrent use.
type Age struct {
	clock clockwork.Clock

	mu        sync.Mutex // leaf lock
	createdAt time.Time
	asOf      time.Time // zero means never
}

// NewAge returns an age that has not been observed.
func NewAge(clock clockwork.Clock) *Age {
	return &Age{clock: clock, createdAt: clock.Now()}
}

// Observe records that the data was current the given age ago. It ignores a
// negative age and one older than what is known.
func (a *Age) Observe(age time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t := a.clock.Now().Add(-age); age >= 0 && t.After(a.asOf) {
		a.asOf = t
	}
}

// Get returns the age. If the data was never known to be current, it returns
// the time since NewAge and false.
func (a *Age) Get() (time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.asOf.IsZero() {
		return a.clock.Since(a.createdAt), false
	}
	return a.clock.Since(a.asOf), true
}

// wire returns the age in milliseconds for a message, unknownAge if it was
// never observed.
func (a *Age) wire() int64 {
	age, known := a.Get()
	if !known {
		return unknownAge
	}
	return age.Milliseconds()
}

// fromWire converts an age in a message, in milliseconds.
func fromWire(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
