package bench

import (
	"slices"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/expertmap"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/planner"
)

// PlannerResult is the evaluation of a policy. The skew of a row is the
// difference between the loads of the most and the least loaded rank over the
// mean load of a rank.
type PlannerResult struct {
	Policy string `json:"policy"`
	Preset string `json:"preset"`
	Split  string `json:"split"`
	Load   string `json:"load"`
	Seed   uint64 `json:"seed"`
	Rows   int    `json:"rows"`

	SkewMean      float64 `json:"skew_mean"`
	SkewP99       float64 `json:"skew_p99"`
	MovedSlots    int     `json:"moved_slots"`
	MovedBytes    int64   `json:"moved_bytes"`
	LostServingMS float64 `json:"lost_serving_ms"`
	PlanMSMax     float64 `json:"plan_ms_max"`
	// Switches counts the maps that were put in force; QuietMovedSlots counts the
	// slots moved by plans made inside a quiet window.
	Switches        int `json:"switches"`
	QuietMovedSlots int `json:"quiet_moved_slots"`
}

// Evaluate runs the policy over a trace. The first row gives the initial map.
// Each later row is evaluated with the map in force before the planner gets that
// row.
func (p *PlannerExperiment) Evaluate(trace Trace) (PlannerResult, error) {
	preset, err := planner.PresetByName(p.Preset)
	if err != nil {
		return PlannerResult{}, err
	}
	shape := planner.Shape{Ranks: p.Ranks, Experts: len(trace.Rows[0]), Slots: p.Slots}
	if shape.Ranks*shape.Slots < shape.Experts || shape.Slots < 1 || p.RowsPerPlan < 1 {
		return PlannerResult{}, fault.New(fault.Invalid, "give enough ranks and slots to hold every expert, and at least one row per plan", "invalid size of the experiment: %d ranks of %d slots for %d experts", shape.Ranks, shape.Slots, shape.Experts)
	}
	ev := &evaluation{experiment: p, preset: preset, shape: shape, split: planner.Split(p.Split)}
	ev.result = PlannerResult{Policy: p.Policy, Preset: p.Preset, Split: p.Split, Load: p.Load, Seed: p.Seed, Rows: len(trace.Rows) - 1}
	ev.run(trace)
	return ev.result, nil
}

// evaluation is the state of a run.
type evaluation struct {
	experiment *PlannerExperiment
	preset     planner.Preset
	shape      planner.Shape
	split      planner.Split
	forecast   planner.Forecast
	allowance  planner.Allowance
	current    *expertmap.Map
	skews      []float64
	result     PlannerResult
}

// run evaluates all rows after the first and plans after every RowsPerPlan rows.
func (ev *evaluation) run(trace Trace) {
	ev.current = planner.PlaceFromScratch(ev.shape, trace.Rows[0], ev.split)
	ev.forecast.AddRow(trace.Rows[0])
	for i, row := range trace.Rows[1:] {
		m := ev.current
		if policy(ev.experiment.Policy) == policyFloor {
			m = planner.PlaceFromScratch(ev.shape, row, ev.split)
		}
		ev.skews = append(ev.skews, planner.Skew(planner.RankLoads(m, row)))
		ev.forecast.AddRow(row)
		if rowsSeen := i + 2; rowsSeen%ev.experiment.RowsPerPlan == 0 && rowsSeen < len(trace.Rows) {
			ev.plan(trace.Quiet[rowsSeen])
		}
	}
	ev.summarise()
}

// plan puts the policy's next map in force, if there is one, and adds its cost to
// the result.
func (ev *evaluation) plan(quiet bool) {
	start := time.Now()
	next := ev.next(quiet)
	ev.result.PlanMSMax = max(ev.result.PlanMSMax, float64(time.Since(start).Microseconds())/1000)
	if next == nil {
		return
	}
	moved := planner.MovedSlots(ev.current, next)
	cost := planner.MoveCost(ev.current, next, ev.experiment.ExpertBytes, ev.experiment.StoreRate)
	ev.result.LostServingMS += float64(cost.LostServingTime.Microseconds()) / 1000
	ev.result.MovedSlots += moved
	ev.result.Switches += cost.Switches
	if quiet {
		ev.result.QuietMovedSlots += moved
	}
	ev.current = next
}

// next returns the map that the policy plans, or nil to keep the current one.
func (ev *evaluation) next(quiet bool) *expertmap.Map {
	load := ev.forecast.Predict(ev.experiment.RowsPerPlan)
	switch policy(ev.experiment.Policy) {
	case policyScratch:
		return planner.RelabelRanks(ev.current, planner.PlaceFromScratch(ev.shape, load, ev.split))
	case policyIncremental:
		ev.allowance.Refill(ev.preset, ev.shape.Ranks*ev.shape.Slots)
		budget := planner.Budget{Slots: ev.allowance.Slots(), ExpertBytes: ev.experiment.ExpertBytes, StoreRate: ev.experiment.StoreRate, Window: time.Duration(ev.experiment.RowsPerPlan) * ev.experiment.RowTime, Quiet: quiet}
		if plan := planner.PlanIncremental(ev.current, load, ev.split, ev.preset, budget); plan != nil {
			ev.allowance.Spend(plan.Moved)
			return plan.Map
		}
	}
	return nil
}

// summarise computes the result's means and percentiles from the rows' skews.
func (ev *evaluation) summarise() {
	sum := 0.0
	for _, s := range ev.skews {
		sum += s
	}
	slices.Sort(ev.skews)
	ev.result.SkewMean = sum / float64(len(ev.skews))
	ev.result.SkewP99 = ev.skews[(len(ev.skews)*99+99)/100-1]
	ev.result.MovedBytes = int64(ev.result.MovedSlots) * ev.experiment.ExpertBytes
}
