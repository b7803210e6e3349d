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
	// minReadInterval is the minimum time between two readings of a group.
	minReadInterval = 50 * time.Millisecond
	// campaignInterval is how often a follower checks whether the group has a
	// leader. The check reads the local view and makes no call.
	campaignInterval = 500 * time.Millisecond
	// campaignStagger is the delay per rank number before a rank tries to acquire
	// the lease, so that ranks don't campaign simultaneously.
	campaignStagger = 150 * time.Millisecond
	// maxPlanMoves bounds the search for a plan of one set.
	maxPlanMoves = 120
)

// leader is the state of a group's leader. It is not safe for concurrent use.
type leader struct {
	a          *Agent
	group      *group
	leadership *leadership
	shape      routing.ExpertShape

	demand ranks.Demand
	epoch  int64
	// moved is the fraction of the selections that moved in the last reading.
	moved float64
	// step is the last step begun as of the last reading.
	step int64
	// placements is the map in force by set, nil if not known.
	placements []planner.Placement
	// version is the version of the map in force.
	version  int64
	stepRate ranks.StepRate
	// gate, switchEndedAt and holdRank carry over from one switch to the next: how the
	// ranks answered, when the last one ended, and where it held the group.
	gate          ranks.Gate
	switchEndedAt time.Time
	holdRank      int
	holdTimer     holdTimer
	// termChosen is set once the fences that the ranks have seen are known.
	termChosen bool
}

// RunElection campaigns for the leadership of the rank's group, and leads the group
// whenever elected, until ctx is done. It returns at once if the engines have no
// fencing: an order without an answer can't be invalidated then, and if carried out
// late it could leave two ranks with different maps. The group then keeps its map.
func (a *Agent) RunElection(ctx context.Context) {
	if !a.Fencing {
		a.Log.Warn("expert maps will not be changed: the engines don't refuse orders with an old fence")
		return
	}
	for ctx.Err() == nil {
		if st, err := a.Engine.Status(ctx); err == nil && st.Group != "" {
			a.campaign(ctx, st)
		}
		a.sleep(ctx, campaignInterval)
	}
}

// engineSettings returns the configuration of the engines of the upstream's service, or nil
// while there is none.
func (a *Agent) engineSettings() *routing.Engine {
	table := a.Routes.Current()
	if table == nil {
		return nil
	}
	service := table.Service(a.Service)
	if service == nil {
		return nil
	}
	return service.Engine
}

// shape returns the shape of the expert maps of the upstream's service. It returns false
// while the configuration has none.
func (a *Agent) shape() (routing.ExpertShape, bool) {
	e := a.engineSettings()
	if e == nil || e.Experts.Sets == 0 {
		return routing.ExpertShape{}, false
	}
	return e.Experts, true
}

// isRegistered reports whether the other agents can find this one. An agent that isn't
// registered must not lead: if it stopped, its successor could not reach its rank to
// release a hold there.
func (a *Agent) isRegistered() bool {
	_, registered := a.View.Get(a.Self.Name)
	return a.View.Synced() && registered
}

// campaign acquires the lease if the group has no leader, and leads the group until the
// leadership ends.
func (a *Agent) campaign(ctx context.Context, st ranks.Status) {
	if !a.isRegistered() || !a.hasNoLeader(ctx, st.Group) {
		return
	}
	a.sleep(ctx, time.Duration(st.Rank)*campaignStagger)
	if leader := a.View.Leader(st.Group); leader != "" && leader != a.Self.Name {
		return
	}
	lead, err := a.acquireLease(ctx, st.Group)
	if err != nil {
		if fault.KindOf(err) != fault.Conflict {
			a.Log.Info("failed to acquire the leader lease", zap.String("group", st.Group), zap.Error(err))
		}
		return
	}
	a.Log.Info("elected leader of the group", zap.String("group", st.Group), zap.Int64("revision", lead.position.Revision), zap.Int64("era", lead.position.Era))
	// A switch in progress is completed even if ctx is cancelled.
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go lead.renewLease(work)
	if a.FollowConfiguration != nil {
		a.FollowConfiguration(work)
	}
	l := &leader{a: a, group: a.newGroup(work, st.Group), leadership: lead}
	l.run(ctx)
	a.Log.Info("leadership ended", zap.String("group", st.Group), zap.Int64("revision", lead.position.Revision), zap.Int64("era", lead.position.Era))
	lead.release(context.WithoutCancel(ctx))
}

