package expertmap

import "github.com/kingcupreel/kingcupreel/internal/fault"

// Engine is what the protocol asks of the engine of a rank. Every call is
// idempotent, and the engine answers it alone: it asks no other rank.
type Engine interface {
	// Hold makes the engine wait before it begins the switch's step, and
	// records a yes; when it can't, it records a no. It returns the vote
	// recorded first. An error means that the vote is not known.
	Hold(id SwitchID, fence int64) (bool, error)
	// Refuse records a no unless a vote stands, and returns the vote.
	Refuse(id SwitchID) (bool, error)
	// Resume ends the hold of a switch: the step begins under the map of the
	// given version.
	Resume(id SwitchID, version int64) error
	// Status says what the engine holds.
	Status() (Status, error)
	// Stop ends the rank's part in rounds before the given one and returns
	// the rank's report, the same for each call in a round. It wants the given
	// map if that is staged; 0 wants none.
	Stop(round, want int64) (Report, error)
	// Form joins the group in a round under a map, from the step after
	// completed; once formed, another map or step is an error of kind Conflict.
	// As with any collective, the round's first step begins when every rank has
	// joined it under the same map, and not before.
	Form(round, version, completed int64) error
}

// Status is what an engine holds.
type Status struct {
	// Instance names the engine's run.
	Instance string `json:"instance"`
	Round    int64  `json:"round"`
	Formed   bool   `json:"formed"`
	// Joined says that every rank has formed with this one.
	Joined    bool  `json:"joined"`
	Active    int64 `json:"active"`
	Completed int64 `json:"completed"`
	// Next is the next step to begin.
	Next int64 `json:"next"`
	// Staged lists the versions whose weights are in place.
	Staged []int64 `json:"staged,omitempty"`
	// Held is the switch that the engine waits for, if any; HeldFence is the
	// fencing number of its order.
	Held      *SwitchID `json:"held,omitempty"`
	HeldFence int64     `json:"heldFence,omitempty"`
	// Fence is the highest fencing number seen, 0 when the engine keeps none.
	Fence int64 `json:"fence"`
	// NoHold says that the engine can't hold a step.
	NoHold bool `json:"noHold,omitempty"`
}

// hold is a step that waits for the outcome of a switch.
type hold struct {
	id      SwitchID
	fence   int64
	decided bool
	version int64
}

// ReferenceEngine is the reference of an engine's part. It is not safe for concurrent
// use. The zero value is a rank without a group.
type ReferenceEngine struct {
	// Rank is the rank's number in its group.
	Rank int
	// Instance names this run of the engine.
	Instance string
	// ChecksFencing makes the gate refuse orders with an old number.
	ChecksFencing bool
	// NoHold makes the gate vote no on every hold.
	NoHold bool

	round     int64
	formed    bool
	joined    bool
	active    int64
	completed int64
	next      int64
	staged    map[int64]bool
	votes     map[SwitchID]bool
	held      *hold
	fence     int64
	report    Report
}

var _ Engine = (*ReferenceEngine)(nil)

// Stage records that the weights of a map are in place.
func (g *ReferenceEngine) Stage(version, fence int64) error {
	if err := g.CheckFence(fence); err != nil {
		return err
	}
	if g.staged == nil {
		g.staged = map[int64]bool{}
	}
	g.staged[version] = true
	return nil
}

// CheckFence refuses an old fencing number, if the gate checks them, and keeps a
// newer one.
func (g *ReferenceEngine) CheckFence(fence int64) error {
	if !g.ChecksFencing {
		return nil
	}
	if fence < g.fence {
		return fault.New(fault.Stale, "take the planner's lease before giving orders", "fencing number %d is older than %d", fence, g.fence)
	}
	g.fence = fence
	return nil
}

func (g *ReferenceEngine) checkRound(id SwitchID) error {
	if g.formed && id.Round == g.round {
		return nil
	}
	return fault.New(fault.Stale, "order a switch in the group's present round", "switch of round %d, the rank is in round %d", id.Round, g.round)
}

// Hold implements Engine.
func (g *ReferenceEngine) Hold(id SwitchID, fence int64) (bool, error) {
	if err := g.checkRound(id); err != nil {
		return false, err
	}
	if vote, known := g.votes[id]; known {
		return vote, nil
	}
	stale := g.CheckFence(fence) != nil
	yes := !stale && !g.NoHold && g.held == nil && g.staged[id.Version] && id.Step >= g.next && id.Version > g.active
	if yes {
		g.held = &hold{id: id, fence: fence}
	}
	g.votes[id] = yes
	return yes, nil
}

