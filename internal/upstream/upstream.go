// Package upstream carries single requests to upstreams over HTTP/1.1. A
// request is written at most once: nothing here sends it again, and an error
// says whether any byte of it may have arrived.
package upstream

import (
	"context"
	"net/http"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/fault"
)

// Call is one request as it goes to an upstream.
type Call struct {
	// ID names the request; an answer has to carry it.
	ID     string
	Method string
	// URI is the raw path and query, as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// NewConnection asks for a new connection, for a request that can't be repeated:
	// one that has been idle may break just as it is used.
	NewConnection bool
}

// Verdict is what an answer says of the fate of its request.
type Verdict struct {
	// ID is the request that the answer belongs to.
	ID string
	// FromUpstream says that the answer is an upstream's own.
	FromUpstream bool
	// NotRun says that the upstream did not run the request.
	NotRun bool
	// Misdirected says that another upstream has the address.
	Misdirected bool
	// Instance is the upstream that has the address, if the answer tells.
	Instance string
	// FaultyUpstream is the address of the upstream that is at fault, which may be the
	// one called.
	FaultyUpstream string
	// Encoded says that the body is encoded and so is not the upstream's own.
	Encoded bool
}

// Codec reads the headers of the upstreams' protocol.
type Codec interface {
	Verdict(status int, h http.Header) Verdict
}

// Stage says how far a failed attempt came.
type Stage int

// The stages.
const (
	// NotSent means that no byte of the request was written.
	NotSent Stage = iota
	// Sent means that the upstream may have the request.
	Sent
	// ResponseStarted means that an answer had begun.
	ResponseStarted
)

// Error is a failed attempt.
type Error struct {
	Stage Stage
	// Address is the upstream's.
	Address string
	// Reused says that the connection had served other requests.
	Reused bool
	Cause  error
}

// Error implements the error interface.
func (e *Error) Error() string {
	what := map[Stage]string{NotSent: "request not sent", Sent: "no answer", ResponseStarted: "broken answer"}[e.Stage]
	return what + " from " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Options set a transport's limits.
type Options struct {
	Codec Codec
	// ConnectTimeout bounds a handshake.
	ConnectTimeout time.Duration
	// AckTimeout ends a connection whose peer host acknowledges nothing.
	AckTimeout time.Duration
	// IdleTimeout is how long a connection is kept for reuse when the upstream
	// doesn't say.
	IdleTimeout time.Duration
	// MaxBufferedBody bounds an answer's body that is read whole, in bytes.
	MaxBufferedBody int64
}

// Defaults of Options.
const (
	// DefaultConnectTimeout leaves time for a second upstream within a caller's
	// patience of a second for its connection.
	DefaultConnectTimeout = 500 * time.Millisecond
	// DefaultAckTimeout is under the shortest pause after which callers give up a
	// stream.
	DefaultAckTimeout = 1500 * time.Millisecond
	// DefaultIdleTimeout is under the idle timeouts of common servers.
	DefaultIdleTimeout = 4 * time.Second
	// DefaultMaxBufferedBody is the platform's bound on bodies.
	DefaultMaxBufferedBody = 4 << 20
)

func (o Options) withDefaults() Options {
	if o.ConnectTimeout == 0 {
		o.ConnectTimeout = DefaultConnectTimeout
	}
	if o.AckTimeout == 0 {
		o.AckTimeout = DefaultAckTimeout
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	if o.MaxBufferedBody == 0 {
		o.MaxBufferedBody = DefaultMaxBufferedBody
	}
	return o
}

var (
	errConnectionLimit = fault.New(fault.Overloaded, "try another upstream", "all connections to the upstream are in use")
	errMismatched      = fault.New(fault.Mismatch, "the connection is closed", "the answer belongs to another request")
	errEncoded         = fault.New(fault.Mismatch, "the answer is dropped", "the answer's body is encoded")
	errTooLarge        = fault.New(fault.TooLarge, "raise the bound on answers", "the answer's body is too large")
)

// contextError prefers the context's end over the error that it led to.
func contextError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}
