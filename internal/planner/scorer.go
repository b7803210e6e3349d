package planner

import (
	"slices"

	"github.com/kingcupreel/kingcupreel/internal/expertmap"
)

// moveScorer scores moves on a copy of a state and keeps the best ones, sorted
// by score, in best.
type moveScorer struct {
	s    *mapState
	best []scoredMove
	// saved and touched hold the shares and rank loads before a move, to undo
	// it.
	saved   []savedShare
	touched touchedRanks
}

// savedShare is a slot's share before a move.
type savedShare struct {
	slotRef
	expert int
	share  float64
}

func newMoveScorer(s *mapState) *moveScorer { return &moveScorer{s: s.clone()} }

// scoreReplicas scores placing an expert in each slot of a rank that is empty
// or whose expert has another replica.
func (p *moveScorer) scoreReplicas(rank, expert int) {
	if expert == expertmap.Empty || p.s.m.Holds(rank, expert) {
		return
	}
	for slot, x := range p.s.m.Slots[rank] {
		if x != expertmap.Empty && len(p.s.replicas[x]) < 2 {
			continue
		}
		p.score(move{target: slotRef{rank, slot}, expert: expert})
	}
}

// scoreSwaps scores exchanging each expert of a rank with each of another rank.
func (p *moveScorer) scoreSwaps(rank int) {
	for slot, x := range p.s.m.Slots[rank] {
		for q := range p.s.rank {
			if q == rank || x == expertmap.Empty || p.s.m.Holds(q, x) {
				continue
			}
			for other, y := range p.s.m.Slots[q] {
				if y == expertmap.Empty || p.s.m.Holds(rank, y) {
					continue
				}
				p.score(move{target: slotRef{rank, slot}, partner: slotRef{q, other}, swap: true})
			}
		}
	}
}

// score applies a move, measures by how much it lowers the variance of the
// ranks and experts that it affects, and undoes it.
func (p *moveScorer) score(m move) {
	x := p.s.m.Slots[m.target.rank][m.target.slot]
	y := m.expert
	if m.swap {
		y = p.s.m.Slots[m.partner.rank][m.partner.slot]
	}
	p.save(x, y, m)
	before := p.partialVariance(x, y)
	p.s.apply(m)
	gain := (before - p.partialVariance(x, y)) / float64(m.cost())
	p.undo(x, y, m)
	p.addToShortlist(scoredMove{m, gain})
}

// addToShortlist inserts a move by score and drops moves beyond shortlistSize.
func (p *moveScorer) addToShortlist(c scoredMove) {
	if c.score <= 0 || (len(p.best) == shortlistSize && c.score <= p.best[shortlistSize-1].score) {
		return
	}
	at, _ := slices.BinarySearchFunc(p.best, c, func(a, b scoredMove) int {
		if a.score > b.score {
			return -1
		}
		return 1
	})
	p.best = slices.Insert(p.best, at, c)
	p.best = p.best[:min(len(p.best), shortlistSize)]
}

// touchedRank is a rank whose load a move changes, with its load before the
// move.
type touchedRank struct {
	rank int
	load float64
}

type touchedRanks []touchedRank

// add appends a rank unless it is listed already.
func (t touchedRanks) add(rank int, load float64) touchedRanks {
	for _, o := range t {
		if o.rank == rank {
			return t
		}
	}
	return append(t, touchedRank{rank, load})
}

// save records the state that a move of the experts x and y changes.
func (p *moveScorer) save(x, y int, m move) {
	p.saved = p.saved[:0]
	for _, e := range []int{x, y} {
		if e == expertmap.Empty {
			continue
		}
		for _, q := range p.s.replicas[e] {
			p.saved = append(p.saved, savedShare{q, e, p.s.m.Shares[q.rank][q.slot]})
		}
	}
	p.touched = p.touched[:0].add(m.target.rank, p.s.rank[m.target.rank])
	for _, q := range p.saved {
		p.touched = p.touched.add(q.rank, p.s.rank[q.rank])
	}
}

// partialVariance returns the part of the total variance that is due to the
// touched ranks and to the experts x and y.
func (p *moveScorer) partialVariance(x, y int) float64 {
	sum := p.s.forecastVariance(y)
	if x != expertmap.Empty {
		sum += p.s.forecastVariance(x)
	}
	for _, o := range p.touched {
		sum += p.s.squaredDeviation(o.rank)
	}
	return sum
}

// undo restores the slots, shares and rank loads that save recorded.
func (p *moveScorer) undo(x, y int, m move) {
	p.s.m.Slots[m.target.rank][m.target.slot] = x
	if m.swap {
		p.s.m.Slots[m.partner.rank][m.partner.slot] = y
	}
	p.s.m.Shares[m.target.rank][m.target.slot] = 0
	for _, e := range []int{x, y} {
		if e != expertmap.Empty {
			p.s.replicas[e] = p.s.replicas[e][:0]
		}
	}
	for _, q := range p.saved {
		p.s.replicas[q.expert] = append(p.s.replicas[q.expert], q.slotRef)
		p.s.m.Shares[q.rank][q.slot] = q.share
	}
	for _, o := range p.touched {
		p.s.rank[o.rank] = o.load
	}
}
