package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/fault"
)

const (
	// maxPermitWaitFraction and maxPermitWait limit the wait for a permit of an upstream's
	// limit: a refused caller needs time to send the request again.
	maxPermitWaitFraction = 0.3
	maxPermitWait         = 2 * time.Second
	// permitReturnWindow is the time over which callers are spread who may come back when
	// the next permit falls due.
	permitReturnWindow = 1 * time.Second
)

// awaitPermit waits for the next permit of the pool's upstreams and returns its link, or nil
// if that takes too long or no upstream is limited.
func (x *exchange) awaitPermit(ctx context.Context) *link {
	pool := x.entry.links.poolNamed(x.req.pool)
	if pool == nil {
		return nil
	}
	maxWait := maxPermitWait
	if deadline, ok := ctx.Deadline(); ok {
		maxWait = min(maxWait, time.Duration(maxPermitWaitFraction*float64(time.Until(deadline))))
	}
	l, wait := pool.reservePermit(x.attempted, maxWait)
	if l == nil {
		return nil
	}
	x.entry.count("limits.waited")
	pause(ctx, wait)
	if ctx.Err() != nil || !l.usable() {
		return nil
	}
	return l
}

// noUpstream returns the error for a request that no upstream can take, with the time after
// which its caller may send it again.
func (x *exchange) noUpstream() error {
	if x.evacuated() {
		x.entry.count("evacuations.refused")
		return fault.New(fault.Unavailable, "send the request again after Retry-After", "all data centres with upstreams for the request are evacuated").After(x.entry.retryAfter(x.req.pool))
	}
	if pool := x.entry.links.poolNamed(x.req.pool); pool != nil {
		if wait, limited := pool.atLimit(x.attempted); limited {
			x.entry.count("limits.refused")
			return fault.New(fault.Overloaded, "send the request again after Retry-After", "the upstreams have no room within the request limits that they named").After(wait + rand.N(permitReturnWindow))
		}
	}
	return fault.New(fault.Unavailable, "send the request again after Retry-After", "no upstream can take the request").After(x.entry.retryAfter(x.req.pool))
}

// evacuated reports whether all data centres with upstreams for the request are evacuated.
func (x *exchange) evacuated() bool {
	snap, found := x.entry.opts.Store.Current(), false
	for _, u := range snap.Upstreams {
		if poolOf(snap, u) != x.req.pool {
			continue
		}
		if !snap.Evacuated(u.DataCentre) {
			return false
		}
		found = true
	}
	return found
}
