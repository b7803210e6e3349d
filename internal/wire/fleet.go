package wire

import "github.com/kingcupreel/kingcupreel/internal/ranks"

// The message kinds between the processes of a platform deployment, 80 to 99.
// RankLoad and EntryDigest are sent as datagrams, one frame each.
const (
	KindRankLoad Kind = iota + 80
	KindEntryDigest
	KindConfigurationRequest
	KindConfigurationReply
	KindRankQuery
	KindRankOrder
	KindRankState
	KindRankRelay
	KindStoreQuery
	KindStoreReply
	KindUpstreamLimits
	KindEvacuations
)

// RankLoad reports to the entries the load of the upstream at Address.
type RankLoad struct {
	Address string
	// Started is the upstream's start time in Unix milliseconds.
	Started int64
	// Queued and Active are the numbers of waiting and running requests.
	Queued, Active int
	// Slowness is as in ranks.Status.
	Slowness float32
	// GroupServing is set while the rank's group serves and makes progress.
	GroupServing bool
	// Step is the last step that the group has begun.
	Step int64
	// Group is the name of the rank's group. Upstreams of a service may belong to
	// several groups.
	Group string
	// Leaving is set if the upstream says that it is leaving.
	Leaving bool
	// GroupSize is the number of ranks in the group, 0 if not known.
	GroupSize int
	// RequestLimit is as in ranks.Status.
	RequestLimit float64
}

// EntryDigest tells another entry which configuration and departures the sender
// knows.
type EntryDigest struct {
	Entry string
	// Version is the version of the configuration in force, 0 for none.
	Version    int64
	Departures []Departure
	// UpstreamsEra and UpstreamsRevision are the position of the last change of the
	// upstreams' registrations that the sender knows.
	UpstreamsEra, UpstreamsRevision int64
}

// Departure identifies an incarnation of an upstream that accepts no new work.
type Departure struct {
	ID string
	// Started is the incarnation's start time in Unix milliseconds, 0 for unknown.
	Started int64
}

// UpstreamLimits tells another entry the limits that upstreams have named, or ended, lately.
type UpstreamLimits struct{ Limits []UpstreamLimit }

// UpstreamLimit is the limit that an incarnation of an upstream has named.
type UpstreamLimit struct {
	ID      string
	Started int64
	// Limit is in requests a second for all entries together; 0 means that it has ended.
	Limit float64
	// AgeMS is the time since the upstream said so, in milliseconds.
	AgeMS int64
}

// Evacuations tells another entry the evacuations that the sender knows. It is sent as a
// datagram.
type Evacuations struct {
	Entry   string
	Records []Evacuation
}

// Evacuation is the latest that the sender knows of the evacuation of a data centre.
type Evacuation struct {
	DataCentre string
	// InForce is set from the operator's request until it is taken back, which are at the
	// position Era and Revision.
	InForce       bool
	Era, Revision int64
}

// ConfigurationRequest asks an entry for its configuration, as EntryDigest
// announces it. ConfigPull is its counterpart in a stand-alone deployment.
type ConfigurationRequest struct{}

// ConfigurationReply carries a configuration, encoded as in the store, and the evacuations
// that the sender knows.
type ConfigurationReply struct {
	Encoded     []byte
	Evacuations []Evacuation
}

// RankQuery asks for the status of a rank. Selections also asks for the selections
// of its experts since the last RankQuery that asked for them, ExpertLists for its
// lists of experts.
type RankQuery struct {
	Nonce                   uint64
	Selections, ExpertLists bool
	// IncludeAgents names the agents whose ranks' selections the receiver adds to
	// those of its own rank.
	IncludeAgents []string
}

// RankOrder is an order for a rank's engine.
type RankOrder struct {
	Nonce uint64
	Order ranks.Order
	// ForAgent is the name of the agent to whose rank the order is addressed. It is
	// empty for the receiver's own rank.
	ForAgent string
}

