package wire

import (
	"maps"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/quarantine"
	"github.com/kingcupreel/kingcupreel/internal/timeline"
)

// Kind is the kind of a frame's message. Values are part of the protocol and must
// not be reused. Each group of messages has a range and a file of its own: 1 to 39
// here, 40 to 49 in calls.go, 50 to 59 in usage.go, 60 to 69 in configuration.go,
// 70 to 79 in maps.go and 80 to 99 in fleet.go.
type Kind uint8

// The message kinds.
const (
	KindHello Kind = iota + 1
	KindPing
	KindDispatch
	KindAccepted
	KindRefused
	KindHead
	KindChunk
	KindDone
	KindCancel
	KindVerdict
	KindLoad
	KindLeaving
	KindConfigDigest
	KindEventsRequest
	KindEventsReply
	KindAttach
	KindRelease
	KindRequestLimit
)

// Message is a typed message of the inner protocol.
type Message interface {
	// Kind returns the message's frame kind.
	Kind() Kind
}

// Role is the role of a process.
type Role string

// The roles.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Hello identifies the sender. It is the first message on a connection, in both
// directions.
type Hello struct {
	Process     string
	Incarnation string
	Role        Role
	DataCentre  string
	// Upstream is the upstream's name; empty for an entry.
	Upstream string
	// Revision is the configuration revision in force at the sender.
	Revision int64
	// LastDispatch is the DispatchNumber of the entry's last dispatch, 0 for an
	// agent.
	LastDispatch uint64
	// Stamp is the sender's clock; Conn.Send sets it.
	Stamp timeline.Stamp
	// VM is the id of the sender's VM in the VM list. It is empty if the VM is not
	// listed.
	VM string
}

// Ping is the heartbeat of a sender that has nothing else to send.
type Ping struct{}

// AttemptID identifies one attempt of one request at one incarnation of an agent.
type AttemptID struct {
	Request     string
	Attempt     uint32
	Incarnation string
	// DispatchNumber counts the dispatches of the entry's incarnation, from 1. On
	// each connection, dispatches are sent with increasing numbers.
	DispatchNumber uint64
}

// MaxAnswerBody bounds the body of an answer that isn't a stream, in bytes.
const MaxAnswerBody = 16 << 20

// Dispatch sends an attempt to an agent.
type Dispatch struct {
	ID          AttemptID
	Account     string
	Priority    int
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// Model is set for completions, Service for plain services.
	Model   string
	Service string
	// TimeoutMS is the time left until the caller's deadline, in milliseconds.
	TimeoutMS int64
	// NonIdempotent marks a call that must not run twice.
	NonIdempotent bool
	// Key is the caller's idempotency key, empty for none.
	Key string
	// ResumeFrom is the number of chunks that the caller already has.
	ResumeFrom uint64
	// ResumeText is the text generated so far, for a resumed stream.
	ResumeText string
	// ResumeTokens is the number of tokens in ResumeText.
	ResumeTokens int
	// Stamp is the sender's clock; Conn.Send sets it.
	Stamp timeline.Stamp
	// Stream is set if the caller wants the answer streamed.
	Stream bool
	// Ticket is the claim under which a non-idempotent call runs.
	Ticket Ticket
	// Isolated makes the attempt wait until no other isolated one runs at the
	// agent.
	Isolated bool
	// SharedParts are the parts that other requests may share; see quarantine.Suspect.
	SharedParts []quarantine.Fingerprint
}

// Accepted means that the agent has queued the attempt, or, in answer to an
// Attach, that it still has it.
type Accepted struct{ ID AttemptID }

// Refused means that the agent has not run the attempt and never will.
type Refused struct {
	ID           AttemptID
	Reason       fault.Kind
	Message      string
	RetryAfterMS int64
	// Stamp is the sender's clock; Conn.Send sets it.
	Stamp timeline.Stamp
}

// Head carries the status and the content type of the answer.
type Head struct {
	ID          AttemptID
	Status      int
	ContentType string
}

// Chunk carries a part of the answer. Seq counts from 1 without gaps.
type Chunk struct {
	ID   AttemptID
	Seq  uint64
	Data []byte
}

// Done reports the outcome of an attempt that has ended. Chunks is the Seq of its
// last chunk.
type Done struct {
	ID      AttemptID
	Chunks  uint64
	Outcome outcome.Outcome
	Reason  fault.Kind
	Message string
	// Stamp is the sender's clock; Conn.Send sets it.
	Stamp timeline.Stamp
}

// Cancel stops an attempt, or fences it if it has not arrived yet, so that it
// never runs.
type Cancel struct {
	ID AttemptID
	// OnlyIfWaiting limits the Cancel to an attempt that has not been sent to the
	// upstream yet. A running one continues.
	OnlyIfWaiting bool
}

// Attach asks for an attempt's answer on this connection, from the chunk after
// AfterSeq. The agent replays Accepted, Head, Chunks and Done, or answers with a
// Verdict if it no longer can. An attempt that has not arrived is fenced.
type Attach struct {
	ID       AttemptID
	AfterSeq uint64
}

