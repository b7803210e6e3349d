package wire

import (
	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/quarantine"
)

// The message kinds for non-idempotent calls and for crash reports.
const (
	KindCallQuery Kind = iota + 40
	KindCallStatus
	KindCrashReport
)

// Ticket is the claim under which a non-idempotent call runs. The zero value means
// no claim.
type Ticket struct {
	Generation  uint32
	Incarnation string
	// ClaimedMS is the claim's wall-clock time in Unix milliseconds.
	ClaimedMS int64
}

// CallQuery asks an agent for the state of a non-idempotent call.
type CallQuery struct {
	Nonce   uint64
	Account string
	Key     string
	Ticket  Ticket
	// Fence makes the agent refuse the ticket's generation from now on if the call
	// has not run.
	Fence bool
	// Wait asks for a second answer when a call that is running ends.
	Wait bool
}

// CallStatus answers a CallQuery.
type CallStatus struct {
	Nonce uint64
	// State is a value of claim.State.
	State  string
	Answer CallAnswer
}

// CallAnswer is the stored answer of a call that has ended. BodyDropped is set if
// the body was too large to be stored.
type CallAnswer struct {
	Outcome     outcome.Outcome
	Status      int
	ContentType string
	Body        []byte
	BodyDropped bool
	Message     string
}

// CrashReport reports a crash of an upstream, or that suspected requests were
// cleared.
type CrashReport quarantine.Report

// Kind implements Message.
func (*CrashReport) Kind() Kind { return KindCrashReport }

// Kind implements Message.
func (*CallQuery) Kind() Kind { return KindCallQuery }

// Kind implements Message.
func (*CallStatus) Kind() Kind { return KindCallStatus }

// callFactories holds the factories of the messages for non-idempotent calls and
// crash reports, kinds 40 to 49.
var callFactories = map[Kind]factory{
	KindCallQuery:   func() Message { return new(CallQuery) },
	KindCallStatus:  func() Message { return new(CallStatus) },
	KindCrashReport: func() Message { return new(CrashReport) },
}
