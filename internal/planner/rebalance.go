package planner

import (
	"cmp"
	"math"
	"slices"
)

// This file plans placements for engines with even shares: the ranks that hold
// an expert share its tokens evenly, and for each set of layers a step waits
// for the most loaded rank. Shares can't be weighted, so the balance depends
// only on which ranks hold the replicas.

// Placement lists the experts that each rank holds in one set of layers, by
// rank.
type Placement [][]int

// Clone returns a deep copy of p.
func (p Placement) Clone() Placement {
	out := make(Placement, len(p))
	for r := range p {
		out[r] = slices.Clone(p[r])
	}
	return out
}

// CountAdded counts the experts that next adds to ranks that do not hold them
// in p.
func (p Placement) CountAdded(next Placement) int {
	n := 0
	for r := range next {
		for _, e := range next[r] {
			if !slices.Contains(p[r], e) {
				n++
			}
		}
	}
	return n
}

// RankLoads returns the load of each rank for the given load of each expert.
func (p Placement) RankLoads(load []float64) []float64 {
	replicas := make([]int, len(load))
	for _, experts := range p {
		for _, e := range experts {
			replicas[e]++
		}
	}
	loads := make([]float64, len(p))
	for r, experts := range p {
		for _, e := range experts {
			loads[r] += load[e] / float64(replicas[e])
		}
	}
	return loads
}

// PeakRatio returns the load of the most loaded rank divided by the mean. The
// best value is 1, which is also returned if there is no load.
func (p Placement) PeakRatio(load []float64) float64 {
	loads := p.RankLoads(load)
	sum := 0.0
	for _, l := range loads {
		sum += l
	}
	if sum == 0 {
		return 1
	}
	return slices.Max(loads) * float64(len(loads)) / sum
}

// RebalanceLimits bounds a change of a placement.
type RebalanceLimits struct {
	// SlotsPerRank is the number of experts that a rank can hold, MaxNewExperts
	// the number of new experts that it may get in one change of the placement.
	SlotsPerRank, MaxNewExperts int
	// AddsLeft is the number of new experts that each rank may still get; nil means no
	// such bound. The search counts it down, so that the searches of several sets can
	// share it.
	AddsLeft []int
	// MaxChanges bounds the number of single changes that the search makes.
	MaxChanges int
	// MinAddGain is the least fall of the peak ratio that justifies adding one
	// more expert to a rank: loading it slows the steps.
	MinAddGain float64
}

// minPenaltyGain is the fall of the penalty at or below which the search ends.
const minPenaltyGain = 1e-6

// Rebalance changes a placement, within the limits, to lower the load of its
// most loaded rank for the given load of each expert. It descends from the
// current placement by single changes at the most loaded rank: it adds a
// replica, moves an expert, exchanges two experts or drops a replica.
func Rebalance(current Placement, load []float64, limits RebalanceLimits) Placement {
	s := newPlacementSearch(current, load, limits)
	if s.mean == 0 {
		return current.Clone()
	}
	for range limits.MaxChanges {
		if !s.applyBestChange() {
			break
		}
	}
	return s.placement
}

// placementSearch is the state of a search. Loads are relative to the mean rank
// load.
type placementSearch struct {
	limits     RebalanceLimits
	placement  Placement
	load       []float64
	mean       float64
	replicas   []int
	holds      [][]bool // current placement of the search, by rank and expert
	heldBefore [][]bool // placement before the search, by rank and expert
	// holders lists the ranks that hold each expert.
	holders [][]int
	// added is the number of experts of each rank that it did not hold before.
	added     []int
	rankLoads []float64
	// addPrice is the penalty charged for each expert added to a rank. It grows
	// with the peak ratio.
	addPrice float64
	// delta is the effect of the evaluated change on each rank's load, touched
	// lists the ranks with an entry in it; a rank may be listed repeatedly.
	delta   []float64
	touched []int
}

