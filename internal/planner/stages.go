package planner

import (
	"time"

	"github.com/kingcupreel/kingcupreel/internal/expertmap"
)

const (
	// SwitchPause is the serving time that a group loses in one switch: the
	// ranks wait for the last vote before the step.
	SwitchPause = 2 * time.Millisecond
	// LoadSlowdown is the part of a group's speed lost while a rank takes in
	// weights: the ranks run in lock-step, so one slower rank slows all.
	LoadSlowdown = 0.03
)

// Cost is what it takes to get from one map to another.
type Cost struct {
	Moved    int
	Bytes    int64
	Switches int
	// LoadTime is the time that the weight store takes, LostServingTime the serving
	// time that the group loses.
	LoadTime, LostServingTime time.Duration
}

// MoveCost returns the cost of a change of map through a weight store of the
// given rate in bytes a second; rate 0 means that loading takes no time.
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

// Stages splits a change of map into steps that each switch at once: a rank
// has one staging slot, so a stage changes at most one slot a rank. Every
// stage is a whole map that holds every expert, so that a plan may end after
// any of them. A change that no order of single slots allows is one stage.
func Stages(old, next *expertmap.Map) []*expertmap.Map {
	next = alignAll(old, next)
	var stages []*expertmap.Map
	for at := old; MovedSlots(at, next) > 0; {
		stage, changed := nextStage(at, next)
		if !changed {
			stage = next
		}
		stage = withVersion(stage, at.Version+1)
		stages = append(stages, stage)
		at = stage
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

// nextStage changes one slot of each rank towards next. A rank's change waits
// while it would drop the last replica of an expert; if every change waits, the
// ranks change together, as in an exchange of sole replicas.
func nextStage(at, next *expertmap.Map) (*expertmap.Map, bool) {
	stage := at.Clone()
	replicas := stage.Replicas()
	changed := false
	for r := range stage.Slots {
		for s, e := range stage.Slots[r] {
			want := next.Slots[r][s]
			if e == want || holdsOther(stage.Slots[r], s, want) {
				continue
			}
			if e != expertmap.Empty && replicas[e] < 2 {
				continue
			}
			change(stage, replicas, place{r, s}, want)
			changed = true
			break
		}
	}
	if !changed {
		changed = changeTogether(stage, next)
	}
	spread(stage, next)
	return stage, changed
}

func holdsOther(slots []int, slot, e int) bool {
	for s, x := range slots {
		if s != slot && x == e && e != expertmap.Empty {
			return true
		}
	}
	return false
}

func change(stage *expertmap.Map, replicas []int, p place, want int) {
	if e := stage.Slots[p.rank][p.slot]; e != expertmap.Empty {
		replicas[e]--
	}
	if want != expertmap.Empty {
		replicas[want]++
	}
	stage.Slots[p.rank][p.slot] = want
}

// changeTogether changes one slot of every rank that still differs and puts
// back whatever would leave an expert without a replica.
func changeTogether(stage, next *expertmap.Map) bool {
	before := stage.Clone()
	for r := range stage.Slots {
		for s := range stage.Slots[r] {
			if stage.Slots[r][s] != next.Slots[r][s] {
				stage.Slots[r][s] = next.Slots[r][s]
				break
			}
		}
	}
	for lost := true; lost; {
		lost = false
		for e, n := range stage.Replicas() {
			if n > 0 {
				continue
			}
			lost = putBack(stage, before, e) || lost
		}
	}
	return MovedSlots(before, stage) > 0
}

// putBack undoes one change that dropped an expert.
func putBack(stage, before *expertmap.Map, e int) bool {
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

// spread gives a stage the shares of next where it can, and equal ones where
// an expert's replicas differ from next's.
func spread(stage, next *expertmap.Map) {
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

func shareOf(m *expertmap.Map, rank, e int) float64 {
	for s, x := range m.Slots[rank] {
		if x == e {
			return m.Shares[rank][s]
		}
	}
	return 0
}

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
