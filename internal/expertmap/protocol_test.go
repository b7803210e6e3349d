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

// packet is a message in flight to one rank's agent.
type packet struct {
	to int
	m  Message
}

// faultyEngine forwards an agent's calls to its engine. drawLoss decides
// whether a call is lost before it reaches the engine, or its answer is lost
// after it.
type faultyEngine struct {
	reference *ReferenceEngine
	drawLoss  func() (before, after bool)
}

func callWithLoss[T any](f *faultyEngine, call func() (T, error)) (T, error) {
	var zero T
	before, after := f.drawLoss()
	if before {
		return zero, fmt.Errorf("call lost")
	}
	out, err := call()
	if after {
		return zero, fmt.Errorf("answer lost")
	}
	return out, err
}

func (f *faultyEngine) Hold(id SwitchID, fence int64) (bool, error) {
	return callWithLoss(f, func() (bool, error) { return f.reference.Hold(id, fence) })
}

func (f *faultyEngine) Refuse(id SwitchID) (bool, error) {
	return callWithLoss(f, func() (bool, error) { return f.reference.Refuse(id) })
}

func (f *faultyEngine) Resume(id SwitchID, version int64) error {
	_, err := callWithLoss(f, func() (int, error) { return 0, f.reference.Resume(id, version) })
	return err
}

func (f *faultyEngine) Status() (Status, error) {
	return callWithLoss(f, f.reference.Status)
}

func (f *faultyEngine) Stop(round, want int64) (Report, error) {
	return callWithLoss(f, func() (Report, error) { return f.reference.Stop(round, want) })
}

func (f *faultyEngine) Form(round, version, completed int64) error {
	_, err := callWithLoss(f, func() (int, error) { return 0, f.reference.Form(round, version, completed) })
	return err
}

// group simulates all engines and agents of a group and the network between
// them.
type group struct {
	t          *rapid.T
	engines    []*ReferenceEngine
	members    []*Member
	inFlight   []packet
	faults     bool
	engineRuns int
	// begunVersions holds the map version of each step begun, by round and
	// step; completedVersions holds that of each completed step.
	begunVersions     map[[2]int64]int64
	completedVersions map[int64]int64
	ordered           []Order
}

func newGroup(t *rapid.T, ranks int) *group {
	g := &group{t: t, engines: make([]*ReferenceEngine, ranks), members: make([]*Member, ranks), begunVersions: map[[2]int64]int64{}, completedVersions: map[int64]int64{}}
	checksFencing := rapid.Bool().Draw(t, "engines check fencing")
	for r := range ranks {
		g.restartEngine(r, checksFencing)
		g.restartAgent(r)
		g.members[r].RaiseFence(1)
	}
	g.runWithoutFaults()
	return g
}

// restartEngine replaces a rank's engine by one that is in no group.
func (g *group) restartEngine(r int, checksFencing bool) {
	g.engineRuns++
	g.engines[r] = &ReferenceEngine{Rank: r, Instance: fmt.Sprint(g.engineRuns), ChecksFencing: checksFencing}
	if g.members[r] != nil {
		g.members[r].engine.(*faultyEngine).reference = g.engines[r]
	}
}

// killEngine restarts an engine if another engine of the group has formed or
// completed a step. If all engines restarted, the group would start again without
// any map or completed step.
func (g *group) killEngine(r int) {
	for other, engine := range g.engines {
		if _, formed := engine.Round(); other != r && (formed || engine.completed > 0) {
			g.restartEngine(r, engine.ChecksFencing)
			return
		}
	}
}

// restartAgent replaces a rank's agent by one without any state.
func (g *group) restartAgent(r int) {
	f := &faultyEngine{reference: g.engines[r]}
	f.drawLoss = func() (bool, bool) {
		if !g.faults {
			return false, false
		}
		return rapid.IntRange(0, 19).Draw(g.t, "call") == 0, rapid.IntRange(0, 19).Draw(g.t, "answer") == 0
	}
	g.members[r] = NewMember(r, len(g.engines), f)
}

