package gateway

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/directory"
	"github.com/kingcupreel/kingcupreel/internal/dispatch"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/ratelimit"
	"github.com/kingcupreel/kingcupreel/internal/warmup"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// An upstream in need names the rate of requests that it takes from all entries together.
// Each entry keeps to its share: the pick passes over upstreams without a permit. Only when no
// other upstream is left does a request wait for a permit, or get refused.

const (
	// limitTTLPermits is the time for which a limit holds that no entry hears named, in
	// permits of all entries together, and minLimitTTL the least such time.
	limitTTLPermits = 3
	minLimitTTL     = 10 * time.Second
	// limitOrderTolerance is how long after a limit was named a load report without one may
	// still have been sent before.
	limitOrderTolerance = 1 * time.Second
	// limitNewsTime is how long an entry passes on what it has learned of a limit from
	// answers or other entries. Within that time it sends several digests.
	limitNewsTime = 2 * time.Second
)

var errLimited = fault.New(fault.Unavailable, "try again shortly", "the upstreams of the service have no room within their request limits")

// namedLimit is what an upstream has said of its limit.
type namedLimit struct {
	// limit is the rate for all entries together, in requests a second; 0 once the upstream
	// has ended its limit.
	limit float64
	// saidAt is when the upstream last named the limit, or ended it.
	saidAt time.Time
	share  ratelimit.Share
	// inReports is set if load reports name it.
	inReports bool
}

// setShare sets the entry's share of the limit.
func (l *namedLimit) setShare(entryShare float64, now time.Time) {
	if l.limit == 0 {
		l.share.Clear()
		return
	}
	l.share.Set(l.limit*entryShare, rand.Float64(), now)
}

// expired reports whether the upstream said so too long ago.
func (l *namedLimit) expired(now time.Time) bool {
	ttl := minLimitTTL
	if l.limit > 0 {
		ttl = max(ttl, time.Duration(limitTTLPermits/l.limit*float64(time.Second)))
	}
	return now.Sub(l.saidAt) > ttl
}

// limitChange is a change of an upstream's limit. 0 stands for no limit.
type limitChange struct{ before, after float64 }

// limitSource is where an upstream names its limit.
type limitSource string

const (
	limitInAnswer  limitSource = "answer"
	limitInReport  limitSource = "load report"
	limitFromEntry limitSource = "entry"
)

// nameLimit applies what the upstream said about its limit at the given time: its rate, or 0
// for none. It ignores what was said before the latest that is known, and a load report
// without a limit that load reports don't name.
func (m *Member) nameLimit(limit float64, saidAt time.Time, source limitSource) limitChange {
	p := m.pools
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.limits[m.Incarnation()]
	switch {
	case l == nil && limit == 0:
		return limitChange{}
	case l == nil:
		l = &namedLimit{}
		p.limits[m.Incarnation()] = l
		m.node.SetLimit(&l.share)
	case !saidAt.After(l.saidAt), limit == 0 && source == limitInReport && !l.inReports:
		return limitChange{}
	}
	change := limitChange{before: l.limit, after: limit}
	l.limit, l.saidAt = limit, saidAt
	l.inReports = l.inReports || source == limitInReport
	l.setShare(p.entryShare, p.clock.Now())
	if limit == 0 {
		p.startWaiting(m.Service, false)
	}
	return change
}

// applyLimit applies what an answer to an attempt that began at the given time says about the
// upstream's limit; 0 stands for none.
func (q *request) applyLimit(m *Member, limit float64, attemptStartedAt time.Time) {
	saidAt := attemptStartedAt // or later
	if limit > 0 {
		saidAt = q.g.Clock.Now()
	}
	q.g.logLimitChange(m, m.nameLimit(limit, saidAt, limitInAnswer), limitInAnswer)
}

// ApplyReportedLimit applies what an upstream's load report says about its limit; 0 stands
// for none.
func (g *Gateway) ApplyReportedLimit(m *Member, limit float64) {
	saidAt := g.Clock.Now()
	if limit == 0 {
		saidAt = saidAt.Add(-limitOrderTolerance)
	}
	g.logLimitChange(m, m.nameLimit(limit, saidAt, limitInReport), limitInReport)
}

