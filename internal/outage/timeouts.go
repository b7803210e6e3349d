package outage

import (
	"slices"
	"time"
)

const (
	// timeoutsKept is the number of requests by which the usual timeout of callers is known.
	timeoutsKept = 64
	// minFirstFraction is the fraction of the median timeout below which a request is taken
	// for a retry. Timeouts of first attempts differ too.
	minFirstFraction = 0.9
)

// Timeouts holds the last timeouts that callers of a route named while its service served. Most
// requests are then first attempts, and a retry names what is left of its caller's time.
type Timeouts struct {
	sorted []time.Duration
	last   [timeoutsKept]time.Duration
	next   int
}

// Add records the timeout of a request.
func (t *Timeouts) Add(timeout time.Duration) {
	at := t.next % timeoutsKept
	t.next++
	if len(t.sorted) == timeoutsKept {
		i, _ := slices.BinarySearch(t.sorted, t.last[at])
		t.sorted = slices.Delete(t.sorted, i, i+1)
	}
	t.last[at] = timeout
	i, _ := slices.BinarySearch(t.sorted, timeout)
	t.sorted = slices.Insert(t.sorted, i, timeout)
}

// AttemptAge returns about how long ago the caller of a request sent its first one, as far as
// the timeout tells, 0 for a first attempt.
func (t *Timeouts) AttemptAge(timeout time.Duration) time.Duration {
	if len(t.sorted) == 0 || timeout <= 0 {
		return 0
	}
	usual := t.sorted[len(t.sorted)/2]
	if float64(timeout) >= minFirstFraction*float64(usual) {
		return 0
	}
	return usual - timeout
}