// newPlacementSearch returns a search that starts from current. If there is no
// load, only mean is valid.
func newPlacementSearch(current Placement, load []float64, limits RebalanceLimits) *placementSearch {
	s := &placementSearch{limits: limits, placement: current.Clone(), replicas: make([]int, len(load)), holders: make([][]int, len(load)), delta: make([]float64, len(current))}
	for _, l := range load {
		s.mean += l / float64(len(current))
	}
	if s.mean == 0 {
		return s
	}
	s.load = make([]float64, len(load))
	for e := range load {
		s.load[e] = load[e] / s.mean
	}
	for r := range current {
		holds, heldBefore := make([]bool, len(load)), make([]bool, len(load))
		for _, e := range current[r] {
			holds[e], heldBefore[e] = true, true
			s.replicas[e]++
			s.holders[e] = append(s.holders[e], r)
		}
		s.holds, s.heldBefore = append(s.holds, holds), append(s.heldBefore, heldBefore)
	}
	s.added = make([]int, len(current))
	s.rankLoads = current.RankLoads(s.load)
	return s
}

// placementChange is one change that the search may make: rank from gives
// expert to rank to, and rank to gives up the expert drop. An expert of -1
// means none.
type placementChange struct {
	expert, from, to int
	// asReplica is set if from keeps the expert: the change adds a replica.
	asReplica bool
	// drop is an expert that rank to gives up. With swapped set, rank from gets
	// it in exchange.
	drop    int
	swapped bool
}

// penaltyExponent is the exponent in penalty.
const penaltyExponent = 8

// penalty weights a rank's load by its eighth power, so that the most loaded
// rank dominates while the others still count.
func penalty(load float64) float64 {
	l2 := load * load
	l4 := l2 * l2
	return l4 * l4
}

// applyBestChange applies the best change at the most loaded rank. It returns
// false if no change lowers the penalty enough.
func (s *placementSearch) applyBestChange() bool {
	top := s.mostLoadedRank()
	s.addPrice = s.limits.MinAddGain * penaltyExponent * math.Pow(s.rankLoads[top], penaltyExponent-1)
	best, bestGain := placementChange{expert: -1}, minPenaltyGain
	s.forEachChange(top, func(c placementChange) {
		if gain := s.gain(c); gain > bestGain {
			best, bestGain = c, gain
		}
	})
	if bestGain <= minPenaltyGain {
		return false
	}
	s.apply(best)
	return true
}

// mostLoadedRank returns the rank with the highest load.
func (s *placementSearch) mostLoadedRank() int {
	top := 0
	for r, l := range s.rankLoads {
		if l > s.rankLoads[top] {
			top = r
		}
	}
	return top
}

// forEachChange calls consider with each change at rank top that the limits allow.
func (s *placementSearch) forEachChange(top int, consider func(placementChange)) {
	targets := s.lightestRanks()
	for _, e := range s.placement[top] {
		if s.replicas[e] > 1 {
			consider(placementChange{expert: -1, from: top, to: top, drop: e})
		}
		for _, r := range targets {
			if r != top && !s.holds[r][e] {
				s.considerChanges(e, top, r, consider)
			}
		}
	}
}

// maxTargetRanks is the number of least loaded ranks that may get an expert. In
// a large group, trying more ranks gains nothing.
const maxTargetRanks = 10

// lightestRanks returns the maxTargetRanks least loaded ranks.
func (s *placementSearch) lightestRanks() []int {
	order := make([]int, len(s.rankLoads))
	for r := range order {
		order[r] = r
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(s.rankLoads[a], s.rankLoads[b]) })
	return order[:min(maxTargetRanks, len(order))]
}

// considerChanges considers all changes that bring expert e of rank top to rank
// r.
func (s *placementSearch) considerChanges(e, top, r int, consider func(placementChange)) {
	if !s.heldBefore[r][e] && s.atAddLimit(r) {
		return
	}
	if len(s.placement[r]) < s.limits.SlotsPerRank {
		consider(placementChange{expert: e, from: top, to: r, asReplica: true, drop: -1})
		consider(placementChange{expert: e, from: top, to: r, drop: -1})
	}
	for _, f := range s.placement[r] {
		if s.replicas[f] > 1 {
			consider(placementChange{expert: e, from: top, to: r, asReplica: true, drop: f})
		}
		if !s.holds[top][f] && (s.heldBefore[top][f] || !s.atAddLimit(top)) {
			consider(placementChange{expert: e, from: top, to: r, drop: f, swapped: true})
		}
	}
}

// atAddLimit reports whether a rank may get no more new experts.
func (s *placementSearch) atAddLimit(r int) bool {
	return s.added[r] >= s.limits.MaxNewExperts || s.limits.AddsLeft != nil && s.limits.AddsLeft[r] <= 0
}

