package rankagent

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/planner"
	"github.com/kingcupreel/kingcupreel/internal/ranks"
	"github.com/kingcupreel/kingcupreel/internal/routing"
	"github.com/kingcupreel/kingcupreel/internal/telemetry"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

const (
	// readInterval is the least time between two readings of a group.
	readInterval = 50 * time.Millisecond
	// standInterval is how often a follower looks whether the group has a
	// leader, which its view tells without a call.
	standInterval = 500 * time.Millisecond
	// standStagger keeps ranks from standing at the same moment: a rank waits
	// that much for each one before it.
	standStagger = 150 * time.Millisecond
	// leadTime is how far ahead of the present a switch is set at least.
	leadTime = 50 * time.Millisecond
	// spreadTime is how long a map takes to reach all agents of a large group.
	spreadTime = 100 * time.Millisecond
	// maxLeadTime bounds that where orders take long.
	maxLeadTime = 800 * time.Millisecond
	// planMoves bounds the search of a plan for one set.
	planMoves = 120
)

// leader leads one group while this process holds the group's lease.
type leader struct {
	a      *Agent
	group  *group
	tenure *tenure
	shape  routing.ExpertShape

	demand ranks.Demand
	epoch  int64
	moved  float64
	// step is the last one begun as of the last reading.
	step    int64
	placed  []planner.Placement // by set; nil when not known
	version int64
	pace    ranks.StepRate
}

// RunElection stands for the leadership of the rank's group, and leads it, until ctx
// is done. Where engines don't fence, an order whose answer was lost can't be made
// void, and a late one could give two ranks different maps: the group keeps the
// map that it has.
func (a *Agent) RunElection(ctx context.Context) {
	if !a.Fencing {
		a.Log.Warn("expert maps are left alone: the engines don't refuse orders with an old fence")
		return
	}
	for ctx.Err() == nil {
		if st, err := a.Engine.Status(ctx); err == nil && st.Group != "" {
			a.stand(ctx, st)
		}
		a.sleep(ctx, standInterval)
	}
}

// shape returns the expert maps' shape of the upstream's service.
func (a *Agent) shape() (routing.ExpertShape, bool) {
	t := a.Routes.Current()
	if t == nil {
		return routing.ExpertShape{}, false
	}
	s := t.Service(a.Service)
	if s == nil || s.Engine == nil || s.Engine.Experts.Sets == 0 {
		return routing.ExpertShape{}, false
	}
	return s.Engine.Experts, true
}

// stand takes the lease if the group has no leader, and leads while it may.
func (a *Agent) stand(ctx context.Context, st ranks.Status) {
	if !a.View.Synced() || !a.vacant(ctx, st.Group) {
		return
	}
	a.sleep(ctx, time.Duration(st.Rank)*standStagger)
	if leader := a.View.Leader(st.Group); leader != "" && leader != a.Self.Name {
		return
	}
	t, err := a.take(ctx, st.Group)
	if err != nil {
		if fault.KindOf(err) != fault.Conflict {
			a.Log.Info("leadership not taken", zap.String("group", st.Group), zap.Error(err))
		}
		return
	}
	a.Log.Info("leading the group", zap.String("group", st.Group), zap.Int64("fence", t.fence))
	// A switch that has begun is ended also when the process is told to stop.
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go t.keep(work)
	if a.FollowConfiguration != nil {
		a.FollowConfiguration(work)
	}
	l := &leader{a: a, group: a.newGroup(work, st.Group), tenure: t}
	l.run(ctx)
	a.Log.Info("leading ended", zap.String("group", st.Group), zap.Int64("fence", t.fence))
	t.release(context.WithoutCancel(ctx))
}

// run leads until the leadership is lost or its fences run out.
func (l *leader) run(ctx context.Context) {
	for ctx.Err() == nil && !l.tenure.isOver() && !l.tenure.spent() {
		var known bool
		if l.shape, known = l.a.shape(); known && l.tenure.leads() {
			l.tick()
		}
		l.awaitNext(ctx)
	}
}

// awaitNext waits until a step has begun since the last reading. What a reading
// then shows was chosen in whole steps, mostly in one.
func (l *leader) awaitNext(ctx context.Context) {
	l.a.sleep(ctx, readInterval)
	awaitStep(ctx, l.a.Engine, l.step+1)
}

