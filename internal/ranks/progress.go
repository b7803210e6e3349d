package ranks

import "time"

const (
	// stallTimeout is the minimum time without a new step after which a group
	// with work counts as stalled: more than twice the longest pause in a stream
	// that callers are promised, and half the time for which a switch may hold
	// the group.
	stallTimeout = 400 * time.Millisecond
	// minStallSteps is the same minimum as a number of mean step times; it
	// applies to groups with long steps.
	minStallSteps = 5
	// stallRecoveryDelay is how long a stalled group has to be without work before
	// it may get requests again: callers leave a stalled group within 2 s.
	stallRecoveryDelay = 1500 * time.Millisecond
	// stepTimeWeight is the weight of a new step time in the moving mean.
	stepTimeWeight = 0.3
)

// Progress tracks whether a rank's group makes progress. If one rank of a group is
// unreachable, the group stalls at once, but its engines report that much later.
// The zero value has no readings.
type Progress struct {
	started      int64 // engine start, Unix milliseconds
	step         int64
	progressAt   time.Time
	meanStepTime time.Duration
	// stalled is the result of the last reading. idleSince is the time since which
	// the rank has had no work.
	stalled   bool
	idleSince time.Time
}

// Add adds a reading of the rank's status and reports whether the group makes
// progress. A group without work counts as making progress, except that a stalled
// group that loses its work stays stalled for stallRecoveryDelay.
func (p *Progress) Add(status Status, now time.Time) bool {
	if status.Active > 0 || p.idleSince.IsZero() {
		p.idleSince = now
	}
	switch {
	case p.progressAt.IsZero() || status.Started != p.started || status.Step < p.step:
		*p = Progress{started: status.Started, step: status.Step, progressAt: now, idleSince: now}
	case status.Step > p.step:
		stepTime := now.Sub(p.progressAt) / time.Duration(status.Step-p.step)
		p.meanStepTime += time.Duration(stepTimeWeight * float64(min(stepTime, stallTimeout)-p.meanStepTime))
		p.step, p.progressAt = status.Step, now
	case status.Active == 0 && (!p.stalled || now.Sub(p.idleSince) > stallRecoveryDelay):
		p.progressAt = now
	}
	p.stalled = now.Sub(p.progressAt) > max(stallTimeout, minStallSteps*p.meanStepTime)
	return !p.stalled
}
