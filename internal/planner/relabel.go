package planner

import (
	"math"

	"github.com/kingcupreel/kingcupreel/internal/expertmap"
)

// RelabelRanks renames the ranks and orders the slots of next so that it differs from
// old in the fewest slots: the ranks by the assignment with the greatest
// overlap, the slots by keeping what both hold.
func RelabelRanks(old, next *expertmap.Map) *expertmap.Map {
	n := len(old.Slots)
	cost := make([][]float64, n)
	for r := range n {
		cost[r] = make([]float64, n)
		for q := range n {
			cost[r][q] = -float64(overlap(old.Slots[r], next.Slots[q]))
		}
	}
	matched := next.Clone()
	for r, q := range assign(cost) {
		matched.Slots[r], matched.Shares[r] = align(old.Slots[r], next.Slots[q], next.Shares[q])
	}
	return matched
}

// alignAll keeps in its slot what a rank holds in both maps.
func alignAll(old, next *expertmap.Map) *expertmap.Map {
	aligned := next.Clone()
	for r := range old.Slots {
		aligned.Slots[r], aligned.Shares[r] = align(old.Slots[r], next.Slots[r], next.Shares[r])
	}
	return aligned
}

func overlap(a, b []int) int {
	n := 0
	for _, e := range a {
		if e != expertmap.Empty && contains(b, e) {
			n++
		}
	}
	return n
}

func contains(slots []int, e int) bool {
	for _, x := range slots {
		if x == e {
			return true
		}
	}
	return false
}

// align orders the slots of a rank so that what it held stays in its slot.
func align(old, next []int, shares []float64) ([]int, []float64) {
	slots := make([]int, len(old))
	out := make([]float64, len(old))
	share := map[int]float64{}
	for i, e := range next {
		share[e] = shares[i]
	}
	var rest []int
	for _, e := range next {
		if e != expertmap.Empty && !contains(old, e) {
			rest = append(rest, e)
		}
	}
	for i, e := range old {
		switch {
		case e != expertmap.Empty && contains(next, e):
			slots[i] = e
		case len(rest) > 0:
			slots[i], rest = rest[0], rest[1:]
		default:
			slots[i] = expertmap.Empty
		}
		if slots[i] != expertmap.Empty {
			out[i] = share[slots[i]]
		}
	}
	return slots, out
}

// assign solves the assignment problem by the Hungarian method with
// potentials, in cubic time: it returns the column of each row with the least
// total cost.
func assign(cost [][]float64) []int {
	n := len(cost)
	u, v := make([]float64, n+1), make([]float64, n+1)
	row, way := make([]int, n+1), make([]int, n+1)
	for i := 1; i <= n; i++ {
		row[0] = i
		last := augment(cost, row, way, u, v)
		for last != 0 {
			row[last] = row[way[last]]
			last = way[last]
		}
	}
	columns := make([]int, n)
	for j := 1; j <= n; j++ {
		columns[row[j]-1] = j - 1
	}
	return columns
}

// augment finds the cheapest path from the row in column 0 to a free column
// and returns that column; way holds the path.
func augment(cost [][]float64, row, way []int, u, v []float64) int {
	n := len(cost)
	least := make([]float64, n+1)
	used := make([]bool, n+1)
	for j := range least {
		least[j] = math.Inf(1)
	}
	at := 0
	for row[at] != 0 {
		used[at] = true
		next, delta := 0, math.Inf(1)
		for j := 1; j <= n; j++ {
			if used[j] {
				continue
			}
			if c := cost[row[at]-1][j-1] - u[row[at]] - v[j]; c < least[j] {
				least[j], way[j] = c, at
			}
			if least[j] < delta {
				next, delta = j, least[j]
			}
		}
		for j := range used {
			if used[j] {
				u[row[j]] += delta
				v[j] -= delta
			} else {
				least[j] -= delta
			}
		}
		at = next
	}
	return at
}

// MovedSlots counts the slots of next whose rank did not hold the expert.
func MovedSlots(old, next *expertmap.Map) int {
	n := 0
	for r := range next.Slots {
		for _, e := range next.Slots[r] {
			if e != expertmap.Empty && !old.Holds(r, e) {
				n++
			}
		}
	}
	return n
}