// tick reads the group once, ends what was left behind, and plans.
func (l *leader) tick() {
	var states map[int]*wire.RankState
	if l.placed != nil {
		states = l.group.survey()
	} else {
		states = l.group.read(l.group.refresh(), true, true)
	}
	size := 0
	statuses := map[int]ranks.Status{}
	var chosen []ranks.Selections
	for rank, st := range states {
		statuses[rank] = st.Status
		if st.Fresh {
			chosen = append(chosen, st.Selections)
		}
		size = max(size, st.Status.Size)
	}
	if len(states) == 0 {
		return
	}
	s := l.switcher(size)
	if ranks.HasUnfinishedSwitch(statuses) {
		if err := s.Recover(); err != nil {
			l.a.Log.Warn("group not recovered", zap.Error(err))
		}
	}
	if !l.observe(states, statuses, size) {
		return
	}
	moved, fresh := l.demand.Add(chosen, l.a.Clock.Now())
	l.moved = moved
	switch {
	case l.demand.Settling():
		l.a.Log.Info("demand has shifted", zap.Float64("moved", moved), zap.Int64("in_force", l.version))
	case fresh:
		l.balance(s)
	}
}

// balance plans and switches the map if the ranks' load is uneven.
func (l *leader) balance(s *ranks.Switcher) {
	loads, peak, off := l.offBalance()
	if !off {
		return
	}
	if l.demand.RequestConfirmation() {
		l.a.Log.Info("load is uneven", zap.Float64("peak", peak), zap.Float64("moved", l.moved), zap.Int64("in_force", l.version))
		return
	}
	next := l.plan(loads, peak)
	if next == nil {
		return
	}
	l.switchTo(s, next, l.urgent(peak))
	// Demand may have shifted in the meantime. A reading of that time would mix
	// both.
	l.demand.SkipNext()
}

func (l *leader) switcher(size int) *ranks.Switcher {
	return &ranks.Switcher{
		Group: l.group, Size: size, HoldRank: l.group.rankElsewhere(size), Fence: l.tenure.next, IsLeader: l.tenure.leads,
		OnAnswer: func(rank int, o ranks.Order, a ranks.Answer) {
			if a.Verdict == ranks.Fenced {
				l.tenure.deposed()
			}
			if a.Verdict != ranks.Accepted {
				l.a.Log.Info("order not taken", zap.Int("rank", rank), zap.String("order", string(o.Op)), zap.Int64("version", o.Version),
					zap.Int64("step", o.Step), zap.Int64("fence", o.Fence), zap.Stringer("verdict", a.Verdict), zap.Bool("read", a.OK))
			}
		},
	}
}

// observe keeps the map in force and the pace of the steps; false means that
// the group can't be planned for now.
func (l *leader) observe(states map[int]*wire.RankState, statuses map[int]ranks.Status, size int) bool {
	var step, epoch int64
	for _, st := range statuses {
		step = max(step, st.Step)
		epoch = max(epoch, st.Epoch)
	}
	l.step = step
	l.pace.Add(step, l.a.Clock.Now())
	if epoch != l.epoch {
		if l.epoch != 0 {
			l.a.Log.Info("group formed anew", zap.Int64("epoch", epoch), zap.Int64("before", l.epoch))
		}
		l.epoch, l.placed, l.demand, l.pace = epoch, nil, ranks.Demand{}, ranks.StepRate{}
	}
	version := ranks.None
	for _, st := range statuses {
		version = max(version, st.Map)
	}
	for _, st := range statuses {
		if st.Epoch != epoch || !st.Open || st.Map != version || st.Armed != ranks.None {
			return false
		}
	}
	if l.placed != nil && version == l.version {
		return true
	}
	l.version, l.placed = version, nil
	return len(statuses) == size && l.learn(states, size)
}

// learn takes the map in force from the ranks' lists.
func (l *leader) learn(states map[int]*wire.RankState, size int) bool {
	placed := make([]planner.Placement, l.shape.Sets)
	for set := range placed {
		placed[set] = make(planner.Placement, size)
		for rank := range size {
			lists := states[rank].ExpertLists
			if lists.Version != l.version || len(lists.Experts) != l.shape.Sets {
				return false
			}
			placed[set][rank] = lists.Experts[set]
		}
	}
	l.placed = placed
	return true
}

