package planner

import (
	"math"
	"slices"

	"github.com/kingcupreel/kingcupreel/internal/expertmap"
)

const (
	// endRanks is how many ranks at each end of the load order are searched.
	endRanks = 4
	// shortlist is how many moves are tried in full, with all shares anew.
	shortlist = 8
	// stalledMoves ends a search whose last moves brought no gain.
	stalledMoves = 4
	// skewDeviations is the usual skew of a group in standard deviations.
	skewDeviations = 4.0
	// shareGain is the least fall in predicted skew that pays for a new map
	// which changes shares alone.
	shareGain = 0.005
)

// move is a change of one slot, or an exchange of two.
type move struct {
	at     place
	expert int
	with   place
	swap   bool
}

// cost is the number of slots whose weights are loaded.
func (m move) cost() int {
	if m.swap {
		return 2
	}
	return 1
}

// scored is a move with the change of the spread a moved slot, by the two
// experts' own shares alone.
type scored struct {
	move
	score float64
}

// Plan is the planner's decision: the next map and what it costs.
type Plan struct {
	Map *expertmap.Map
	// Moved counts the slots whose weights are loaded, Bytes their size.
	Moved int
	Bytes int64
	// Before and After are the predicted skew under the old and new map.
	Before, After float64
}

// PlanIncremental changes the map in force where the predicted skew falls most a
// byte moved. It returns nil when the map in force should stay.
func PlanIncremental(current *expertmap.Map, load []float64, split Split, p Preset, b Budget) *Plan {
	if !slices.ContainsFunc(load, func(l float64) bool { return l > 0 }) {
		return nil
	}
	before := Skew(RankLoads(current, load))
	s := newState(current, load, split)
	s.balance()
	slots := len(current.Slots) * len(current.Slots[0])
	best := search(s, p, b.slots(p), p.movePrice(slots))
	moved := MovedSlots(current, best.m)
	after := Skew(best.rank)
	if moved == 0 && before-after < shareGain {
		return nil
	}
	next := alignAll(current, best.m)
	next.Version = current.Version + 1
	return &Plan{Map: next, Moved: moved, Bytes: int64(moved) * b.ExpertBytes, Before: before, After: after}
}

// search applies moves one by one and returns the state with the best worth:
// the fall in imbalance less the price of the slots moved on the way there.
func search(s *state, p Preset, budget int, price float64) *state {
	best, bestWorth := s, -s.imbalance()
	spent, stalled := 0, 0
	for spent < budget && stalled < stalledMoves {
		next, m, ok := step(s, budget-spent)
		if !ok {
			break
		}
		s = next
		spent += m.cost()
		stalled++
		if worth := -s.imbalance() - price*float64(spent); worth > bestWorth {
			best, bestWorth, stalled = s, worth, 0
		}
	}
	return best
}

// imbalance is the mean of the skew and of the skew that ranks with this spread
// have on the whole: a move that relieves one of several equally loaded ranks
// leaves the skew as it is, yet counts.
func (s *state) imbalance() float64 {
	deviation := math.Sqrt(s.spread() / float64(len(s.rank)))
	return (Skew(s.rank) + skewDeviations*deviation) / 2
}

// step returns the state after the move that lowers the spread most.
func step(s *state, budget int) (*state, move, bool) {
	var best *state
	var bestMove move
	bestGain := 0.0
	spread := s.spread()
	for _, c := range candidates(s, budget) {
		next := s.clone()
		next.apply(c.move)
		next.balance()
		gain := (spread - next.spread()) / float64(c.cost())
		if gain > bestGain {
			best, bestMove, bestGain = next, c.move, gain
		}
	}
	return best, bestMove, best != nil
}

func (s *state) apply(m move) {
	if m.swap {
		s.swap(m.at, m.with)
		return
	}
	s.replace(m.at, m.expert)
}

// candidates returns the moves with the best score that touch a rank at either
// end: a lighter rank takes a replica, or a heavier one shares its experts.
func candidates(s *state, budget int) []scored {
	heavy, light := s.ends()
	probe := newProbe(s)
	for _, r := range light {
		for e := range s.where {
			probe.replicas(r, e)
		}
	}
	for _, r := range heavy {
		for _, e := range s.m.Slots[r] {
			for q := range s.rank {
				probe.replicas(q, e)
			}
		}
	}
	if budget > 1 {
		for _, r := range append(heavy, light...) {
			probe.swaps(r)
		}
	}
	return probe.best
}

// ends returns the heaviest and the lightest ranks.
func (s *state) ends() (heavy, light []int) {
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
	n := min(endRanks, (len(order)+1)/2)
	return order[:n:n], order[len(order)-n:]
}
