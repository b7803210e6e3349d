package ranks

import "time"

// paceWindow is the least time over which the length of a step is measured: a few
// steps, so that the step under way at either end matters little.
const paceWindow = 400 * time.Millisecond

// Pace measures how long a group's steps take, from readings of the last step
// begun. The zero value has seen nothing.
type Pace struct {
	readings []paceReading
}

type paceReading struct {
	step int64
	at   time.Time
}

// Add takes a reading.
func (p *Pace) Add(step int64, now time.Time) {
	p.readings = append(p.readings, paceReading{step: step, at: now})
	for len(p.readings) > 2 && now.Sub(p.readings[1].at) >= paceWindow {
		p.readings = p.readings[1:]
	}
}

// StepTime returns the mean length of the steps of late, 0 while it isn't known.
func (p *Pace) StepTime() time.Duration {
	if len(p.readings) < 2 {
		return 0
	}
	first, last := p.readings[0], p.readings[len(p.readings)-1]
	if last.step <= first.step {
		return 0
	}
	return last.at.Sub(first.at) / time.Duration(last.step-first.step)
}

// Lead returns how many steps after the one under way begins no earlier than
// ahead from now: that one may end at any moment.
func (p *Pace) Lead(ahead time.Duration) int64 {
	step := p.StepTime()
	if step <= 0 {
		return minLead
	}
	return max(minLead, 1+int64((ahead+step-1)/step))
}

// StepsUntil returns how many steps after the last one read have begun by a time.
// A reading taken as its step begins makes it exact.
func (p *Pace) StepsUntil(t time.Time) int64 {
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
