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

// planEvery is the number of rows of loads between two plans.
const planEvery = 5

// groupPlanner plans for one group while it holds the group's lease. Its loop
// alone uses the fields but for view, which mu guards.
type groupPlanner struct {
	entry  *Entry
	group  string
	holder lease.Holder
	// tenure is the fencing number that the fields below belong to.
	tenure    int64
	versions  int64
	forecast  planner.Forecast
	allowance planner.Allowance
	window    int64
	rows      int
	move      *planMove

	mu   sync.Mutex
	view opapi.Plan
}

// run plans until ctx is done or the group's plan record is gone.
func (g *groupPlanner) run(ctx context.Context) {
	interval := g.entry.planners.settings.Interval
	for ctx.Err() == nil {
		group, plan, ok := g.entry.records(g.group)
		if !ok {
			break
		}
		g.step(ctx, group, plan)
		wait := interval
		if g.move != nil {
			wait = interval / moveParts
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
	g.holder.Release(context.WithoutCancel(ctx))
	g.entry.stopPlanner(g.group)
}

// step is one reading of the ranks, and what follows from it.
func (g *groupPlanner) step(ctx context.Context, group *config.ModelGroup, plan *config.ExpertPlan) {
	if !g.lead(ctx, plan) {
		return
	}
	answers := g.entry.askRanks(ctx, g.group, func(nonce uint64) wire.Message { return &wire.MapStatusAsk{Nonce: nonce} })
	ranks, err := ranksOf(answers, group.Ranks)
	if err != nil {
		g.note("waiting", err.Error())
		return
	}
	g.observe(ranks)
	switch {
	case plan.Stopped:
		g.move = nil
		g.note("stopped", "the expert-plan record says so")
	case g.move != nil:
		g.advance(ctx, ranks)
	default:
		g.decide(ranks, plan)
	}
}

// lead takes or renews the lease and says whether this entry may plan.
func (g *groupPlanner) lead(ctx context.Context, plan *config.ExpertPlan) bool {
	if !g.entry.standsFor(g.group) {
		g.holder.Release(ctx)
	} else if err := g.holder.Refresh(ctx); err != nil {
		g.entry.count("planner.lease_missed")
	}
	leads := g.holder.Held()
	if leads && g.holder.Fence() != g.tenure {
		g.tenure, g.versions, g.window, g.rows = g.holder.Fence(), 0, 0, 0
		g.forecast, g.allowance, g.move = planner.Forecast{}, planner.Allowance{}, nil
		g.entry.event(timeline.Event{Kind: timeline.LeaseTaken, Object: g.group, Revision: g.tenure})
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !leads {
		g.view = opapi.Plan{}
	}
	g.view.Group, g.view.Preset, g.view.Leads, g.view.Fence = g.group, plan.Preset, leads, g.holder.Fence()
	return leads
}

// ranksOf returns the answers by rank; it fails unless every rank answered from
// one round.
func ranksOf(answers map[int]*wire.MapAnswer, ranks int) ([]*wire.MapAnswer, error) {
	out := make([]*wire.MapAnswer, 0, ranks)
	for r := range ranks {
		a := answers[r]
		switch {
		case a == nil:
			return nil, fault.New(fault.Unavailable, "", "rank %d does not answer", r)
		case a.Reason != "":
			return nil, fault.New(a.Reason, "", "rank %d: %s", r, a.Message)
		case !a.Status.Formed || a.Status.Round != answers[0].Status.Round:
			return nil, fault.New(fault.Unavailable, "", "rank %d is not in the group's round", r)
		}
		out = append(out, a)
	}
	return out, nil
}

// observe takes in the ranks' loads.
func (g *groupPlanner) observe(ranks []*wire.MapAnswer) {
	reports := make([]planner.Report, 0, len(ranks))
	for _, a := range ranks {
		reports = append(reports, planner.Report{Window: a.Window, Tokens: a.Tokens, StepMicros: a.StepMicros})
	}
	if row, ok := planner.MergeReports(reports, g.window); ok {
		g.window = reports[0].Window
		g.forecast.AddRow(row)
		g.rows++
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.view.Version = ranks[0].Status.Active
	g.view.Stragglers = planner.Stragglers(reports)
}

func (g *groupPlanner) note(state, why string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.view.State, g.view.Note = state, why
	g.view.StagesLeft = 0
	if g.move != nil {
		g.view.StagesLeft = len(g.move.stages)
	}
}

func (g *groupPlanner) seen() opapi.Plan {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view
}

// decide starts a move if one pays or an operator has pinned another map.
func (g *groupPlanner) decide(ranks []*wire.MapAnswer, plan *config.ExpertPlan) {
	current := &ranks[0].Map
	if len(plan.Pinned) > 0 {
		next, err := planner.Pinned(current, plan.Pinned)
		switch {
		case err != nil:
			g.note("idle", err.Error())
		case next == nil:
			g.note("idle", "the pinned map is in force")
		default:
			g.start(current, &planner.Plan{Map: next, Moved: planner.MovedSlots(current, next)})
		}
		return
	}
	preset, err := planner.PresetByName(plan.Preset)
	if err != nil || g.rows < planEvery {
		g.note("idle", "watching the load")
		return
	}
	g.rows = 0
	if plan.SkewWeight > 0 {
		preset.SkewWeight = plan.SkewWeight
	}
	g.allowance.Refill(preset, len(current.Slots)*len(current.Slots[0]))
	next := planner.PlanIncremental(current, g.forecast.Predict(planEvery), planner.SplitWeighted, preset, g.budget(plan))
	if next == nil {
		g.note("idle", "no move pays")
		return
	}
	g.allowance.Spend(next.Moved)
	g.start(current, next)
}

func (g *groupPlanner) budget(plan *config.ExpertPlan) planner.Budget {
	s := g.entry.planners.settings
	windows := make([]planner.Window, 0, len(plan.QuietWindows))
	for _, w := range plan.QuietWindows {
		windows = append(windows, planner.Window(w))
	}
	return planner.Budget{
		Slots: g.allowance.Slots(), ExpertBytes: s.ExpertBytes, WindowBytes: plan.BudgetBytes,
		StoreRate: s.StoreRate, Window: planEvery * s.Interval,
		Quiet: planner.InWindow(windows, time.Now()),
	}
}

// start begins a move.
func (g *groupPlanner) start(current *expertmap.Map, plan *planner.Plan) {
	g.move = &planMove{stages: planner.Stages(current, plan.Map)}
	for _, stage := range g.move.stages {
		g.versions++
		stage.Version = expertmap.Version(g.tenure, g.versions)
	}
	g.entry.event(timeline.Event{Kind: timeline.MapPlanned, Object: g.group, Revision: g.tenure, Detail: fmt.Sprintf("%d slots, %d stages", plan.Moved, len(g.move.stages))})
	g.mu.Lock()
	g.view.SkewBefore, g.view.SkewAfter = plan.Before, plan.After
	g.view.Moved, g.view.Bytes = plan.Moved, int64(plan.Moved)*g.entry.planners.settings.ExpertBytes
	g.mu.Unlock()
	g.note("staging", "")
}
