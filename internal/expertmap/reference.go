package expertmap

import "github.com/kingcupreel/kingcupreel/internal/fault"

// Engine is the part of the protocol that the engine of a rank implements.
// Every call is idempotent, and the engine answers it without contacting
// another rank.
type Engine interface {
	// Hold votes on a switch. On a yes vote the engine waits before it begins
	// the switch's step; it votes no when it can't. Hold returns the vote
	// recorded first for the switch. After an error the vote is not known.
	Hold(id SwitchID, fence int64) (bool, error)
	// Refuse records a no vote unless a vote is recorded already, and returns
	// the recorded vote.
	Refuse(id SwitchID) (bool, error)
	// Resume ends the hold of a switch: the held step begins under the map of
	// the given version.
	Resume(id SwitchID, version int64) error
	// Status returns the engine's state.
	Status() (Status, error)
	// Stop ends the rank's part in earlier rounds than the given one and
	// returns the rank's report, which is the same for every call in a round.
	// The report's Want is the version want if that map is staged, else 0.
	Stop(round, want int64) (Report, error)
	// Form joins the group in a round under a map, from the step after
	// completed. Once the rank has formed, a call with another map or step
	// fails with an error of kind Conflict. As with any collective operation,
	// the round's first step begins only once every rank has joined it under
	// the same map.
	Form(round, version, completed int64) error
}

// Status is the state of an engine.
type Status struct {
	// Instance identifies the engine's run.
	Instance string `json:"instance"`
	Round    int64  `json:"round"`
	Formed   bool   `json:"formed"`
	// Joined is set once every rank of the group has formed in the round.
	Joined    bool  `json:"joined"`
	Active    int64 `json:"active"`
	Completed int64 `json:"completed"`
	// Next is the next step to begin.
	Next int64 `json:"next"`
	// Staged lists the versions whose weights are loaded.
	Staged []int64 `json:"staged,omitempty"`
	// Held is the switch that the engine waits for, if any; HeldFence is the
	// fencing number of its order.
	Held      *SwitchID `json:"held,omitempty"`
	HeldFence int64     `json:"heldFence,omitempty"`
	// Fence is the highest fencing number seen, 0 if the engine stores none.
	Fence int64 `json:"fence"`
	// NoHold is set if the engine can't hold a step.
	NoHold bool `json:"noHold,omitempty"`
}

// heldStep is a step that waits for the outcome of a switch. version is the map
// to run it under, once decided is set.
type heldStep struct {
	id      SwitchID
	fence   int64
	decided bool
	version int64
}

// ReferenceEngine is the reference implementation of Engine. It is not safe for
// concurrent use. The zero value is a rank that is in no group.
type ReferenceEngine struct {
	// Rank is the rank's number in its group.
	Rank int
	// Instance identifies this run of the engine.
	Instance string
	// ChecksFencing makes the engine refuse orders with an old fencing number.
	ChecksFencing bool
	// NoHold makes the engine vote no on every switch.
	NoHold bool

	round     int64
	formed    bool
	joined    bool
	active    int64
	completed int64
	next      int64
	staged    map[int64]bool
	votes     map[SwitchID]bool
	held      *heldStep
	fence     int64
	report    Report
}

var _ Engine = (*ReferenceEngine)(nil)

// Stage records that the weights of a map are loaded.
func (e *ReferenceEngine) Stage(version, fence int64) error {
	if err := e.CheckFence(fence); err != nil {
		return err
	}
	if e.staged == nil {
		e.staged = map[int64]bool{}
	}
	e.staged[version] = true
	return nil
}

// CheckFence refuses a fencing number that is older than the highest one seen,
// and stores a newer one. It does nothing unless ChecksFencing is set.
func (e *ReferenceEngine) CheckFence(fence int64) error {
	if !e.ChecksFencing {
		return nil
	}
	if fence < e.fence {
		return fault.New(fault.Stale, "acquire the planner's lease before sending orders", "fencing number %d is older than %d", fence, e.fence)
	}
	e.fence = fence
	return nil
}

// checkRound refuses a switch that is for another round, or while the rank has
// not formed.
func (e *ReferenceEngine) checkRound(id SwitchID) error {
	if e.formed && id.Round == e.round {
		return nil
	}
	return fault.New(fault.Stale, "order the switch again in the group's current round", "the switch is for round %d but the rank is in round %d", id.Round, e.round)
}

// Hold implements Engine.
func (e *ReferenceEngine) Hold(id SwitchID, fence int64) (bool, error) {
	if err := e.checkRound(id); err != nil {
		return false, err
	}
	if vote, known := e.votes[id]; known {
		return vote, nil
	}
	stale := e.CheckFence(fence) != nil
	yes := !stale && !e.NoHold && e.held == nil && e.staged[id.Version] && id.Step >= e.next && id.Version > e.active
	if yes {
		e.held = &heldStep{id: id, fence: fence}
	}
	e.votes[id] = yes
	return yes, nil
}

