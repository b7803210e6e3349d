package ranks

import "time"

const (
	// stallTime is the least time without a step after which a group with work
	// counts as stalled: over twice the longest pause in a stream that callers
	// are promised, and half of what a switch may keep it waiting.
	stallTime = 400 * time.Millisecond
	// stallSteps is that time in steps of a group whose steps are long.
	stallSteps = 5
	// restTime is how long a group that has stalled has to be without work to be
	// given some again: callers leave a stall within two seconds.
	restTime = 1500 * time.Millisecond
	// stepWeight is the weight of a step in the mean length of steps.
	stepWeight = 0.3
)

// Progress follows whether a rank's group goes on with its work. A group whose
// rank can't be reached stalls at once and says so much later. The zero value has
// seen nothing.
type Progress struct {
	started int64
	step    int64
	at      time.Time
	mean    time.Duration
	// stalled says what the last reading showed, and idleAt since when the rank
	// has no work.
	stalled bool
	idleAt  time.Time
}

// Add takes a reading of the rank and says whether the group goes on. One without
// work rests; that a stalled one has lost its work is no sign that it goes on.
func (p *Progress) Add(st Status, now time.Time) bool {
	if st.Active > 0 || p.idleAt.IsZero() {
		p.idleAt = now
	}
	switch {
	case p.at.IsZero() || st.Started != p.started || st.Step < p.step:
		*p = Progress{started: st.Started, step: st.Step, at: now, idleAt: now}
	case st.Step > p.step:
		each := now.Sub(p.at) / time.Duration(st.Step-p.step)
		p.mean += time.Duration(stepWeight * float64(min(each, stallTime)-p.mean))
		p.step, p.at = st.Step, now
	case st.Active == 0 && (!p.stalled || now.Sub(p.idleAt) > restTime):
		p.at = now
	}
	p.stalled = now.Sub(p.at) > max(stallTime, stallSteps*p.mean)
	return !p.stalled
}
