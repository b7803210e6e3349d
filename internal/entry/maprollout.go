package entry

import (
	"context"
	"slices"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/expertmap"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

const (
	// voteLeadTime is how far ahead, in serving time, the step of a switch is
	// set, so that the votes of all ranks arrive before it.
	voteLeadTime = 500 * time.Millisecond
	// minVoteLeadSteps is the least number of steps that a switch is set ahead.
	minVoteLeadSteps = 4
)

// mapRollout is a rollout in progress. The first of its stages is being staged
// at the ranks or, once switchID is set, switched to.
type mapRollout struct {
	stages   []*expertmap.Map
	switchID *expertmap.SwitchID
}

// advanceRollout sends the orders that bring the rollout forward. Orders are
// idempotent; they carry the fencing number and are sent again until the ranks'
// state shows their effect.
func (g *groupPlanner) advanceRollout(ctx context.Context, ranks []*wire.MapAnswer) {
	current := g.rollout
	target := current.stages[0]
	if allRanks(ranks, func(a *wire.MapAnswer) bool { return a.Status.Active == target.Version }) {
		current.stages, current.switchID = current.stages[1:], nil
		if len(current.stages) == 0 {
			g.rollout = nil
			g.setState("idle", "the new map is in force")
		}
		return
	}
	if current.switchID != nil {
		g.checkSwitch(ctx, ranks)
		return
	}
	if !allRanks(ranks, func(a *wire.MapAnswer) bool { return slices.Contains(a.Status.Staged, target.Version) }) {
		g.setState("staging", "")
		g.sendOrder(ctx, func(nonce uint64) wire.Message {
			return &wire.MapStage{Nonce: nonce, Group: g.group, Fence: g.fence, Map: *target}
		})
		return
	}
	current.switchID = &expertmap.SwitchID{Round: ranks[0].Status.Round, Version: target.Version, Step: switchStep(ranks)}
	g.orderSwitch(ctx)
}

// checkSwitch sends the order to switch again until the ranks have reached its
// step. If the switch was not carried out, the rollout ends and the group keeps
// its current map.
func (g *groupPlanner) checkSwitch(ctx context.Context, ranks []*wire.MapAnswer) {
	id := *g.rollout.switchID
	passed := id.Step != expertmap.RestartStep && allRanks(ranks, func(a *wire.MapAnswer) bool { return a.Status.Completed >= id.Step && a.Status.Active < id.Version })
	if passed || ranks[0].Status.Round != id.Round {
		g.rollout = nil
		g.entry.count("planner.switches_failed")
		g.setState("idle", "the switch was not carried out; the group keeps its current map")
		return
	}
	g.orderSwitch(ctx)
}

// orderSwitch sends the order to switch to the first stage.
func (g *groupPlanner) orderSwitch(ctx context.Context) {
	id := *g.rollout.switchID
	g.setState("switching", "")
	g.sendOrder(ctx, func(nonce uint64) wire.Message {
		return &wire.MapSwitch{Nonce: nonce, Group: g.group, Fence: g.fence, ID: id}
	})
}

// sendOrder sends an order to the ranks if this leadership still holds the
// lease.
func (g *groupPlanner) sendOrder(ctx context.Context, message func(nonce uint64) wire.Message) {
	if !g.holder.Held() || g.holder.Fence() != g.fence {
		return
	}
	g.entry.queryRanks(ctx, g.group, message)
}

// allRanks reports whether ok holds for every rank's answer.
func allRanks(ranks []*wire.MapAnswer, ok func(*wire.MapAnswer) bool) bool {
	return !slices.ContainsFunc(ranks, func(a *wire.MapAnswer) bool { return !ok(a) })
}

// switchStep returns the step to switch at, far enough ahead that all votes
// arrive before it. A group with an engine that can't hold before a step
// switches by a restart instead.
func switchStep(ranks []*wire.MapAnswer) int64 {
	if !allRanks(ranks, func(a *wire.MapAnswer) bool { return !a.Status.NoHold }) {
		return expertmap.RestartStep
	}
	var next, micros int64
	for _, a := range ranks {
		next = max(next, a.Status.Next)
		micros = max(micros, a.StepMicros)
	}
	leadSteps := int64(minVoteLeadSteps)
	if micros > 0 {
		leadSteps = max(leadSteps, voteLeadTime.Microseconds()/micros)
	}
	return next + leadSteps
}
