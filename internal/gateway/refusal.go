package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/fault"
)

var (
	errNoUpstream  = fault.New(fault.Unavailable, "try again shortly", "no upstream of the service can take the request")
	errRetryBudget = fault.New(fault.Unavailable, "try again shortly", "the service's retry budget is exhausted").After(overloadRetryAfter)
)

const (
	// groupRetryAfter is the delay before a caller may retry a request to a
	// group that can't serve. A rank that has crashed or is cut off is
	// unavailable for seconds.
	groupRetryAfter = 2500 * time.Millisecond
	// maxRetryAfterFraction limits that delay to a fraction of the caller's
	// remaining time: callers don't wait for more than a third of it.
	maxRetryAfterFraction = 0.32
	// retryAfterJitter is the largest fraction by which the delay is shortened
	// at random, so that callers don't all retry at once.
	retryAfterJitter = 0.1
	// returnWindow is the time over which callers are spread who may come back when an
	// upstream's rest ends or its limit allows a request.
	returnWindow = 1 * time.Second
)

// noUpstream returns the error for a request that no upstream can take, with the delay that
// the caller is told.
func (q *request) noUpstream() error {
	limit := maxRetryAfterFraction * float64(q.remaining()) * (1 - retryAfterJitter*rand.Float64())
	if q.g.Pools.onlyEvacuated(q.service, q.demand()) {
		q.g.stats.recordEvacuated(q.service)
		return errEvacuated.After(time.Duration(min(float64(evacuatedRetryAfter)*(1-retryAfterJitter*rand.Float64()), limit)))
	}
	if wait, limited, cold := q.g.Pools.atLimit(q.service, q.demand()); limited {
		q.g.stats.recordLimited(q.service)
		if cold {
			q.g.stats.recordColdUpstream(q.service, "refused")
		}
		return errLimited.After(time.Duration(min(float64(wait)+rand.Float64()*float64(returnWindow), limit)))
	}
	if q.returnAfter > 0 {
		return errNoUpstream.After(q.returnAfter)
	}
	return errNoUpstream.After(q.retryAfter(limit))
}

// retryAfter returns the delay, at most limit, that the caller is told when its service has
// no usable upstream.
func (q *request) retryAfter(limit float64) time.Duration {
	// A rank group with ranks that don't rest can't serve for another reason.
	if rest, all := q.g.Pools.restingFor(q.service); rest > 0 && (all || !q.isRankGroup()) {
		return time.Duration(min(float64(rest)+rand.Float64()*float64(returnWindow), limit))
	}
	return time.Duration(min(float64(groupRetryAfter)*(1-retryAfterJitter*rand.Float64()), limit))
}

// overloadRetryAfter is the delay before a caller may retry a request that its
// service could not accept.
const overloadRetryAfter = 500 * time.Millisecond
