package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/outage"
)

var errSilentUpstream = fault.New(fault.Unavailable, "no action needed; the request is sent to another upstream if one can take it", "the upstream has fallen silent")

// silenceCheckInterval is how often silent upstreams are looked for: a small part of the
// time that callers wait for an event.
const silenceCheckInterval = 100 * time.Millisecond

// silenceChange says that an upstream has fallen silent, or is heard from again.
type silenceChange struct {
	member *Member
	silent bool
	// age is the time since it was last heard from, inFlight the number of this entry's
	// requests at it.
	age      time.Duration
	inFlight int
}

// checkSilence updates which upstreams are silent and returns the changes.
func (p *Pools) checkSilence() []silenceChange {
	p.mu.Lock()
	defer p.mu.Unlock()
	var changes []silenceChange
	for _, pool := range p.pools {
		for _, c := range pool.CheckSilence(p.clock.Now()) {
			m := p.leaving[c.Node]
			if m == nil {
				m = p.members[c.Node.ID]
			}
			changes = append(changes, silenceChange{member: m, silent: c.Silent, age: c.Age, inFlight: c.Node.InFlight()})
		}
	}
	return changes
}

// checkDataCentres marks the upstreams of data centres whose reports have stopped, and returns how long
// ago the last came from those that have just become quiet. It concerns services whose return
// from an outage is declared.
func (p *Pools) checkDataCentres() map[string]time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, dataCentres := p.clock.Now(), map[string]outage.DataCentre{}
	for _, m := range p.members {
		if _, planned := p.engines[m.Service]; !planned {
			continue
		}
		s := dataCentres[m.DataCentre]
		at, rate := m.node.LastHeard(now)
		if at.After(s.HeardAt) {
			s.HeardAt = at
		}
		if rate > 0 {
			s.Reporting++
			s.ReportsPerSecond += rate
		}
		dataCentres[m.DataCentre] = s
	}
	quiet, changed := outage.Quiet(dataCentres, now), map[string]time.Duration{}
	for name := range quiet {
		if !p.quiet[name] {
			changed[name] = now.Sub(dataCentres[name].HeardAt)
		}
	}
	p.quiet = quiet
	for _, m := range p.members {
		if _, planned := p.engines[m.Service]; planned && quiet[m.DataCentre] {
			m.node.SetQuiet(true)
		}
	}
	return changed
}

// checkSilence looks for upstreams that have fallen silent or are heard from again. An
// upstream that has just fallen silent loses the requests that may run elsewhere.
func (g *Gateway) checkSilence() {
	for dataCentre, age := range g.Pools.checkDataCentres() {
		g.Log.Info("reports from a data centre have stopped", zap.String("data_centre", dataCentre), zap.Duration("age", age))
	}
	for _, c := range g.Pools.checkSilence() {
		if !c.silent {
			g.Log.Info("upstream is heard from again", zap.String("upstream", c.member.ID), zap.Int("in_flight", c.inFlight))
			continue
		}
		withdrawn := 0
		for _, r := range g.inProgress() {
			if r.withdrawFrom(c.member) {
				withdrawn++
			}
		}
		g.Log.Info("upstream has fallen silent", zap.String("upstream", c.member.ID), zap.Duration("age", c.age), zap.Int("in_flight", c.inFlight), zap.Int("withdrawn", withdrawn))
	}
}

// withdrawFrom ends the request's attempt at a silent upstream if the request may run
// more than once. Its caller would leave after waiting in vain, and a run that its
// caller has left can't be ended there.
func (q *request) withdrawFrom(m *Member) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.attemptAt != m || !q.route.Retryable() {
		return false
	}
	q.cancelAttempt(errSilentUpstream)
	return true
}
