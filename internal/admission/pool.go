package admission

import (
	"math"
	"time"
)

// pool is the state of one pool of upstreams.
type pool struct {
	key      Key
	capacity int
	inFlight int
	queue    queue
	rate     drainRate
	service  serviceTime
	// nextTurn is the turn given to the last refused caller.
	nextTurn time.Time
}

func newPool(name string, now time.Time) *pool {
	return &pool{key: PoolKey(name), queue: newQueue(), rate: drainRate{at: now}}
}

const (
	// rateWindow is the time constant of the drain rate.
	rateWindow = 5 * time.Second
	// unknownTurn is the time per request while no drain rate is known.
	unknownTurn = 10 * time.Millisecond
	// serviceWeight is the weight of a new service time in the means.
	serviceWeight = 0.05
	// maxOutlier bounds what one service time counts, as a factor of the mean, so
	// that a few stalled requests don't make all others look hopeless.
	maxOutlier = 4
	// deviations is how many mean deviations over the mean a request is given.
	deviations = 3
)

// drainRate is an exponentially weighted rate of served requests.
type drainRate struct {
	at    time.Time
	count float64
	seen  float64 // the part of the window that has been observed, 0 to 1
}

func (d *drainRate) advance(now time.Time) {
	elapsed := now.Sub(d.at)
	if elapsed <= 0 {
		return
	}
	keep := math.Exp(-elapsed.Seconds() / rateWindow.Seconds())
	d.count *= keep
	d.seen = 1 - (1-d.seen)*keep
	d.at = now
}

func (d *drainRate) add() { d.count++ }

// perSecond returns the rate; 0 means unknown.
func (d *drainRate) perSecond() float64 {
	if d.seen == 0 {
		return 0
	}
	return d.count / (d.seen * rateWindow.Seconds())
}

// timeFor returns how long n requests take to drain.
func (d *drainRate) timeFor(n int) time.Duration {
	rate := d.perSecond()
	if rate <= 0 {
		return time.Duration(n) * unknownTurn
	}
	return time.Duration(float64(n) / rate * float64(time.Second))
}

// serviceTime estimates the time from start to end, by a moving mean and a
// moving mean of the deviation from it.
type serviceTime struct{ mean, deviation time.Duration }

func (s *serviceTime) add(d time.Duration) {
	if s.mean == 0 {
		s.mean, s.deviation = d, d/2
		return
	}
	off := min(d, maxOutlier*s.mean) - s.mean
	s.mean += time.Duration(serviceWeight * float64(off))
	s.deviation += time.Duration(serviceWeight * float64(off.Abs()-s.deviation))
}

// bound returns a time in which most requests end; 0 means unknown.
func (s *serviceTime) bound() time.Duration { return s.mean + deviations*s.deviation }
