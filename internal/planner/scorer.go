package planner

import (
	"slices"

	"github.com/kingcupreel/kingcupreel/internal/expertmap"
)

// probe scores moves on a scratch copy of a state and keeps the best.
type probe struct {
	s    *state
	best []scored
	// saved holds what a move changed, so that it can be taken back.
	saved   []savedShare
	touched touchedRanks
}

// savedShare is a slot's share before a move.
type savedShare struct {
	place
	expert int
	share  float64
}

func newProbe(s *state) *probe { return &probe{s: s.clone()} }

// replicas scores putting an expert into each slot of a rank whose present
// expert has another replica.
func (p *probe) replicas(rank, expert int) {
	if expert == expertmap.Empty || p.s.m.Holds(rank, expert) {
		return
	}
	for slot, x := range p.s.m.Slots[rank] {
		if x != expertmap.Empty && len(p.s.where[x]) < 2 {
			continue
		}
		p.score(move{at: place{rank, slot}, expert: expert})
	}
}

// swaps scores exchanging each expert of a rank with one of another rank.
func (p *probe) swaps(rank int) {
	for slot, x := range p.s.m.Slots[rank] {
		for q := range p.s.rank {
			if q == rank || x == expertmap.Empty || p.s.m.Holds(q, x) {
				continue
			}
			for other, y := range p.s.m.Slots[q] {
				if y == expertmap.Empty || p.s.m.Holds(rank, y) {
					continue
				}
				p.score(move{at: place{rank, slot}, with: place{q, other}, swap: true})
			}
		}
	}
}

// score applies a move, measures the spread of the ranks it touched and takes
// it back.
func (p *probe) score(m move) {
	x := p.s.m.Slots[m.at.rank][m.at.slot]
	y := m.expert
	if m.swap {
		y = p.s.m.Slots[m.with.rank][m.with.slot]
	}
	p.save(x, y, m)
	before := p.part(x, y)
	p.s.apply(m)
	gain := (before - p.part(x, y)) / float64(m.cost())
	p.undo(x, y, m)
	p.keep(scored{m, gain})
}

// keep inserts a move into the shortlist.
func (p *probe) keep(c scored) {
	if c.score <= 0 || (len(p.best) == shortlist && c.score <= p.best[shortlist-1].score) {
		return
	}
	at, _ := slices.BinarySearchFunc(p.best, c, func(a, b scored) int {
		if a.score > b.score {
			return -1
		}
		return 1
	})
	p.best = slices.Insert(p.best, at, c)
	p.best = p.best[:min(len(p.best), shortlist)]
}

// touchedRank is a rank whose load a move changes, with its load before.
type touchedRank struct {
	rank int
	load float64
}

type touchedRanks []touchedRank

// add records a rank once.
func (t touchedRanks) add(rank int, load float64) touchedRanks {
	for _, o := range t {
		if o.rank == rank {
			return t
		}
	}
	return append(t, touchedRank{rank, load})
}

// save records what a move of the experts x and y changes.
func (p *probe) save(x, y int, m move) {
	p.saved = p.saved[:0]
	for _, e := range []int{x, y} {
		if e == expertmap.Empty {
			continue
		}
		for _, q := range p.s.where[e] {
			p.saved = append(p.saved, savedShare{q, e, p.s.m.Shares[q.rank][q.slot]})
		}
	}
	p.touched = p.touched[:0].add(m.at.rank, p.s.rank[m.at.rank])
	for _, q := range p.saved {
		p.touched = p.touched.add(q.rank, p.s.rank[q.rank])
	}
}

// part is the share of the spread that the touched ranks and the experts x and
// y make up.
func (p *probe) part(x, y int) float64 {
	sum := p.s.exposure(y)
	if x != expertmap.Empty {
		sum += p.s.exposure(x)
	}
	for _, o := range p.touched {
		sum += p.s.deviation(o.rank)
	}
	return sum
}

// undo puts slots, shares and rank loads back.
func (p *probe) undo(x, y int, m move) {
	p.s.m.Slots[m.at.rank][m.at.slot] = x
	if m.swap {
		p.s.m.Slots[m.with.rank][m.with.slot] = y
	}
	p.s.m.Shares[m.at.rank][m.at.slot] = 0
	for _, e := range []int{x, y} {
		if e != expertmap.Empty {
			p.s.where[e] = p.s.where[e][:0]
		}
	}
	for _, q := range p.saved {
		p.s.where[q.expert] = append(p.s.where[q.expert], q.place)
		p.s.m.Shares[q.rank][q.slot] = q.share
	}
	for _, o := range p.touched {
		p.s.rank[o.rank] = o.load
	}
}
