package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/admission"
	"github.com/kingcupreel/kingcupreel/internal/dispatch"
	"github.com/kingcupreel/kingcupreel/internal/routing"
)

// A rank group that has lost a rank can't serve until it has re-formed, which
// takes seconds. While the group is not expected back in time, callers are
// told at once when to retry. Requests that come later, and streams that have
// already started, wait until the group reopens, at most as long as their
// callers wait for an event, and then start as capacity allows.

const (
	// minEventPatience is the shortest time that a stream's caller waits for
	// an event. Callers wait longer on routes where targetPatienceFactor times
	// the target latency, or gapPatienceFactor times the target gap, is
	// longer.
	minEventPatience     = 2 * time.Second
	targetPatienceFactor = 4
	gapPatienceFactor    = 8
	// maxWaitPatienceFraction is the fraction of a caller's patience for which
	// a request may wait. The rest is for its first event.
	maxWaitPatienceFraction = 0.7
	// maxWaitRemainingFraction limits the wait to a fraction of the remaining
	// time, so that a refused caller has time to retry.
	maxWaitRemainingFraction = 0.3
	// leftoverInterval is how often waiting requests may start on slots that
	// other entries leave free. Load reports show what the other entries have
	// started within that time.
	leftoverInterval = 200 * time.Millisecond
	// reopenPromptWindow is how long after a group has reopened the number of
	// unread prompts limits the starts. By then the first prompts have been
	// read.
	reopenPromptWindow = 1 * time.Second
	// waitlistFactor limits the waiting requests to that multiple of this
	// entry's share of the service's slots.
	waitlistFactor = 3
	// minWaitlist is the smallest limit of the waiting requests, for a service
	// with few slots.
	minWaitlist = 8
)

// eventPatience returns how long callers of a route wait for an event.
func eventPatience(r *routing.Route) time.Duration {
	return max(minEventPatience, targetPatienceFactor*r.TargetLatency, gapPatienceFactor*r.TargetGap)
}

// awaitGroup waits for a group that can't serve, if it may be back in time, and chooses an
// upstream.
func (q *request) awaitGroup(d dispatch.Demand) *Member {
	if !q.headSent && q.g.plansOutages(q.service) {
		return q.carryThroughOutage(d)
	}
	limit := q.waitLimit()
	if o := q.g.Pools.outage(q.service); !q.headSent && !o.mayEndWithin(limit, q.g.MinOutage) {
		q.log.Info("group isn't expected back in time", zap.Duration("outage", o.age), zap.Bool("all_ranks_alive", o.reforming), zap.Bool("served_before", o.servedBefore),
			zap.Duration("longest_outage", o.longest), zap.Duration("limit", limit))
		return nil
	}
	if rest, all := q.g.Pools.restingFor(q.service); all && rest > limit {
		return nil
	}
	return q.await(limit, d)
}

// serviceOutage describes why a service has no usable upstream.
type serviceOutage struct {
	// age is the time since when there has been none.
	age time.Duration
	// reforming is set if all ranks of a group are alive, and have not been for long.
	reforming bool
	// servedBefore is set if the service has had a usable upstream.
	servedBefore bool
	// longest is the longest outage that has ended.
	longest time.Duration
}

const (
	// maxReformTime is how long the ranks of a group can be alive until it has formed.
	maxReformTime = 5 * time.Second
	// maxOutageFactor is the multiple of the shortest expected outage, or of the
	// longest one so far, after which a group isn't expected back.
	maxOutageFactor = 2
)

// mayEndWithin reports whether a request should wait for the end of the outage up to
// limit. minOutage is the shortest expected outage.
func (o serviceOutage) mayEndWithin(limit, minOutage time.Duration) bool {
	switch {
	case o.reforming || minOutage < 0:
		return true
	case !o.servedBefore || o.age > maxOutageFactor*max(minOutage, o.longest):
		return false
	}
	return o.age+limit >= minOutage
}

// lastProgressAt returns when the caller got the last event, or sent the request.
func (q *request) lastProgressAt() time.Time {
	if q.lastEventAt.After(q.startedAt) {
		return q.lastEventAt
	}
	return q.startedAt
}

// patienceLeft returns how long the caller goes on waiting for an event, or for an answer
// that isn't a stream.
func (q *request) patienceLeft() time.Duration {
	if q.route.Kind != routing.Stream {
		return q.remaining()
	}
	return eventPatience(q.route) - time.Since(q.lastProgressAt())
}

// waitLimit returns how long the request may wait from now on.
func (q *request) waitLimit() time.Duration {
	limit := time.Duration(maxWaitPatienceFraction*float64(eventPatience(q.route))) - time.Since(q.lastProgressAt())
	return min(limit, time.Duration(maxWaitRemainingFraction*float64(q.remaining())))
}