const (
	// minGain is the least fall of a step's time, as a part of it, that a new
	// map must promise.
	minGain = 0.06
	// worthPlanning is the least load of the most loaded ranks, over the mean,
	// for which a plan is made.
	worthPlanning = 1.25
	// copyBudget bounds the time that one switch takes to bring experts to a rank:
	// steps are slower meanwhile, and the next switch waits.
	copyBudget = 200 * time.Millisecond
	// urgentPeak is the load of the most loaded ranks, over the mean, from which
	// the copies that help most go first, within urgentBudget: about one step.
	// The next switch brings the others, while steps are short again.
	urgentPeak   = 1.8
	urgentBudget = 50 * time.Millisecond
	// urgentCopies is the least number of experts for which that pays: with fewer
	// a rank, the load stays uneven and one larger switch is quicker.
	urgentCopies = 2
	// copyHorizon is the time in which a copy has to pay for its own: demand
	// shifts every few seconds.
	copyHorizon = 1200 * time.Millisecond
	// minSeen is the least number of choices that a plan rests on, per expert.
	minSeen = 20
)

// offBalance returns the load of each set's experts, and that of the most loaded
// ranks over the mean; false means that the map in force should stay.
func (l *leader) offBalance() (loads [][]float64, peak float64, off bool) {
	loads = make([][]float64, l.shape.Sets)
	seen := 0.0
	for set := range loads {
		if loads[set] = l.demand.ExpertLoads(set, l.shape.Experts); loads[set] == nil {
			return nil, 0, false
		}
		for _, n := range loads[set] {
			seen += n
		}
		peak += l.placed[set].PeakRatio(loads[set]) / float64(l.shape.Sets)
	}
	return loads, peak, seen >= float64(minSeen*l.shape.Sets*l.shape.Experts) && peak >= worthPlanning
}

// plan returns the next map by set, or nil when the map in force should stay.
func (l *leader) plan(loads [][]float64, before float64) []planner.Placement {
	limits := planner.RebalanceLimits{
		Places: l.shape.Places, Spare: l.shape.Spare, MaxChanges: planMoves,
		MinAddGain: l.shape.CopyTime.Seconds() / copyHorizon.Seconds(),
	}
	budget := copyBudget
	if l.urgent(before) {
		budget = urgentBudget
	}
	next := planner.RebalanceSets(l.placed, loads, limits, max(int(budget/max(l.shape.CopyTime, 1)), 1))
	after := 0.0
	for set := range next {
		after += next[set].PeakRatio(loads[set]) / float64(l.shape.Sets)
	}
	stepBefore := 1 - l.shape.ExpertTimeShare + l.shape.ExpertTimeShare*before
	stepAfter := 1 - l.shape.ExpertTimeShare + l.shape.ExpertTimeShare*after
	if stepAfter > stepBefore*(1-minGain) {
		return nil
	}
	l.a.Log.Info("new map planned", zap.Float64("moved", l.moved), zap.Float64("peak_before", before), zap.Float64("peak_after", after),
		zap.Duration("step_time", l.pace.StepTime()), zap.Int64("in_force", l.version))
	return next
}

// urgent says whether the copies that help most go first.
func (l *leader) urgent(peak float64) bool {
	return peak >= urgentPeak && urgentCopies*l.shape.CopyTime <= urgentBudget
}

// switchTo brings a planned map into force.
func (l *leader) switchTo(s *ranks.Switcher, next []planner.Placement, urgent bool) {
	m := make(ranks.Map, len(next))
	for set, p := range next {
		m[set] = p
	}
	version := l.tenure.next()
	// All ranks are armed and the hold is ended before the step is due, so that
	// the group doesn't wait: two rounds of orders.
	ahead := min(max(leadTime, 2*l.group.roundTime()), maxLeadTime)
	lead := l.pace.LeadSteps(ahead)
	start := l.a.Clock.Now()
	if urgent {
		s.CopyFromStep = l.step + l.pace.StepsUntil(start.Add(spreadTime))
	}
	err := s.Switch(l.epoch, version, m, lead)
	result := "done"
	if err != nil {
		result = string(fault.KindOf(err))
		l.placed = nil
	} else {
		l.placed, l.version = next, version
	}
	telemetry.Counter(l.a.Metrics, "map_switches."+result).Inc(1)
	l.a.Log.Info("map switch ended", zap.Int64("version", version), zap.Int64("epoch", l.epoch), zap.String("result", result), zap.Error(err),
		zap.Int64("lead", lead), zap.Duration("ahead", ahead), zap.Duration("took", l.a.Clock.Since(start)))
}
