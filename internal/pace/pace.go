// Package pace estimates how many requests a group of engines may run so that the parts of
// their answers keep a target interval. The declared costs give the work of a pass, measured
// intervals how much longer a pass takes than that. The package does no I/O and reads no clock.
package pace

import "time"

// Cost describes the passes of a service's engines. Each pass brings every running request
// one part. The zero value means that the costs aren't known.
type Cost struct {
	// Base is the duration of a pass without work, PerRequest what a running request adds
	// to its own engine's work.
	Base, PerRequest time.Duration
	// SharedFraction is the fraction of that work which all engines of a group share. A pass
	// lasts as long as the fullest engine's own work, and the shared work.
	SharedFraction float64
	// PromptRead is the time that an engine takes to read a prompt, Parts the mean number of
	// parts of an answer.
	PromptRead time.Duration
	Parts      float64
}

// Known reports whether the costs are declared.
func (c Cost) Known() bool { return c.Base > 0 && c.PerRequest > 0 && c.Parts > 0 }

// Batch is the requests that a group runs.
type Batch struct {
	// Engines is the number of engines, Total the requests of all of them and Largest the
	// requests of the fullest one.
	Engines        int
	Total, Largest float64
}

// work returns the duration that a pass of the batch takes beyond Base if the shared work is
// spread evenly. Each request reads one prompt in as many passes as its answer has parts.
func (c Cost) work(b Batch) float64 {
	perRequest := float64(c.PerRequest) + float64(c.PromptRead)/max(c.Parts, 1)
	return perRequest * ((1-c.SharedFraction)*b.Largest + c.SharedFraction*b.Total/float64(max(b.Engines, 1)))
}

const (
	// stretchWeight is the weight of a measured interval in a group's stretch. An entry sees
	// dozens of parts a second.
	stretchWeight = 0.02
	// minWork is the least work, as a fraction of Base, of a pass that is measured: below, the
	// jitter of the measurement outweighs it.
	minWork = 0.1
	// maxStretch limits the stretch of a pass: a longer one is a stall, which fewer requests
	// wouldn't shorten.
	maxStretch = 10
)

// Meter measures a group's stretch: how much longer its passes take than the work of their
// batches, spread evenly, would. Causes are uneven demand for experts and slow engines. The zero
// value is ready for use.
type Meter struct {
	// stretch is the moving average, 0 while unknown.
	stretch float64
	// interval is the last measured one.
	interval time.Duration
}

// Record records the interval between two parts of an answer of a group that ran the batch.
func (m *Meter) Record(c Cost, b Batch, interval time.Duration) {
	m.interval = interval
	work := c.work(b)
	if !c.Known() || work < minWork*float64(c.Base) {
		return
	}
	stretch := min(max(float64(interval-c.Base)/work, 0), maxStretch)
	if m.stretch == 0 {
		m.stretch = stretch
	}
	m.stretch += stretchWeight * (stretch - m.stretch)
}

// Interval returns the last measured interval, 0 if there is none.
func (m *Meter) Interval() time.Duration { return m.interval }

// Expected returns the usual interval of a group that runs the batch, 0 while it isn't known.
func (m *Meter) Expected(c Cost, b Batch) time.Duration {
	if m.stretch == 0 {
		return 0
	}
	return c.Base + time.Duration(m.stretch*c.work(b))
}

// Bound returns the largest mean number of running requests an engine, at most slots, with which
// the usual interval keeps the target. spread is the number of requests by which the fullest
// engine exceeds the mean. The bound is slots while nothing is measured.
func (m *Meter) Bound(c Cost, target time.Duration, spread float64, slots int) float64 {
	if !c.Known() || m.stretch == 0 {
		return float64(slots)
	}
	room := float64(target-c.Base) / m.stretch / c.work(Batch{Engines: 1, Total: 1, Largest: 1})
	bound := room - (1-c.SharedFraction)*spread
	if c.SharedFraction > 0 {
		// The fullest engine runs no more than its slots.
		bound = max(bound, (room-(1-c.SharedFraction)*float64(slots))/c.SharedFraction)
	}
	return min(max(bound, 0), float64(slots))
}