// Refuse implements Engine.
func (g *ReferenceEngine) Refuse(id SwitchID) (bool, error) {
	if err := g.checkRound(id); err != nil {
		return false, err
	}
	if vote, known := g.votes[id]; known {
		return vote, nil
	}
	g.votes[id] = false
	return false, nil
}

// Resume implements Engine.
func (g *ReferenceEngine) Resume(id SwitchID, version int64) error {
	if err := g.checkRound(id); err != nil {
		return err
	}
	if g.held == nil || g.held.id != id || g.held.decided {
		return nil
	}
	if version != id.Version && version != g.active {
		return fault.New(fault.Invalid, "name the map in force or the switch's", "resume under map %d", version)
	}
	g.held.decided = true
	g.held.version = version
	if version == g.active {
		g.held = nil
	}
	return nil
}

// Status implements Engine.
func (g *ReferenceEngine) Status() (Status, error) {
	s := Status{Instance: g.Instance, Round: g.round, Formed: g.formed, Joined: g.joined, Active: g.active, Completed: g.completed, Next: g.next, Fence: g.fence, NoHold: g.NoHold}
	for v := range g.staged {
		s.Staged = append(s.Staged, v)
	}
	if g.held != nil && !g.held.decided {
		id := g.held.id
		s.Held, s.HeldFence = &id, g.held.fence
	}
	return s, nil
}

// Stop implements Engine.
func (g *ReferenceEngine) Stop(round, want int64) (Report, error) {
	if round < g.round {
		return Report{}, fault.New(fault.Stale, "stop in the present round", "round %d, the rank is in round %d", round, g.round)
	}
	if round > g.round {
		g.round = round
		g.formed = false
		g.joined = false
		g.held = nil
		g.votes = nil
		g.report = Report{Round: g.round, Rank: g.Rank, Active: g.active, Completed: g.completed}
		if g.staged[want] {
			g.report.Want = want
		}
	}
	return g.report, nil
}

// Form implements Engine.
func (g *ReferenceEngine) Form(round, version, completed int64) error {
	if round != g.round {
		return fault.New(fault.Stale, "form in the present round", "round %d, the rank is in round %d", round, g.round)
	}
	if g.formed {
		return g.formedAs(version, completed)
	}
	g.formed = true
	g.active = version
	g.completed = completed
	g.next = completed + 1
	g.votes = map[SwitchID]bool{}
	return nil
}

// formedAs checks a second call to form, which changes nothing.
func (g *ReferenceEngine) formedAs(version, completed int64) error {
	if g.joined || (version == g.active && completed == g.completed) {
		return nil
	}
	return fault.New(fault.Conflict, "start the next round", "the rank has formed under map %d after step %d", g.active, g.completed)
}

// BeginStep starts the next step and returns it with the map's version; false
// means that the rank waits: it is in no group, the step before is not
// complete, or the step is held.
func (g *ReferenceEngine) BeginStep() (step, version int64, ok bool) {
	if !g.joined || g.next > g.completed+1 {
		return 0, 0, false
	}
	if g.held != nil && g.held.id.Step == g.next {
		if !g.held.decided {
			return 0, 0, false
		}
		g.active = g.held.version
		g.held = nil
	}
	step = g.next
	g.next++
	return step, g.active, true
}

// CompleteStep ends the step begun last, once every rank of the round has begun
// it.
func (g *ReferenceEngine) CompleteStep() {
	g.completed = g.next - 1
	for id := range g.votes {
		if id.Step <= g.completed {
			delete(g.votes, id)
		}
	}
}

// JoinRound lets the ranks of a group begin the first step of a round, if all have
// formed in it under one map. It stands for the group's collective.
func JoinRound(gates []*ReferenceEngine) {
	for _, g := range gates {
		if !g.formed || g.joined || g.round != gates[0].round || g.active != gates[0].active || g.completed != gates[0].completed {
			return
		}
	}
	for _, g := range gates {
		g.joined = true
	}
}

// Round returns the rank's round and whether it has formed.
func (g *ReferenceEngine) Round() (int64, bool) { return g.round, g.formed }

// StepInProgress says whether the rank has begun a step that is not complete.
func (g *ReferenceEngine) StepInProgress() bool { return g.formed && g.next == g.completed+2 }
