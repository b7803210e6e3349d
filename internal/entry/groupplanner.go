package entry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/expertmap"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/lease"
	"github.com/kingcupreel/kingcupreel/internal/opapi"
	"github.com/kingcupreel/kingcupreel/internal/planner"
	"github.com/kingcupreel/kingcupreel/internal/timeline"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// rowsPerPlan is the number of rows of expert loads between two plans.
const rowsPerPlan = 5

// groupPlanner plans the expert maps of one group while it holds the group's
// lease. Its run loop alone uses the fields, except for status, which mu
// guards.
type groupPlanner struct {
	entry  *Entry
	group  string
	holder lease.Holder
	// fence is the fencing number of the leadership that the fields below
	// belong to.
	fence int64
	// versionsUsed numbers the maps of this leadership; newRows counts the rows
	// of loads since the last plan.
	versionsUsed int64
	forecast     planner.Forecast
	allowance    planner.Allowance
	lastWindow   int64
	newRows      int
	rollout      *mapRollout

	mu     sync.Mutex
	status opapi.Plan
}

// run plans until ctx is done or the group's plan record is gone.
func (g *groupPlanner) run(ctx context.Context) {
	interval := g.entry.planners.settings.Interval
	for ctx.Err() == nil {
		group, plan, ok := g.entry.planRecords(g.group)
		if !ok {
			break
		}
		g.planOnce(ctx, group, plan)
		wait := interval
		if g.rollout != nil {
			wait = interval / rolloutPollFactor
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
	g.holder.Release(context.WithoutCancel(ctx))
	g.entry.stopPlanner(g.group)
}

// planOnce reads the state of the ranks once and acts on it.
func (g *groupPlanner) planOnce(ctx context.Context, group *config.ModelGroup, plan *config.ExpertPlan) {
	if !g.refreshLease(ctx, plan) {
		return
	}
	answers := g.entry.queryRanks(ctx, g.group, func(nonce uint64) wire.Message { return &wire.MapStatusQuery{Nonce: nonce} })
	ranks, err := answersByRank(answers, group.Ranks)
	if err != nil {
		g.setState("waiting", err.Error())
		return
	}
	g.recordLoads(ranks)
	switch {
	case plan.Stopped:
		g.rollout = nil
		g.setState("stopped", "the expert-plan record sets stopped")
	case g.rollout != nil:
		g.advanceRollout(ctx, ranks)
	default:
		g.decideRollout(ranks, plan)
	}
}

// refreshLease acquires, renews or releases the lease and reports whether this
// entry may plan. It resets the planning state when a new leadership starts.
func (g *groupPlanner) refreshLease(ctx context.Context, plan *config.ExpertPlan) bool {
	if !g.entry.isCandidateFor(g.group) {
		g.holder.Release(ctx)
	} else if err := g.holder.Refresh(ctx); err != nil {
		g.entry.count("planner.lease_missed")
	}
	isLeader := g.holder.Held()
	if isLeader && g.holder.Fence() != g.fence {
		g.fence, g.versionsUsed, g.lastWindow, g.newRows = g.holder.Fence(), 0, 0, 0
		g.forecast, g.allowance, g.rollout = planner.Forecast{}, planner.Allowance{}, nil
		g.entry.event(timeline.Event{Kind: timeline.LeaseAcquired, Object: g.group, Revision: g.fence})
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !isLeader {
		g.status = opapi.Plan{}
	}
	g.status.Group, g.status.Preset, g.status.IsLeader, g.status.Fence = g.group, plan.Preset, isLeader, g.holder.Fence()
	return isLeader
}

// answersByRank returns the answers in the order of the ranks. It fails unless
// every rank answered without an error and all are in the same round.
func answersByRank(answers map[int]*wire.MapAnswer, ranks int) ([]*wire.MapAnswer, error) {
	out := make([]*wire.MapAnswer, 0, ranks)
	for r := range ranks {
		a := answers[r]
		switch {
		case a == nil:
			return nil, fault.New(fault.Unavailable, "check the rank's VM and its agent; the planner tries again", "rank %d does not answer", r)
		case a.Reason != "":
			return nil, fault.New(a.Reason, "", "rank %d: %s", r, a.Message) // Message ends with the agent's remedy
		case !a.Status.Formed || a.Status.Round != answers[0].Status.Round:
			return nil, fault.New(fault.Unavailable, "no action needed; the planner tries again when the group has formed", "rank %d is not in the group's round", r)
		}
		out = append(out, a)
	}
	return out, nil
}

// recordLoads adds the ranks' reported loads to the forecast.
func (g *groupPlanner) recordLoads(ranks []*wire.MapAnswer) {
	reports := make([]planner.Report, 0, len(ranks))
	for _, a := range ranks {
		reports = append(reports, planner.Report{Window: a.Window, Tokens: a.Tokens, StepMicros: a.StepMicros})
	}
	if row, ok := planner.MergeReports(reports, g.lastWindow); ok {
		g.lastWindow = reports[0].Window
		g.forecast.AddRow(row)
		g.newRows++
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.status.Version = ranks[0].Status.Active
	g.status.Stragglers = planner.Stragglers(reports)
}

// setState sets the state that operators see, and the reason for it.
func (g *groupPlanner) setState(state, reason string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.status.State, g.status.Reason = state, reason
	g.status.StagesLeft = 0
	if g.rollout != nil {
		g.status.StagesLeft = len(g.rollout.stages)
	}
}

// planStatus returns the planner's state as operators see it.
func (g *groupPlanner) planStatus() opapi.Plan {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.status
}

// decideRollout starts the rollout of another map if an operator has pinned one
// or if a planned one is worth its cost.
func (g *groupPlanner) decideRollout(ranks []*wire.MapAnswer, plan *config.ExpertPlan) {
	current := &ranks[0].Map
	if len(plan.Pinned) > 0 {
		next, err := planner.Pinned(current, plan.Pinned)
		switch {
		case err != nil:
			g.setState("idle", err.Error())
		case next == nil:
			g.setState("idle", "the pinned map is in force")
		default:
			g.startRollout(current, &planner.Plan{Map: next, Moved: planner.MovedSlots(current, next)})
		}
		return
	}
	preset, err := planner.PresetByName(plan.Preset)
	if err != nil || g.newRows < rowsPerPlan {
		g.setState("idle", "collecting load reports")
		return
	}
	g.newRows = 0
	if plan.SkewWeight > 0 {
		preset.SkewWeight = plan.SkewWeight
	}
	g.allowance.Refill(preset, len(current.Slots)*len(current.Slots[0]))
	next := planner.PlanIncremental(current, g.forecast.Predict(rowsPerPlan), planner.SplitWeighted, preset, g.budget(plan))
	if next == nil {
		g.setState("idle", "no change of the map is worth its cost")
		return
	}
	g.allowance.Spend(next.Moved)
	g.startRollout(current, next)
}

// budget returns the limits of the next plan from the allowance, the settings
// and the plan record.
func (g *groupPlanner) budget(plan *config.ExpertPlan) planner.Budget {
	s := g.entry.planners.settings
	windows := make([]planner.Window, 0, len(plan.QuietWindows))
	for _, w := range plan.QuietWindows {
		windows = append(windows, planner.Window(w))
	}
	return planner.Budget{
		Slots: g.allowance.Slots(), ExpertBytes: s.ExpertBytes, WindowBytes: plan.BudgetBytes,
		StoreRate: s.StoreRate, Window: rowsPerPlan * s.Interval,
		Quiet: planner.InWindow(windows, time.Now()),
	}
}

// startRollout starts the rollout of a planned map in stages.
func (g *groupPlanner) startRollout(current *expertmap.Map, plan *planner.Plan) {
	g.rollout = &mapRollout{stages: planner.Stages(current, plan.Map)}
	for _, stage := range g.rollout.stages {
		g.versionsUsed++
		stage.Version = expertmap.Version(g.fence, g.versionsUsed)
	}
	g.entry.event(timeline.Event{Kind: timeline.MapPlanned, Object: g.group, Revision: g.fence, Detail: fmt.Sprintf("%d slots, %d stages", plan.Moved, len(g.rollout.stages))})
	g.mu.Lock()
	g.status.SkewBefore, g.status.SkewAfter = plan.Before, plan.After
	g.status.Moved, g.status.Bytes = plan.Moved, int64(plan.Moved)*g.entry.planners.settings.ExpertBytes
	g.mu.Unlock()
	g.setState("staging", "")
}