// Release tells the agent that the entry has received the attempt's outcome and
// needs no replay.
type Release struct{ ID AttemptID }

// AttemptState is the state of an attempt at an agent.
type AttemptState string

// The attempt states.
const (
	// NeverSeen means that the attempt has not arrived and is now fenced.
	NeverSeen AttemptState = "never-seen"
	// NeverRun means that the attempt arrived and was refused or withdrawn
	// before it was sent to the engine.
	NeverRun AttemptState = "never-run"
	// Running means that the attempt was accepted and has not ended.
	Running AttemptState = "running"
	// Ended means that the attempt ran and has ended.
	Ended AttemptState = "ended"
	// Forgotten means that the agent's journal doesn't cover the attempt.
	Forgotten AttemptState = "forgotten"
)

// Verdict answers a Cancel, or an Attach that can't be served.
type Verdict struct {
	ID    AttemptID
	State AttemptState
}

// Load is an agent's report of its engine's load, in requests.
type Load struct {
	Running  int
	Queued   int
	Capacity int
	// Silent is set if the engine doesn't answer. The other fields are then those of
	// its last answer.
	Silent bool
}

// Leaving announces that the sender is draining and accepts no new work.
type Leaving struct{}

// RequestLimit is the receiving entry's share of the limit that the agent's upstream has
// named, in requests a second; 0 for no limit.
type RequestLimit struct{ Rate float64 }

// ConfigDigest announces the configuration revision in force at the sender.
type ConfigDigest struct{ Revision int64 }

// ConfigRecord is one configuration record as stored.
type ConfigRecord struct {
	Key      string
	Value    []byte
	Revision int64
}

// EventsRequest asks for the peer's event ring.
type EventsRequest struct{ Nonce uint64 }

// EventsReply carries the peer's event ring.
type EventsReply struct {
	Nonce  uint64
	Events []timeline.Event
}

// Kind implements Message.
func (*Hello) Kind() Kind { return KindHello }

// Kind implements Message.
func (*Ping) Kind() Kind { return KindPing }

// Kind implements Message.
func (*Dispatch) Kind() Kind { return KindDispatch }

// Kind implements Message.
func (*Accepted) Kind() Kind { return KindAccepted }

// Kind implements Message.
func (*Refused) Kind() Kind { return KindRefused }

// Kind implements Message.
func (*Head) Kind() Kind { return KindHead }

// Kind implements Message.
func (*Chunk) Kind() Kind { return KindChunk }

// Kind implements Message.
func (*Done) Kind() Kind { return KindDone }

// Kind implements Message.
func (*Cancel) Kind() Kind { return KindCancel }

// Kind implements Message.
func (*Verdict) Kind() Kind { return KindVerdict }

// Kind implements Message.
func (*Load) Kind() Kind { return KindLoad }

// Kind implements Message.
func (*Leaving) Kind() Kind { return KindLeaving }

// Kind implements Message.
func (*RequestLimit) Kind() Kind { return KindRequestLimit }

// Kind implements Message.
func (*ConfigDigest) Kind() Kind { return KindConfigDigest }

// Kind implements Message.
func (*EventsRequest) Kind() Kind { return KindEventsRequest }

// Kind implements Message.
func (*EventsReply) Kind() Kind { return KindEventsReply }

// Kind implements Message.
func (*Attach) Kind() Kind { return KindAttach }

// Kind implements Message.
func (*Release) Kind() Kind { return KindRelease }

// factories holds the factory of each kind.
var factories = merge(coreFactories, callFactories, usageFactories, configurationFactories, mapFactories, fleetFactories)

// factory returns a new empty message.
type factory = func() Message

func merge(tables ...map[Kind]factory) map[Kind]factory {
	all := map[Kind]factory{}
	for _, t := range tables {
		maps.Copy(all, t)
	}
	return all
}

// coreFactories holds the factories of the messages in this file, kinds 1 to 39.
var coreFactories = map[Kind]factory{
	KindHello:         func() Message { return new(Hello) },
	KindPing:          func() Message { return new(Ping) },
	KindDispatch:      func() Message { return new(Dispatch) },
	KindAccepted:      func() Message { return new(Accepted) },
	KindRefused:       func() Message { return new(Refused) },
	KindHead:          func() Message { return new(Head) },
	KindChunk:         func() Message { return new(Chunk) },
	KindDone:          func() Message { return new(Done) },
	KindCancel:        func() Message { return new(Cancel) },
	KindVerdict:       func() Message { return new(Verdict) },
	KindLoad:          func() Message { return new(Load) },
	KindLeaving:       func() Message { return new(Leaving) },
	KindConfigDigest:  func() Message { return new(ConfigDigest) },
	KindEventsRequest: func() Message { return new(EventsRequest) },
	KindEventsReply:   func() Message { return new(EventsReply) },
	KindAttach:        func() Message { return new(Attach) },
	KindRelease:       func() Message { return new(Release) },
	KindRequestLimit:  func() Message { return new(RequestLimit) },
}
