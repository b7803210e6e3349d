// Package ranks is a stand-in of a rank group: ranks in lock-step, each with
// the reference engine of package expertmap, that record the map of every step
// and every order that took effect.
package ranks

import (
	"strconv"
	"sync"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/engineapi"
	"github.com/kingcupreel/kingcupreel/internal/expertmap"
)

const (
	// windowSteps is the number of steps of a reporting window.
	windowSteps = 20
	// recordLimit bounds the steps and the orders kept.
	recordLimit = 1 << 16
)

// Options set a group.
type Options struct {
	Ranks, Experts, Slots int
	// StepTime is the time of a step.
	StepTime time.Duration
	// StageTime is the time that a rank takes to load one expert's weights.
	StageTime time.Duration
	// Weights is the weight store's base URL, from which each expert's
	// ExpertBytes are loaded instead; empty means none.
	Weights     string
	ExpertBytes int64
	// ChecksFencing makes the engines refuse old fencing numbers.
	ChecksFencing bool
	// NoHold makes the engines unable to hold a step.
	NoHold bool
}

// Step is the record of one step at one rank.
type Step struct {
	Round   int64 `json:"round"`
	Step    int64 `json:"step"`
	Rank    int   `json:"rank"`
	Version int64 `json:"version"`
	Micros  int64 `json:"micros"`
}

// AppliedOrder is the record of an order that changed something at a rank.
type AppliedOrder struct {
	Rank  int    `json:"rank"`
	Order string `json:"order"`
	Fence int64  `json:"fence"`
	// Version is the map that the order is about.
	Version int64 `json:"version"`
}

// rank is one rank's engine.
type rank struct {
	gate    *expertmap.ReferenceEngine
	maps    map[int64]*expertmap.Map
	stalled bool
}

// Group is the stand-in.
type Group struct {
	opts Options

	mu      sync.Mutex
	ranks   []*rank
	runs    int
	steps   []Step
	effects []AppliedOrder
	// popularity is the tokens a step of each expert.
	popularity []float64
	completed  int64
}

// New returns a group whose ranks have no round yet.
func New(opts Options) *Group {
	g := &Group{opts: opts, popularity: make([]float64, opts.Experts)}
	for e := range g.popularity {
		g.popularity[e] = 100
	}
	for r := range opts.Ranks {
		g.ranks = append(g.ranks, nil)
		g.restart(r)
	}
	return g
}

// restart loses a rank's engine. The caller holds mu, or has the group alone.
func (g *Group) restart(r int) {
	g.runs++
	first := firstMap(g.opts)
	g.ranks[r] = &rank{
		gate: &expertmap.ReferenceEngine{Rank: r, Instance: strconv.Itoa(g.runs), ChecksFencing: g.opts.ChecksFencing, NoHold: g.opts.NoHold},
		maps: map[int64]*expertmap.Map{0: first},
	}
}

// firstMap is map version 0: experts dealt out in turn.
func firstMap(opts Options) *expertmap.Map {
	m := &expertmap.Map{Experts: opts.Experts}
	next := 0
	replicas := opts.Ranks * opts.Slots / opts.Experts
	for range opts.Ranks {
		slots, shares := make([]int, opts.Slots), make([]float64, opts.Slots)
		for s := range slots {
			slots[s] = expertmap.Empty
			if next < replicas*opts.Experts {
				slots[s] = next % opts.Experts
				shares[s] = 1 / float64(replicas)
				next++
			}
		}
		m.Slots = append(m.Slots, slots)
		m.Shares = append(m.Shares, shares)
	}
	return m
}

// Run steps the group for good.
func (g *Group) Run() {
	for range time.Tick(g.opts.StepTime) {
		g.tick()
	}
}

// tick lets every rank that may begin its step, and completes the step once
// all ranks of a round have begun it.
func (g *Group) tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	gates := make([]*expertmap.ReferenceEngine, 0, len(g.ranks))
	for _, k := range g.ranks {
		gates = append(gates, k.gate)
	}
	expertmap.JoinRound(gates)
	for r, k := range g.ranks {
		if k.stalled {
			continue
		}
		step, version, ok := k.gate.BeginStep()
		if !ok {
			continue
		}
		round, _ := k.gate.Round()
		g.record(Step{Round: round, Step: step, Rank: r, Version: version, Micros: time.Now().UnixMicro()})
	}
	round, _ := g.ranks[0].gate.Round()
	for _, k := range g.ranks {
		if other, _ := k.gate.Round(); !k.gate.StepInProgress() || other != round {
			return
		}
	}
	for _, k := range g.ranks {
		k.gate.CompleteStep()
	}
	g.completed++
}

func (g *Group) record(s Step) {
	g.steps = append(g.steps, s)
	if len(g.steps) > recordLimit {
		g.steps = g.steps[recordLimit/2:]
	}
}

func (g *Group) effect(e AppliedOrder) {
	g.effects = append(g.effects, e)
	if len(g.effects) > recordLimit {
		g.effects = g.effects[recordLimit/2:]
	}
}

// status is a rank's answer to a status call. The caller holds mu.
func (g *Group) status(r int) engineapi.MapStatus {
	k := g.ranks[r]
	s, _ := k.gate.Status()
	out := engineapi.MapStatus{Status: s, Window: s.Completed / windowSteps, Tokens: make([]float64, g.opts.Experts), StepMicros: g.opts.StepTime.Microseconds()}
	m := k.maps[s.Active]
	if m == nil {
		return out
	}
	out.Map = *m
	for i, e := range m.Slots[r] {
		if e != expertmap.Empty {
			out.Tokens[e] += windowSteps * g.popularity[e] * m.Shares[r][i]
		}
	}
	return out
}

// hold passes a hold to the gate and records it when it took effect.
func (g *Group) hold(r int, h engineapi.MapHold) (engineapi.MapVote, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before, _ := g.ranks[r].gate.Status()
	yes, err := g.ranks[r].gate.Hold(h.ID, h.Fence)
	if yes && before.Held == nil {
		g.effect(AppliedOrder{Rank: r, Order: "hold", Fence: h.Fence, Version: h.ID.Version})
	}
	return engineapi.MapVote{Yes: yes}, err
}
