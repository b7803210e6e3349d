package warmup

import "time"

const (
	// window is the time over which a cold upstream's requests count.
	window = 1 * time.Second
	// MaxDelay is how long after its permit a request to a cold upstream may leave: two permits
	// of an entry are that much further apart than the window.
	MaxDelay = 100 * time.Millisecond
	// viewsInForce is the number of views of the fleet that entries may hold at once: an entry
	// that is cut off doesn't see who joins.
	viewsInForce = 2
)

// Limit is what a cold upstream bears from all entries together.
type Limit struct {
	// Rate is in requests a second. The upstream crashes beyond Rate times Overage plus
	// Allowance requests within a second; an Overage below 1 counts as 1.
	Rate, Overage, Allowance float64
}

// permits returns how many requests the entries may send within each period.
//
// They are dealt to the entries in an order that all entries compute alike (see Interval). As
// many entries as the number says, which each use a permit once in a period, never send more
// than that number within one window, whenever their periods begin. Entries with another view
// of the fleet deal the permits to others, which doubles that at most; the upstream bears it.
func (l Limit) permits() (number int, period time.Duration) {
	crash := l.Rate*max(l.Overage, 1) + l.Allowance
	number, period = max(int(min(l.Rate, crash/viewsInForce)), 1), window
	if l.Rate < 1 {
		period = time.Duration(float64(window) / l.Rate)
	}
	return number, period + MaxDelay
}

// Interval returns the least time between two requests to a cold upstream of the entry that
// has the given place, from 0, among a number of entries; 0 if it may send none.
func (l Limit) Interval(place, entries int) time.Duration {
	number, period := l.permits()
	if l.Rate <= 0 || place < 0 || place >= min(number, entries) {
		return 0
	}
	// Permits are dealt one after the other, and again from the first entry on.
	own := (number-1-place)/entries + 1
	return period / time.Duration(own)
}
