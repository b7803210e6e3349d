package planner

import (
	"math"
	"slices"

	"github.com/kingcupreel/kingcupreel/internal/expertmap"
)

// Split says how the tokens of an expert are divided among its replicas.
type Split string

// The ways to divide an expert's tokens.
const (
	// SplitWeighted lets the map set the share of each replica.
	SplitWeighted Split = "weighted"
	// SplitEqual gives each replica the same share, for engines that route by
	// round robin or hash.
	SplitEqual Split = "equal"
)

const (
	// maxSweeps and sweepTolerance end the search for the best shares: the
	// greatest change of a rank's load in a sweep, as a part of the mean.
	maxSweeps      = 400
	sweepTolerance = 1e-4
	// idlePart is the load, as a part of the mean rank's, below which an expert
	// is divided equally: levels would lose it in rounding.
	idlePart = 1e-6
	// forecastRisk is the variance of an expert's load about its forecast, as
	// a part of the load's square.
	forecastRisk = 0.03
)

// place is one slot of one rank.
type place struct{ rank, slot int }

// state is a map with its rank loads under a load per expert.
type state struct {
	split Split
	m     *expertmap.Map
	load  []float64
	// where lists the places of each expert, rank the load of each rank.
	where [][]place
	rank  []float64
	mean  float64
	risk  float64
	order []fillLevel
}

// fillLevel is the load of a rank without the expert being divided.
type fillLevel struct {
	place
	base float64
}

func newState(m *expertmap.Map, load []float64, split Split) *state {
	s := &state{split: split, m: m.Clone(), load: load, risk: forecastRisk}

	s.where = make([][]place, m.Experts)
	s.rank = make([]float64, len(m.Slots))
	for r, slots := range m.Slots {
		for i, e := range slots {
			if e == expertmap.Empty {
				continue
			}
			s.where[e] = append(s.where[e], place{r, i})
			s.rank[r] += load[e] * m.Shares[r][i]
		}
	}
	for _, l := range load {
		s.mean += l / float64(len(s.rank))
	}
	return s
}

// Skew returns the skew of rank loads, 0 for an idle group.
func Skew(ranks []float64) float64 {
	sum := 0.0
	for _, l := range ranks {
		sum += l
	}
	if sum == 0 {
		return 0
	}
	return (slices.Max(ranks) - slices.Min(ranks)) * float64(len(ranks)) / sum
}

// RankLoads returns the load of each rank under a map.
func RankLoads(m *expertmap.Map, load []float64) []float64 {
	ranks := make([]float64, len(m.Slots))
	for r, slots := range m.Slots {
		for i, e := range slots {
			if e != expertmap.Empty {
				ranks[r] += load[e] * m.Shares[r][i]
			}
		}
	}
	return ranks
}

// setShare changes a replica's share and its rank's load.
func (s *state) setShare(e int, p place, share float64) {
	old := s.m.Shares[p.rank][p.slot]
	s.m.Shares[p.rank][p.slot] = share
	s.rank[p.rank] += s.load[e] * (share - old)
}

// divide sets the shares of one expert and returns the greatest change of a
// rank's load.
func (s *state) divide(e int) float64 {
	if s.split == SplitEqual || s.load[e] <= idlePart*s.mean {
		return s.divideEqually(e)
	}
	return s.divideLevel(e)
}

func (s *state) divideEqually(e int) float64 {
	share := 1 / float64(len(s.where[e]))
	change := 0.0
	for _, p := range s.where[e] {
		change = max(change, math.Abs(share-s.m.Shares[p.rank][p.slot])*s.load[e])
		s.setShare(e, p, share)
	}
	return change
}