// gain returns by how much a change lowers the penalty, less the price of the
// experts that it adds.
func (s *placementSearch) gain(c placementChange) float64 {
	for _, r := range s.touched {
		s.delta[r] = 0
	}
	s.touched = s.touched[:0]
	if c.expert >= 0 {
		s.addArrival(c.expert, c.to, c.from, c.asReplica)
	}
	if c.drop >= 0 {
		from, to := c.to, -1
		if c.swapped {
			to = c.from
		}
		s.addRemoval(c.drop, from, to)
	}
	gain := 0.0
	for i, r := range s.touched {
		if slices.Contains(s.touched[:i], r) {
			continue
		}
		gain += penalty(s.rankLoads[r]) - penalty(s.rankLoads[r]+s.delta[r])
	}
	return gain - s.addCost(c)
}

// addDelta adds d to the load change of a rank.
func (s *placementSearch) addDelta(r int, d float64) {
	s.delta[r] += d
	s.touched = append(s.touched, r)
}

// addArrival adds to delta the effect of rank to getting expert e, from rank
// from or, with asReplica, as a further replica.
func (s *placementSearch) addArrival(e, to, from int, asReplica bool) {
	oldLoad := s.load[e] / float64(s.replicas[e])
	if !asReplica {
		s.addDelta(from, -oldLoad)
		s.addDelta(to, oldLoad)
		return
	}
	newLoad := s.load[e] / float64(s.replicas[e]+1)
	for _, r := range s.holders[e] {
		s.addDelta(r, newLoad-oldLoad)
	}
	s.addDelta(to, newLoad)
}

// addRemoval adds to delta the effect of expert e leaving rank from. It moves
// to rank to, or loses a replica if to is negative.
func (s *placementSearch) addRemoval(e, from, to int) {
	oldLoad := s.load[e] / float64(s.replicas[e])
	s.addDelta(from, -oldLoad)
	if to >= 0 {
		s.addDelta(to, oldLoad)
		return
	}
	newLoad := s.load[e] / float64(s.replicas[e]-1)
	for _, r := range s.holders[e] {
		if r != from {
			s.addDelta(r, newLoad-oldLoad)
		}
	}
}

// addCost returns the price, as penalty, of the experts that a change adds to
// ranks that did not hold them before the search.
func (s *placementSearch) addCost(c placementChange) float64 {
	return float64(s.copies(c)) * s.addPrice
}

// copies returns the number of experts that a change adds to ranks that did not hold them
// before the search: 0, 1 or 2.
func (s *placementSearch) copies(c placementChange) int {
	n := 0
	if c.expert >= 0 && !s.heldBefore[c.to][c.expert] {
		n++
	}
	if c.swapped && !s.heldBefore[c.from][c.drop] {
		n++
	}
	return n
}

func (s *placementSearch) apply(c placementChange) {
	if c.expert >= 0 {
		if !c.asReplica {
			s.remove(c.from, c.expert)
		}
		s.insert(c.to, c.expert)
	}
	if c.drop >= 0 {
		s.remove(c.to, c.drop)
		if c.swapped {
			s.insert(c.from, c.drop)
		}
	}
	s.rankLoads = s.placement.RankLoads(s.load)
}

func (s *placementSearch) insert(r, e int) {
	s.placement[r] = append(s.placement[r], e)
	s.holds[r][e] = true
	s.holders[e] = append(s.holders[e], r)
	s.replicas[e]++
	s.countAdded(r, e, 1)
}

func (s *placementSearch) remove(r, e int) {
	i := slices.Index(s.placement[r], e)
	s.placement[r] = slices.Delete(s.placement[r], i, i+1)
	s.holds[r][e] = false
	s.holders[e] = slices.DeleteFunc(s.holders[e], func(o int) bool { return o == r })
	s.replicas[e]--
	s.countAdded(r, e, -1)
}

// countAdded counts n more new experts of rank r if it did not hold e before the search.
func (s *placementSearch) countAdded(r, e, n int) {
	if s.heldBefore[r][e] {
		return
	}
	s.added[r] += n
	if s.limits.AddsLeft != nil {
		s.limits.AddsLeft[r] -= n
	}
}
