package planner_test

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/planner"
)

// rebalanceInTurn plans one set after the other, within common limits.
func rebalanceInTurn(current []planner.Placement, load [][]float64, limits planner.RebalanceLimits) []planner.Placement {
	next := make([]planner.Placement, len(current))
	for set := range current {
		next[set] = planner.Rebalance(current[set], load[set], limits)
	}
	return next
}

// meanPeak returns the mean peak ratio of the sets, which the duration of a step follows.
func meanPeak(p []planner.Placement, load [][]float64) float64 {
	peak := 0.0
	for set := range p {
		peak += p[set].PeakRatio(load[set]) / float64(len(p))
	}
	return peak
}

// Demand for the experts of all 16 sets has shifted, and a rank may copy two experts in all
// until the next switch. Planned in turn, the first sets use up the copies.
func TestCopiesGoToTheSetsWhereTheyGainMost(t *testing.T) {
	g := NewWithT(t)
	const sets, ranks, experts, copies = 16, 24, 96, 2
	limits := planner.RebalanceLimits{SlotsPerRank: 5, MaxNewExperts: 2, MaxChanges: 120, MinAddGain: 0.06}
	for seed := range uint64(10) {
		rng := rand.New(rand.NewPCG(seed, 1))
		current, load := make([]planner.Placement, sets), make([][]float64, sets)
		for set := range sets {
			current[set], load[set] = roundRobinPlacement(ranks, experts), skewedLoad(rng, experts)
		}
		next := planner.RebalanceSets(current, load, limits, copies)
		added := make([]int, ranks)
		for set := range sets {
			expectValid(g, current[set], next[set], experts, limits)
			for r := range ranks {
				added[r] += current[set][r : r+1].CountAdded(next[set][r : r+1])
			}
		}
		for r := range ranks {
			g.Expect(added[r]).To(BeNumerically("<=", copies), "seed %d: rank %d", seed, r)
		}
		shared := limits
		shared.AddsLeft = make([]int, ranks)
		for r := range shared.AddsLeft {
			shared.AddsLeft[r] = copies
		}
		inTurn := rebalanceInTurn(current, load, shared)
		t.Logf("seed %d: mean peak %.2f before, %.2f in turn, %.2f together", seed, meanPeak(current, load), meanPeak(inTurn, load), meanPeak(next, load))
		g.Expect(meanPeak(next, load)).To(BeNumerically("<", meanPeak(inTurn, load)), "seed %d", seed)
	}
}

// The sets of which one has no load and one is even are left alone.
func TestSetsWithoutNeedGetNoCopies(t *testing.T) {
	g := NewWithT(t)
	even := make([]float64, 72)
	for e := range even {
		even[e] = 1
	}
	current := []planner.Placement{roundRobinPlacement(12, 72), roundRobinPlacement(12, 72), roundRobinPlacement(12, 72)}
	load := [][]float64{even, make([]float64, 72), skewedLoad(rand.New(rand.NewPCG(1, 1)), 72)}
	next := planner.RebalanceSets(current, load, planner.RebalanceLimits{SlotsPerRank: 8, MaxNewExperts: 3, MaxChanges: 200, MinAddGain: 0.02}, 3)
	g.Expect(current[0].CountAdded(next[0])).To(BeZero())
	g.Expect(current[1].CountAdded(next[1])).To(BeZero())
	g.Expect(next[2].PeakRatio(load[2])).To(BeNumerically("<", current[2].PeakRatio(load[2])))
}

func BenchmarkRebalanceSets(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 1))
	current, load := make([]planner.Placement, 16), make([][]float64, 16)
	for set := range current {
		current[set], load[set] = roundRobinPlacement(64, 256), skewedLoad(rng, 256)
	}
	for b.Loop() {
		planner.RebalanceSets(current, load, planner.RebalanceLimits{SlotsPerRank: 5, MaxNewExperts: 2, MaxChanges: 120, MinAddGain: 0.02}, 3)
	}
}