// run leads the group until ctx is done, the leadership is lost, or its fences run out.
func (l *leader) run(ctx context.Context) {
	for ctx.Err() == nil && !l.leadership.hasEnded() && !l.leadership.fencesExhausted() {
		var known bool
		if l.shape, known = l.a.shape(); known && l.leadership.isLeader() {
			l.tick()
		}
		l.awaitNextStep(ctx)
	}
}

// awaitNextStep waits until a step has begun since the last reading, so that a reading
// covers whole steps, usually one.
func (l *leader) awaitNextStep(ctx context.Context) {
	l.a.sleep(ctx, minReadInterval)
	awaitStep(ctx, l.a.Engine, l.step+1)
}

// tick reads the group once, cleans up an unfinished switch, and rebalances the map if
// the demand calls for it.
func (l *leader) tick() {
	var states map[int]*wire.RankState
	if l.placements != nil {
		states = l.group.survey()
	} else {
		// Without selections: those of a large group take longer than the agents' answers
		// may.
		states = l.group.read(l.group.refresh(), false, true)
	}
	size := 0
	statuses := map[int]ranks.Status{}
	var selections []ranks.Selections
	for rank, st := range states {
		statuses[rank] = st.Status
		if st.SelectionsValid {
			selections = append(selections, st.Selections)
		}
		size = max(size, st.Status.Size)
	}
	if len(states) == 0 || !l.chooseTerm(states) {
		return
	}
	s := l.switcher(size)
	if ranks.HasUnfinishedSwitch(statuses) {
		if err := s.Recover(); err != nil {
			l.a.Log.Warn("failed to clean up an unfinished switch", zap.Error(err))
		}
	}
	if !l.observe(states, statuses, size) {
		return
	}
	moved, usable := l.demand.Add(selections, l.a.Clock.Now())
	l.moved = moved
	switch {
	case l.demand.Settling():
		l.a.Log.Info("demand has shifted", zap.Float64("moved", moved), zap.Int64("in_force", l.version))
	case usable:
		l.rebalance(s)
	}
}

// chooseTerm raises the term above the fences that the ranks have seen, once, with the
// first reading. It returns false if the leadership can't start yet.
func (l *leader) chooseTerm(states map[int]*wire.RankState) bool {
	if l.termChosen {
		return true
	}
	highest := int64(0)
	for _, st := range states {
		// Versions of maps are fences.
		highest = max(highest, st.HighestFence, st.Status.Map, st.Status.Prepared, st.Status.Armed)
	}
	if err := l.leadership.raiseTerm(l.group.ctx, highest); err != nil {
		l.a.Log.Info("failed to renew the leader lease before the first order", zap.Int64("highest_fence", highest), zap.Error(err))
		return false
	}
	l.termChosen = true
	return true
}

// rebalance plans a new map and switches to it if the ranks' load is uneven.
func (l *leader) rebalance(s *ranks.Switcher) {
	loads, peak, uneven := l.measureImbalance()
	if !uneven {
		return
	}
	if l.demand.RequestConfirmation() {
		l.a.Log.Info("load is uneven", zap.Float64("peak", peak), zap.Float64("moved", l.moved), zap.Int64("in_force", l.version))
		return
	}
	if !l.gate.MayBegin(l.a.Clock.Now(), l.switchEndedAt) {
		telemetry.Counter(l.a.Metrics, "map_switches.not_begun.silent_rank").Inc(1)
		return
	}
	next := l.plan(loads, peak)
	if next == nil {
		return
	}
	l.switchMap(s, next, l.isUrgent(peak))
	// Demand may have shifted during the switch. A reading that covers it would mix
	// old and new demand.
	l.demand.SkipNext()
}

// observe updates the epoch, the step rate and the map in force from a reading. It
// returns false if no new map can be planned now: the group isn't serving, its ranks
// differ in their epoch or map, a rank is armed, or the map in force could not be read.
func (l *leader) observe(states map[int]*wire.RankState, statuses map[int]ranks.Status, size int) bool {
	var step, epoch int64
	for _, st := range statuses {
		step = max(step, st.Step)
		epoch = max(epoch, st.Epoch)
	}
	l.step = step
	l.stepRate.Add(step, l.a.Clock.Now())
	if epoch != l.epoch {
		if l.epoch != 0 {
			l.a.Log.Info("group formed a new epoch", zap.Int64("epoch", epoch), zap.Int64("before", l.epoch))
		}
		l.epoch, l.placements, l.demand, l.stepRate, l.gate = epoch, nil, ranks.Demand{}, ranks.StepRate{}, ranks.Gate{}
	}
	version := ranks.None
	for _, st := range statuses {
		version = max(version, st.Map)
	}
	for _, st := range statuses {
		if st.Epoch != epoch || !st.GroupServing || st.Map != version || st.Armed != ranks.None {
			return false
		}
	}
	if l.placements != nil && version == l.version {
		return true
	}
	l.version, l.placements = version, nil
	return len(statuses) == size && l.learnPlacements(states, size)
}