// Refuse implements Engine.
func (e *ReferenceEngine) Refuse(id SwitchID) (bool, error) {
	if err := e.checkRound(id); err != nil {
		return false, err
	}
	if vote, known := e.votes[id]; known {
		return vote, nil
	}
	e.votes[id] = false
	return false, nil
}

// Resume implements Engine.
func (e *ReferenceEngine) Resume(id SwitchID, version int64) error {
	if err := e.checkRound(id); err != nil {
		return err
	}
	if e.held == nil || e.held.id != id || e.held.decided {
		return nil
	}
	if version != id.Version && version != e.active {
		return fault.New(fault.Invalid, "resume under the active map or the map of the switch", "the rank can't resume under map %d", version)
	}
	e.held.decided = true
	e.held.version = version
	if version == e.active {
		e.held = nil
	}
	return nil
}

// Status implements Engine.
func (e *ReferenceEngine) Status() (Status, error) {
	s := Status{Instance: e.Instance, Round: e.round, Formed: e.formed, Joined: e.joined, Active: e.active, Completed: e.completed, Next: e.next, Fence: e.fence, NoHold: e.NoHold}
	for v := range e.staged {
		s.Staged = append(s.Staged, v)
	}
	if e.held != nil && !e.held.decided {
		id := e.held.id
		s.Held, s.HeldFence = &id, e.held.fence
	}
	return s, nil
}

// Stop implements Engine.
func (e *ReferenceEngine) Stop(round, want int64) (Report, error) {
	if round < e.round {
		return Report{}, fault.New(fault.Stale, "stop the rank in the group's current round", "round %d is over; the rank is in round %d", round, e.round)
	}
	if round > e.round {
		e.round = round
		e.formed = false
		e.joined = false
		e.held = nil
		e.votes = nil
		e.report = Report{Round: e.round, Rank: e.Rank, Active: e.active, Completed: e.completed}
		if e.staged[want] {
			e.report.Want = want
		}
	}
	return e.report, nil
}

// Form implements Engine.
func (e *ReferenceEngine) Form(round, version, completed int64) error {
	if round != e.round {
		return fault.New(fault.Stale, "form in the group's current round", "the rank can't form in round %d; it is in round %d", round, e.round)
	}
	if e.formed {
		return e.checkRepeatedForm(version, completed)
	}
	e.formed = true
	e.active = version
	e.completed = completed
	e.next = completed + 1
	e.votes = map[SwitchID]bool{}
	return nil
}

// checkRepeatedForm checks a repeated call of Form, which changes nothing.
// Before the group has joined, the map and the step must be those of the first
// call.
func (e *ReferenceEngine) checkRepeatedForm(version, completed int64) error {
	if e.joined || (version == e.active && completed == e.completed) {
		return nil
	}
	return fault.New(fault.Conflict, "start the next round", "the rank has already formed under map %d after step %d", e.active, e.completed)
}

// BeginStep starts the next step and returns it with the map's version. It
// returns ok false while the rank must wait: the group has not joined, the
// previous step is not complete, or the step is held.
func (e *ReferenceEngine) BeginStep() (step, version int64, ok bool) {
	if !e.joined || e.next > e.completed+1 {
		return 0, 0, false
	}
	if e.held != nil && e.held.id.Step == e.next {
		if !e.held.decided {
			return 0, 0, false
		}
		e.active = e.held.version
		e.held = nil
	}
	step = e.next
	e.next++
	return step, e.active, true
}

// CompleteStep completes the step begun last. The caller makes sure that every
// rank of the round has begun it.
func (e *ReferenceEngine) CompleteStep() {
	e.completed = e.next - 1
	for id := range e.votes {
		if id.Step <= e.completed {
			delete(e.votes, id)
		}
	}
}

// JoinRound lets the ranks of a group begin the first step of a round if all
// have formed in it under one map and after one step. It simulates the
// collective operation with which a group's engines start a round.
func JoinRound(engines []*ReferenceEngine) {
	for _, e := range engines {
		if !e.formed || e.joined || e.round != engines[0].round || e.active != engines[0].active || e.completed != engines[0].completed {
			return
		}
	}
	for _, e := range engines {
		e.joined = true
	}
}

// Round returns the rank's round and whether the rank has formed in it.
func (e *ReferenceEngine) Round() (int64, bool) { return e.round, e.formed }

// StepInProgress reports whether the rank has begun a step that is not
// complete.
func (e *ReferenceEngine) StepInProgress() bool { return e.formed && e.next == e.completed+2 }
