package planner

import (
	"container/heap"
	"slices"

	"github.com/kingcupreel/kingcupreel/internal/expertmap"
)

// Shape is the size of a group. Slots is the number of slots per rank.
type Shape struct{ Ranks, Experts, Slots int }

// PlaceFromScratch places the experts without regard to a current map. It gives
// free slots to the experts with the highest load per replica, packs the
// replicas, heaviest first, onto the least loaded rank, and balances the
// shares.
func PlaceFromScratch(shape Shape, load []float64, split Split) *expertmap.Map {
	counts := countReplicas(shape, load)
	m := packReplicas(shape, load, counts)
	s := newMapState(m, load, split)
	for e := range s.replicas {
		s.setEqualShares(e)
	}
	s.balanceShares()
	return s.m
}

// hotQueue is a heap of experts, the highest load per replica first.
type hotQueue struct {
	load     []float64
	replicas []int
	experts  []int
}

// Len implements heap.Interface.
func (q *hotQueue) Len() int { return len(q.experts) }

// Less implements heap.Interface.
func (q *hotQueue) Less(i, j int) bool {
	return q.perReplica(q.experts[i]) > q.perReplica(q.experts[j])
}

// Swap implements heap.Interface.
func (q *hotQueue) Swap(i, j int) { q.experts[i], q.experts[j] = q.experts[j], q.experts[i] }

// Push implements heap.Interface.
func (q *hotQueue) Push(x any) { q.experts = append(q.experts, x.(int)) }

// Pop implements heap.Interface.
func (q *hotQueue) Pop() any {
	last := q.experts[len(q.experts)-1]
	q.experts = q.experts[:len(q.experts)-1]
	return last
}

func (q *hotQueue) perReplica(e int) float64 { return q.load[e] / float64(q.replicas[e]) }

// countReplicas returns the number of replicas to place of each expert. An
// expert has at most one replica per rank.
func countReplicas(shape Shape, load []float64) []int {
	q := &hotQueue{load: load, replicas: make([]int, shape.Experts)}
	for e := range shape.Experts {
		q.replicas[e] = 1
		q.experts = append(q.experts, e)
	}
	heap.Init(q)
	for freeSlots := shape.Ranks*shape.Slots - shape.Experts; freeSlots > 0 && q.Len() > 0; {
		e := q.experts[0]
		if q.replicas[e] == shape.Ranks {
			heap.Pop(q)
			continue
		}
		q.replicas[e]++
		freeSlots--
		heap.Fix(q, 0)
	}
	return q.replicas
}

// packReplicas places the replicas on ranks.
func packReplicas(shape Shape, load []float64, replicas []int) *expertmap.Map {
	m := emptyMap(shape)
	var pending []int
	for e, n := range replicas {
		pending = append(pending, slices.Repeat([]int{e}, n)...)
	}
	replicaLoad := func(e int) float64 { return load[e] / float64(replicas[e]) }
	slices.SortStableFunc(pending, func(a, b int) int {
		switch {
		case replicaLoad(a) > replicaLoad(b):
			return -1
		case replicaLoad(a) < replicaLoad(b):
			return 1
		}
		return a - b
	})
	// The last free slots are reserved for experts that have no replica yet.
	placed := make([]bool, shape.Experts)
	loads := make([]float64, shape.Ranks)
	used := make([]int, shape.Ranks)
	unplaced := shape.Experts
	for _, e := range pending {
		free := 0
		for _, u := range used {
			free += shape.Slots - u
		}
		if placed[e] && free <= unplaced {
			continue
		}
		r := lightestFreeRank(m, e, loads, used, shape.Slots)
		if r < 0 {
			continue
		}
		m.Slots[r][used[r]] = e
		used[r]++
		loads[r] += replicaLoad(e)
		if !placed[e] {
			placed[e] = true
			unplaced--
		}
	}
	return m
}

// lightestFreeRank returns the least loaded rank that has a free slot and does
// not hold the expert, or -1.
func lightestFreeRank(m *expertmap.Map, e int, loads []float64, used []int, slots int) int {
	best := -1
	for r := range loads {
		if used[r] == slots || m.Holds(r, e) {
			continue
		}
		if best < 0 || loads[r] < loads[best] {
			best = r
		}
	}
	return best
}

func emptyMap(shape Shape) *expertmap.Map {
	m := &expertmap.Map{Experts: shape.Experts}
	for range shape.Ranks {
		m.Slots = append(m.Slots, slices.Repeat([]int{expertmap.Empty}, shape.Slots))
		m.Shares = append(m.Shares, make([]float64, shape.Slots))
	}
	return m
}
