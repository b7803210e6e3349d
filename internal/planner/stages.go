package planner

import (
	"time"

	"github.com/kingcupreel/kingcupreel/internal/expertmap"
)

const (
	// SwitchPause is the serving time that a group loses in one switch while
	// the ranks wait for the last vote before the step.
	SwitchPause = 2 * time.Millisecond
	// LoadSlowdown is the fraction of a group's speed that is lost while a rank
	// loads weights. The ranks run in lock-step, so one slower rank slows all
	// of them.
	LoadSlowdown = 0.03
)

// Cost is the cost of changing from one map to another.
type Cost struct {
	Moved    int
	Bytes    int64
	Switches int
	// LoadTime is the time for which the weight store is loading,
	// LostServingTime the serving time that the group loses.
	LoadTime, LostServingTime time.Duration
}

// MoveCost returns the cost of a change of map with a weight store of the given
// rate in bytes per second. Rate 0 means that loading takes no time.
func MoveCost(old, next *expertmap.Map, expertBytes, rate int64) Cost {
	c := Cost{Moved: MovedSlots(old, next)}
	c.Bytes = int64(c.Moved) * expertBytes
	c.Switches = len(Stages(old, next))
	if rate > 0 {
		c.LoadTime = time.Duration(float64(c.Bytes) / float64(rate) * float64(time.Second))
	}
	c.LostServingTime = time.Duration(c.Switches)*SwitchPause + time.Duration(LoadSlowdown*float64(c.LoadTime))
	return c
}

// Stages splits a change of map into stages that are switched one after
// another. A rank has one staging slot, so a stage changes at most one slot per
// rank. Every stage is a valid map that holds every expert, so that a plan may
// end after any of them. A change that no order of single-slot changes allows
// is one stage. Versions continue from old's.
func Stages(old, next *expertmap.Map) []*expertmap.Map {
	next = alignAll(old, next)
	var stages []*expertmap.Map
	for current := old; MovedSlots(current, next) > 0; {
		stage, changed := nextStage(current, next)
		if !changed {
			stage = next
		}
		stage = withVersion(stage, current.Version+1)
		stages = append(stages, stage)
		current = stage
	}
	if n := len(stages); n > 0 {
		stages[n-1] = withVersion(next, stages[n-1].Version)
		return stages
	}
	if sameShares(old, next) {
		return nil
	}
	return []*expertmap.Map{withVersion(next, old.Version+1)}
}

func withVersion(m *expertmap.Map, version int64) *expertmap.Map {
	c := m.Clone()
	c.Version = version
	return c
}

// nextStage returns a map in which one slot of each rank is changed towards
// next, and whether it moves any expert. A rank is left unchanged while its
// change would drop the last replica of an expert. If that blocks all ranks, as
// in an exchange of experts with a single replica, they are changed together.
func nextStage(current, next *expertmap.Map) (*expertmap.Map, bool) {
	stage := current.Clone()
	replicas := stage.Replicas()
	changed := false
	for r := range stage.Slots {
		for s, e := range stage.Slots[r] {
			wanted := next.Slots[r][s]
			if e == wanted || heldInOtherSlot(stage.Slots[r], s, wanted) {
				continue
			}
			if e != expertmap.Empty && replicas[e] < 2 {
				continue
			}
			setSlot(stage, replicas, slotRef{r, s}, wanted)
			changed = true
			break
		}
	}
	if !changed {
		changed = changeAllRanks(stage, next)
	}
	setStageShares(stage, next)
	return stage, changed
}

// heldInOtherSlot reports whether another slot than the given one holds expert
// e.
func heldInOtherSlot(slots []int, slot, e int) bool {
	for s, x := range slots {
		if s != slot && x == e && e != expertmap.Empty {
			return true
		}
	}
	return false
}

// setSlot puts the wanted expert into slot p and updates the replica counts.
func setSlot(stage *expertmap.Map, replicas []int, p slotRef, wanted int) {
	if e := stage.Slots[p.rank][p.slot]; e != expertmap.Empty {
		replicas[e]--
	}
	if wanted != expertmap.Empty {
		replicas[wanted]++
	}
	stage.Slots[p.rank][p.slot] = wanted
}

// changeAllRanks changes one slot of every rank that still differs from next,
// then undoes the changes that leave an expert without a replica. It reports
// whether any expert is moved.
func changeAllRanks(stage, next *expertmap.Map) bool {
	before := stage.Clone()
	for r := range stage.Slots {
		for s := range stage.Slots[r] {
			if stage.Slots[r][s] != next.Slots[r][s] {
				stage.Slots[r][s] = next.Slots[r][s]
				break
			}
		}
	}
	for restored := true; restored; {
		restored = false
		for e, n := range stage.Replicas() {
			if n > 0 {
				continue
			}
			restored = restoreReplica(stage, before, e) || restored
		}
	}
	return MovedSlots(before, stage) > 0
}

// restoreReplica undoes one change that removed expert e, and reports whether
// it found one.
func restoreReplica(stage, before *expertmap.Map, e int) bool {
	for r := range stage.Slots {
		for s, x := range before.Slots[r] {
			if x == e && stage.Slots[r][s] != e {
				stage.Slots[r][s] = e
				return true
			}
		}
	}
	return false
}

// setStageShares sets the shares of a stage: those of next for experts with the
// same replicas as in next, equal shares for the others.
func setStageShares(stage, next *expertmap.Map) {
	replicas := stage.Replicas()
	same := sameReplicas(stage, next)
	for r := range stage.Slots {
		for s, e := range stage.Slots[r] {
			switch {
			case e == expertmap.Empty:
				stage.Shares[r][s] = 0
			case same[e]:
				stage.Shares[r][s] = shareOf(next, r, e)
			default:
				stage.Shares[r][s] = 1 / float64(replicas[e])
			}
		}
	}
}

// sameReplicas returns, by expert, whether the same ranks hold it in both maps.
func sameReplicas(a, b *expertmap.Map) []bool {
	same := make([]bool, a.Experts)
	for e := range same {
		same[e] = true
	}
	for r := range a.Slots {
		for _, e := range a.Slots[r] {
			if e != expertmap.Empty && !b.Holds(r, e) {
				same[e] = false
			}
		}
		for _, e := range b.Slots[r] {
			if e != expertmap.Empty && !a.Holds(r, e) {
				same[e] = false
			}
		}
	}
	return same
}

// shareOf returns the share of an expert's replica on a rank, 0 if there is
// none.
func shareOf(m *expertmap.Map, rank, e int) float64 {
	for s, x := range m.Slots[rank] {
		if x == e {
			return m.Shares[rank][s]
		}
	}
	return 0
}

// sameShares reports whether all slots have the same shares in both maps.
func sameShares(a, b *expertmap.Map) bool {
	for r := range a.Shares {
		for s := range a.Shares[r] {
			if a.Shares[r][s] != b.Shares[r][s] {
				return false
			}
		}
	}
	return true
}
