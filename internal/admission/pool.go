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
	// lastRetryAt is the time, before jitter, at which the caller refused last
	// was told to retry.
	lastRetryAt time.Time
}

func newPool(name string, now time.Time) *pool {
	return &pool{key: PoolKey(name), queue: newQueue(), rate: drainRate{updatedAt: now}}
}

const (
	// rateWindow is the time constant of the drain rate's moving average.
	rateWindow = 5 * time.Second
	// defaultDrainInterval is the assumed time per request while the drain rate
	// is unknown.
	defaultDrainInterval = 10 * time.Millisecond
	// serviceWeight is the weight of a new service time in the moving averages.
	serviceWeight = 0.05
	// maxOutlierFactor limits a new service time to this multiple of the mean,
	// so that a few stalled requests don't cause the others to be refused for
	// their deadlines.
	maxOutlierFactor = 4
	// deviationFactor is the number of mean deviations over the mean that a
	// request is expected to need at most.
	deviationFactor = 3
)

// drainRate is an exponentially weighted rate of served requests.
type drainRate struct {
	updatedAt time.Time
	count     float64
	observed  float64 // fraction of the window observed so far, 0 to 1
}

func (d *drainRate) advance(now time.Time) {
	elapsed := now.Sub(d.updatedAt)
	if elapsed <= 0 {
		return
	}
	decay := math.Exp(-elapsed.Seconds() / rateWindow.Seconds())
	d.count *= decay
	d.observed = 1 - (1-d.observed)*decay
	d.updatedAt = now
}

func (d *drainRate) add() { d.count++ }

// perSecond returns the rate; 0 means that it is unknown.
func (d *drainRate) perSecond() float64 {
	if d.observed == 0 {
		return 0
	}
	return d.count / (d.observed * rateWindow.Seconds())
}

// drainTime returns the expected time in which n requests drain.
func (d *drainRate) drainTime(n int) time.Duration {
	rate := d.perSecond()
	if rate <= 0 {
		return time.Duration(n) * defaultDrainInterval
	}
	return time.Duration(float64(n) / rate * float64(time.Second))
}

// serviceTime estimates the time from the start of a request to its end, by a
// moving average and a moving average of the absolute deviation.
type serviceTime struct{ mean, deviation time.Duration }

func (s *serviceTime) add(d time.Duration) {
	if s.mean == 0 {
		s.mean, s.deviation = d, d/2
		return
	}
	delta := min(d, maxOutlierFactor*s.mean) - s.mean
	s.mean += time.Duration(serviceWeight * float64(delta))
	s.deviation += time.Duration(serviceWeight * float64(delta.Abs()-s.deviation))
}

// upperBound returns a time in which most requests end; 0 means that it is
// unknown.
func (s *serviceTime) upperBound() time.Duration { return s.mean + deviationFactor*s.deviation }
