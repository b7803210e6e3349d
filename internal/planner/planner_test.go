package planner

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/kingcupreel/kingcupreel/internal/expertmap"
)

// drawShape draws the shape of a small group.
func drawShape(t *rapid.T) Shape {
	s := Shape{Ranks: rapid.IntRange(1, 8).Draw(t, "ranks"), Slots: rapid.IntRange(1, 5).Draw(t, "slots")}
	s.Experts = rapid.IntRange(1, s.Ranks*s.Slots).Draw(t, "experts")
	return s
}

func drawLoad(t *rapid.T, experts int) []float64 {
	load := rapid.SliceOfN(rapid.Float64Range(0, 1000), experts, experts).Draw(t, "load")
	load[0]++
	return load
}

func drawSplit(t *rapid.T) Split {
	return rapid.SampledFrom([]Split{SplitWeighted, SplitEqual}).Draw(t, "split")
}

func mustValidate(t *rapid.T, what string, m *expertmap.Map) {
	if err := m.Validate(); err != nil {
		t.Fatalf("%s: %v\n%+v", what, err, m)
	}
}

func TestPlaceFromScratchHoldsEveryExpert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shape := drawShape(t)
		mustValidate(t, "scratch", PlaceFromScratch(shape, drawLoad(t, shape.Experts), drawSplit(t)))
	})
}

func TestRelabelRanksMovesNoMoreSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shape, split := drawShape(t), drawSplit(t)
		old := PlaceFromScratch(shape, drawLoad(t, shape.Experts), split)
		next := PlaceFromScratch(shape, drawLoad(t, shape.Experts), split)
		matched := RelabelRanks(old, next)
		mustValidate(t, "matched", matched)
		if MovedSlots(old, matched) > MovedSlots(old, next) {
			t.Fatalf("relabelling moves %d slots, the original map %d", MovedSlots(old, matched), MovedSlots(old, next))
		}
		renamed := next.Clone()
		slices.Reverse(renamed.Slots)
		slices.Reverse(renamed.Shares)
		if n := MovedSlots(next, RelabelRanks(next, renamed)); n != 0 {
			t.Fatalf("a map with its ranks renamed moves %d slots", n)
		}
	})
}

// TestPlanIncrementalStaysWithinBudget checks that a plan holds every expert,
// stays within each bound of the budget and moves nothing in a quiet window.
func TestPlanIncrementalStaysWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shape, split := drawShape(t), drawSplit(t)
		old := PlaceFromScratch(shape, drawLoad(t, shape.Experts), split)
		preset := rapid.SampledFrom([]Preset{Teranga, Tocka}).Draw(t, "preset")
		b := Budget{
			Slots: rapid.IntRange(0, 6).Draw(t, "slots"), ExpertBytes: 100, Window: 10 * time.Second,
			WindowBytes: rapid.Int64Range(0, 500).Draw(t, "window bytes"),
			StoreRate:   rapid.Int64Range(0, 200).Draw(t, "rate"),
			Quiet:       rapid.Bool().Draw(t, "quiet"),
		}
		plan := PlanIncremental(old, drawLoad(t, shape.Experts), split, preset, b)
		if plan == nil {
			return
		}
		mustValidate(t, "incremental", plan.Map)
		if plan.Moved != MovedSlots(old, plan.Map) || plan.Moved > b.Slots || (b.Quiet && plan.Moved > 0) {
			t.Fatalf("%d slots moved of %d allowed, quiet %v", plan.Moved, b.Slots, b.Quiet)
		}
		if b.WindowBytes > 0 && plan.Bytes > b.WindowBytes {
			t.Fatalf("%d bytes moved, %d allowed", plan.Bytes, b.WindowBytes)
		}
		if seconds := b.Window.Seconds(); b.StoreRate > 0 && float64(plan.Bytes) > float64(b.StoreRate)*seconds {
			t.Fatalf("%d bytes in %g s through a store of %d bytes per second", plan.Bytes, seconds, b.StoreRate)
		}
	})
}