// divideLevel raises the lightest of the expert's ranks towards a common level.
// A replica's load counts as risk too, so the rise is a little less than the
// distance and the load spreads over more replicas.
func (s *state) divideLevel(e int) float64 {
	s.order = s.order[:0]
	for _, p := range s.where[e] {
		s.order = append(s.order, fillLevel{p, s.rank[p.rank] - s.load[e]*s.m.Shares[p.rank][p.slot]})
	}
	slices.SortFunc(s.order, func(a, b fillLevel) int {
		if a.base < b.base {
			return -1
		}
		return 1
	})
	slope := 1 + s.risk
	level, filled := 0.0, 0.0
	for i, l := range s.order {
		if i > 0 && l.base >= level {
			break
		}
		filled += l.base
		level = (slope*s.load[e] + filled) / float64(i+1)
	}
	change := 0.0
	for _, l := range s.order {
		share := max(level-l.base, 0) / slope / s.load[e]
		change = max(change, math.Abs(share-s.m.Shares[l.rank][l.slot])*s.load[e])
		s.setShare(e, l.place, share)
	}
	return change
}

// balance sets all shares: the spread falls with every division.
func (s *state) balance() {
	for range maxSweeps {
		change := 0.0
		for e := range s.where {
			if len(s.where[e]) > 1 {
				change = max(change, s.divide(e))
			}
		}
		if change <= sweepTolerance*s.mean {
			return
		}
	}
}

// replace puts expert y into a slot, keeps the shares whole and divides the
// two experts anew. The slot's old expert must have another replica.
func (s *state) replace(p place, y int) {
	x := s.m.Slots[p.rank][p.slot]
	if x != expertmap.Empty {
		s.setShare(x, p, 0)
		s.where[x] = slices.DeleteFunc(s.where[x], func(q place) bool { return q == p })
	}
	s.m.Slots[p.rank][p.slot] = y
	s.where[y] = append(s.where[y], p)
	if x != expertmap.Empty {
		s.restore(x)
		s.divide(x)
	}
	s.divide(y)
}

// swap exchanges the experts of two slots.
func (s *state) swap(p, q place) {
	x, y := s.m.Slots[p.rank][p.slot], s.m.Slots[q.rank][q.slot]
	xs, ys := s.m.Shares[p.rank][p.slot], s.m.Shares[q.rank][q.slot]
	s.setShare(x, p, 0)
	s.setShare(y, q, 0)
	s.m.Slots[p.rank][p.slot], s.m.Slots[q.rank][q.slot] = y, x
	s.where[x][slices.Index(s.where[x], p)] = q
	s.where[y][slices.Index(s.where[y], q)] = p
	s.setShare(y, p, ys)
	s.setShare(x, q, xs)
	s.divide(x)
	s.divide(y)
}

// restore makes the shares of an expert add up to 1 again.
func (s *state) restore(e int) {
	sum := 0.0
	for _, p := range s.where[e] {
		sum += s.m.Shares[p.rank][p.slot]
	}
	first := s.where[e][0]
	s.setShare(e, first, s.m.Shares[first.rank][first.slot]+1-sum)
}

// spread is the expected squared deviation of the rank loads from the mean,
// over the mean: what is predicted, and the risk that each replica's load
// turns out otherwise. It falls when the heaviest rank is relieved, when the
// lightest is lifted, and when a hot expert has more replicas.
func (s *state) spread() float64 {
	sum := 0.0
	for r := range s.rank {
		sum += s.deviation(r)
	}
	for e := range s.where {
		sum += s.exposure(e)
	}
	return sum
}

func (s *state) deviation(rank int) float64 {
	d := s.rank[rank]/s.mean - 1
	return d * d
}

// exposure is the risk that an expert's load brings to its ranks.
func (s *state) exposure(e int) float64 {
	sum := 0.0
	for _, p := range s.where[e] {
		l := s.load[e] * s.m.Shares[p.rank][p.slot] / s.mean
		sum += l * l
	}
	return s.risk * sum
}

func (s *state) clone() *state {
	c := *s
	c.m = s.m.Clone()
	c.rank = slices.Clone(s.rank)
	c.where = make([][]place, len(s.where))
	for e := range s.where {
		c.where[e] = slices.Clone(s.where[e])
	}
	c.order = nil
	return &c
}