// ApplySharedLimits applies what another entry has learned of upstreams' limits.
func (g *Gateway) ApplySharedLimits(limits []wire.UpstreamLimit) {
	for _, l := range limits {
		if m := g.Pools.named(l.ID); m != nil && m.Started == l.Started && l.Limit >= 0 && l.AgeMS >= 0 {
			saidAt := g.Clock.Now().Add(-time.Duration(l.AgeMS) * time.Millisecond)
			g.logLimitChange(m, m.nameLimit(l.Limit, saidAt, limitFromEntry), limitFromEntry)
		}
	}
}

// RecentLimits returns the latest that upstreams have said about their limits in answers, to
// this entry or to others, at most max. What load reports say reaches every entry anyway.
func (p *Pools) RecentLimits(max int) []wire.UpstreamLimit {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	var list []wire.UpstreamLimit
	for id, l := range p.limits {
		if age := now.Sub(l.saidAt); age < limitNewsTime && !l.inReports {
			list = append(list, wire.UpstreamLimit{ID: id.ID, Started: id.Started, Limit: l.limit, AgeMS: age.Milliseconds()})
		}
	}
	slices.SortFunc(list, func(a, b wire.UpstreamLimit) int { return cmp.Compare(a.AgeMS, b.AgeMS) })
	return list[:min(len(list), max)]
}

func (g *Gateway) logLimitChange(m *Member, c limitChange, source limitSource) {
	if ratelimit.Changed(c.before, c.after) {
		g.Log.Info("upstream's request limit changed", zap.String("upstream", m.ID), zap.Float64("before", c.before), zap.Float64("after", c.after), zap.String("source", string(source)))
	}
}

// Limited returns the number of upstreams in use that name limits.
func (p *Pools) Limited() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, m := range p.members {
		if l := p.limits[m.Incarnation()]; l != nil && l.limit > 0 {
			count++
		}
	}
	return count
}

// removeExpiredLimits forgets the limits of which nothing was heard for too long. The caller
// holds mu.
func (p *Pools) removeExpiredLimits(now time.Time) {
	maps.DeleteFunc(p.limits, func(_ directory.Departure, l *namedLimit) bool {
		if !l.expired(now) {
			return false
		}
		l.share.Clear()
		return true
	})
}

// atLimit returns the time until the next permit of the service's upstreams, if some are
// limited and could take the request but for that, and whether that one is cold.
func (p *Pools) atLimit(service string, d dispatch.Demand) (wait time.Duration, limited, cold bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	n, wait := p.pool(service).NextPermit(now, d)
	return wait, n != nil, n != nil && n.Cold(now)
}

// reservePermit takes the next permit of the service's upstreams and counts a request to its
// upstream, which may be sent after the returned time. It returns nil if that is longer than
// maxWait or no upstream is limited.
func (p *Pools) reservePermit(service string, d dispatch.Demand, maxWait time.Duration) (*Member, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, wait := p.pool(service).NextPermit(p.clock.Now(), d)
	if n == nil || wait > maxWait {
		return nil, 0
	}
	return p.member(n), wait
}

// canTake reports whether the upstream can take a request for which a permit was reserved that
// fell due so long ago: it may have left meanwhile, or want no requests. A process that has
// stood still finds all its permits due at once, which a cold upstream may not bear.
func (m *Member) canTake(d dispatch.Demand, late time.Duration) bool {
	m.pools.mu.Lock()
	defer m.pools.mu.Unlock()
	now := m.pools.clock.Now()
	if late > warmup.MaxDelay && m.node.Cold(now) {
		return false
	}
	return m.pools.pool(m.Service).CanTake(m.node, now, d)
}

// awaitPermit waits for the next permit of the service's upstreams and returns its upstream,
// or nil if that takes too long.
func (q *request) awaitPermit() *Member {
	maxWait := q.waitLimit()
	m, wait := q.g.Pools.reservePermit(q.service, q.demand(), maxWait)
	if m == nil {
		return nil
	}
	if m.isCold() {
		q.g.stats.recordColdUpstream(q.service, "waited")
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	ended := false
	start := time.Now()
	select {
	case <-timer.C:
	case <-q.ctx.Done():
		ended = true
	}
	late := time.Since(start) - wait
	usable := !ended && m.canTake(q.demand(), late)
	q.g.stats.recordWait(q.service, usable, wait)
	q.log.Info("waited for an upstream's request limit", zap.String("upstream", m.ID), zap.Bool("may_start", usable), zap.Duration("late", late), zap.Duration("waited", wait), zap.Duration("limit", maxWait))
	if usable {
		return m
	}
	m.Finish(false, false)
	if ended {
		return nil
	}
	m, _ = q.g.Pools.Pick(q.service, q.demand())
	return m
}
