package gateway

import (
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/dispatch"
	"github.com/kingcupreel/kingcupreel/internal/pace"
	"github.com/kingcupreel/kingcupreel/internal/routing"
)

// paceCost returns the costs of a pass of a service's engines: the steps between two parts. They
// are unknown if the service doesn't declare its steps.
func paceCost(e *routing.Engine) pace.Cost {
	if e.StepsPerPart <= 0 {
		return pace.Cost{}
	}
	steps := time.Duration(e.StepsPerPart)
	c := pace.Cost{
		Base: steps * e.StepTime, PerRequest: steps * e.StepTimePerSequence,
		SharedFraction: e.Experts.ExpertTimeShare, Parts: max(e.MeanAnswer/float64(e.StepsPerPart), 1),
	}
	if e.ReadRate > 0 {
		c.PromptRead = time.Duration(e.MeanPrompt / e.ReadRate * float64(time.Second))
	}
	return c
}

// reportPace sets the gauges of the groups' pace, and logs when the groups of a service stop
// keeping the pace and when there is room again.
func (g *Gateway) reportPace() {
	for service, s := range g.Pools.paceStates() {
		gauge := func(value int64, parts ...string) {
			metrics.GetOrRegisterGauge(strings.Join(append([]string{"pace", service}, parts...), "."), g.Metrics).Update(value)
		}
		short := int64(0)
		if s.Short {
			short = 1
		}
		gauge(short, "short")
		for _, group := range s.Groups {
			gauge(int64(group.Load), group.Group, "load")
			gauge(int64(group.Bound), group.Group, "bound")
			gauge(group.Interval.Milliseconds(), group.Group, "interval_ms")
		}
		if s.changed {
			g.Log.Info("room at pace changed", zap.String("service", service), zap.Bool("short", s.Short), zap.Duration("short_for", s.ShortFor), zap.Duration("target_gap", s.Target),
				zap.Duration("view_age", s.ViewAge), zap.Any("groups", s.Groups))
		}
	}
}

// paceState is the pace of a service. changed is set if it has become short of room, or has room
// again.
type paceState struct {
	dispatch.Pace
	changed bool
}

// paceStates returns the pace of the services that are paced.
func (p *Pools) paceStates() map[string]paceState {
	p.mu.Lock()
	defer p.mu.Unlock()
	states := map[string]paceState{}
	for service, pool := range p.pools {
		s := paceState{Pace: pool.Pace(p.clock.Now())}
		if s.Target == 0 {
			continue
		}
		s.changed, p.shortOfPace[service] = s.Short != p.shortOfPace[service], s.Short
		states[service] = s
	}
	return states
}
