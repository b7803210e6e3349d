package expertmap

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"
)

// packet is a message on its way to one rank's agent.
type packet struct {
	to int
	m  Message
}

// flaky passes an agent's calls to its engine and loses some of them, or
// their answers, when told to.
type flaky struct {
	gate *ReferenceEngine
	lose func() (before, after bool)
}

func lost[T any](f *flaky, call func() (T, error)) (T, error) {
	var zero T
	before, after := f.lose()
	if before {
		return zero, fmt.Errorf("call lost")
	}
	out, err := call()
	if after {
		return zero, fmt.Errorf("answer lost")
	}
	return out, err
}

func (f *flaky) Hold(id SwitchID, fence int64) (bool, error) {
	return lost(f, func() (bool, error) { return f.gate.Hold(id, fence) })
}

func (f *flaky) Refuse(id SwitchID) (bool, error) {
	return lost(f, func() (bool, error) { return f.gate.Refuse(id) })
}

func (f *flaky) Resume(id SwitchID, version int64) error {
	_, err := lost(f, func() (int, error) { return 0, f.gate.Resume(id, version) })
	return err
}

func (f *flaky) Status() (Status, error) {
	return lost(f, f.gate.Status)
}

func (f *flaky) Stop(round, want int64) (Report, error) {
	return lost(f, func() (Report, error) { return f.gate.Stop(round, want) })
}

func (f *flaky) Form(round, version, completed int64) error {
	_, err := lost(f, func() (int, error) { return 0, f.gate.Form(round, version, completed) })
	return err
}

// group is a model of all engines and agents of a group and of the network
// between them.
type group struct {
	t       *rapid.T
	gates   []*ReferenceEngine
	members []*Member
	net     []packet
	faults  bool
	runs    int
	// versions holds the map of each step in each round, done that of each
	// complete step.
	versions map[[2]int64]int64
	done     map[int64]int64
	ordered  []Order
}

func newGroup(t *rapid.T, ranks int) *group {
	g := &group{t: t, gates: make([]*ReferenceEngine, ranks), members: make([]*Member, ranks), versions: map[[2]int64]int64{}, done: map[int64]int64{}}
	checks := rapid.Bool().Draw(t, "engines check fencing")
	for r := range ranks {
		g.restartEngine(r, checks)
		g.restartAgent(r)
		g.members[r].RaiseFence(1)
	}
	g.settle()
	return g
}

func (g *group) restartEngine(r int, checks bool) {
	g.runs++
	g.gates[r] = &ReferenceEngine{Rank: r, Instance: fmt.Sprint(g.runs), ChecksFencing: checks}
	if g.members[r] != nil {
		g.members[r].engine.(*flaky).gate = g.gates[r]
	}
}

// killEngine restarts an engine if another one has run in the group: when all
// are lost, the group starts from nothing.
func (g *group) killEngine(r int) {
	for other, gate := range g.gates {
		if _, formed := gate.Round(); other != r && (formed || gate.completed > 0) {
			g.restartEngine(r, gate.ChecksFencing)
			return
		}
	}
}

func (g *group) restartAgent(r int) {
	f := &flaky{gate: g.gates[r]}
	f.lose = func() (bool, bool) {
		if !g.faults {
			return false, false
		}
		return rapid.IntRange(0, 19).Draw(g.t, "call") == 0, rapid.IntRange(0, 19).Draw(g.t, "answer") == 0
	}
	g.members[r] = NewMember(r, len(g.gates), f)
}

// send puts messages on the way to every other rank.
func (g *group) send(from int, messages []Message) {
	for _, m := range messages {
		for to := range g.gates {
			if to != from {
				g.net = append(g.net, packet{to, m})
			}
		}
	}
}

func (g *group) receive(p packet) {
	member := g.members[p.to]
	switch m := p.m.(type) {
	case Vote:
		g.send(p.to, member.Vote(m))
	case Report:
		g.send(p.to, member.Report(m))
	case RoundQuery:
		g.send(p.to, member.RoundQuery(m))
	case RoundInfo:
		g.send(p.to, member.RoundInfo(m))
	case orderPacket:
		if out, err := member.Order(m.Order); err == nil {
			g.send(p.to, out)
		}
	}
}

// orderPacket is a planner's order on its way.
type orderPacket struct{ Order }

func (orderPacket) message() {}

// begin lets a rank begin its step and judges the map.
func (g *group) begin(r int) {
	JoinRound(g.gates)
	step, version, ok := g.gates[r].BeginStep()
	if !ok {
		return
	}
	round, _ := g.gates[r].Round()
	key := [2]int64{round, step}
	if other, seen := g.versions[key]; seen && other != version {
		g.t.Fatalf("round %d step %d: rank %d runs map %d, another map %d", round, step, r, version, other)
	}
	g.versions[key] = version
}

// complete ends a step that every rank of one round has begun.
func (g *group) complete() {
	for _, gate := range g.gates {
		if !gate.StepInProgress() || gate.round != g.gates[0].round || gate.next != g.gates[0].next {
			return
		}
	}
	step := g.gates[0].next - 1
	version := g.gates[0].active
	if other, seen := g.done[step]; seen {
		g.t.Fatalf("step %d complete twice, under maps %d and %d", step, other, version)
	}
	g.done[step] = version
	for _, gate := range g.gates {
		gate.CompleteStep()
	}
}

