package outage

import "time"

// Engine is what the engines of a service declare about the return from an outage.
type Engine struct {
	// FormTime is how long a group takes to open once all of its ranks are there, 0 if it
	// isn't known. ReadTime is how long an engine reads a usual prompt, 0 if it isn't known.
	FormTime, ReadTime time.Duration
}

// Intake is how fast one entry's share of a group takes requests in at its return.
type Intake struct {
	// AtOnce is the number of requests that find a free slot. They start at the rate
	// StartsPerSecond, at which their prompts are read, and the others at PerSecond, at which
	// slots become free. A rate of 0 isn't known.
	AtOnce, StartsPerSecond, PerSecond float64
}

// Turn returns how long it takes until a number of requests have started, 0 if that isn't known.
func (i Intake) Turn(requests int) time.Duration {
	n := float64(requests)
	var seconds float64
	if i.StartsPerSecond > 0 {
		seconds = min(n, i.AtOnce) / i.StartsPerSecond
	}
	if beyond := n - i.AtOnce; beyond > 0 && i.PerSecond > 0 {
		seconds += beyond / i.PerSecond
	}
	return time.Duration(seconds * float64(time.Second))
}
