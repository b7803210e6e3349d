package quarantine

import "sync"

// InFlight is an agent's account of what its engine runs. It attributes each
// crash to everything that was in flight, once. It is safe for concurrent use.
type InFlight struct {
	mu      sync.Mutex
	crashes int
	running map[*Run]bool
}

// Run is one request in flight.
type Run struct {
	suspect Suspect
	crashes int
}

// NewInFlight returns an empty account.
func NewInFlight() *InFlight { return &InFlight{running: map[*Run]bool{}} }

// Start records that the engine has a request.
func (f *InFlight) Start(s Suspect) *Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &Run{suspect: s, crashes: f.crashes}
	f.running[r] = true
	return r
}

// End records that a request has ended.
func (f *InFlight) End(r *Run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.running, r)
}

// Crashed records that a request broke off. For the first one of a crash it
// calls report with all that was in flight. It returns after the report of the
// run's crash has been made.
func (f *InFlight) Crashed(r *Run, report func([]Suspect)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.crashes < f.crashes {
		return
	}
	f.crashes++
	seen := map[Fingerprint]bool{}
	var suspects []Suspect
	for other := range f.running {
		if other.crashes < f.crashes && !seen[other.suspect.Fingerprint] {
			seen[other.suspect.Fingerprint] = true
			suspects = append(suspects, other.suspect)
		}
	}
	report(suspects)
}
