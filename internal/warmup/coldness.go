// Package warmup tells whether an upstream is cold, and how many requests an entry may send to
// a cold one. An upstream is cold for a while after its start, and may turn cold again at any
// moment. Requests beyond a rate, from all entries together, crash a cold upstream. The package
// does no I/O and reads no clock.
package warmup

import "time"

// Source is what shows that an upstream is cold.
type Source string

// The sources.
const (
	// Record is the upstream's record in the store.
	Record Source = "record"
	// Start is the start time of an upstream that has just appeared, or of a later one at the
	// same address.
	Start Source = "start"
	// Answer is a header of an answer.
	Answer Source = "answer"
	// Return is the end of an evacuation: nobody has heard of the data centre's upstreams since.
	Return Source = "data centre given back"
)

// Coldness is what is known of the warm-up of one incarnation of an upstream.
type Coldness struct {
	until  time.Time
	source Source
	// saidAt is when the upstream last said for how long it stays cold.
	saidAt time.Time
	// recorded is the time that its record named last.
	recorded time.Duration
	// laterStart is the start time of a later incarnation at its address.
	laterStart time.Time
}

// New returns what is known of an incarnation that is seen for the first time. started is its
// start time by its own clock, zero if it isn't known; left is what its record names, and
// length the time for which upstreams of its service stay cold. A record without a time was
// written once the upstream was warm, or before the first request of all: as the start time
// alone can't tell, it counts as cold as long as it would be after a start in traffic.
func New(started time.Time, left, length time.Duration, now time.Time) Coldness {
	c := Coldness{recorded: left}
	if left > 0 {
		c.set(now.Add(left), Record)
		c.saidAt = now
	}
	if started.IsZero() {
		return c
	}
	until := started.Add(length)
	if latest := now.Add(length); until.After(latest) {
		until = latest // the upstream's clock is ahead
	}
	if until.After(now) && until.After(c.until) {
		c.set(until, Start)
	}
	return c
}

func (c *Coldness) set(until time.Time, source Source) { c.until, c.source = until, source }

// Left returns for how long the upstream stays cold, 0 if it is warm.
func (c *Coldness) Left(now time.Time) time.Duration { return max(c.until.Sub(now), 0) }

// Until returns when the upstream is warm, and what shows that.
func (c *Coldness) Until() (time.Time, Source) { return c.until, c.source }

// ApplyRecord applies the time that the upstream's record names. The record may be seconds old:
// one without a time ends only what a record has named before. It reports whether the record
// has changed.
func (c *Coldness) ApplyRecord(left time.Duration, now time.Time) bool {
	if left == c.recorded {
		return false
	}
	c.recorded = left
	if left == 0 {
		if c.source == Record {
			c.until = now
		}
		return true
	}
	c.saidAt = now
	if until := now.Add(left); c.source == Record || until.After(c.until) {
		c.set(until, Record)
	}
	return true
}

// ApplyAnswer applies the time that an answer of the upstream names.
func (c *Coldness) ApplyAnswer(left time.Duration, now time.Time) {
	c.saidAt = now
	c.set(now.Add(left), Answer)
}

// ApplyLaterStart counts the upstream as cold since a later incarnation has been seen at its
// address, which may have its ID too and serve its requests.
func (c *Coldness) ApplyLaterStart(started time.Time, length time.Duration, now time.Time) {
	if !started.After(c.laterStart) {
		return
	}
	c.laterStart = started
	c.set(now.Add(length), Start)
}

// ApplyReturn counts the upstream as cold since its data centre has been given back, unless it
// has said lately for how long it stays cold.
func (c *Coldness) ApplyReturn(length time.Duration, now time.Time) {
	if now.Sub(c.saidAt) < length && !c.saidAt.IsZero() {
		return
	}
	c.set(now.Add(length), Return)
}
