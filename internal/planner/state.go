package planner

import (
	"math"
	"slices"

	"github.com/kingcupreel/kingcupreel/internal/expertmap"
)

// Split is the way in which the tokens of an expert are divided among its
// replicas.
type Split string

// Values of Split.
const (
	// SplitWeighted divides the tokens by the shares that the map sets.
	SplitWeighted Split = "weighted"
	// SplitEqual gives each replica the same share, for engines that route by
	// round robin or by hash.
	SplitEqual Split = "equal"
)

const (
	// maxSweeps bounds the sweeps over all experts that balance shares.
	// sweepTolerance ends them earlier: it is the greatest change of a rank's
	// load in a sweep, as a fraction of the mean load.
	maxSweeps      = 400
	sweepTolerance = 1e-4
	// idleFraction is the load, as a fraction of the mean rank load, up to
	// which an expert gets equal shares: water filling would lose so small a
	// load to rounding.
	idleFraction = 1e-6
	// relativeForecastVariance is the variance of an expert's load around its
	// forecast, as a fraction of the squared load.
	relativeForecastVariance = 0.03
)

// slotRef identifies one slot of one rank.
type slotRef struct{ rank, slot int }

// mapState is a map with the rank loads that result from the given load of each
// expert.
type mapState struct {
	split Split
	m     *expertmap.Map
	load  []float64
	// replicas lists the slots that hold each expert, by expert.
	replicas [][]slotRef
	// rank is the load of each rank, mean their mean.
	rank []float64
	mean float64
	// relVariance is relativeForecastVariance; tests set it to 0 to ignore
	// forecast errors.
	relVariance float64
	// levels is scratch space of waterFill.
	levels []fillLevel
}

// fillLevel is a replica with the load base that its rank has without the
// expert whose shares are being set.
type fillLevel struct {
	slotRef
	base float64
}

// newMapState returns the state of a copy of m. The state refers to load without
// copying it.
func newMapState(m *expertmap.Map, load []float64, split Split) *mapState {
	s := &mapState{split: split, m: m.Clone(), load: load, relVariance: relativeForecastVariance}

	s.replicas = make([][]slotRef, m.Experts)
	s.rank = make([]float64, len(m.Slots))
	for r, slots := range m.Slots {
		for i, e := range slots {
			if e == expertmap.Empty {
				continue
			}
			s.replicas[e] = append(s.replicas[e], slotRef{r, i})
			s.rank[r] += load[e] * m.Shares[r][i]
		}
	}
	for _, l := range load {
		s.mean += l / float64(len(s.rank))
	}
	return s
}

// Skew returns the skew of the given rank loads, 0 for an idle group.
func Skew(loads []float64) float64 {
	sum := 0.0
	for _, l := range loads {
		sum += l
	}
	if sum == 0 {
		return 0
	}
	return (slices.Max(loads) - slices.Min(loads)) * float64(len(loads)) / sum
}

// RankLoads returns the load of each rank under a map for the given load of
// each expert.
func RankLoads(m *expertmap.Map, load []float64) []float64 {
	loads := make([]float64, len(m.Slots))
	for r, slots := range m.Slots {
		for i, e := range slots {
			if e != expertmap.Empty {
				loads[r] += load[e] * m.Shares[r][i]
			}
		}
	}
	return loads
}

// setShare changes the share of expert e's replica in slot p, and its rank's
// load.
func (s *mapState) setShare(e int, p slotRef, share float64) {
	old := s.m.Shares[p.rank][p.slot]
	s.m.Shares[p.rank][p.slot] = share
	s.rank[p.rank] += s.load[e] * (share - old)
}

// setShares sets the shares of one expert to balance its ranks, and returns the
// greatest change of a rank's load.
func (s *mapState) setShares(e int) float64 {
	if s.split == SplitEqual || s.load[e] <= idleFraction*s.mean {
		return s.setEqualShares(e)
	}
	return s.waterFill(e)
}

// setEqualShares gives the replicas of an expert equal shares and returns the
// greatest change of a rank's load.
func (s *mapState) setEqualShares(e int) float64 {
	share := 1 / float64(len(s.replicas[e]))
	change := 0.0
	for _, p := range s.replicas[e] {
		change = max(change, math.Abs(share-s.m.Shares[p.rank][p.slot])*s.load[e])
		s.setShare(e, p, share)
	}
	return change
}

