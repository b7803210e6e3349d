package gateway

import (
	"maps"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/admission"
	"github.com/kingcupreel/kingcupreel/internal/dispatch"
	"github.com/kingcupreel/kingcupreel/internal/outage"
	"github.com/kingcupreel/kingcupreel/internal/routing"
)

// maxHoldPatienceFraction is the fraction of a caller's patience for which it may be kept before
// it is told to retry. The answer needs no more than a moment.
const maxHoldPatienceFraction = 0.9

// serviceTimeFactor times the usual time for which a request keeps its slot is what a caller
// should have left when its request starts: answers differ in length.
const serviceTimeFactor = 2

// plansOutages reports whether callers of a service are carried through its outages by plan: the
// time in which its groups form, and a bound on partitions, have to be declared.
func (g *Gateway) plansOutages(service string) bool {
	return g.MinOutage > 0 && g.Pools.plansOutages(service)
}

// attemptAge returns how long ago the caller of a request sent its first one, as far as the
// timeout tells that it names. The timeouts of an outage, when many retry, aren't recorded.
func (g *Gateway) attemptAge(route, service string, timeout time.Duration) time.Duration {
	serves := g.Pools.serves(service)
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.callerTimeouts[route]
	if t == nil {
		t = &outage.Timeouts{}
		g.callerTimeouts[route] = t
	}
	if serves && timeout > 0 {
		t.Add(timeout)
	}
	return t.AttemptAge(timeout)
}

// forgetTimeouts removes the timeouts of routes that a configuration doesn't have.
func (g *Gateway) forgetTimeouts(t *routing.Table) {
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.callerTimeouts, func(route string, _ *outage.Timeouts) bool { return t.Route(route) == nil })
}

// carryThroughOutage chooses the way on which the caller of a group that can't serve is carried
// to its return. It waits for the group where that is the way, and sets the delay after which
// the caller should retry otherwise.
func (q *request) carryThroughOutage(d dispatch.Demand) *Member {
	c := q.bearable()
	plan := q.planOutage(c)
	if plan.Action == outage.Wait {
		if rest, all := q.g.Pools.restingFor(q.service); all && rest > plan.Limit {
			return nil
		}
		if m := q.awaitTurn(plan.Limit, d); m != nil {
			return m
		}
		if q.returnAfter > 0 {
			return nil
		}
		c = q.bearable()
		c.WaitLimit, c.HoldLimit = 0, 0
		plan = q.planOutage(c)
	}
	q.returnAfter = plan.ReturnFrom + time.Duration(rand.Float64()*float64(plan.ReturnTo-plan.ReturnFrom))
	return nil
}

// awaitTurn waits for the group among the other waiting requests. If the group is back but
// doesn't come to the request in time, it sets the delay after which the caller should retry.
func (q *request) awaitTurn(limit time.Duration, d dispatch.Demand) *Member {
	r := admission.Request{OnTimeUntil: q.onTimeUntil(), BeginBy: q.g.Clock.Now().Add(limit)}
	m := q.awaitAs(r, limit, d)
	if m == nil {
		q.returnAfter = q.g.Pools.backlogDelay(q.service, q.remaining())
	}
	return m
}

// mustQueue reports whether a request has to wait for its turn at a service that opens, or that
// has just returned if the request can't be on time any more: those that can would have to wait
// for it.
func (q *request) mustQueue() bool {
	if q.accepted() || q.attempts > 0 || !q.g.plansOutages(q.service) {
		return false
	}
	return q.g.Pools.recovering(q.service, q.attemptAge > 0 && q.onTimeUntil().IsZero())
}

// bearable returns what the caller can bear from now on.
func (q *request) bearable() outage.Caller {
	remaining, patience := q.remaining(), eventPatience(q.route)
	sinceProgress := time.Since(q.lastProgressAt())
	serviceTime := serviceTimeFactor * q.g.Pools.times(q.service).service
	wait := time.Duration(maxWaitPatienceFraction * float64(patience))
	return outage.Caller{
		Remaining:     remaining,
		WaitLimit:     max(min(wait-sinceProgress, remaining-serviceTime), 0),
		HoldLimit:     max(time.Duration(maxHoldPatienceFraction*float64(patience))-sinceProgress, 0),
		NextWaitLimit: wait,
		ServiceTime:   serviceTime,
		MayReturn:     !q.accepted() && q.attemptAge == 0,
	}
}

// onTimeUntil returns until when the request can begin and still be on time, zero if it can't.
func (q *request) onTimeUntil() time.Time {
	until := q.startedAt.Add(q.route.TargetLatency - q.attemptAge - q.usualDelay())
	if q.accepted() || !until.After(time.Now()) {
		return time.Time{}
	}
	return until
}

// planOutage returns the way for the caller, logs and counts it.
func (q *request) planOutage(c outage.Caller) outage.Plan {
	f, plan := q.g.Pools.planOutage(q.service, q.g.MinOutage, c)
	now := q.g.Clock.Now()
	q.g.stats.recordOutagePlan(q.service, plan.Action)
	if q.attemptAge > 0 {
		q.g.stats.recordReturn(q.service)
	}
	q.log.Info("caller of a group that can't serve", zap.String("action", string(plan.Action)), zap.Duration("reach", plan.Reach),
		zap.String("evidence", string(f.Evidence)), zap.String("group", f.Group), zap.Int("ranks_lost", f.Lost), zap.Duration("outage", f.Age),
		zap.Duration("expected_in", f.Expected.Sub(now)), zap.Duration("latest_in", f.Latest.Sub(now)),
		zap.Duration("limit", plan.Limit), zap.Duration("return_from", plan.ReturnFrom), zap.Duration("return_to", plan.ReturnTo),
		zap.Duration("remaining", c.Remaining), zap.Duration("attempt_age", q.attemptAge), zap.Bool("may_return", c.MayReturn))
	return plan
}