// await waits until an upstream may begin the request and returns it, or nil if the limit has
// passed or too many requests wait.
func (q *request) await(limit time.Duration, d dispatch.Demand) *Member {
	return q.awaitAs(admission.Request{}, limit, d)
}

// awaitAs is await with the times of r, by which waiting requests are ordered.
func (q *request) awaitAs(r admission.Request, limit time.Duration, d dispatch.Demand) *Member {
	if limit <= 0 {
		return nil
	}
	r.Pool, r.Account, r.Priority = q.service, q.account, lowestPriority-q.priority()
	waitStart := time.Now()
	ctx, cancel := context.WithTimeout(q.ctx, limit)
	defer cancel()
	decided := make(chan waitResult, 1)
	ticket := q.g.Pools.enqueue(q.service, r, d, decided)
	var result waitResult
	select {
	case result = <-decided:
	case <-ctx.Done():
		if !q.g.Pools.withdraw(q.service, ticket) {
			result = <-decided
		}
	}
	started := result.member != nil
	q.g.stats.recordWait(q.service, started, time.Since(waitStart))
	q.log.Info("waited for the group", zap.Bool("may_start", started), zap.String("reason", string(result.reason)),
		zap.Duration("waited", time.Since(waitStart)), zap.Duration("limit", limit), zap.Strings("tried", q.attempted))
	return result.member
}

// waitResult is the upstream of a request that has waited, nil if it is refused for the reason.
type waitResult struct {
	member *Member
	reason admission.Reason
}

// defaultMinOutage is the shortest expected outage of a group that can't
// serve, if the platform states no bound on partitions.
const defaultMinOutage = 5 * time.Second

// outage returns why the service has no usable upstream.
func (p *Pools) outage(service string) serviceOutage {
	p.mu.Lock()
	defer p.mu.Unlock()
	span, now := p.observeOutage(service).Service(), p.clock.Now()
	o := serviceOutage{servedBefore: span.ServedBefore, longest: span.Longest}
	if !span.Since.IsZero() {
		o.age = now.Sub(span.Since)
	}
	o.reforming = !span.AliveSince.IsZero() && now.Sub(span.AliveSince) < maxReformTime
	return o
}

// SetEntryShare sets this entry's share of the upstreams' capacity, 0 to 1.
func (p *Pools) SetEntryShare(entryShare float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entryShare = entryShare
	for _, pool := range p.pools {
		pool.SetEntryShare(entryShare)
	}
	now := p.clock.Now()
	for _, l := range p.limits {
		l.setShare(entryShare, now)
	}
}

// Waiting returns the number of requests that wait for a service.
func (p *Pools) Waiting(service string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.waiting[service]; w != nil {
		return w.Len()
	}
	return 0
}

// enqueue adds a request to the waitlist of a service. Its upstream is chosen at the moment of
// its start, by the same conditions as that of a request that hasn't waited.
func (p *Pools) enqueue(service string, r admission.Request, d dispatch.Demand, decided chan<- waitResult) *admission.Ticket {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.waiting[service]
	if w == nil {
		w = admission.NewWaitlist()
		p.waiting[service] = w
	}
	var member *Member
	r.TryStart = func() bool {
		member, _ = p.pickLocked(service, d)
		return member != nil
	}
	r.OnDecision = func(decision admission.Decision) { decided <- waitResult{member, decision.Reason} }
	totalSlots := float64(p.pool(service).Capacity(p.clock.Now()).TotalSlots)
	ticket := w.Add(r, max(int(waitlistFactor*p.entryShare*totalSlots), minWaitlist))
	p.refuseEvacuated(service)
	p.startWaiting(service, false)
	return ticket
}

// withdraw removes a request from the waitlist. It returns false if the
// request has already been decided on.
func (p *Pools) withdraw(service string, ticket *admission.Ticket) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.waiting[service].Remove(ticket)
}

// startWaiting starts as many waiting requests as this entry's share of the
// service's capacity allows, and with leftover also those that fit the slots
// other entries leave free. The caller holds mu.
func (p *Pools) startWaiting(service string, leftover bool) {
	w := p.waiting[service]
	if w == nil || w.Len() == 0 || p.opening(service) {
		return
	}
	now := p.clock.Now()
	capacity := p.pool(service).Capacity(now)
	if capacity.UsableUpstreams == 0 {
		p.lastSuspendedAt[service] = now
	}
	w.MarkLate(now)
	quota := capacity.StartQuota(p.entryShare)
	if leftover && now.Sub(p.lastSuspendedAt[service]) > reopenPromptWindow {
		quota = max(quota, p.leftoverStarts(service, capacity))
	}
	w.Start(quota)
}

// startOnLeftover starts waiting requests on slots that other entries leave
// free.
func (p *Pools) startOnLeftover() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for service := range p.waiting {
		p.startWaiting(service, true)
		p.refuseHopeless(service)
	}
}
