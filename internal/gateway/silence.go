package gateway

import (
	"time"

	"go.uber.org/zap"
)

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
			changes = append(changes, silenceChange{member: p.members[c.Node.ID], silent: c.Silent, age: c.Age, inFlight: c.Node.InFlight()})
		}
	}
	return changes
}

// checkSilence logs which upstreams have fallen silent or are heard from again.
func (g *Gateway) checkSilence() {
	for _, c := range g.Pools.checkSilence() {
		if c.silent {
			g.Log.Info("upstream has fallen silent", zap.String("upstream", c.member.ID), zap.Duration("age", c.age), zap.Int("in_flight", c.inFlight))
			continue
		}
		g.Log.Info("upstream is heard from again", zap.String("upstream", c.member.ID), zap.Int("in_flight", c.inFlight))
	}
}
