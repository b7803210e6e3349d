package outage

import "time"

// MaxReturnFraction is the part of its remaining time for which a caller waits before it
// retries: callers honour a delay of up to a third, and the answer is on its way for a moment.
const MaxReturnFraction = 0.325

// Caller is what a caller whose group can't serve can bear.
type Caller struct {
	// Remaining is the time until it leaves for good.
	Remaining time.Duration
	// WaitLimit is how long it may wait from now on and still be served. HoldLimit is how
	// long it may be kept before it is told to retry.
	WaitLimit, HoldLimit time.Duration
	// NextWaitLimit is how long its next attempt may wait, ServiceTime how long the answer
	// takes then.
	NextWaitLimit, ServiceTime time.Duration
	// MayReturn is set if it can be told to retry and has not retried before.
	MayReturn bool
}

// Action is what is done with a caller.
type Action string

// The actions.
const (
	// Wait keeps the caller until the group is back, or the limit has passed.
	Wait Action = "wait"
	// Return tells the caller to retry, so that the retry finds the group or can wait for it.
	Return Action = "return"
	// Refuse tells the caller at once that it can't be served by any way.
	Refuse Action = "refuse"
)

// Plan is the way on which a caller is carried.
type Plan struct {
	Action Action
	// Limit is how long the caller waits.
	Limit time.Duration
	// ReturnFrom and ReturnTo are the first and last moment, from now on, at which the retry
	// of a caller that doesn't wait is of use.
	ReturnFrom, ReturnTo time.Duration
	// Reach is the latest end of the outage, from now on, for which the way suffices.
	Reach time.Duration
}

// maxReturn returns the longest delay that a caller with so much time left waits for.
func maxReturn(remaining time.Duration) time.Duration {
	return time.Duration(MaxReturnFraction * float64(max(remaining, 0)))
}

// Plan returns the way for a caller. It is one that reaches the latest expected end with the
// fewest steps, or else the one that reaches furthest if it is as likely as not to suffice. A
// caller for whom none does is refused at once. spread is the time over which the callers that
// this entry expects back are taken in.
func (f Forecast) Plan(c Caller, spread time.Duration, now time.Time) Plan {
	longestReturn := maxReturn(c.Remaining)
	refusal := Plan{Action: Refuse, ReturnFrom: longestReturn, ReturnTo: longestReturn}
	if f.Evidence == NoEvidence {
		return refusal
	}
	expected, latest := f.Expected.Sub(now), f.Latest.Sub(now)
	if c.WaitLimit > 0 && c.WaitLimit >= expected {
		return Plan{Action: Wait, Limit: c.WaitLimit, Reach: c.WaitLimit}
	}
	if !c.MayReturn {
		return refusal
	}
	nextWait := c.nextWait(longestReturn)
	reach := longestReturn + nextWait
	if reach < latest && c.HoldLimit > 0 {
		held := maxReturn(c.Remaining - c.HoldLimit)
		heldReach := c.HoldLimit + held + c.nextWait(c.HoldLimit+held)
		if heldReach > reach && heldReach >= expected {
			return Plan{Action: Wait, Limit: c.HoldLimit, Reach: heldReach}
		}
	}
	if reach < expected {
		return refusal
	}
	p := Plan{Action: Return, ReturnFrom: longestReturn, ReturnTo: longestReturn, Reach: reach}
	if from := max(latest-nextWait, 0); from < longestReturn {
		p.ReturnFrom, p.ReturnTo = from, min(from+spread, longestReturn)
	}
	return p
}

// nextWait returns how long the caller's next attempt can wait if it comes after a delay.
func (c Caller) nextWait(after time.Duration) time.Duration {
	return max(min(c.NextWaitLimit, c.Remaining-after-c.ServiceTime), 0)
}
