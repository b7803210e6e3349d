package ranks

import (
	"slices"
	"time"
)

// paceWindow is the least time over which the length of a step is measured: a few
// steps, so that the step under way at either end matters little.
const paceWindow = 400 * time.Millisecond

// StepRate measures how long a group's steps take, from readings of the last step
// begun. The zero value has seen nothing.
type StepRate struct {
	readings []paceReading
}

type paceReading struct {
	step int64
	at   time.Time
}

// Add takes a reading.
func (p *StepRate) Add(step int64, now time.Time) {
	p.readings = append(p.readings, paceReading{step: step, at: now})
	for len(p.readings) > 2 && now.Sub(p.readings[1].at) >= paceWindow {
		p.readings = p.readings[1:]
	}
}

// StepTime returns the mean length of the steps of late, 0 while it isn't known.
func (p *StepRate) StepTime() time.Duration {
	if len(p.readings) < 2 {
		return 0
	}
	first, last := p.readings[0], p.readings[len(p.readings)-1]
	if last.step <= first.step {
		return 0
	}
	return last.at.Sub(first.at) / time.Duration(last.step-first.step)
}

// LeadSteps returns how many steps after the one under way begins no earlier than
// ahead from now: that one may end at any moment.
func (p *StepRate) LeadSteps(ahead time.Duration) int64 {
	step := p.StepTime()
	if step <= 0 {
		return minLead
	}
	return max(minLead, 1+int64((ahead+step-1)/step))
}

// StepsUntil returns how many steps after the last one read have begun by a time.
// A reading taken as its step begins makes it exact.
func (p *StepRate) StepsUntil(t time.Time) int64 {
	step := p.StepTime()
	if step <= 0 {
		return 0
	}
	since := max(t.Sub(p.readings[len(p.readings)-1].at), 0)
	return int64((since + step - 1) / step)
}

// minLead is the least number of steps ahead for which a hold is set: the next
// one may begin before the order arrives.
const minLead = 2

// RoundTrips keeps how long rounds of orders have taken of late. The zero value has
// seen none.
type RoundTrips struct{ last []time.Duration }

// roundsKept is the number of rounds remembered: those of about two switches.
const roundsKept = 6

// Add takes the time of a round.
func (r *RoundTrips) Add(d time.Duration) {
	r.last = append(r.last, d)
	if len(r.last) > roundsKept {
		r.last = r.last[1:]
	}
}

// Expected returns how long a round may take: the longest of late but one, since a
// VM that stood still during a round says nothing about the next one.
func (r *RoundTrips) Expected() time.Duration {
	if len(r.last) < 2 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(r.last))
	return sorted[len(sorted)-2]
}
