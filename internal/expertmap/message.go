package expertmap

// RestartStep in place of a switch's step stops the group for a round and forms
// it again under the map, for engines that can't hold.
const RestartStep int64 = 0

// SwitchID names one switch: the map that a group takes up, the step that is
// the first under it or RestartStep, and the group's round in which it may
// happen.
type SwitchID struct {
	Round   int64 `json:"round"`
	Version int64 `json:"version"`
	Step    int64 `json:"step"`
}

// Order asks a rank to vote on a switch. Fence is the planner's fencing
// number.
type Order struct {
	ID    SwitchID
	Fence int64
}

// Vote is a rank's final word on a switch. It carries the order, so that a
// rank whose order was lost votes too.
type Vote struct {
	ID    SwitchID
	Fence int64
	Rank  int
	Yes   bool
	// Ask wants the receiver's own vote in return.
	Ask bool
}

// Report is what a stopped rank says of itself in a round: it is final for the
// round.
type Report struct {
	Round int64
	Rank  int
	// Active is the version of the rank's map, Completed the last step that
	// the rank knows as complete.
	Active    int64
	Completed int64
	// Want is the version of a staged map that the group was ordered to form
	// under, 0 for none. The group does if all ranks want the same.
	Want int64
	// Ask wants the receiver's own report in return.
	Ask bool
}

// RoundQuery asks every other member for its round, on behalf of an engine that
// has none. Instance names the engine's run.
type RoundQuery struct {
	Rank     int
	Instance string
}

// RoundInfo answers a RoundAsk.
type RoundInfo struct {
	Rank     int
	Instance string
	Round    int64
}

// Message is a message between the agents of a group.
type Message interface{ message() }

func (Vote) message()      {}
func (Report) message()    {}
func (RoundQuery) message()  {}
func (RoundInfo) message() {}