// learnPlacements sets the map in force from the ranks' expert lists. It returns false if
// they don't match the version or the shape.
func (l *leader) learnPlacements(states map[int]*wire.RankState, size int) bool {
	placements := make([]planner.Placement, l.shape.Sets)
	for set := range placements {
		placements[set] = make(planner.Placement, size)
		for rank := range size {
			lists := states[rank].ExpertLists
			if lists.Version != l.version || len(lists.Experts) != l.shape.Sets {
				return false
			}
			placements[set][rank] = lists.Experts[set]
		}
	}
	l.placements = placements
	return true
}

const (
	// minStepTimeGain is the minimum reduction of the step time, as a fraction of
	// it, that a new map must promise.
	minStepTimeGain = 0.06
	// minPlanPeak is the minimum peak ratio (load of the most loaded rank over the
	// mean, averaged over the sets) for which a plan is made.
	minPlanPeak = 1.25
	// switchCopyBudget bounds the time that a rank spends copying experts in one
	// switch: steps are slower meanwhile, and the next switch has to wait.
	switchCopyBudget = 200 * time.Millisecond
	// urgentPeak is the peak ratio from which a switch makes only the most effective
	// copies, within urgentCopyBudget, which is about one step. The next switch makes
	// the others while steps are short again.
	urgentPeak       = 1.8
	urgentCopyBudget = 50 * time.Millisecond
	// minUrgentCopies is the minimum number of copies per rank that have to fit into
	// urgentCopyBudget. With fewer, the load stays uneven and one larger switch is
	// faster.
	minUrgentCopies = 2
	// copyPaybackTime is the time within which a copy has to save as much as it
	// costs: demand shifts every few seconds.
	copyPaybackTime = 1200 * time.Millisecond
	// minSelectionsPerExpert is the minimum mean number of selections per expert on
	// which a plan is based.
	minSelectionsPerExpert = 20
)

// measureImbalance returns the load of each set's experts and the mean peak ratio of the
// sets. uneven reports whether the load is uneven enough, and known well enough, for a
// new plan.
func (l *leader) measureImbalance() (loads [][]float64, peak float64, uneven bool) {
	loads = make([][]float64, l.shape.Sets)
	total := 0.0
	for set := range loads {
		if loads[set] = l.demand.ExpertLoads(set, l.shape.Experts); loads[set] == nil {
			return nil, 0, false
		}
		for _, n := range loads[set] {
			total += n
		}
		peak += l.placements[set].PeakRatio(loads[set]) / float64(l.shape.Sets)
	}
	return loads, peak, total >= float64(minSelectionsPerExpert*l.shape.Sets*l.shape.Experts) && peak >= minPlanPeak
}

// plan returns a new map by set, or nil if the map in force should stay.
func (l *leader) plan(loads [][]float64, peakBefore float64) []planner.Placement {
	limits := planner.RebalanceLimits{
		SlotsPerRank: l.shape.SlotsPerRank, MaxNewExperts: l.shape.MaxNewExperts, MaxChanges: maxPlanMoves,
		MinAddGain: l.shape.CopyTime.Seconds() / copyPaybackTime.Seconds(),
	}
	budget := switchCopyBudget
	if l.isUrgent(peakBefore) {
		budget = urgentCopyBudget
	}
	next := planner.RebalanceSets(l.placements, loads, limits, max(int(budget/max(l.shape.CopyTime, 1)), 1))
	peakAfter := 0.0
	for set := range next {
		peakAfter += next[set].PeakRatio(loads[set]) / float64(l.shape.Sets)
	}
	stepBefore := 1 - l.shape.ExpertTimeShare + l.shape.ExpertTimeShare*peakBefore
	stepAfter := 1 - l.shape.ExpertTimeShare + l.shape.ExpertTimeShare*peakAfter
	if stepAfter > stepBefore*(1-minStepTimeGain) {
		return nil
	}
	l.a.Log.Info("new map planned", zap.Float64("moved", l.moved), zap.Float64("peak_before", peakBefore), zap.Float64("peak_after", peakAfter),
		zap.Duration("step_time", l.stepRate.StepTime()), zap.Int64("in_force", l.version))
	return next
}

// isUrgent reports whether a switch should make only the most effective copies.
func (l *leader) isUrgent(peak float64) bool {
	return peak >= urgentPeak && minUrgentCopies*l.shape.CopyTime <= urgentCopyBudget
}
