package planner

import (
	"math"
	"slices"

	"github.com/kingcupreel/kingcupreel/internal/expertmap"
)

const (
	// ranksPerEnd is the number of most loaded and of least loaded ranks for
	// which moves are searched.
	ranksPerEnd = 4
	// shortlistSize is the number of best-scored moves that are evaluated in
	// full, with all shares balanced again.
	shortlistSize = 8
	// maxStalledMoves is the number of moves in a row without a better result
	// that ends the search.
	maxStalledMoves = 4
	// skewDeviations is the usual skew of a group, in standard deviations of
	// its rank loads.
	skewDeviations = 4.0
	// minShareGain is the least fall in predicted skew that justifies a new map
	// that only changes shares.
	minShareGain = 0.005
)

// move is a change of one slot or, if swap is set, an exchange of two.
type move struct {
	// target is the slot that gets expert or, in an exchange, the first slot.
	target slotRef
	expert int
	// partner is the second slot of an exchange.
	partner slotRef
	swap    bool
}

// cost returns the number of slots whose weights have to be loaded.
func (m move) cost() int {
	if m.swap {
		return 2
	}
	return 1
}

// scoredMove is a move with its score: the fall of the total variance per
// loaded slot if only the shares of the two experts involved are set again.
type scoredMove struct {
	move
	score float64
}

// Plan is the planner's decision: the next map and what it costs.
type Plan struct {
	Map *expertmap.Map
	// Moved counts the slots whose weights are loaded, Bytes their size.
	Moved int
	Bytes int64
	// Before and After are the predicted skew under the old and the new map.
	Before, After float64
}

// PlanIncremental changes the current map where each loaded byte lowers the
// predicted skew most, within the budget. It returns nil if the current map
// should stay.
func PlanIncremental(current *expertmap.Map, load []float64, split Split, p Preset, b Budget) *Plan {
	if !slices.ContainsFunc(load, func(l float64) bool { return l > 0 }) {
		return nil
	}
	skewBefore := Skew(RankLoads(current, load))
	s := newMapState(current, load, split)
	s.balanceShares()
	slots := len(current.Slots) * len(current.Slots[0])
	best := search(s, p, b.slots(p), p.minGainPerSlot(slots))
	moved := MovedSlots(current, best.m)
	skewAfter := Skew(best.rank)
	if moved == 0 && skewBefore-skewAfter < minShareGain {
		return nil
	}
	next := alignAll(current, best.m)
	next.Version = current.Version + 1
	return &Plan{Map: next, Moved: moved, Bytes: int64(moved) * b.ExpertBytes, Before: skewBefore, After: skewAfter}
}

// search applies moves one by one and returns the state with the highest worth:
// the fall in imbalance less the price of all slots moved to get there.
func search(s *mapState, p Preset, budget int, pricePerSlot float64) *mapState {
	best, bestWorth := s, -s.imbalance()
	spent, stalled := 0, 0
	for spent < budget && stalled < maxStalledMoves {
		next, m, ok := applyBestMove(s, budget-spent)
		if !ok {
			break
		}
		s = next
		spent += m.cost()
		stalled++
		if worth := -s.imbalance() - pricePerSlot*float64(spent); worth > bestWorth {
			best, bestWorth, stalled = s, worth, 0
		}
	}
	return best
}

// imbalance returns the mean of the skew and of the skew that is usual for
// ranks with this variance. The second term rewards a move that relieves one of
// several equally loaded ranks, which leaves the skew unchanged.
func (s *mapState) imbalance() float64 {
	deviation := math.Sqrt(s.totalVariance() / float64(len(s.rank)))
	return (Skew(s.rank) + skewDeviations*deviation) / 2
}

// applyBestMove returns the state after the move that lowers the total variance
// most per loaded slot, and that move. It returns false if no move lowers it.
func applyBestMove(s *mapState, budget int) (*mapState, move, bool) {
	var best *mapState
	var bestMove move
	bestGain := 0.0
	totalVariance := s.totalVariance()
	for _, c := range candidateMoves(s, budget) {
		next := s.clone()
		next.apply(c.move)
		next.balanceShares()
		gain := (totalVariance - next.totalVariance()) / float64(c.cost())
		if gain > bestGain {
			best, bestMove, bestGain = next, c.move, gain
		}
	}
	return best, bestMove, best != nil
}

func (s *mapState) apply(m move) {
	if m.swap {
		s.swap(m.target, m.partner)
		return
	}
	s.replace(m.target, m.expert)
}

// candidateMoves returns the moves with the best scores that involve one of the
// most or least loaded ranks: a light rank gets a replica, an expert of a heavy
// rank gets one elsewhere, or two slots are exchanged.
func candidateMoves(s *mapState, budget int) []scoredMove {
	heavy, light := s.extremeRanks()
	scorer := newMoveScorer(s)
	for _, r := range light {
		for e := range s.replicas {
			scorer.scoreReplicas(r, e)
		}
	}
	for _, r := range heavy {
		for _, e := range s.m.Slots[r] {
			for q := range s.rank {
				scorer.scoreReplicas(q, e)
			}
		}
	}
	if budget > 1 {
		for _, r := range append(heavy, light...) {
			scorer.scoreSwaps(r)
		}
	}
	return scorer.best
}

// extremeRanks returns the most loaded ranks, heaviest first, and the least
// loaded ones.
func (s *mapState) extremeRanks() (heavy, light []int) {
	order := make([]int, len(s.rank))
	for r := range order {
		order[r] = r
	}
	slices.SortFunc(order, func(a, b int) int {
		if s.rank[a] > s.rank[b] {
			return -1
		}
		return 1
	})
	n := min(ranksPerEnd, (len(order)+1)/2)
	return order[:n:n], order[len(order)-n:]
}
