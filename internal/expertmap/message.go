package expertmap

// RestartStep is the step of a switch that makes the group stop and form again
// under the new map in the next round. It is for engines that can't hold a step.
const RestartStep int64 = 0

// SwitchID identifies one switch: the round of the group in which it may
// happen, the version of the new map, and the first step that runs under it, or
// RestartStep.
type SwitchID struct {
	Round   int64 `json:"round"`
	Version int64 `json:"version"`
	Step    int64 `json:"step"`
}

// Order asks a rank to vote on a switch. Fence is the fencing number of the
// planner's lease.
type Order struct {
	ID    SwitchID
	Fence int64
}

// Vote is a rank's final vote on a switch. It carries the order's ID and
// fencing number, so that a rank that never received the order can vote too.
type Vote struct {
	ID    SwitchID
	Fence int64
	Rank  int
	Yes   bool
	// Ask requests the receiver's own vote in reply.
	Ask bool
}

// Report is a stopped rank's report for a round. It is final for that round.
//
// Engines send it as JSON under the names of its fields.
type Report struct {
	Round int64
	Rank  int
	// Active is the version of the rank's map, Completed the last step that the
	// rank knows to be complete.
	Active    int64
	Completed int64
	// Want is the version of a staged map that the group was ordered to form
	// under, 0 for none. The group forms under it if all reports want the same
	// version.
	Want int64
	// Ask requests the receiver's own report in reply.
	Ask bool
}

// RoundQuery asks every other member for its round. It is sent for an engine
// that is not in a round yet. Instance identifies the engine's run.
type RoundQuery struct {
	Rank     int
	Instance string
}

// RoundInfo answers a RoundQuery.
type RoundInfo struct {
	Rank     int
	Instance string
	Round    int64
}

// Message is a message between the agents of a group.
type Message interface{ message() }

func (Vote) message()       {}
func (Report) message()     {}
func (RoundQuery) message() {}
func (RoundInfo) message()  {}
