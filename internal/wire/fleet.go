package wire

import "github.com/kingcupreel/kingcupreel/internal/ranks"

// The message kinds between the processes of a platform deployment; they have
// 80 to 99. RankLoad and EntryDigest travel as datagrams, one frame each.
const (
	KindRankLoad Kind = iota + 80
	KindEntryDigest
	KindConfigurationRequest
	KindConfigurationReply
	KindRankQuery
	KindRankOrder
	KindRankState
	KindRankRelay
)

// RankLoad tells entries the load of the upstream at an address.
type RankLoad struct {
	Address string
	// Started is the upstream's start in Unix milliseconds.
	Started        int64
	Queued, Active int
	Slowness       float32
	// GroupServing says that the rank's group serves and goes on with its work.
	GroupServing bool
	// Step is the last step begun.
	Step int64
}

// EntryDigest tells another entry what the sender knows.
type EntryDigest struct {
	Entry string
	// Version is the configuration in force, 0 for none.
	Version    int64
	Departures []Departure
}

// Departure names an upstream's incarnation that takes no new work.
type Departure struct {
	ID      string
	Started int64
}

// ConfigurationRequest asks an entry for its configuration.
type ConfigurationRequest struct{}

// ConfigurationReply carries a configuration as it lies in the store.
type ConfigurationReply struct{ Encoded []byte }

// RankQuery asks for the status of a rank, and for what it chose since the last
// one that asked for it, or for its experts.
type RankQuery struct {
	Nonce                   uint64
	Selections, ExpertLists bool
	// IncludeAgents names agents whose ranks' choices the answer adds to its own.
	IncludeAgents []string
}

// RankOrder hands an order to a rank's engine.
type RankOrder struct {
	Nonce uint64
	Order ranks.Order
	// ForAgent is the agent whose rank is meant, empty for the receiver's own.
	ForAgent string
}

// RankRelay hands one map to an agent that carries out the orders of its own and
// of other agents' ranks with it. Each is answered with a RankState of its own.
type RankRelay struct {
	Map    ranks.Map
	Orders []RelayedOrder
}

// RelayedOrder is an order of a RankRelay; its map is left out.
type RelayedOrder struct {
	Nonce uint64
	// Agent is the name of the process that looks after the rank.
	Agent string
	Order ranks.Order
}

// RankState answers a RankQuery, a RankOrder or an order of a RankRelay.
type RankState struct {
	Nonce   uint64
	Verdict ranks.Verdict
	Status  ranks.Status
	// OK says that Status is valid.
	OK bool
	// Selections is what was chosen since the RankQuery before, if SelectionsValid: at the rank
	// and at those of the others that the RankQuery named and that answered.
	Selections      ranks.Selections
	SelectionsValid bool
	ExpertLists     ranks.ExpertLists
}

// Kind implements Message.
func (*RankLoad) Kind() Kind { return KindRankLoad }

// Kind implements Message.
func (*EntryDigest) Kind() Kind { return KindEntryDigest }

// Kind implements Message.
func (*ConfigurationRequest) Kind() Kind { return KindConfigurationRequest }

// Kind implements Message.
func (*ConfigurationReply) Kind() Kind { return KindConfigurationReply }

// Kind implements Message.
func (*RankQuery) Kind() Kind { return KindRankQuery }

// Kind implements Message.
func (*RankOrder) Kind() Kind { return KindRankOrder }

// Kind implements Message.
func (*RankState) Kind() Kind { return KindRankState }

// Kind implements Message.
func (*RankRelay) Kind() Kind { return KindRankRelay }

var fleetFactories = map[Kind]factory{
	KindRankLoad:             func() Message { return new(RankLoad) },
	KindEntryDigest:          func() Message { return new(EntryDigest) },
	KindConfigurationRequest: func() Message { return new(ConfigurationRequest) },
	KindConfigurationReply:   func() Message { return new(ConfigurationReply) },
	KindRankQuery:            func() Message { return new(RankQuery) },
	KindRankOrder:            func() Message { return new(RankOrder) },
	KindRankState:            func() Message { return new(RankState) },
	KindRankRelay:            func() Message { return new(RankRelay) },
}
