package planner

import (
	"container/heap"
	"slices"

	"github.com/kingcupreel/kingcupreel/internal/expertmap"
)

// Shape is the size of a group.
type Shape struct{ Ranks, Experts, Slots int }

// PlaceFromScratch places the experts anew: it gives the free slots to the experts with
// the greatest load a replica, packs the replicas, heaviest first, onto the
// lightest rank, and divides the load. It knows nothing of a map in force.
func PlaceFromScratch(shape Shape, load []float64, split Split) *expertmap.Map {
	replicas := replicate(shape, load)
	m := pack(shape, load, replicas)
	s := newState(m, load, split)
	for e := range s.where {
		s.divideEqually(e)
	}
	s.balance()
	return s.m
}

// hotQueue orders experts by load a replica, greatest first.
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

// replicate returns the number of replicas of each expert.
func replicate(shape Shape, load []float64) []int {
	q := &hotQueue{load: load, replicas: make([]int, shape.Experts)}
	for e := range shape.Experts {
		q.replicas[e] = 1
		q.experts = append(q.experts, e)
	}
	heap.Init(q)
	for spare := shape.Ranks*shape.Slots - shape.Experts; spare > 0 && q.Len() > 0; {
		e := q.experts[0]
		if q.replicas[e] == shape.Ranks {
			heap.Pop(q)
			continue
		}
		q.replicas[e]++
		spare--
		heap.Fix(q, 0)
	}
	return q.replicas
}

// pack puts the replicas onto ranks.
func pack(shape Shape, load []float64, replicas []int) *expertmap.Map {
	m := newMap(shape)
	var items []int
	for e, n := range replicas {
		items = append(items, slices.Repeat([]int{e}, n)...)
	}
	weight := func(e int) float64 { return load[e] / float64(replicas[e]) }
	slices.SortStableFunc(items, func(a, b int) int {
		switch {
		case weight(a) > weight(b):
			return -1
		case weight(a) < weight(b):
			return 1
		}
		return a - b
	})
	// The first replica of each expert has a place before any second one.
	placed := make([]bool, shape.Experts)
	ranks := make([]float64, shape.Ranks)
	used := make([]int, shape.Ranks)
	left := shape.Experts
	for _, e := range items {
		free := 0
		for _, u := range used {
			free += shape.Slots - u
		}
		if placed[e] && free <= left {
			continue
		}
		r := lightest(m, e, ranks, used, shape.Slots)
		if r < 0 {
			continue
		}
		m.Slots[r][used[r]] = e
		used[r]++
		ranks[r] += weight(e)
		if !placed[e] {
			placed[e] = true
			left--
		}
	}
	return m
}

// lightest returns the lightest rank that has a free slot and does not hold
// the expert, or -1.
func lightest(m *expertmap.Map, e int, ranks []float64, used []int, slots int) int {
	best := -1
	for r := range ranks {
		if used[r] == slots || m.Holds(r, e) {
			continue
		}
		if best < 0 || ranks[r] < ranks[best] {
			best = r
		}
	}
	return best
}

func newMap(shape Shape) *expertmap.Map {
	m := &expertmap.Map{Experts: shape.Experts}
	for range shape.Ranks {
		m.Slots = append(m.Slots, slices.Repeat([]int{expertmap.Empty}, shape.Slots))
		m.Shares = append(m.Shares, make([]float64, shape.Slots))
	}
	return m
}
