package planner_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/planner"
)

// roundRobinPlacement assigns the experts to the ranks in turn, as in a new
// group.
func roundRobinPlacement(ranks, experts int) planner.Placement {
	p := make(planner.Placement, ranks)
	for e := range experts {
		p[e%ranks] = append(p[e%ranks], e)
	}
	return p
}

// skewedLoad returns expert loads with a few hot experts.
func skewedLoad(rng *rand.Rand, experts int) []float64 {
	load := make([]float64, experts)
	for i, e := range rng.Perm(experts) {
		load[e] = 1 / math.Pow(float64(i+1), 1.3)
	}
	return load
}

// expectValid checks that a placement is within the limits and holds every
// expert.
func expectValid(g *WithT, old, next planner.Placement, experts int, l planner.RebalanceLimits) {
	held := map[int]bool{}
	for r := range next {
		sorted := slices.Clone(next[r])
		slices.Sort(sorted)
		g.Expect(slices.Compact(sorted)).To(HaveLen(len(next[r])), "an expert twice on rank %d", r)
		g.Expect(len(next[r])).To(BeNumerically("<=", l.SlotsPerRank))
		added := 0
		for _, e := range next[r] {
			held[e] = true
			if !slices.Contains(old[r], e) {
				added++
			}
		}
		g.Expect(added).To(BeNumerically("<=", l.MaxNewExperts))
	}
	g.Expect(held).To(HaveLen(experts))
}

// After demand has shifted, the most loaded rank of the round-robin placement
// has more than twice the mean load, and every step of the group waits for it.
// A few plans, each within the limit of new experts, must bring the load close
// to even.
func TestRebalanceFollowsDemandShift(t *testing.T) {
	g := NewWithT(t)
	limits := planner.RebalanceLimits{SlotsPerRank: 8, MaxNewExperts: 3, MaxChanges: 200, MinAddGain: 0.02}
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 1))
		load := skewedLoad(rng, 72)
		p := roundRobinPlacement(12, 72)
		before := p.PeakRatio(load)
		for range 3 {
			next := planner.Rebalance(p, load, limits)
			expectValid(g, p, next, 72, limits)
			p = next
		}
		g.Expect(p.PeakRatio(load)).To(BeNumerically("<", 1.35), "seed %d: %.2f before", seed, before)
	}
}

// A set whose load is even is not changed: each added expert slows the steps.
func TestRebalanceKeepsEvenLoad(t *testing.T) {
	g := NewWithT(t)
	p := roundRobinPlacement(12, 72)
	load := make([]float64, 72)
	for e := range load {
		load[e] = 1
	}
	next := planner.Rebalance(p, load, planner.RebalanceLimits{SlotsPerRank: 8, MaxNewExperts: 3, MaxChanges: 200, MinAddGain: 0.02})
	g.Expect(p.CountAdded(next)).To(BeZero())
	g.Expect(planner.Rebalance(p, make([]float64, 72), planner.RebalanceLimits{SlotsPerRank: 8, MaxNewExperts: 3, MaxChanges: 200, MinAddGain: 0.02})).To(Equal(p))
}

// The limits also hold at the target size of 64 ranks and 256 experts.
func TestRebalanceAtTargetSize(t *testing.T) {
	g := NewWithT(t)
	limits := planner.RebalanceLimits{SlotsPerRank: 5, MaxNewExperts: 2, MaxChanges: 400, MinAddGain: 0.02}
	rng := rand.New(rand.NewPCG(7, 1))
	load := skewedLoad(rng, 256)
	p := roundRobinPlacement(64, 256)
	next := planner.Rebalance(p, load, limits)
	expectValid(g, p, next, 256, limits)
	g.Expect(next.PeakRatio(load)).To(BeNumerically("<", p.PeakRatio(load)/2))
}

func BenchmarkRebalance(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 1))
	load := skewedLoad(rng, 72)
	p := roundRobinPlacement(12, 72)
	for b.Loop() {
		planner.Rebalance(p, load, planner.RebalanceLimits{SlotsPerRank: 8, MaxNewExperts: 3, MaxChanges: 200, MinAddGain: 0.02})
	}
}

func BenchmarkRebalanceAtTargetSize(b *testing.B) {
	rng := rand.New(rand.NewPCG(7, 1))
	load := skewedLoad(rng, 256)
	p := roundRobinPlacement(64, 256)
	for b.Loop() {
		planner.Rebalance(p, load, planner.RebalanceLimits{SlotsPerRank: 5, MaxNewExperts: 2, MaxChanges: 120, MinAddGain: 0.012})
	}
}
