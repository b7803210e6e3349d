package planner

import (
	"cmp"
	"math"
	"slices"
)

// Even shares: ranks that hold an expert share its tokens evenly, and a step
// waits, set of layers by set, for the most loaded rank. Weights of shares
// can't be set, so only where the copies lie decides.

// RebalanceSets plans all sets of layers together: each rank gets at most copies new
// experts in all, the sets with the most to gain first.
func RebalanceSets(current []Placement, load [][]float64, limits RebalanceLimits, copies int) []Placement {
	next := make([]Placement, len(current))
	order := make([]int, len(current))
	peak := make([]float64, len(current))
	for set := range current {
		order[set], peak[set] = set, current[set].PeakRatio(load[set])
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(peak[b], peak[a]) })
	limits.AddsLeft = make([]int, len(current[0]))
	for r := range limits.AddsLeft {
		limits.AddsLeft[r] = copies
	}
	for _, set := range order {
		next[set] = Rebalance(current[set], load[set], limits)
		for r, experts := range next[set] {
			for _, e := range experts {
				if !slices.Contains(current[set][r], e) {
					limits.AddsLeft[r]--
				}
			}
		}
	}
	return next
}

// Placement lists the experts that each rank holds in one set of layers.
type Placement [][]int

// Clone returns a copy that shares nothing with p.
func (p Placement) Clone() Placement {
	out := make(Placement, len(p))
	for r := range p {
		out[r] = slices.Clone(p[r])
	}
	return out
}

// CountAdded counts the experts that next brings to ranks which do not hold them.
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

// RankLoads returns the load of each rank.
func (p Placement) RankLoads(load []float64) []float64 {
	copies := make([]int, len(load))
	for _, experts := range p {
		for _, e := range experts {
			copies[e]++
		}
	}
	ranks := make([]float64, len(p))
	for r, experts := range p {
		for _, e := range experts {
			ranks[r] += load[e] / float64(copies[e])
		}
	}
	return ranks
}

// PeakRatio returns the load of the most loaded rank over the mean; 1 is the best,
// also of an idle set.
func (p Placement) PeakRatio(load []float64) float64 {
	ranks := p.RankLoads(load)
	sum := 0.0
	for _, l := range ranks {
		sum += l
	}
	if sum == 0 {
		return 1
	}
	return slices.Max(ranks) * float64(len(ranks)) / sum
}

// RebalanceLimits bound a change of a placement.
type RebalanceLimits struct {
	// Places is how many experts a rank may hold, Spare how many new ones it
	// may get.
	Places, Spare int
	// AddsLeft bounds the new experts of each rank further; nil means no bound.
	AddsLeft []int
	// MaxChanges bounds the search.
	MaxChanges int
	// MinAddGain is the least fall of the peak, in parts of the mean load, that
	// pays for bringing one more expert to a rank: the copy slows the steps.
	MinAddGain float64
}

// evenTolerance ends the search.
const evenTolerance = 1e-6

// Rebalance changes a placement, within the limits, so that its most loaded rank
// has less to do under the given load per expert. It is a descent from the
// placement in force over copies, moves, exchanges and drops of single experts
// at the most loaded rank.
func Rebalance(current Placement, load []float64, limits RebalanceLimits) Placement {
	s := newEvenState(current, load, limits)
	if s.mean == 0 {
		return current.Clone()
	}
	for range limits.MaxChanges {
		if !s.improve() {
			break
		}
	}
	return s.ranks
}

// evenState is a placement under search. Loads are in parts of the mean rank's.
type evenState struct {
	limits RebalanceLimits
	ranks  Placement
	load   []float64
	mean   float64
	copies []int
	holds  [][]bool // by rank and expert
	had    [][]bool // the placement in force
	// where lists the ranks that hold each expert.
	where  [][]int
	added  []int
	ranked []float64
	// copyPrice is what a copy costs at the present peak, in energy.
	copyPrice float64
	// delta is the change of each rank's load by the change looked at, touched
	// the ranks that have one.
	delta   []float64
	touched []int
}

func newEvenState(current Placement, load []float64, limits RebalanceLimits) *evenState {
	s := &evenState{limits: limits, ranks: current.Clone(), copies: make([]int, len(load)), where: make([][]int, len(load)), delta: make([]float64, len(current))}
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
		holds, had := make([]bool, len(load)), make([]bool, len(load))
		for _, e := range current[r] {
			holds[e], had[e] = true, true
			s.copies[e]++
			s.where[e] = append(s.where[e], r)
		}
		s.holds, s.had = append(s.holds, holds), append(s.had, had)
	}
	s.added = make([]int, len(current))
	s.ranked = current.RankLoads(s.load)
	return s
}

// evenChange is one step of the search: expert gain comes to rank to, expert drop
// leaves it, and back comes to rank from in exchange; -1 means none.
type evenChange struct {
	expert, from, to int
	// keep says that from keeps the expert: a copy and no move.
	keep bool
	// drop is an expert that rank to gives up, swapped whether from takes it.
	drop    int
	swapped bool
}

// energy grows so fast with a rank's load that the most loaded one dominates,
// while the others still count.
func energy(load float64) float64 {
	l2 := load * load
	l4 := l2 * l2
	return l4 * l4
}

