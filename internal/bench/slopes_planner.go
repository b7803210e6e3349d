package bench

import (
	"context"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/planner"
)

// planSizes are the numbers of experts per layer at which planning is measured,
// with one rank per expertsPerRank experts.
var planSizes = []float64{64, 128, 256}

const (
	planRows       = 60
	slotsPerRank   = 6
	expertsPerRank = 4
	rowsPerPlan    = 5
)

// plannerSlopes measures the slowest and the mean time of a group's plan.
func plannerSlopes(context.Context) ([]Slope, error) {
	var slowest, mean []float64
	for _, experts := range planSizes {
		p := PlannerExperiment{
			Load: string(LoadDrift), Seed: 1, Rows: planRows, Experts: int(experts), Ranks: int(experts) / expertsPerRank,
			Slots: slotsPerRank, RowsPerPlan: rowsPerPlan, Policy: string(policyIncremental), Preset: planner.Teranga.Name,
			Split: string(planner.SplitWeighted), ExpertBytes: 48 << 20, StoreRate: 1 << 30, RowTime: 10 * time.Second,
		}
		trace, err := p.trace()
		if err != nil {
			return nil, err
		}
		start := time.Now()
		result, err := p.Evaluate(trace)
		if err != nil {
			return nil, err
		}
		slowest = append(slowest, result.PlanMSMax)
		mean = append(mean, milliseconds(time.Since(start))*rowsPerPlan/planRows)
	}
	return fitAll(planSizes, []series{
		{"planner.slowest plan by experts", "ms", slowest},
		{"planner.mean plan by experts", "ms", mean},
	})
}
