package expertmap

import "github.com/kingcupreel/kingcupreel/internal/fault"

// Empty marks a slot that holds no expert.
const Empty = -1

// Map says which experts the slots of each rank hold, and how the tokens of an
// expert are divided among its replicas.
type Map struct {
	// Version counts the maps of a group; a later map has a higher one.
	Version int64 `json:"version"`
	// Experts is the number of experts a layer.
	Experts int `json:"experts"`
	// Slots holds, by rank and slot, the expert held or Empty.
	Slots [][]int `json:"slots"`
	// Shares holds, by rank and slot, the part of the expert's tokens that
	// this replica takes, 0 to 1. The shares of an expert add up to 1.
	Shares [][]float64 `json:"shares"`
}

// Clone returns a copy that shares nothing with m.
func (m *Map) Clone() *Map {
	c := &Map{Version: m.Version, Experts: m.Experts}
	for r := range m.Slots {
		c.Slots = append(c.Slots, append([]int(nil), m.Slots[r]...))
		c.Shares = append(c.Shares, append([]float64(nil), m.Shares[r]...))
	}
	return c
}

// Replicas returns the number of slots that hold each expert.
func (m *Map) Replicas() []int {
	n := make([]int, m.Experts)
	for _, slots := range m.Slots {
		for _, e := range slots {
			if e != Empty {
				n[e]++
			}
		}
	}
	return n
}

// Holds says whether a rank holds an expert.
func (m *Map) Holds(rank, expert int) bool {
	for _, e := range m.Slots[rank] {
		if e == expert {
			return true
		}
	}
	return false
}

// shareTolerance is the rounding that the sum of an expert's shares may have.
const shareTolerance = 1e-6

// Validate reports the first fault: an expert that no rank holds, one that is
// twice on a rank, or shares that do not add up.
func (m *Map) Validate() error {
	sums := make([]float64, m.Experts)
	for r, slots := range m.Slots {
		seen := map[int]bool{}
		for s, e := range slots {
			if e == Empty {
				continue
			}
			if e < 0 || e >= m.Experts || seen[e] {
				return fault.New(fault.Invalid, "give each slot of a rank another expert of the layer", "rank %d slot %d holds expert %d", r, s, e)
			}
			seen[e] = true
			if m.Shares[r][s] < 0 {
				return fault.New(fault.Invalid, "give shares of 0 to 1", "rank %d slot %d has share %g", r, s, m.Shares[r][s])
			}
			sums[e] += m.Shares[r][s]
		}
	}
	for e, sum := range sums {
		if sum < 1-shareTolerance || sum > 1+shareTolerance {
			return fault.New(fault.Invalid, "hold every expert, with shares that add up to 1", "the shares of expert %d add up to %g", e, sum)
		}
	}
	return nil
}

// versionsPerFence is the number of versions that one holder of the planner's
// lease may use.
const versionsPerFence = 1 << 20

// Version returns the n-th version of the planner with a fencing number, n from
// 1. Two planners never use the same version, and a later one's are higher.
func Version(fence, n int64) int64 { return fence*versionsPerFence + n }
