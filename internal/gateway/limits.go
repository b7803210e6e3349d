package gateway

import (
	"maps"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/directory"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/ratelimit"
)

// An upstream in need names the rate of requests that it takes from all entries together.
// Each entry keeps to its share: the pick passes over upstreams without a permit. Only when no
// other upstream is left does a request wait for a permit, or get refused.

const (
	// minLimitTTL and maxLimitTTL bound the time for which a limit holds that isn't named
	// again. An entry with a small share hears from the upstream after minutes only.
	minLimitTTL = 10 * time.Second
	maxLimitTTL = 5 * time.Minute
	// limitTTLPermits is that time in permits: the answer to the request of one permit
	// names the limit again.
	limitTTLPermits = 2
	// limitOrderTolerance is how long after a limit was named a load report without one may
	// still have been sent before.
	limitOrderTolerance = 1 * time.Second
)

var errLimited = fault.New(fault.Unavailable, "try again shortly", "the upstreams of the service have no room within the request limits that they named")

// namedLimit is a limit that an upstream has named.
type namedLimit struct {
	// limit is the rate for all entries together, in requests a second.
	limit   float64
	namedAt time.Time
	share   ratelimit.Share
	// inReports is set if load reports name it.
	inReports bool
}

// setShare sets the entry's share of the limit.
func (l *namedLimit) setShare(entryShare float64, now time.Time) {
	l.share.Set(max(l.limit, ratelimit.MinLimit)*entryShare, rand.Float64(), now)
}

// expired reports whether the limit was named too long ago.
func (l *namedLimit) expired(now time.Time) bool {
	ttl := min(max(limitTTLPermits*l.share.Interval(), minLimitTTL), maxLimitTTL)
	return now.Sub(l.namedAt) > ttl
}

// limitChange is a change of an upstream's limit. 0 stands for no limit.
type limitChange struct{ before, after float64 }

// limitSource is where an upstream names its limit.
type limitSource string

const (
	limitInAnswer limitSource = "answer"
	limitInReport limitSource = "load report"
)

// nameLimit applies what was said about the upstream's limit at the given time: its rate, or
// 0 for none. A limit that was named later isn't ended, nor one that load reports don't
// name by a report.
func (m *Member) nameLimit(limit float64, saidAt time.Time, source limitSource) limitChange {
	p := m.pools
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.limits[m.Incarnation()]
	if limit == 0 {
		if l == nil || !saidAt.After(l.namedAt) || source == limitInReport && !l.inReports {
			return limitChange{}
		}
		delete(p.limits, m.Incarnation())
		l.share.Clear()
		p.startWaiting(m.Service, false)
		return limitChange{before: l.limit}
	}
	if l == nil {
		l = &namedLimit{}
		p.limits[m.Incarnation()] = l
		m.node.SetLimit(&l.share)
	}
	now := p.clock.Now()
	change := limitChange{before: l.limit, after: limit}
	l.limit, l.namedAt = limit, now
	l.inReports = l.inReports || source == limitInReport
	l.setShare(p.entryShare, now)
	return change
}

// applyLimit applies what an answer to an attempt that began at the given time says about the
// upstream's limit; 0 stands for none.
func (q *request) applyLimit(m *Member, limit float64, attemptStartedAt time.Time) {
	q.g.logLimitChange(m, m.nameLimit(limit, attemptStartedAt, limitInAnswer), limitInAnswer)
}

// ApplyReportedLimit applies what an upstream's load report says about its limit; 0 stands
// for none.
func (g *Gateway) ApplyReportedLimit(m *Member, limit float64) {
	sentAfter := g.Clock.Now().Add(-limitOrderTolerance)
	g.logLimitChange(m, m.nameLimit(limit, sentAfter, limitInReport), limitInReport)
}

func (g *Gateway) logLimitChange(m *Member, c limitChange, source limitSource) {
	if c.before != c.after {
		g.Log.Info("upstream's request limit changed", zap.String("upstream", m.ID), zap.Float64("before", c.before), zap.Float64("after", c.after), zap.String("source", string(source)))
	}
}

// removeExpiredLimits removes the limits that were named too long ago. The caller holds mu.
func (p *Pools) removeExpiredLimits(now time.Time) {
	maps.DeleteFunc(p.limits, func(_ directory.Departure, l *namedLimit) bool {
		if !l.expired(now) {
			return false
		}
		l.share.Clear()
		return true
	})
}

// atLimit returns the time until an upstream of the service gets a permit, if some could take
// the request but for their limits.
func (p *Pools) atLimit(service string, exclude []string) (wait time.Duration, limited bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, wait := p.pool(service).NextPermit(p.clock.Now(), exclude)
	return wait, n != nil
}

// reservePermit takes the next permit of the service's upstreams and counts a request to its
// upstream, which may be sent after the returned time. It returns nil if that is longer than
// maxWait or no upstream is limited.
func (p *Pools) reservePermit(service string, exclude []string, maxWait time.Duration) (*Member, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, wait := p.pool(service).NextPermit(p.clock.Now(), exclude)
	if n == nil || wait > maxWait {
		return nil, 0
	}
	return p.member(n), wait
}

// inUse reports whether the member is still one of the pools'.
func (m *Member) inUse() bool {
	m.pools.mu.Lock()
	defer m.pools.mu.Unlock()
	return m.pools.members[m.ID] == m
}

// awaitPermit waits for the next permit of the service's upstreams and returns its upstream,
// or nil if that takes too long.
func (q *request) awaitPermit() *Member {
	maxWait := q.waitLimit()
	m, wait := q.g.Pools.reservePermit(q.service, q.attempted, maxWait)
	if m == nil {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	ended := false
	select {
	case <-timer.C:
	case <-q.ctx.Done():
		ended = true
	}
	usable := !ended && m.inUse()
	q.g.stats.recordWait(q.service, usable, wait)
	q.log.Info("waited for an upstream's request limit", zap.String("upstream", m.ID), zap.Bool("may_start", usable), zap.Duration("waited", wait), zap.Duration("limit", maxWait))
	if usable {
		return m
	}
	m.Finish(false, false)
	if ended {
		return nil
	}
	return q.g.Pools.Pick(q.service, q.attempted)
}
