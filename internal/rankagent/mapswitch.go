package rankagent

import (
	"time"

	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/planner"
	"github.com/kingcupreel/kingcupreel/internal/ranks"
	"github.com/kingcupreel/kingcupreel/internal/telemetry"
)

const (
	// minSwitchLeadTime is the minimum time between planning a switch and the step
	// at which it takes effect.
	minSwitchLeadTime = 50 * time.Millisecond
	// mapSpreadTime is the time that a map takes to reach all agents of a large group.
	mapSpreadTime = 100 * time.Millisecond
	// maxSwitchLeadTime bounds the lead time when orders take long.
	maxSwitchLeadTime = 800 * time.Millisecond
	// maxHoldRanks is the number of ranks that are asked, one after the other, whether they
	// answer the orders of a hold.
	maxHoldRanks = 2
)

// holdTimer measures the time between a hold and its release. The held step is usually due
// only after the release, a lead time after the hold.
type holdTimer struct {
	since time.Time
	held  time.Duration
}

func (t *holdTimer) add(o ranks.Order, v ranks.Verdict, now time.Time) {
	switch {
	case o.Op == ranks.Hold && v != ranks.Refused:
		t.since = now
	case o.Op == ranks.Release && v == ranks.Accepted && !t.since.IsZero():
		t.held, t.since = t.held+now.Sub(t.since), time.Time{}
	}
}

// switcher returns a Switcher for the group.
func (l *leader) switcher(size int) *ranks.Switcher {
	return &ranks.Switcher{
		Group: l.group, Size: size, HoldRanks: l.group.remoteRanks(size, l.holdRank, maxHoldRanks), Gate: &l.gate, Fence: l.leadership.next, IsLeader: l.leadership.isLeader,
		ConfirmLeader: func() bool { return l.leadership.confirm(l.group.ctx) }, OnSuperseded: l.leadership.markSuperseded,
		OnAnswer: func(rank int, o ranks.Order, a ranks.Answer) {
			l.holdTimer.add(o, a.Verdict, l.a.Clock.Now())
			if o.Op == ranks.Hold {
				l.holdRank = rank
			}
			if a.Verdict != ranks.Accepted {
				l.a.Log.Info("order not accepted", zap.Int("rank", rank), zap.String("order", string(o.Op)), zap.Int64("version", o.Version),
					zap.Int64("step", o.Step), zap.Int64("fence", o.Fence), zap.Stringer("verdict", a.Verdict), zap.Bool("read", a.OK))
			}
		},
	}
}

// switchMap puts a planned map into force.
func (l *leader) switchMap(s *ranks.Switcher, next []planner.Placement, urgent bool) {
	m := make(ranks.Map, len(next))
	for set, p := range next {
		m[set] = p
	}
	version := l.leadership.next()
	// The lead time covers two rounds of orders: arming all ranks and releasing the
	// hold. Both then finish before the step is due, so the group doesn't wait.
	leadTime := min(max(minSwitchLeadTime, 2*l.group.expectedRoundTrip()), maxSwitchLeadTime)
	leadSteps := l.stepRate.LeadSteps(leadTime)
	start := l.a.Clock.Now()
	l.holdTimer = holdTimer{}
	telemetry.Counter(l.a.Metrics, "map_switches.begun").Inc(1)
	if urgent {
		s.CopyFromStep = l.step + l.stepRate.StepsUntil(start.Add(mapSpreadTime))
	}
	err := s.Switch(l.epoch, version, m, leadSteps)
	result := "done"
	if err != nil {
		// The map in force is read again only if its version changes.
		result = string(fault.KindOf(err))
		if fault.KindOf(err) == fault.Unavailable {
			l.holdRank += maxHoldRanks // the next switch asks others
		}
	} else {
		l.placements, l.version = next, version
	}
	l.switchEndedAt = l.a.Clock.Now()
	held := max(l.holdTimer.held-leadTime, 0)
	telemetry.Counter(l.a.Metrics, "map_switches."+result).Inc(1)
	telemetry.Counter(l.a.Metrics, "map_switches.held_ms").Inc(held.Milliseconds())
	l.a.Log.Info("map switch ended", zap.Int64("version", version), zap.Int64("epoch", l.epoch), zap.String("result", result), zap.Error(err),
		zap.Int64("lead", leadSteps), zap.Duration("ahead", leadTime), zap.Duration("took", l.switchEndedAt.Sub(start)),
		zap.Int("hold_rank", l.holdRank), zap.Duration("held", held))
}
