package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/admission"
	"github.com/kingcupreel/kingcupreel/internal/routing"
)

// A group whose rank is away serves nobody, and forms anew within seconds. While it
// can't be expected back in time, callers are told at once when to come back. Later
// requests, and streams that have begun, wait as long as their callers wait for an
// event, and then start as the places allow.

const (
	// minEventPatience is how long callers of streams wait for an event at least,
	// and targetPatience and gapPatience how many times the route's target and its
	// longest pause they wait if that is longer.
	minEventPatience     = 2 * time.Second
	targetPatienceFactor = 4
	gapPatienceFactor    = 8
	// maxWaitOfPatience is the part of a caller's patience that a request may wait; the
	// rest is for its first event.
	maxWaitOfPatience = 0.7
	// maxWaitOfRemaining bounds the wait in parts of the time left, so that a refused
	// caller can come back.
	maxWaitOfRemaining = 0.3
	// leftoverInterval is how often the places are looked at that other entries leave
	// free: reports show what they took within that time.
	leftoverInterval = 200 * time.Millisecond
	// reopenPromptWindow is how long after a group has begun to serve again the prompts that
	// wait bound what starts: by then the first ones have been read.
	reopenPromptWindow = 1 * time.Second
	// waitlistFactor bounds the waiting requests, in shares of the service's places.
	waitlistFactor = 3
	// minWaitlist is the least of that bound, for a service of few places.
	minWaitlist = 8
)

// eventPatience is how long callers of a route wait for an event.
func eventPatience(r *routing.Route) time.Duration {
	return max(minEventPatience, targetPatienceFactor*r.TargetLatency, gapPatienceFactor*r.TargetGap)
}

// pick chooses an upstream for the next attempt, nil for none. A request to a
// group that can't serve for now waits for it.
func (q *request) pick() *Member {
	if !q.isRankGroup() {
		return q.g.Pools.Pick(q.service, q.attempted)
	}
	// A new request can still have its first event in time, those that wait can't.
	m, outage := q.g.Pools.pickOrOutageAge(q.service, q.attempted)
	if m != nil {
		return m
	}
	limit := q.waitLimit()
	if !q.headSent && outage+limit < q.g.MinOutage {
		return nil
	}
	if !q.await(limit) {
		return nil
	}
	return q.g.Pools.pickStarted(q.service, q.attempted)
}

// waitLimit is how long the request may wait from now on.
func (q *request) waitLimit() time.Duration {
	since := q.startedAt
	if q.lastEventAt.After(since) {
		since = q.lastEventAt
	}
	limit := time.Duration(maxWaitOfPatience*float64(eventPatience(q.route))) - time.Since(since)
	return min(limit, time.Duration(maxWaitOfRemaining*float64(q.remaining())))
}

// await waits until the request may start; false means that its time to wait is
// over, or that too many wait.
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

// defaultOutage is how long a group is taken to be away at least once it can't
// serve, where the platform states no bound on partitions.
const defaultOutage = 5 * time.Second

// pickOrOutageAge is Pick; without an upstream it returns for how long there has been
// none.
func (p *Pools) pickOrOutageAge(service string, exclude []string) (m *Member, outage time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m = p.pickLocked(service, exclude); m != nil {
		return m, 0
	}
	return nil, p.clock.Since(p.trackSuspension(service))
}

// trackSuspension returns since when a service has no usable upstream, now if it has one.
// The caller holds mu.
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

// SetEntryShare sets this entry's part of the upstreams' places.
func (p *Pools) SetEntryShare(entryShare float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entryShare = entryShare
}

// Waiting returns how many requests wait for a service.
func (p *Pools) Waiting(service string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.waiting[service]; w != nil {
		return w.Len()
	}
	return 0
}

// enqueue makes a request enqueue for a service.
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

// pickStarted is Pick for a request whose wait has ended with its start.
func (p *Pools) pickStarted(service string, exclude []string) *Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.starting[service]--
	return p.pickLocked(service, exclude)
}

// withdraw ends the wait of a request; false means that it had been decided on.
func (p *Pools) withdraw(service string, ticket *admission.Ticket) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.waiting[service].Remove(ticket)
}

// startWaiting starts the waiting requests that a service has places for: this
// entry's share, or also of those that the others leave free. The caller holds mu.
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

// startOnLeftover lets waiting requests have the places that other entries leave free.
func (p *Pools) startOnLeftover() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for service := range p.waiting {
		p.startWaiting(service, true)
	}
}