// waterFill sets the shares of an expert by water filling: it raises the least
// loaded of its ranks towards a common level. The variance of a replica's load
// counts as well, so a rank rises a little less than its distance to the level
// and the load spreads over more replicas. It returns the greatest change of a
// rank's load.
func (s *mapState) waterFill(e int) float64 {
	s.levels = s.levels[:0]
	for _, p := range s.replicas[e] {
		s.levels = append(s.levels, fillLevel{p, s.rank[p.rank] - s.load[e]*s.m.Shares[p.rank][p.slot]})
	}
	slices.SortFunc(s.levels, func(a, b fillLevel) int {
		if a.base < b.base {
			return -1
		}
		return 1
	})
	slope := 1 + s.relVariance
	level, filled := 0.0, 0.0
	for i, l := range s.levels {
		if i > 0 && l.base >= level {
			break
		}
		filled += l.base
		level = (slope*s.load[e] + filled) / float64(i+1)
	}
	change := 0.0
	for _, l := range s.levels {
		share := max(level-l.base, 0) / slope / s.load[e]
		change = max(change, math.Abs(share-s.m.Shares[l.rank][l.slot])*s.load[e])
		s.setShare(e, l.slotRef, share)
	}
	return change
}

// balanceShares sets the shares of all replicated experts in repeated sweeps.
// The total variance falls with every step.
func (s *mapState) balanceShares() {
	for range maxSweeps {
		change := 0.0
		for e := range s.replicas {
			if len(s.replicas[e]) > 1 {
				change = max(change, s.setShares(e))
			}
		}
		if change <= sweepTolerance*s.mean {
			return
		}
	}
}

// replace puts expert y into slot p and sets the shares of y and of the slot's
// old expert, which must have another replica, so that each still adds up to 1.
func (s *mapState) replace(p slotRef, y int) {
	x := s.m.Slots[p.rank][p.slot]
	if x != expertmap.Empty {
		s.setShare(x, p, 0)
		s.replicas[x] = slices.DeleteFunc(s.replicas[x], func(q slotRef) bool { return q == p })
	}
	s.m.Slots[p.rank][p.slot] = y
	s.replicas[y] = append(s.replicas[y], p)
	if x != expertmap.Empty {
		s.normalizeShares(x)
		s.setShares(x)
	}
	s.setShares(y)
}

// swap exchanges the experts of two slots and sets their shares.
func (s *mapState) swap(p, q slotRef) {
	x, y := s.m.Slots[p.rank][p.slot], s.m.Slots[q.rank][q.slot]
	xs, ys := s.m.Shares[p.rank][p.slot], s.m.Shares[q.rank][q.slot]
	s.setShare(x, p, 0)
	s.setShare(y, q, 0)
	s.m.Slots[p.rank][p.slot], s.m.Slots[q.rank][q.slot] = y, x
	s.replicas[x][slices.Index(s.replicas[x], p)] = q
	s.replicas[y][slices.Index(s.replicas[y], q)] = p
	s.setShare(y, p, ys)
	s.setShare(x, q, xs)
	s.setShares(x)
	s.setShares(y)
}

// normalizeShares changes the share of an expert's first replica so that its
// shares add up to 1 again.
func (s *mapState) normalizeShares(e int) {
	sum := 0.0
	for _, p := range s.replicas[e] {
		sum += s.m.Shares[p.rank][p.slot]
	}
	first := s.replicas[e][0]
	s.setShare(e, first, s.m.Shares[first.rank][first.slot]+1-sum)
}

// totalVariance returns the expected squared deviation of the rank loads from
// the mean load, relative to the mean and summed over the ranks. It consists of
// the predicted deviations and of the forecast variance of each replica's load.
// It falls when the most loaded rank loses load, when the least loaded rank
// gains load, and when a hot expert gets more replicas.
func (s *mapState) totalVariance() float64 {
	sum := 0.0
	for r := range s.rank {
		sum += s.squaredDeviation(r)
	}
	for e := range s.replicas {
		sum += s.forecastVariance(e)
	}
	return sum
}

// squaredDeviation returns the square of a rank's predicted deviation from the
// mean load, relative to the mean.
func (s *mapState) squaredDeviation(rank int) float64 {
	d := s.rank[rank]/s.mean - 1
	return d * d
}

// forecastVariance returns the variance that the forecast error of an expert's
// load adds to its ranks, relative to the squared mean load.
func (s *mapState) forecastVariance(e int) float64 {
	sum := 0.0
	for _, p := range s.replicas[e] {
		l := s.load[e] * s.m.Shares[p.rank][p.slot] / s.mean
		sum += l * l
	}
	return s.relVariance * sum
}

// clone returns a copy that can be changed independently. It shares load with
// s.
func (s *mapState) clone() *mapState {
	c := *s
	c.m = s.m.Clone()
	c.rank = slices.Clone(s.rank)
	c.replicas = make([][]slotRef, len(s.replicas))
	for e := range s.replicas {
		c.replicas[e] = slices.Clone(s.replicas[e])
	}
	c.levels = nil
	return &c
}
