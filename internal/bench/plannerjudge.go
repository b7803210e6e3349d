package bench

import (
	"slices"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/expertmap"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/planner"
)

// PlannerResult is the judgement of a policy; skew is the fastest to the
// slowest rank over the mean rank, in each row.
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
	// Switches counts the maps put in force, QuietMoves the slots moved by
	// plans made inside a quiet window.
	Switches   int `json:"switches"`
	QuietMoves int `json:"quiet_moved_slots"`
}

// Judge runs the policy over a trace: the first row gives the first map, every
// later row is judged with the map in force before the planner has seen it.
func (p *Planner) Judge(trace Trace) (PlannerResult, error) {
	preset, err := planner.PresetByName(p.Preset)
	if err != nil {
		return PlannerResult{}, err
	}
	shape := planner.Shape{Ranks: p.Ranks, Experts: len(trace.Rows[0]), Slots: p.Slots}
	if shape.Ranks*shape.Slots < shape.Experts || shape.Slots < 1 || p.Every < 1 {
		return PlannerResult{}, fault.New(fault.Invalid, "give ranks and slots that hold every expert, and at least one row between plans", "%d ranks of %d slots for %d experts", shape.Ranks, shape.Slots, shape.Experts)
	}
	j := &judge{bench: p, preset: preset, shape: shape, split: planner.Split(p.Split)}
	j.result = PlannerResult{Policy: p.Policy, Preset: p.Preset, Split: p.Split, Load: p.Load, Seed: p.Seed, Rows: len(trace.Rows) - 1}
	j.run(trace)
	return j.result, nil
}

// judge holds a run in progress.
type judge struct {
	bench     *Planner
	preset    planner.Preset
	shape     planner.Shape
	split     planner.Split
	forecast  planner.Forecast
	allowance planner.Allowance
	current   *expertmap.Map
	skews     []float64
	result    PlannerResult
}

func (j *judge) run(trace Trace) {
	j.current = planner.PlaceFromScratch(j.shape, trace.Rows[0], j.split)
	j.forecast.AddRow(trace.Rows[0])
	for i, row := range trace.Rows[1:] {
		m := j.current
		if policy(j.bench.Policy) == policyFloor {
			m = planner.PlaceFromScratch(j.shape, row, j.split)
		}
		j.skews = append(j.skews, planner.Skew(planner.RankLoads(m, row)))
		j.forecast.AddRow(row)
		if seen := i + 2; seen%j.bench.Every == 0 && seen < len(trace.Rows) {
			j.plan(trace.Quiet[seen])
		}
	}
	j.summarise()
}

// plan lets the policy choose the map of the next rows.
func (j *judge) plan(quiet bool) {
	start := time.Now()
	next := j.next(quiet)
	j.result.PlanMSMax = max(j.result.PlanMSMax, float64(time.Since(start).Microseconds())/1000)
	if next == nil {
		return
	}
	moved := planner.MovedSlots(j.current, next)
	cost := planner.MoveCost(j.current, next, j.bench.ExpertBytes, j.bench.StoreRate)
	j.result.LostServingMS += float64(cost.LostServingTime.Microseconds()) / 1000
	j.result.MovedSlots += moved
	j.result.Switches += cost.Switches
	if quiet {
		j.result.QuietMoves += moved
	}
	j.current = next
}

func (j *judge) next(quiet bool) *expertmap.Map {
	load := j.forecast.Predict(j.bench.Every)
	switch policy(j.bench.Policy) {
	case policyScratch:
		return planner.RelabelRanks(j.current, planner.PlaceFromScratch(j.shape, load, j.split))
	case policyIncremental:
		j.allowance.Refill(j.preset, j.shape.Ranks*j.shape.Slots)
		budget := planner.Budget{Slots: j.allowance.Slots(), ExpertBytes: j.bench.ExpertBytes, StoreRate: j.bench.StoreRate, Window: time.Duration(j.bench.Every) * j.bench.Row, Quiet: quiet}
		if plan := planner.PlanIncremental(j.current, load, j.split, j.preset, budget); plan != nil {
			j.allowance.Spend(plan.Moved)
			return plan.Map
		}
	}
	return nil
}

func (j *judge) summarise() {
	sum := 0.0
	for _, s := range j.skews {
		sum += s
	}
	slices.Sort(j.skews)
	j.result.SkewMean = sum / float64(len(j.skews))
	j.result.SkewP99 = j.skews[(len(j.skews)*99+99)/100-1]
	j.result.MovedBytes = int64(j.result.MovedSlots) * j.bench.ExpertBytes
}
