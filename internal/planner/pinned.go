package planner

import (
	"slices"

	"github.com/kingcupreel/kingcupreel/internal/expertmap"
	"github.com/kingcupreel/kingcupreel/internal/fault"
)

// Pinned returns the map that an operator has pinned, given as the list of
// ranks of each expert. Replicas get equal shares, and an expert that a rank
// already holds keeps its slot. Pinned returns nil if the current map holds the
// same experts on the same ranks.
func Pinned(current *expertmap.Map, ranks [][]int) (*expertmap.Map, error) {
	shape := Shape{Ranks: len(current.Slots), Experts: current.Experts, Slots: len(current.Slots[0])}
	if len(ranks) != shape.Experts {
		return nil, fault.New(fault.Invalid, "list the ranks of every expert under pinned", "%d of %d experts are pinned", len(ranks), shape.Experts)
	}
	m := emptyMap(shape)
	for e, holders := range ranks {
		for _, r := range holders {
			if r < 0 || r >= shape.Ranks {
				return nil, fault.New(fault.Invalid, "pin experts only to ranks of the group", "expert %d is pinned to rank %d of %d", e, r, shape.Ranks)
			}
			s := slices.Index(m.Slots[r], expertmap.Empty)
			if s < 0 {
				return nil, fault.New(fault.Invalid, "pin no more experts to a rank than it has slots", "rank %d has only %d slots", r, shape.Slots)
			}
			m.Slots[r][s], m.Shares[r][s] = e, 1/float64(len(holders))
		}
	}
	if err := m.Validate(); err != nil {
		return nil, err
	}
	if MovedSlots(current, m) == 0 && MovedSlots(m, current) == 0 {
		return nil, nil
	}
	return alignAll(current, m), nil
}
