package wire

import (
	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/quarantine"
)

// The message kinds of calls that must not run twice and of poison requests.
const (
	KindCallQuery Kind = iota + 40
	KindCallStatus
	KindCrashReport
)

// Ticket is the claim that a non-idempotent call runs under. Its zero value
// means none.
type Ticket struct {
	Generation  uint32
	Incarnation string
	// ClaimedMS is the claim's wall-clock time in Unix milliseconds.
	ClaimedMS int64
}

// CallQuery asks an agent for its word on a non-idempotent call.
type CallQuery struct {
	Nonce   uint64
	Account string
	Key     string
	Ticket  Ticket
	// Fence forbids the ticket's generation if the call has not run.
	Fence bool
	// Wait asks for a second answer when a running call has ended.
	Wait bool
}

// CallStatus answers a CallQuery.
type CallStatus struct {
	Nonce uint64
	// State is one of package claim's states.
	State  string
	Answer CallAnswer
}

// CallAnswer is the kept answer to a call that ended.
type CallAnswer struct {
	Outcome     outcome.Outcome
	Status      int
	ContentType string
	Body        []byte
	BodyDropped bool
	Message     string
}

// CrashReport tells of an engine's crash, or of requests that were cleared.
type CrashReport quarantine.Report

// Kind implements Message.
func (*CrashReport) Kind() Kind { return KindCrashReport }

// Kind implements Message.
func (*CallQuery) Kind() Kind { return KindCallQuery }

// Kind implements Message.
func (*CallStatus) Kind() Kind { return KindCallStatus }

// callFactories makes the messages of calls that must not run twice, kinds 40 to 49.
var callFactories = map[Kind]factory{
	KindCallQuery:   func() Message { return new(CallQuery) },
	KindCallStatus:  func() Message { return new(CallStatus) },
	KindCrashReport: func() Message { return new(CrashReport) },
}