// send sends messages to every other rank.
func (g *group) send(from int, messages []Message) {
	for _, m := range messages {
		for to := range g.engines {
			if to != from {
				g.inFlight = append(g.inFlight, packet{to, m})
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

// orderPacket is a planner's order in flight.
type orderPacket struct{ Order }

func (orderPacket) message() {}

// beginStep lets a rank begin its next step, if it may, and checks that the
// ranks run the step under the same map.
func (g *group) beginStep(r int) {
	JoinRound(g.engines)
	step, version, ok := g.engines[r].BeginStep()
	if !ok {
		return
	}
	round, _ := g.engines[r].Round()
	key := [2]int64{round, step}
	if other, seen := g.begunVersions[key]; seen && other != version {
		g.t.Fatalf("round %d step %d: rank %d runs map %d, another map %d", round, step, r, version, other)
	}
	g.begunVersions[key] = version
}

// completeStep completes a step that every rank of one round has begun, and
// checks that no step is completed twice.
func (g *group) completeStep() {
	for _, engine := range g.engines {
		if !engine.StepInProgress() || engine.round != g.engines[0].round || engine.next != g.engines[0].next {
			return
		}
	}
	step := g.engines[0].next - 1
	version := g.engines[0].active
	if other, seen := g.completedVersions[step]; seen {
		g.t.Fatalf("step %d complete twice, under maps %d and %d", step, other, version)
	}
	g.completedVersions[step] = version
	for _, engine := range g.engines {
		engine.CompleteStep()
	}
}

// runWithoutFaults delivers all messages without faults until the group has run
// some more steps. It fails the test if the group makes no progress.
func (g *group) runWithoutFaults() {
	g.faults = false
	start := len(g.completedVersions)
	for range 60 {
		for r, m := range g.members {
			g.send(r, m.Tick())
		}
		for len(g.inFlight) > 0 {
			p := g.inFlight[0]
			g.inFlight = g.inFlight[1:]
			g.receive(p)
		}
		for r := range g.engines {
			g.beginStep(r)
		}
		g.completeStep()
		if len(g.completedVersions) >= start+12 {
			return
		}
	}
	for r := range g.engines {
		s, _ := g.engines[r].Status()
		g.t.Logf("rank %d: %+v held %v, peer rounds %v round %d", r, s, s.Held, g.members[r].peerRounds, g.members[r].round)
	}
	g.t.Fatalf("the group makes no progress after step %d", len(g.completedVersions))
}

func (g *group) drawRank(name string) int {
	return rapid.IntRange(0, len(g.engines)-1).Draw(g.t, name)
}

// sendOrder sends a planner's order to switch to some of the ranks.
func (g *group) sendOrder() {
	engine := g.engines[g.drawRank("order like")]
	o := Order{Fence: rapid.Int64Range(1, 3).Draw(g.t, "fence")}
	o.ID = SwitchID{Round: engine.round, Version: rapid.Int64Range(1, 4).Draw(g.t, "version"), Step: engine.next + rapid.Int64Range(-1, 4).Draw(g.t, "ahead")}
	if rapid.IntRange(0, 3).Draw(g.t, "restart") == 0 {
		o.ID.Step = RestartStep
	}
	g.ordered = append(g.ordered, o)
	for r := range g.engines {
		if rapid.IntRange(0, 4).Draw(g.t, "reaches") > 0 {
			g.inFlight = append(g.inFlight, packet{r, orderPacket{o}})
		}
	}
}

// injectFault restarts an agent or an engine, raises an agent's fencing number
// or loses a message.
func (g *group) injectFault(t *rapid.T) {
	r := g.drawRank("rank")
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
		if len(g.inFlight) > 0 {
			i := rapid.IntRange(0, len(g.inFlight)-1).Draw(t, "lost")
			g.inFlight = slices.Delete(g.inFlight, i, i+1)
		}
	}
}

// deliver delivers any message in flight, and may leave a duplicate of it in
// flight.
func (g *group) deliver(t *rapid.T) {
	if len(g.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(g.inFlight)-1).Draw(t, "message")
	p := g.inFlight[i]
	if rapid.IntRange(0, 9).Draw(t, "duplicate") > 0 {
		g.inFlight = slices.Delete(g.inFlight, i, i+1)
	}
	g.receive(p)
}

// stage stages a map at most of the ranks.
func (g *group) stage() {
	version := rapid.Int64Range(1, 4).Draw(g.t, "staged version")
	for _, engine := range g.engines {
		if rapid.IntRange(0, 9).Draw(g.t, "stages") > 0 {
			_ = engine.Stage(version, 3)
		}
	}
}

func (g *group) runRandomAction(t *rapid.T) {
	g.faults = true
	switch rapid.IntRange(0, 15).Draw(t, "action") {
	case 0:
		g.sendOrder()
	case 1:
		g.stage()
	case 2:
		g.injectFault(t)
	case 3, 4:
		r := g.drawRank("ticks")
		g.send(r, g.members[r].Tick())
	case 5, 6, 7:
		g.beginStep(g.drawRank("begins"))
	case 8, 9:
		g.completeStep()
	default:
		g.deliver(t)
	}
}

// protocolSchedules is the number of random schedules of a plain test run. The
// flags -rapid.checks and -rapid.seed set another number and a seed.
const protocolSchedules = "2000"

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.checks", protocolSchedules)
	os.Exit(m.Run())
}

var schedules, endedOnNewMap, endedOnFirstMap atomic.Int64

// TestProtocol runs random schedules of orders, steps, lost, duplicated and
// reordered messages, lost calls, and restarts of agents and engines. It guards
// against ranks that run a step under different maps, steps completed twice,
// groups that stop for good, and switches that were never ordered.
func TestProtocol(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup(t, rapid.IntRange(2, 4).Draw(t, "ranks"))
		for range rapid.IntRange(10, 250).Draw(t, "actions") {
			g.runRandomAction(t)
		}
		for _, m := range g.members {
			m.RaiseFence(1)
		}
		g.runWithoutFaults()
		g.checkFinalMap()
	})
	t.Logf("%d schedules: %d ended on a new map, %d on the first", schedules.Load(), endedOnNewMap.Load(), endedOnFirstMap.Load())
}

// checkFinalMap checks that all ranks run under the same map, and that it is
// the first map or one that was ordered.
func (g *group) checkFinalMap() {
	schedules.Add(1)
	active := g.engines[0].active
	for r, engine := range g.engines {
		if engine.active != active {
			g.t.Fatalf("rank %d is on map %d, rank 0 on %d", r, engine.active, active)
		}
	}
	if active == 0 {
		endedOnFirstMap.Add(1)
		return
	}
	endedOnNewMap.Add(1)
	if !slices.ContainsFunc(g.ordered, func(o Order) bool { return o.ID.Version == active }) {
		g.t.Fatalf("the group is on map %d, which was never ordered", active)
	}
}
