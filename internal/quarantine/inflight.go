package quarantine

import "sync"

// InFlight tracks the requests that an agent's engine runs. It attributes each
// crash, once, to all requests that were in flight. It is safe for concurrent
// use.
type InFlight struct {
	mu         sync.Mutex
	crashCount int // crashes so far
	runs       map[*Run]bool
}

// Run is one request in flight.
type Run struct {
	suspect       Suspect
	answerStarted func() bool
	crashCount    int // crashes before the run started
}

// NewInFlight returns a tracker without requests.
func NewInFlight() *InFlight { return &InFlight{runs: map[*Run]bool{}} }

// Start records that the engine runs a request. The parts of its prompt are suspects until
// answerStarted returns true.
func (f *InFlight) Start(s Suspect, answerStarted func() bool) *Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &Run{suspect: s, answerStarted: answerStarted, crashCount: f.crashCount}
	f.runs[r] = true
	return r
}

// End records that a request has ended.
func (f *InFlight) End(r *Run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.runs, r)
}

// Crashed records that a request was interrupted by a crash. On the first call
// after a crash it calls report with all suspects in flight; the other requests
// of that crash are not reported again. When it returns, the report of the
// run's crash has been made.
func (f *InFlight) Crashed(r *Run, report func([]Suspect)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.crashCount < f.crashCount {
		return
	}
	f.crashCount++
	included := map[Fingerprint]bool{}
	var suspects []Suspect
	for other := range f.runs {
		if other.crashCount < f.crashCount && !included[other.suspect.Fingerprint] {
			included[other.suspect.Fingerprint] = true
			s := other.suspect
			if other.answerStarted() {
				s.Parts = nil
			}
			suspects = append(suspects, s)
		}
	}
	report(suspects)
}
