package ranks

import (
	"slices"
	"time"
)

// stepRateWindow is the minimum time over which the step time is measured. It spans
// several steps, so the unfinished steps at its ends cause little error.
const stepRateWindow = 400 * time.Millisecond

// StepRate measures the duration of a group's steps from readings of the last step
// begun. The zero value has no readings.
type StepRate struct {
	readings []stepReading
}

type stepReading struct {
	step int64
	at   time.Time
}

// Add adds a reading of the last step begun.
func (r *StepRate) Add(step int64, now time.Time) {
	r.readings = append(r.readings, stepReading{step: step, at: now})
	for len(r.readings) > 2 && now.Sub(r.readings[1].at) >= stepRateWindow {
		r.readings = r.readings[1:]
	}
}

// StepTime returns the mean duration of recent steps, 0 if it isn't known yet.
func (r *StepRate) StepTime() time.Duration {
	if len(r.readings) < 2 {
		return 0
	}
	first, last := r.readings[0], r.readings[len(r.readings)-1]
	if last.step <= first.step {
		return 0
	}
	return last.at.Sub(first.at) / time.Duration(last.step-first.step)
}

// LeadSteps returns how many steps ahead of the current one a step has to be so that
// it begins no earlier than leadTime from now. The current step may end at any
// moment, so it isn't counted.
func (r *StepRate) LeadSteps(leadTime time.Duration) int64 {
	step := r.StepTime()
	if step <= 0 {
		return minLeadSteps
	}
	return max(minLeadSteps, 1+int64((leadTime+step-1)/step))
}

// StepsUntil returns the number of steps from the last one read to the first that
// begins at or after t. It is exact if the reading was taken as its step began.
func (r *StepRate) StepsUntil(t time.Time) int64 {
	step := r.StepTime()
	if step <= 0 {
		return 0
	}
	since := max(t.Sub(r.readings[len(r.readings)-1].at), 0)
	return int64((since + step - 1) / step)
}

// minLeadSteps is the minimum number of steps ahead for a hold: the next step may
// begin before the order arrives.
const minLeadSteps = 2

// RoundTrips keeps the durations of the last rounds of orders. A round sends orders
// to several ranks in parallel and waits for all answers. The zero value is empty.
type RoundTrips struct{ recent []time.Duration }

// maxRoundTrips is the number of rounds kept: about two switches' worth.
const maxRoundTrips = 8

// Add adds the duration of a round.
func (r *RoundTrips) Add(d time.Duration) {
	r.recent = append(r.recent, d)
	if len(r.recent) > maxRoundTrips {
		r.recent = r.recent[1:]
	}
}

// Expected returns how long the next round may take: the second longest kept
// duration, 0 with fewer than two. The longest is left out because a VM that froze
// during one round says nothing about the next.
func (r *RoundTrips) Expected() time.Duration {
	if len(r.recent) < 2 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(r.recent))
	return sorted[len(sorted)-2]
}