// settle delivers everything, without faults, until the group has run some
// steps.
func (g *group) settle() {
	g.faults = false
	from := len(g.done)
	for range 60 {
		for r, m := range g.members {
			g.send(r, m.Tick())
		}
		for len(g.net) > 0 {
			p := g.net[0]
			g.net = g.net[1:]
			g.receive(p)
		}
		for r := range g.gates {
			g.begin(r)
		}
		g.complete()
		if len(g.done) >= from+12 {
			return
		}
	}
	for r := range g.gates {
		s, _ := g.gates[r].Status()
		g.t.Logf("rank %d: %+v held %v, asked %v round %d", r, s, s.Held, g.members[r].asked, g.members[r].round)
	}
	g.t.Fatalf("the group stands still after step %d", len(g.done))
}

func (g *group) anyRank(name string) int {
	return rapid.IntRange(0, len(g.gates)-1).Draw(g.t, name)
}

// order lets a planner order a switch at some of the ranks.
func (g *group) order() {
	gate := g.gates[g.anyRank("order like")]
	o := Order{Fence: rapid.Int64Range(1, 3).Draw(g.t, "fence")}
	o.ID = SwitchID{Round: gate.round, Version: rapid.Int64Range(1, 4).Draw(g.t, "version"), Step: gate.next + rapid.Int64Range(-1, 4).Draw(g.t, "ahead")}
	if rapid.IntRange(0, 3).Draw(g.t, "restart") == 0 {
		o.ID.Step = RestartStep
	}
	g.ordered = append(g.ordered, o)
	for r := range g.gates {
		if rapid.IntRange(0, 4).Draw(g.t, "reaches") > 0 {
			g.net = append(g.net, packet{r, orderPacket{o}})
		}
	}
}

func (g *group) fault(t *rapid.T) {
	r := g.anyRank("rank")
	switch rapid.IntRange(0, 3).Draw(t, "fault") {
	case 0:
		g.restartAgent(r)
	case 1:
		g.members[r].RaiseFence(rapid.Int64Range(1, 3).Draw(t, "floor"))
	case 2:
		if rapid.IntRange(0, 2).Draw(t, "engine dies") == 0 {
			g.killEngine(r)
		}
	case 3:
		if len(g.net) > 0 {
			i := rapid.IntRange(0, len(g.net)-1).Draw(t, "lost")
			g.net = slices.Delete(g.net, i, i+1)
		}
	}
}

// deliver passes on any message of those on the way, and may keep a copy.
func (g *group) deliver(t *rapid.T) {
	if len(g.net) == 0 {
		return
	}
	i := rapid.IntRange(0, len(g.net)-1).Draw(t, "message")
	p := g.net[i]
	if rapid.IntRange(0, 9).Draw(t, "duplicate") > 0 {
		g.net = slices.Delete(g.net, i, i+1)
	}
	g.receive(p)
}

// stage puts a map's weights at most ranks.
func (g *group) stage() {
	version := rapid.Int64Range(1, 4).Draw(g.t, "staged version")
	for _, gate := range g.gates {
		if rapid.IntRange(0, 9).Draw(g.t, "stages") > 0 {
			_ = gate.Stage(version, 3)
		}
	}
}

func (g *group) act(t *rapid.T) {
	g.faults = true
	switch rapid.IntRange(0, 15).Draw(t, "action") {
	case 0:
		g.order()
	case 1:
		g.stage()
	case 2:
		g.fault(t)
	case 3, 4:
		r := g.anyRank("ticks")
		g.send(r, g.members[r].Tick())
	case 5, 6, 7:
		g.begin(g.anyRank("begins"))
	case 8, 9:
		g.complete()
	default:
		g.deliver(t)
	}
}

// protocolSchedules is how many schedules a plain run of the tests tries;
// -rapid.checks and -rapid.seed set others.
const protocolSchedules = "2000"

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.checks", protocolSchedules)
	os.Exit(m.Run())
}

var schedules, switched, unswitched atomic.Int64

// TestProtocol runs random schedules of orders, steps, lost, duplicated and
// reordered messages, lost calls, and restarts of agents and engines.
func TestProtocol(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup(t, rapid.IntRange(2, 4).Draw(t, "ranks"))
		for range rapid.IntRange(10, 250).Draw(t, "actions") {
			g.act(t)
		}
		for _, m := range g.members {
			m.RaiseFence(1)
		}
		g.settle()
		g.judge()
	})
	t.Logf("%d schedules: %d ended on a new map, %d on the first", schedules.Load(), switched.Load(), unswitched.Load())
}

// judge checks that the group runs on one map, and on none that was never
// ordered.
func (g *group) judge() {
	schedules.Add(1)
	active := g.gates[0].active
	for r, gate := range g.gates {
		if gate.active != active {
			g.t.Fatalf("rank %d is on map %d, rank 0 on %d", r, gate.active, active)
		}
	}
	if active == 0 {
		unswitched.Add(1)
		return
	}
	switched.Add(1)
	if !slices.ContainsFunc(g.ordered, func(o Order) bool { return o.ID.Version == active }) {
		g.t.Fatalf("the group is on map %d, which nobody ordered", active)
	}
}