// TestEveryStageIsAValidMap checks that every stage of a change is a valid map,
// so that the change may stop after any of them, and that the last stage is the
// planned map.
func TestEveryStageIsAValidMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shape, split := drawShape(t), drawSplit(t)
		old := PlaceFromScratch(shape, drawLoad(t, shape.Experts), split)
		next := RelabelRanks(old, PlaceFromScratch(shape, drawLoad(t, shape.Experts), split))
		stages := Stages(old, next)
		current := old
		for i, stage := range stages {
			mustValidate(t, "stage", stage)
			if stage.Version != current.Version+1 {
				t.Fatalf("stage %d has version %d after %d", i, stage.Version, current.Version)
			}
			current = stage
		}
		if MovedSlots(current, next) != 0 || !sameShares(current, alignAll(current, next)) {
			t.Fatalf("the stages end at\n%+v, planned\n%+v", current, next)
		}
	})
}

// TestBalanceSharesEvensRankLoads checks that shares alone raise the least
// loaded rank and relieve the most loaded one.
func TestBalanceSharesEvensRankLoads(t *testing.T) {
	m := &expertmap.Map{Experts: 3, Slots: [][]int{{0, 1}, {1, 2}, {2, expertmap.Empty}}, Shares: [][]float64{{1, 0.5}, {0.5, 0.5}, {0.5, 0}}}
	load := []float64{60, 30, 90}
	s := newMapState(m, load, SplitWeighted)
	s.relVariance = 0
	s.balanceShares()
	if skew := Skew(RankLoads(s.m, load)); skew > 0.01 {
		t.Fatalf("skew %g over ranks %v", skew, s.rank)
	}
}

// TestMapStateLoadsMatchMap checks that the rank loads that moves update
// incrementally match the map, and that scoring moves leaves the state
// unchanged.
func TestMapStateLoadsMatchMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shape, split := drawShape(t), drawSplit(t)
		load := drawLoad(t, shape.Experts)
		s := newMapState(PlaceFromScratch(shape, drawLoad(t, shape.Experts), split), load, split)
		s.balanceShares()
		before := s.clone()
		moves := candidateMoves(s, 2)
		for r, l := range RankLoads(s.m, load) {
			if math.Abs(l-before.rank[r]) > 1e-6*s.mean {
				t.Fatalf("scoring moves changed rank %d: %g, %g", r, l, before.rank[r])
			}
		}
		for _, c := range moves {
			next := s.clone()
			next.apply(c.move)
			mustValidate(t, "move", next.m)
			for r, l := range RankLoads(next.m, load) {
				if math.Abs(l-next.rank[r]) > 1e-6*s.mean {
					t.Fatalf("rank %d has load %g in the map but %g in the state", r, l, next.rank[r])
				}
			}
		}
	})
}

func TestForecastFollowsATrend(t *testing.T) {
	var f Forecast
	for i := range 50 {
		f.AddRow([]float64{100 + 2*float64(i), 300 - 2*float64(i)})
	}
	if ahead := f.Predict(5); ahead[0] <= f.level[0] || ahead[1] >= f.level[1] {
		t.Fatalf("level %v, forecast %v", f.level, ahead)
	}
}

func TestNoPlanForIdleGroup(t *testing.T) {
	m := PlaceFromScratch(Shape{Ranks: 2, Experts: 3, Slots: 2}, []float64{0, 0, 0}, SplitWeighted)
	var f Forecast
	f.AddRow([]float64{0, 0, 0})
	if plan := PlanIncremental(m, f.Predict(5), SplitWeighted, Teranga, Budget{Slots: 2}); plan != nil {
		t.Errorf("an idle group got a plan: %+v", plan)
	}
	f.AddRow([]float64{0, 4, 0})
	if ahead := f.Predict(5); ahead[1] <= ahead[0] {
		t.Errorf("forecast %v after the first load", ahead)
	}
}

// BenchmarkPlan measures the time and memory of one plan.
func BenchmarkPlan(b *testing.B) {
	sizes := map[string]Shape{"12x64": {Ranks: 12, Experts: 64, Slots: 7}, "64x256": {Ranks: 64, Experts: 256, Slots: 6}}
	for name, shape := range sizes {
		load := make([]float64, shape.Experts)
		later := make([]float64, shape.Experts)
		for e := range load {
			load[e] = 1 / math.Sqrt(float64(e+1))
			later[(e*7)%shape.Experts] = load[e]
		}
		old := PlaceFromScratch(shape, load, SplitWeighted)
		b.Run("scratch/"+name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				RelabelRanks(old, PlaceFromScratch(shape, later, SplitWeighted))
			}
		})
		b.Run("incremental/"+name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				PlanIncremental(old, later, SplitWeighted, Teranga, Budget{Slots: 8})
			}
		})
	}
}
