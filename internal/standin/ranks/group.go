// Package ranks is a stand-in of a rank group. Its ranks run steps in
// lock-step, each with the reference engine of package expertmap, and record
// the map of every step and every order that they applied.
package ranks

import (
	"strconv"
	"sync"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/engineapi"
	"github.com/kingcupreel/kingcupreel/internal/expertmap"
)

const (
	// windowSteps is the number of steps in a reporting window.
	windowSteps = 20
	// maxRecords limits the number of step records and of order records; at the
	// limit the older half is dropped.
	maxRecords = 1 << 16
)

// Options configure a group.
type Options struct {
	// Experts is the number of experts per layer, Slots the number of slots per
	// rank.
	Ranks, Experts, Slots int
	// StepTime is the duration of a step.
	StepTime time.Duration
	// StageTime is the time that a rank takes to load the weights of one
	// expert.
	StageTime time.Duration
	// Weights is the base URL of the weight store. If it is set, ranks load
	// ExpertBytes from it for each expert instead of waiting for StageTime.
	Weights     string
	ExpertBytes int64
	// ChecksFencing makes the engines refuse orders with outdated fencing
	// numbers.
	ChecksFencing bool
	// NoHold makes the engines unable to hold a step, so that a map switch has
	// to stop the group.
	NoHold bool
}

// Step records one step of one rank.
type Step struct {
	Round int64 `json:"round"`
	Step  int64 `json:"step"`
	Rank  int   `json:"rank"`
	// Version is the version of the map that the rank used.
	Version int64 `json:"version"`
	// Micros is when the rank began the step, in microseconds since the
	// Unix epoch.
	Micros int64 `json:"micros"`
}

// AppliedOrder records an order that changed the state of a rank.
type AppliedOrder struct {
	Rank  int    `json:"rank"`
	Order string `json:"order"`
	Fence int64  `json:"fence"`
	// Version is the version of the map that the order names.
	Version int64 `json:"version"`
}

// rank is one rank: its engine and the maps that it has been given, by version.
// A stalled rank begins no steps.
type rank struct {
	engine  *expertmap.ReferenceEngine
	maps    map[int64]*expertmap.Map
	stalled bool
}

// Group is a stand-in of a rank group.
type Group struct {
	opts Options

	mu    sync.Mutex
	ranks []*rank
	// engineStarts counts the engines started so far; each takes the new count
	// as its instance name.
	engineStarts  int
	steps         []Step
	appliedOrders []AppliedOrder
	// popularity is the number of tokens per step that each expert gets.
	popularity []float64
	completed  int64
}

// New returns a group whose ranks have joined no round yet.
func New(opts Options) *Group {
	g := &Group{opts: opts, popularity: make([]float64, opts.Experts)}
	for e := range g.popularity {
		g.popularity[e] = 100
	}
	for r := range opts.Ranks {
		g.ranks = append(g.ranks, nil)
		g.restartRank(r)
	}
	return g
}

// restartRank replaces the engine of rank r by a new instance that has only the
// initial map. The caller holds mu or is the only user of the group.
func (g *Group) restartRank(r int) {
	g.engineStarts++
	first := initialMap(g.opts)
	g.ranks[r] = &rank{
		engine: &expertmap.ReferenceEngine{Rank: r, Instance: strconv.Itoa(g.engineStarts), ChecksFencing: g.opts.ChecksFencing, NoHold: g.opts.NoHold},
		maps:   map[int64]*expertmap.Map{0: first},
	}
}

// initialMap returns map version 0, which assigns the experts to the slots
// round robin.
func initialMap(opts Options) *expertmap.Map {
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

// Run runs a step every StepTime and never returns.
func (g *Group) Run() {
	for range time.Tick(g.opts.StepTime) {
		g.runStep()
	}
}

// runStep begins the next step at every rank that is allowed to, and completes
// the step once all ranks of the round have begun it.
func (g *Group) runStep() {
	g.mu.Lock()
	defer g.mu.Unlock()
	engines := make([]*expertmap.ReferenceEngine, 0, len(g.ranks))
	for _, member := range g.ranks {
		engines = append(engines, member.engine)
	}
	expertmap.JoinRound(engines)
	for r, member := range g.ranks {
		if member.stalled {
			continue
		}
		step, version, ok := member.engine.BeginStep()
		if !ok {
			continue
		}
		round, _ := member.engine.Round()
		g.recordStep(Step{Round: round, Step: step, Rank: r, Version: version, Micros: time.Now().UnixMicro()})
	}
	round, _ := g.ranks[0].engine.Round()
	for _, member := range g.ranks {
		if memberRound, _ := member.engine.Round(); !member.engine.StepInProgress() || memberRound != round {
			return
		}
	}
	for _, member := range g.ranks {
		member.engine.CompleteStep()
	}
	g.completed++
}

func (g *Group) recordStep(s Step) {
	g.steps = append(g.steps, s)
	if len(g.steps) > maxRecords {
		g.steps = g.steps[maxRecords/2:]
	}
}

func (g *Group) recordOrder(order AppliedOrder) {
	g.appliedOrders = append(g.appliedOrders, order)
	if len(g.appliedOrders) > maxRecords {
		g.appliedOrders = g.appliedOrders[maxRecords/2:]
	}
}

// status returns the response of rank r to a status call. The caller holds mu.
func (g *Group) status(r int) engineapi.MapStatus {
	member := g.ranks[r]
	engineStatus, _ := member.engine.Status()
	out := engineapi.MapStatus{Status: engineStatus, Window: engineStatus.Completed / windowSteps, Tokens: make([]float64, g.opts.Experts), StepMicros: g.opts.StepTime.Microseconds()}
	m := member.maps[engineStatus.Active]
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

// hold passes a hold order to the engine of rank r and records it if it took
// effect.
func (g *Group) hold(r int, h engineapi.MapHold) (engineapi.MapVote, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before, _ := g.ranks[r].engine.Status()
	yes, err := g.ranks[r].engine.Hold(h.ID, h.Fence)
	if yes && before.Held == nil {
		g.recordOrder(AppliedOrder{Rank: r, Order: "hold", Fence: h.Fence, Version: h.ID.Version})
	}
	return engineapi.MapVote{Yes: yes}, err
}
