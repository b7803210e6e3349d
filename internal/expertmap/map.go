package expertmap

import "github.com/kingcupreel/kingcupreel/internal/fault"

// Empty marks a slot that holds no expert.
const Empty = -1

// Map records which experts the slots of each rank hold, and how the tokens of
// an expert are divided among its replicas.
type Map struct {
	// Version numbers the maps of a group; a later map has a higher version.
	Version int64 `json:"version"`
	// Experts is the number of experts per layer.
	Experts int `json:"experts"`
	// Slots holds the expert of each slot, or Empty, by rank and slot.
	Slots [][]int `json:"slots"`
	// Shares holds the fraction of the expert's tokens that each replica
	// processes, 0 to 1, by rank and slot. The shares of an expert add up to 1.
	Shares [][]float64 `json:"shares"`
}

// Clone returns a deep copy of m.
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

// Holds reports whether the rank holds the expert.
func (m *Map) Holds(rank, expert int) bool {
	for _, e := range m.Slots[rank] {
		if e == expert {
			return true
		}
	}
	return false
}

// shareTolerance is the rounding error allowed in the sum of an expert's
// shares.
const shareTolerance = 1e-6

// Validate returns an error for the first fault found: a slot with an unknown
// expert, an expert that is twice on a rank, a negative share, or an expert
// whose shares don't add up to 1. An expert that no rank holds has a sum of 0.
func (m *Map) Validate() error {
	sums := make([]float64, m.Experts)
	for r, slots := range m.Slots {
		seen := map[int]bool{}
		for s, e := range slots {
			if e == Empty {
				continue
			}
			if e < 0 || e >= m.Experts || seen[e] {
				return fault.New(fault.Invalid, "assign a different, existing expert to each slot of a rank", "rank %d slot %d holds expert %d, which is unknown or already on the rank", r, s, e)
			}
			seen[e] = true
			if m.Shares[r][s] < 0 {
				return fault.New(fault.Invalid, "use shares between 0 and 1", "rank %d slot %d has share %g", r, s, m.Shares[r][s])
			}
			sums[e] += m.Shares[r][s]
		}
	}
	for e, sum := range sums {
		if sum < 1-shareTolerance || sum > 1+shareTolerance {
			return fault.New(fault.Invalid, "place every expert, with shares that add up to 1", "the shares of expert %d add up to %g", e, sum)
		}
	}
	return nil
}

// versionsPerFence is the number of map versions available to each fencing
// number of the planner's lease.
const versionsPerFence = 1 << 20

// Version returns the n-th map version of the planner with the given fencing
// number; n starts at 1. Two planners never use the same version, and a later
// planner's versions are higher.
func Version(fence, n int64) int64 { return fence*versionsPerFence + n }