// configureOutages sets what the configuration declares about the return from outages.
func (p *Pools) configureOutages(t *routing.Table) {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.engines)
	for _, s := range t.Services {
		if s.Engine == nil || s.Engine.FormTime <= 0 {
			continue
		}
		e := outage.Engine{FormTime: s.Engine.FormTime}
		if s.Engine.ReadRate > 0 {
			e.ReadTime = time.Duration(s.Engine.MeanPrompt / s.Engine.ReadRate * float64(time.Second))
		}
		p.engines[s.Name] = e
	}
}

// plansOutages reports whether the return of a service's groups is declared.
func (p *Pools) plansOutages(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.engines[service]
	return ok
}

// openTime is how long the ranks of a group take to say that it is open: their agents read
// their state several times within it.
const openTime = 250 * time.Millisecond

// observeOutage updates and returns the outages of a service. The caller holds mu.
func (p *Pools) observeOutage(service string) *outage.Tracker {
	t := p.outages[service]
	if t == nil {
		t = outage.NewTracker(dispatch.AliveTTL)
		p.outages[service] = t
	}
	if _, planned := p.engines[service]; planned {
		t.SetOpenTime(openTime)
	}
	if p.pool(service).OnlyEvacuated(dispatch.Demand{}) {
		t.Pause()
		return t
	}
	statuses, usable := p.pool(service).Groups(p.clock.Now())
	groups := make([]outage.Group, len(statuses))
	for i, s := range statuses {
		groups[i] = outage.Group(s)
	}
	if t.Observe(groups, usable, p.clock.Now()) {
		delete(p.returning, service)
	}
	return t
}

// opening reports whether the first ranks of a service's groups say that these are open, and the
// others don't yet. The caller holds mu.
func (p *Pools) opening(service string) bool {
	t := p.outages[service]
	if _, planned := p.engines[service]; !planned || t == nil || t.Service().Since.IsZero() {
		return false
	}
	span := p.observeOutage(service).Service()
	return span.ServedBefore && !span.Since.IsZero() && p.pool(service).Capacity(p.clock.Now()).UsableUpstreams > 0
}

// planOutage returns the way for a caller of a service that can't serve.
func (p *Pools) planOutage(service string, maxPartition time.Duration, c outage.Caller) (outage.Forecast, outage.Plan) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	f := p.observeOutage(service).Forecast(outage.Terms{MaxPartition: maxPartition, FormTime: p.engines[service].FormTime}, now)
	plan := f.Plan(c, p.intake(service, 0).Turn(p.returning[service]), now)
	if plan.Action == outage.Return {
		p.returning[service]++
	}
	return f, plan
}

// serves reports whether the service was last known to serve.
func (p *Pools) serves(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.outages[service]
	return t != nil && t.Service().Since.IsZero()
}

// recovering reports whether a service opens, or, for a request that is late, has returned from
// an outage so recently that callers return from it too.
func (p *Pools) recovering(service string, late bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.opening(service) {
		return true
	}
	t, w := p.outages[service], p.waiting[service]
	if t == nil || !late {
		return false
	}
	span := t.Service()
	return span.Since.IsZero() && !span.ReturnedAt.IsZero() && (w != nil && w.Len() > 0 || p.clock.Since(span.ReturnedAt) < reopenPromptWindow)
}

// intake returns how fast this entry's share of a service takes requests in with so many free
// slots. The caller holds mu.
func (p *Pools) intake(service string, freeSlots int) outage.Intake {
	pool := p.pool(service)
	in := outage.Intake{AtOnce: p.entryShare * float64(freeSlots)}
	if t := pool.ServiceTime(); t > 0 {
		in.PerSecond = p.entryShare * float64(pool.Capacity(p.clock.Now()).TotalSlots) / t.Seconds()
	}
	if t := p.engines[service].ReadTime; t > 0 {
		in.StartsPerSecond = p.entryShare * float64(pool.Len()) / t.Seconds()
	}
	return in
}

// leftoverStarts returns how many waiting requests may start on slots that other entries leave
// free. All entries see the same free slots, and after an outage many wait at each. The caller
// holds mu.
func (p *Pools) leftoverStarts(service string, c dispatch.Capacity) int {
	quota := c.LeftoverQuota(p.entryShare)
	if _, planned := p.engines[service]; planned {
		return min(quota, 1)
	}
	return quota
}

// refuseHopeless refuses the waiting requests of a service whose turn comes after their callers
// have left. The caller holds mu.
func (p *Pools) refuseHopeless(service string) {
	w, capacity := p.waiting[service], p.pool(service).Capacity(p.clock.Now())
	if w.Len() > 0 && capacity.UsableUpstreams > 0 && p.engines[service].FormTime > 0 {
		w.RefuseHopeless(p.clock.Now(), p.intake(service, capacity.FreeSlots).Turn)
	}
}

// backlogDelay returns the delay after which a refused caller should retry at a service that is
// back, by the requests that wait for it; 0 if the service isn't back.
func (p *Pools) backlogDelay(service string, remaining time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	capacity := p.pool(service).Capacity(p.clock.Now())
	if capacity.UsableUpstreams == 0 {
		return 0
	}
	waiting := 0
	if w := p.waiting[service]; w != nil {
		waiting = w.Len()
	}
	delay := max(p.intake(service, capacity.FreeSlots).Turn(waiting), overloadRetryAfter)
	return min(delay, time.Duration(outage.MaxReturnFraction*float64(max(remaining, 0))))
}