// RankRelay sends one map to an agent, which uses it for the orders to its own and
// to other agents' ranks. Each order is answered with a RankState of its own.
type RankRelay struct {
	Map    ranks.Map
	Orders []RelayedOrder
}

// RelayedOrder is an order in a RankRelay. Its map is left out, since the
// RankRelay holds it.
type RelayedOrder struct {
	Nonce uint64
	// Agent is the name of the rank's agent.
	Agent string
	Order ranks.Order
}

// RankState answers a RankQuery, a RankOrder or an order of a RankRelay.
type RankState struct {
	Nonce   uint64
	Verdict ranks.Verdict
	Status  ranks.Status
	// OK is true if Status is valid.
	OK bool
	// Selections is valid if SelectionsValid is set. It holds the selections since
	// the RankQuery before, at the rank and at the ranks of those IncludeAgents of
	// the RankQuery that have answered.
	Selections      ranks.Selections
	SelectionsValid bool
	ExpertLists     ranks.ExpertLists
	// HighestFence is the highest fence of the orders that the agent has sent to its
	// engine. It is set in answers to queries.
	HighestFence int64
}

// StoreQuery asks an entry that reads the key-value service for keys below a prefix, or
// for the changes after a position.
type StoreQuery struct {
	Nonce  uint64
	Prefix string
	// List asks for all keys, without a wait; otherwise the answer has the changes
	// after the position Era and After.
	List       bool
	Era, After int64
	// WaitMS is how long to wait for a change, in milliseconds.
	WaitMS int64
}

// StoreStatus says whether a StoreReply answers its query.
type StoreStatus uint8

// The statuses.
const (
	// StoreOK means that the reply answers the query.
	StoreOK StoreStatus = iota
	// StoreStale means that the changes after the position aren't known.
	StoreStale
	// StoreUnreachable means that the sender can't reach the key-value service.
	StoreUnreachable
	// StoreNotRead means that the sender doesn't read the key-value service itself.
	StoreNotRead
)

// StoreReply answers a StoreQuery with keys or changes as of a position.
type StoreReply struct {
	Nonce         uint64
	Status        StoreStatus
	Era, Revision int64
	Items         []StoreItem
}

// StoreItem is a key of a listing, or the change of a key. If Deleted is set, only Key
// and ModRevision are valid.
type StoreItem struct {
	Key                         string
	Value                       []byte
	CreateRevision, ModRevision int64
	Deleted                     bool
}

// Kind implements Message.
func (*StoreQuery) Kind() Kind { return KindStoreQuery }

// AnsweredNonce returns the nonce of the query.
func (r *StoreReply) AnsweredNonce() uint64 { return r.Nonce }

// AnsweredNonce returns the nonce of the query or order.
func (s *RankState) AnsweredNonce() uint64 { return s.Nonce }

// Kind implements Message.
func (*UpstreamLimits) Kind() Kind { return KindUpstreamLimits }

// Kind implements Message.
func (*Evacuations) Kind() Kind { return KindEvacuations }

// Kind implements Message.
func (*StoreReply) Kind() Kind { return KindStoreReply }

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

// fleetFactories holds the factories of the messages of a platform deployment,
// kinds 80 to 99.
var fleetFactories = map[Kind]factory{
	KindRankLoad:             func() Message { return new(RankLoad) },
	KindEntryDigest:          func() Message { return new(EntryDigest) },
	KindConfigurationRequest: func() Message { return new(ConfigurationRequest) },
	KindConfigurationReply:   func() Message { return new(ConfigurationReply) },
	KindRankQuery:            func() Message { return new(RankQuery) },
	KindRankOrder:            func() Message { return new(RankOrder) },
	KindRankState:            func() Message { return new(RankState) },
	KindRankRelay:            func() Message { return new(RankRelay) },
	KindStoreQuery:           func() Message { return new(StoreQuery) },
	KindStoreReply:           func() Message { return new(StoreReply) },
	KindUpstreamLimits:       func() Message { return new(UpstreamLimits) },
	KindEvacuations:          func() Message { return new(Evacuations) },
}
