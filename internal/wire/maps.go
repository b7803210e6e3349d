package wire

import (
	"github.com/kingcupreel/kingcupreel/internal/expertmap"
	"github.com/kingcupreel/kingcupreel/internal/fault"
)

// The message kinds for expert map orders.
const (
	KindMapStage Kind = iota + 70
	KindMapSwitch
	KindMapAnswer
	KindMapStatusQuery
	KindMapVote
	KindMapReport
	KindMapRoundQuery
	KindMapRoundInfo
	KindFenceQuery
	KindFenceInfo
)

// MapStage orders a rank to load the weights of a map. Fence is the planner's
// fencing number.
type MapStage struct {
	Nonce uint64
	Group string
	Fence int64
	Map   expertmap.Map
}

// MapSwitch orders a rank to vote on a switch to another map.
type MapSwitch struct {
	Nonce uint64
	Group string
	Fence int64
	ID    expertmap.SwitchID
}

// MapStatusQuery asks a rank for its map and its load.
type MapStatusQuery struct{ Nonce uint64 }

// MapAnswer answers a MapStage, MapSwitch or MapStatusQuery. Reason is empty if
// the order was accepted.
type MapAnswer struct {
	Nonce   uint64
	Rank    int
	Reason  fault.Kind
	Message string
	// Status and the fields after it are set only in answers to a MapStatusQuery.
	Status expertmap.Status
	Map    expertmap.Map
	// Window is the number of the reporting window that Tokens and StepMicros
	// belong to.
	Window int64
	// Tokens holds the tokens of each expert.
	Tokens []float64
	// StepMicros is the mean step time in microseconds.
	StepMicros int64
}

// MapVote carries a rank's vote on a switch from agent to agent.
type MapVote struct {
	Group string
	Vote  expertmap.Vote
}

// MapReport carries a rank's report from agent to agent.
type MapReport struct {
	Group  string
	Report expertmap.Report
}

// MapRoundQuery carries a query for the other rank's round from agent to agent.
type MapRoundQuery struct {
	Group string
	Query expertmap.RoundQuery
}

// MapRoundInfo carries the answer to a MapRoundQuery.
type MapRoundInfo struct {
	Group string
	Info  expertmap.RoundInfo
}

// FenceQuery asks an entry to read a group's planner lease from the key-value
// service.
type FenceQuery struct {
	Nonce uint64
	Group string
}

// FenceInfo answers a FenceQuery with the lease's holder and fencing number when
// it was read. Without a holder, Fence is the service's revision at that time: any
// later lease has a higher number.
type FenceInfo struct {
	Nonce  uint64
	Group  string
	Fence  int64
	Holder string
}

// Kind implements Message.
func (*MapStage) Kind() Kind { return KindMapStage }

// Kind implements Message.
func (*MapSwitch) Kind() Kind { return KindMapSwitch }

// Kind implements Message.
func (*MapAnswer) Kind() Kind { return KindMapAnswer }

// Kind implements Message.
func (*MapStatusQuery) Kind() Kind { return KindMapStatusQuery }

// Kind implements Message.
func (*MapVote) Kind() Kind { return KindMapVote }

// Kind implements Message.
func (*MapReport) Kind() Kind { return KindMapReport }

// Kind implements Message.
func (*MapRoundQuery) Kind() Kind { return KindMapRoundQuery }

// Kind implements Message.
func (*MapRoundInfo) Kind() Kind { return KindMapRoundInfo }

// Kind implements Message.
func (*FenceQuery) Kind() Kind { return KindFenceQuery }

// Kind implements Message.
func (*FenceInfo) Kind() Kind { return KindFenceInfo }

// mapFactories holds the factories of the messages for expert map orders, kinds 70
// to 79.
var mapFactories = map[Kind]factory{
	KindMapStage:       func() Message { return new(MapStage) },
	KindMapSwitch:      func() Message { return new(MapSwitch) },
	KindMapAnswer:      func() Message { return new(MapAnswer) },
	KindMapStatusQuery: func() Message { return new(MapStatusQuery) },
	KindMapVote:        func() Message { return new(MapVote) },
	KindMapReport:      func() Message { return new(MapReport) },
	KindMapRoundQuery:  func() Message { return new(MapRoundQuery) },
	KindMapRoundInfo:   func() Message { return new(MapRoundInfo) },
	KindFenceQuery:     func() Message { return new(FenceQuery) },
	KindFenceInfo:      func() Message { return new(FenceInfo) },
}
