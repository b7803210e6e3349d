package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/admission"
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

// pick chooses an upstream for the next attempt, or returns nil. A request to
// a group that can't serve waits for the group first.
func (q *request) pick() *Member {
	if !q.isRankGroup() {
		return q.g.Pools.Pick(q.service, q.attempted)
	}
	// A new request is tried before those that wait: it can still get its
	// first event in time, the waiting ones can't.
	m, outage := q.g.Pools.pickOrOutageAge(q.service, q.attempted)
	if m != nil {
		return m
	}
	limit := q.waitLimit()
	if !q.headSent && outage+limit < q.g.MinOutage {
		return nil
	}
	if rest, all := q.g.Pools.restingFor(q.service); all && rest > limit {
		return nil
	}
	if !q.await(limit) {
		return nil
	}
	return q.g.Pools.pickStarted(q.service, q.attempted)
}

// waitLimit returns how long the request may wait from now on.
func (q *request) waitLimit() time.Duration {
	since := q.startedAt
	if q.lastEventAt.After(since) {
		since = q.lastEventAt
	}
	limit := time.Duration(maxWaitPatienceFraction*float64(eventPatience(q.route))) - time.Since(since)
	return min(limit, time.Duration(maxWaitRemainingFraction*float64(q.remaining())))
}

// await waits until the request may start. It returns false if the limit has
// passed or too many requests wait.
func (q *request) await(limit time.Duration) bool {
	if limit <= 0 {
		return false
	}
	waitStart := time.Now()
	ctx, cancel := context.WithTimeout(q.ctx, limit)
	defer cancel()
	decided := make(chan admission.Decision, 1)
	ticket := q.g.Pools.enqueue(q.service, admission.Request{
		Pool: q.service, Account: q.account, Priority: lowestPriority - q.priority(),
		OnDecision: func(decision admission.Decision) { decided <- decision },
	})
	var decision admission.Decision
	select {
	case decision = <-decided:
	case <-ctx.Done():
		if !q.g.Pools.withdraw(q.service, ticket) {
			decision = <-decided
		}
	}
	q.g.stats.recordWait(q.service, decision.Start, time.Since(waitStart))
	q.log.Info("waited for the group", zap.Bool("may_start", decision.Start), zap.String("reason", string(decision.Reason)),
		zap.Duration("waited", time.Since(waitStart)), zap.Duration("limit", limit), zap.Strings("tried", q.attempted))
	return decision.Start
}

// defaultMinOutage is the shortest expected outage of a group that can't
// serve, if the platform states no bound on partitions.
const defaultMinOutage = 5 * time.Second

// pickOrOutageAge is Pick, but without an upstream it returns for how long
// there has been none.
func (p *Pools) pickOrOutageAge(service string, exclude []string) (m *Member, outage time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m = p.pickLocked(service, exclude); m != nil {
		return m, 0
	}
	return nil, p.clock.Since(p.trackSuspension(service))
}

// trackSuspension updates suspendedSince and returns the time since when the
// service has had no usable upstream, or now if it has one. The caller holds
// mu.
func (p *Pools) trackSuspension(service string) time.Time {
	now := p.clock.Now()
	if p.pool(service).Capacity(now).UsableUpstreams > 0 {
		delete(p.suspendedSince, service)
		return now
	}
	if since, suspended := p.suspendedSince[service]; suspended {
		return since
	}
	p.suspendedSince[service] = now
	return now
}

// SetEntryShare sets this entry's share of the upstreams' capacity, 0 to 1.
func (p *Pools) SetEntryShare(entryShare float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entryShare = entryShare
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

// enqueue adds a request to the waitlist of a service.
func (p *Pools) enqueue(service string, r admission.Request) *admission.Ticket {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.waiting[service]
	if w == nil {
		w = admission.NewWaitlist()
		p.waiting[service] = w
	}
	totalSlots := float64(p.pool(service).Capacity(p.clock.Now()).TotalSlots)
	ticket := w.Add(r, max(int(waitlistFactor*p.entryShare*totalSlots), minWaitlist))
	p.startWaiting(service, false)
	return ticket
}

// pickStarted is Pick for a request that was started from the waitlist.
func (p *Pools) pickStarted(service string, exclude []string) *Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.starting[service]--
	return p.pickLocked(service, exclude)
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
	if w == nil || w.Len() == 0 {
		return
	}
	now := p.clock.Now()
	capacity := p.pool(service).Capacity(now)
	if capacity.UsableUpstreams == 0 {
		p.lastSuspendedAt[service] = now
	}
	capacity.InFlight += p.starting[service]
	capacity.Unanswered += p.starting[service]
	capacity.FreeSlots = max(capacity.FreeSlots-p.starting[service], 0)
	quota := capacity.StartQuota(p.entryShare)
	if leftover && now.Sub(p.lastSuspendedAt[service]) > reopenPromptWindow {
		quota = max(quota, capacity.LeftoverQuota(p.entryShare))
	}
	p.starting[service] += w.Start(quota)
}

// startOnLeftover starts waiting requests on slots that other entries leave
// free.
func (p *Pools) startOnLeftover() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for service := range p.waiting {
		p.startWaiting(service, true)
	}
}
