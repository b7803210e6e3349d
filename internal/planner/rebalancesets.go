package planner

import "math"

// RebalanceSets plans all sets of layers together. Each rank gets at most maxAdds new
// experts over all sets. A step waits for the most loaded rank of each set in turn, so the
// falls of the sets' peaks add up: the changes are made in the order of how much they lower
// the peak of their set for each copy, whichever set that is. If the sets were planned one
// after the other instead, the first ones would use up the copies for changes that gain
// little.
func RebalanceSets(current []Placement, load [][]float64, limits RebalanceLimits, maxAdds int) []Placement {
	limits.AddsLeft = make([]int, len(current[0]))
	for r := range limits.AddsLeft {
		limits.AddsLeft[r] = maxAdds
	}
	searches := make([]*placementSearch, len(current))
	best := make([]ratedChange, len(current))
	for set := range current {
		searches[set] = newPlacementSearch(current[set], load[set], limits)
		best[set] = searches[set].bestPerCopy()
	}
	for range limits.MaxChanges * len(current) {
		set := 0
		for i := range best {
			if best[i].rating > best[set].rating {
				set = i
			}
		}
		if best[set].rating <= 0 {
			break
		}
		// Another set may have used up the copies of a rank.
		if s := searches[set]; s.isWithinLimits(best[set].placementChange) {
			s.apply(best[set].placementChange)
		}
		best[set] = searches[set].bestPerCopy()
	}
	next := make([]Placement, len(current))
	for set, s := range searches {
		next[set] = s.placement
	}
	return next
}

// ratedChange is a change with its rating; a rating of 0 means none.
type ratedChange struct {
	placementChange
	rating float64
}

// maxCopies is the maximum number of copies of one change.
const maxCopies = 2

// copylessCost is the cost of a change without a copy, in copies: it is made first, but gives
// up a replica that a later plan may have to copy again.
const copylessCost = 0.1

// bestPerCopy returns the change at the most loaded rank that lowers the set's peak most for
// each copy. Peaks are smoothed: with several ranks near the peak, no single change lowers it.
func (s *placementSearch) bestPerCopy() (best ratedChange) {
	if s.mean == 0 {
		return best
	}
	sum := 0.0
	for _, l := range s.rankLoads {
		sum += penalty(l)
	}
	// The best changes by number of copies: among these the penalty alone decides.
	var changes [maxCopies + 1]placementChange
	gains := [maxCopies + 1]float64{minPenaltyGain, minPenaltyGain, minPenaltyGain}
	s.addPrice = 0
	s.forEachChange(s.mostLoadedRank(), func(c placementChange) {
		if n, gain := s.copies(c), s.gain(c); gain > gains[n] {
			changes[n], gains[n] = c, gain
		}
	})
	for n, gain := range gains {
		if gain <= minPenaltyGain {
			continue
		}
		fall := smoothPeak(sum) - smoothPeak(sum-gain)
		if rating := fall / max(float64(n), copylessCost); fall >= s.limits.MinAddGain*float64(n) && rating > best.rating {
			best = ratedChange{placementChange: changes[n], rating: rating}
		}
	}
	return best
}

// smoothPeak returns the peak ratio for a sum of penalties, smoothed over the ranks.
func smoothPeak(sum float64) float64 { return math.Pow(max(sum, 0), 1.0/penaltyExponent) }

// isWithinLimits reports whether the ranks may still get the copies of a change.
func (s *placementSearch) isWithinLimits(c placementChange) bool {
	if c.expert >= 0 && !s.heldBefore[c.to][c.expert] && s.atAddLimit(c.to) {
		return false
	}
	return !c.swapped || s.heldBefore[c.from][c.drop] || !s.atAddLimit(c.from)
}
