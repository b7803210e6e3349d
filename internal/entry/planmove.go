package entry

import (
	"context"
	"slices"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/expertmap"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

const (
	// voteTime is how far ahead, in serving time, the step of a switch lies:
	// the votes of all ranks arrive before it.
	voteTime = 500 * time.Millisecond
	// minAhead is the least number of steps ahead.
	minAhead = 4
)

// planMove is a move in progress: the stages to come, the first of them being
// staged or, once ordered is set, switched to.
type planMove struct {
	stages  []*expertmap.Map
	ordered *expertmap.SwitchID
}

// advance takes the move a step further. Orders are idempotent and sent until
// they are seen to have worked; every one carries the fencing number.
func (g *groupPlanner) advance(ctx context.Context, ranks []*wire.MapAnswer) {
	m := g.move
	target := m.stages[0]
	if every(ranks, func(a *wire.MapAnswer) bool { return a.Status.Active == target.Version }) {
		m.stages, m.ordered = m.stages[1:], nil
		if len(m.stages) == 0 {
			g.move = nil
			g.note("idle", "the move is complete")
		}
		return
	}
	if m.ordered != nil {
		g.watchSwitch(ctx, ranks)
		return
	}
	if !every(ranks, func(a *wire.MapAnswer) bool { return slices.Contains(a.Status.Staged, target.Version) }) {
		g.note("staging", "")
		g.send(ctx, func(nonce uint64) wire.Message {
			return &wire.MapStage{Nonce: nonce, Group: g.group, Fence: g.tenure, Map: *target}
		})
		return
	}
	m.ordered = &expertmap.SwitchID{Round: ranks[0].Status.Round, Version: target.Version, Step: switchStep(ranks)}
	g.order(ctx)
}

// watchSwitch repeats the order until the step has come. A switch that did not
// happen ends the move: the group runs on the map it has.
func (g *groupPlanner) watchSwitch(ctx context.Context, ranks []*wire.MapAnswer) {
	id := *g.move.ordered
	passed := id.Step != expertmap.RestartStep && every(ranks, func(a *wire.MapAnswer) bool { return a.Status.Completed >= id.Step && a.Status.Active < id.Version })
	if passed || ranks[0].Status.Round != id.Round {
		g.move = nil
		g.entry.count("planner.switches_failed")
		g.note("idle", "the switch did not happen")
		return
	}
	g.order(ctx)
}

func (g *groupPlanner) order(ctx context.Context) {
	id := *g.move.ordered
	g.note("switching", "")
	g.send(ctx, func(nonce uint64) wire.Message {
		return &wire.MapSwitch{Nonce: nonce, Group: g.group, Fence: g.tenure, ID: id}
	})
}

// send gives an order, if the lease still holds just before.
func (g *groupPlanner) send(ctx context.Context, message func(nonce uint64) wire.Message) {
	if !g.holder.Held() || g.holder.Fence() != g.tenure {
		return
	}
	g.entry.askRanks(ctx, g.group, message)
}

func every(ranks []*wire.MapAnswer, ok func(*wire.MapAnswer) bool) bool {
	return !slices.ContainsFunc(ranks, func(a *wire.MapAnswer) bool { return !ok(a) })
}

// switchStep chooses the step of a switch so far ahead that the votes arrive
// first. A group with an engine that can't hold is restarted instead.
func switchStep(ranks []*wire.MapAnswer) int64 {
	if !every(ranks, func(a *wire.MapAnswer) bool { return !a.Status.NoHold }) {
		return expertmap.RestartStep
	}
	var next, micros int64
	for _, a := range ranks {
		next = max(next, a.Status.Next)
		micros = max(micros, a.StepMicros)
	}
	ahead := int64(minAhead)
	if micros > 0 {
		ahead = max(ahead, voteTime.Microseconds()/micros)
	}
	return next + ahead
}
