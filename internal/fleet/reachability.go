package fleet

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// unreachableAfter is the time without any message from a data centre after which it
// counts as unreachable: three intervals of digests and of load reports.
const unreachableAfter = 1500 * time.Millisecond

// Reachability tracks which data centres this process hears from: entries send each other
// digests and ranks send the entries load reports, several a second in all. It is safe for
// concurrent use; its lock is a leaf.
type Reachability struct {
	clock clockwork.Clock
	own   string

	mu      sync.Mutex
	heardAt map[string]time.Time
}

// NewReachability returns a tracker for a process in the data centre own.
func NewReachability(clock clockwork.Clock, own string) *Reachability {
	return &Reachability{clock: clock, own: own, heardAt: map[string]time.Time{}}
}

// Heard records a message or an answer from a data centre.
func (r *Reachability) Heard(dataCentre string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heardAt[dataCentre] = r.clock.Now()
}

// Reachable reports whether a data centre is the own one, has been heard from lately, or
// has never been heard from.
func (r *Reachability) Reachable(dataCentre string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, known := r.heardAt[dataCentre]
	return dataCentre == r.own || !known || r.clock.Since(at) <= unreachableAfter
}
