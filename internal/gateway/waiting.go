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
	// callerPatience is how long callers of streams wait for an event at least,
	// and targetPatience and gapPatience how many times the route's target and its
	// longest pause they wait if that is longer.
	callerPatience = 2 * time.Second
	targetPatience = 4
	gapPatience    = 8
	// waitPart is the part of a caller's patience that a request may wait; the
	// rest is for its first event.
	waitPart = 0.7
	// waitShare bounds the wait in parts of the time left, so that a refused
	// caller can come back.
	waitShare = 0.3
	// restInterval is how often the places are looked at that other entries leave
	// free: reports show what they took within that time.
	restInterval = 200 * time.Millisecond
	// rushTime is how long after a group has begun to serve again the prompts that
	// wait bound what starts: by then the first ones have been read.
	rushTime = 1 * time.Second
	// waitRounds bounds the waiting requests, in shares of the service's places.
	waitRounds = 3
	// minWaiting is the least of that bound, for a service of few places.
	minWaiting = 8
)

// patience is how long callers of a route wait for an event.
func patience(r *routing.Route) time.Duration {
	return max(callerPatience, targetPatience*r.TargetLatency, gapPatience*r.TargetGap)
}

// pick chooses an upstream for the next attempt, nil for none. A request to a
// group that can't serve for now waits for it.
func (q *request) pick() *Member {
	if !q.steps() {
		return q.g.Pools.Pick(q.service, q.tried)
	}
	// A new request can still have its first event in time, those that wait can't.
	m, away := q.g.Pools.pickOrAge(q.service, q.tried)
	if m != nil {
		return m
	}
	limit := q.waitLimit()
	if !q.head && away+limit < q.g.MinOutage {
		return nil
	}
	if !q.await(limit) {
		return nil
	}
	return q.g.Pools.pickStarted(q.service, q.tried)
}

// waitLimit is how long the request may wait from now on.
func (q *request) waitLimit() time.Duration {
	since := q.begun
	if q.eventAt.After(since) {
		since = q.eventAt
	}
	limit := time.Duration(waitPart*float64(patience(q.route))) - time.Since(since)
	return min(limit, time.Duration(waitShare*float64(q.left())))
}

// await waits until the request may start; false means that its time to wait is
// over, or that too many wait.
func (q *request) await(limit time.Duration) bool {
	if limit <= 0 {
		return false
	}
	begun := time.Now()
	ctx, cancel := context.WithTimeout(q.ctx, limit)
	defer cancel()
	decided := make(chan admission.Decision, 1)
	t := q.g.Pools.wait(q.service, admission.Request{
		Pool: q.service, Account: q.account, Priority: lastUrgency - q.urgency(),
		OnDecision: func(d admission.Decision) { decided <- d },
	})
	var d admission.Decision
	select {
	case d = <-decided:
	case <-ctx.Done():
		if !q.g.Pools.withdraw(q.service, t) {
			d = <-decided
		}
	}
	q.g.stats.waited(q.service, d.Start, time.Since(begun))
	q.log.Info("waited for the group", zap.Bool("may_start", d.Start), zap.String("reason", string(d.Reason)),
		zap.Duration("waited", time.Since(begun)), zap.Duration("limit", limit), zap.Strings("tried", q.tried))
	return d.Start
}

// defaultOutage is how long a group is taken to be away at least once it can't
// serve, where the platform states no bound on partitions.
const defaultOutage = 5 * time.Second

// pickOrAge is Pick; without an upstream it returns for how long there has been
// none.
func (p *Pools) pickOrAge(service string, tried []string) (m *Member, away time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m = p.take(service, tried); m != nil {
		return m, 0
	}
	return nil, p.clock.Since(p.noteShut(service))
}

// noteShut returns since when a service has no usable upstream, now if it has one.
// The caller holds mu.
func (p *Pools) noteShut(service string) time.Time {
	now := p.clock.Now()
	if p.pool(service).Capacity(now).UsableUpstreams > 0 {
		delete(p.shutSince, service)
		return now
	}
	if since, known := p.shutSince[service]; known {
		return since
	}
	p.shutSince[service] = now
	return now
}

// SetEntryShare sets this entry's part of the upstreams' places.
func (p *Pools) SetEntryShare(part float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.part = part
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

// wait makes a request wait for a service.
func (p *Pools) wait(service string, r admission.Request) *admission.Ticket {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.waiting[service]
	if w == nil {
		w = admission.NewWaitlist()
		p.waiting[service] = w
	}
	all := float64(p.pool(service).Capacity(p.clock.Now()).TotalSlots)
	t := w.Add(r, max(int(waitRounds*p.part*all), minWaiting))
	p.startWaiting(service, false)
	return t
}

// pickStarted is Pick for a request whose wait has ended with its start.
func (p *Pools) pickStarted(service string, tried []string) *Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.starting[service]--
	return p.take(service, tried)
}

// withdraw ends the wait of a request; false means that it had been decided on.
func (p *Pools) withdraw(service string, t *admission.Ticket) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.waiting[service].Remove(t)
}

// startWaiting starts the waiting requests that a service has places for: this
// entry's share, or also of those that the others leave free. The caller holds mu.
func (p *Pools) startWaiting(service string, rest bool) {
	w := p.waiting[service]
	if w == nil || w.Len() == 0 {
		return
	}
	now := p.clock.Now()
	places := p.pool(service).Capacity(now)
	if places.UsableUpstreams == 0 {
		p.shutAt[service] = now
	}
	places.InFlight += p.starting[service]
	places.Unanswered += p.starting[service]
	places.FreeSlots = max(places.FreeSlots-p.starting[service], 0)
	n := places.StartQuota(p.part)
	if rest && now.Sub(p.shutAt[service]) > rushTime {
		n = max(n, places.LeftoverQuota(p.part))
	}
	p.starting[service] += w.Start(n)
}

// startRest lets waiting requests have the places that other entries leave free.
func (p *Pools) startRest() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for service := range p.waiting {
		p.startWaiting(service, true)
	}
}