// improve makes the best change at the most loaded rank, if any pays.
func (s *evenState) improve() bool {
	top := 0
	for r, l := range s.ranked {
		if l > s.ranked[top] {
			top = r
		}
	}
	const exponent = 8 // of energy
	s.copyPrice = s.limits.MinAddGain * exponent * math.Pow(s.ranked[top], exponent-1)
	light := s.lightest()
	best, bestGain := evenChange{expert: -1}, evenTolerance
	consider := func(c evenChange) {
		if gain := s.gain(c); gain > bestGain {
			best, bestGain = c, gain
		}
	}
	for _, e := range s.ranks[top] {
		if s.copies[e] > 1 {
			consider(evenChange{expert: -1, from: top, to: top, drop: e})
		}
		for _, r := range light {
			if r != top && !s.holds[r][e] {
				s.offers(e, top, r, consider)
			}
		}
	}
	if bestGain <= evenTolerance {
		return false
	}
	s.apply(best)
	return true
}

// lightRanks is how many of the least loaded ranks a change may bring experts
// to: in a large group the others gain nothing over them.
const lightRanks = 10

// lightest returns the least loaded ranks.
func (s *evenState) lightest() []int {
	order := make([]int, len(s.ranked))
	for r := range order {
		order[r] = r
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(s.ranked[a], s.ranked[b]) })
	return order[:min(lightRanks, len(order))]
}

// offers considers all ways to bring an expert of rank top to rank r.
func (s *evenState) offers(e, top, r int, consider func(evenChange)) {
	if !s.had[r][e] && s.full(r) {
		return
	}
	if len(s.ranks[r]) < s.limits.Places {
		consider(evenChange{expert: e, from: top, to: r, keep: true, drop: -1})
		consider(evenChange{expert: e, from: top, to: r, drop: -1})
	}
	for _, f := range s.ranks[r] {
		if s.copies[f] > 1 {
			consider(evenChange{expert: e, from: top, to: r, keep: true, drop: f})
		}
		if !s.holds[top][f] && (s.had[top][f] || !s.full(top)) {
			consider(evenChange{expert: e, from: top, to: r, drop: f, swapped: true})
		}
	}
}

// full says whether a rank may get no more new experts.
func (s *evenState) full(r int) bool {
	return s.added[r] >= s.limits.Spare || s.limits.AddsLeft != nil && s.added[r] >= s.limits.AddsLeft[r]
}

// gain returns how much a change lowers the energy, less its price.
func (s *evenState) gain(c evenChange) float64 {
	for _, r := range s.touched {
		s.delta[r] = 0
	}
	s.touched = s.touched[:0]
	if c.expert >= 0 {
		s.shift(c.expert, c.to, c.from, c.keep)
	}
	if c.drop >= 0 {
		from, to := c.to, -1
		if c.swapped {
			to = c.from
		}
		s.unload(c.drop, from, to)
	}
	gain := 0.0
	for i, r := range s.touched {
		if slices.Contains(s.touched[:i], r) {
			continue
		}
		gain += energy(s.ranked[r]) - energy(s.ranked[r]+s.delta[r])
	}
	return gain - s.price(c)
}

// change adds to the change of a rank's load.
func (s *evenState) change(r int, d float64) {
	s.delta[r] += d
	s.touched = append(s.touched, r)
}

// shift adds the effect of an expert coming to a rank to delta.
func (s *evenState) shift(e, to, from int, keep bool) {
	old := s.load[e] / float64(s.copies[e])
	if !keep {
		s.change(from, -old)
		s.change(to, old)
		return
	}
	share := s.load[e] / float64(s.copies[e]+1)
	for _, r := range s.where[e] {
		s.change(r, share-old)
	}
	s.change(to, share)
}

// unload adds the effect of an expert leaving a rank, for another one if to is
// not negative.
func (s *evenState) unload(e, from, to int) {
	old := s.load[e] / float64(s.copies[e])
	s.change(from, -old)
	if to >= 0 {
		s.change(to, old)
		return
	}
	share := s.load[e] / float64(s.copies[e]-1)
	for _, r := range s.where[e] {
		if r != from {
			s.change(r, share-old)
		}
	}
}

// price is what the copies of a change cost, in energy of the top rank.
func (s *evenState) price(c evenChange) float64 {
	n := 0
	if c.expert >= 0 && !s.had[c.to][c.expert] {
		n++
	}
	if c.swapped && !s.had[c.from][c.drop] {
		n++
	}
	return float64(n) * s.copyPrice
}

func (s *evenState) apply(c evenChange) {
	if c.expert >= 0 {
		if !c.keep {
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
	s.ranked = s.ranks.RankLoads(s.load)
}

func (s *evenState) insert(r, e int) {
	s.ranks[r] = append(s.ranks[r], e)
	s.holds[r][e] = true
	s.where[e] = append(s.where[e], r)
	s.copies[e]++
	if !s.had[r][e] {
		s.added[r]++
	}
}

func (s *evenState) remove(r, e int) {
	i := slices.Index(s.ranks[r], e)
	s.ranks[r] = slices.Delete(s.ranks[r], i, i+1)
	s.holds[r][e] = false
	s.where[e] = slices.DeleteFunc(s.where[e], func(o int) bool { return o == r })
	s.copies[e]--
	if !s.had[r][e] {
		s.added[r]--
	}
}
