package planner

import (
	"math"

	"github.com/kingcupreel/kingcupreel/internal/expertmap"
)

// RelabelRanks reassigns the slot lists of next to ranks, and reorders the
// slots of each, so that next differs from old in the fewest slots. Ranks are
// matched by the assignment with the greatest overlap; an expert that a rank
// holds in both maps keeps its slot.
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

// alignAll reorders the slots of each rank of next so that an expert that the
// rank holds in both maps keeps its slot.
func alignAll(old, next *expertmap.Map) *expertmap.Map {
	aligned := next.Clone()
	for r := range old.Slots {
		aligned.Slots[r], aligned.Shares[r] = align(old.Slots[r], next.Slots[r], next.Shares[r])
	}
	return aligned
}

// overlap counts the experts that are in both slot lists.
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
	for _, held := range slots {
		if held == e {
			return true
		}
	}
	return false
}

// align reorders the slots of one rank so that an expert that the rank held
// before keeps its slot, and returns the slots with their shares.
func align(old, next []int, shares []float64) ([]int, []float64) {
	slots := make([]int, len(old))
	slotShares := make([]float64, len(old))
	share := map[int]float64{}
	for i, e := range next {
		share[e] = shares[i]
	}
	var arriving []int
	for _, e := range next {
		if e != expertmap.Empty && !contains(old, e) {
			arriving = append(arriving, e)
		}
	}
	for i, e := range old {
		switch {
		case e != expertmap.Empty && contains(next, e):
			slots[i] = e
		case len(arriving) > 0:
			slots[i], arriving = arriving[0], arriving[1:]
		default:
			slots[i] = expertmap.Empty
		}
		if slots[i] != expertmap.Empty {
			slotShares[i] = share[slots[i]]
		}
	}
	return slots, slotShares
}

// assign solves the assignment problem with the Hungarian algorithm with
// potentials, in O(n³). It returns the column assigned to each row such that
// the total cost is least.
func assign(cost [][]float64) []int {
	n := len(cost)
	u, v := make([]float64, n+1), make([]float64, n+1)
	row, previous := make([]int, n+1), make([]int, n+1)
	for i := 1; i <= n; i++ {
		row[0] = i
		last := augment(cost, row, previous, u, v)
		for last != 0 {
			row[last] = row[previous[last]]
			last = previous[last]
		}
	}
	columns := make([]int, n)
	for j := 1; j <= n; j++ {
		columns[row[j]-1] = j - 1
	}
	return columns
}

// augment finds the cheapest augmenting path from the row in column 0 to a free
// column and returns that column. previous holds the column before each column
// on the path; u and v are the potentials of rows and columns.
func augment(cost [][]float64, row, previous []int, u, v []float64) int {
	n := len(cost)
	least := make([]float64, n+1)
	used := make([]bool, n+1)
	for j := range least {
		least[j] = math.Inf(1)
	}
	column := 0
	for row[column] != 0 {
		used[column] = true
		next, delta := 0, math.Inf(1)
		for j := 1; j <= n; j++ {
			if used[j] {
				continue
			}
			if c := cost[row[column]-1][j-1] - u[row[column]] - v[j]; c < least[j] {
				least[j], previous[j] = c, column
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
		column = next
	}
	return column
}

// MovedSlots counts the slots of next that hold an expert that their rank does
// not hold in old.
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
