// Package upstream sends single requests to upstreams over HTTP/1.1. A request
// is written at most once: the package never retries, and an error says whether
// any byte of the request may have arrived.
package upstream

import (
	"context"
	"net/http"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/httphead"
)

// Call is one request to an upstream.
type Call struct {
	// ID identifies the request; the response has to carry it.
	ID     string
	Method string
	// URI is the raw path and query as received from the caller.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// NewConnection asks for a new connection. It is set for requests that must
	// not be retried, because an idle connection may break at the moment it is
	// reused.
	NewConnection bool
	// MaySend, if not nil, is called once a connection is there, just before the request is
	// written. An error ends the call with nothing sent.
	MaySend func() error
}

func (c *Call) maySend() error {
	if c.MaySend == nil {
		return nil
	}
	return c.MaySend()
}

// Answer is a response that was read to its end.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// OpenedBefore reports whether the connection was opened before the time given to Ask.
	OpenedBefore bool
}

// Verdict is what the headers of a response say about its request and the
// responding upstream.
type Verdict struct {
	// ID is the ID of the request that the response belongs to.
	ID string
	// FromUpstream reports whether the response was created by an upstream rather
	// than by an intermediary.
	FromUpstream bool
	// NotRun reports whether the upstream did not run the request.
	NotRun bool
	// Misdirected reports whether the address now belongs to another upstream.
	Misdirected bool
	// Instance is the upstream that has the address, if the response names it.
	Instance string
	// FaultyUpstream is the address of the upstream that caused the failure, which
	// may be the one called.
	FaultyUpstream string
	// Encoded reports whether the body has a content encoding, which means that an
	// intermediary changed it.
	Encoded bool
	// Leaving reports whether the upstream is leaving and accepts no new work.
	Leaving bool
	// RetryAfter is how long the upstream wants no further requests; 0 if it names no
	// time. InvalidRetryAfter is the text of a time that could not be read.
	RetryAfter        time.Duration
	InvalidRetryAfter string
	// RequestLimit is the rate of requests, a second, that the upstream takes from all
	// entries together; 0 if it names none. InvalidRequestLimit is the text of a rate that
	// could not be read.
	RequestLimit        float64
	InvalidRequestLimit string
	// Warmup is how long the upstream says that it stays cold, 0 if it doesn't say so.
	Warmup time.Duration
}

// Codec reads the response headers of the upstreams' protocol.
type Codec interface {
	Verdict(status int, h http.Header) Verdict
}

// Stage is how far an attempt got before it failed.
type Stage int

const (
	// NotSent means that no byte of the request was written.
	NotSent Stage = iota
	// Sent means that the upstream may have received the request.
	Sent
	// ResponseStarted means that the head of the response had arrived.
	ResponseStarted
)

// Error describes a failed attempt.
type Error struct {
	Stage Stage
	// Address is the address of the upstream.
	Address string
	// Reused reports whether the connection had served other requests before.
	Reused bool
	Cause  error
}

// Error implements the error interface.
func (e *Error) Error() string {
	what := map[Stage]string{NotSent: "request not sent", Sent: "no answer", ResponseStarted: "broken answer"}[e.Stage]
	return what + " (upstream " + e.Address + "): " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Options configure a Transport. A zero duration or limit selects its default.
type Options struct {
	Codec Codec
	// ConnectTimeout bounds the TCP handshake.
	ConnectTimeout time.Duration
	// AckTimeout closes a connection whose peer host has acknowledged nothing for
	// that long.
	AckTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept for reuse when the
	// upstream announces no timeout.
	IdleTimeout time.Duration
}

// Defaults of Options.
const (
	// DefaultConnectTimeout leaves time to try a second upstream within the second
	// that a caller waits for a connection.
	DefaultConnectTimeout = 500 * time.Millisecond
	// DefaultAckTimeout is shorter than the shortest pause after which callers
	// abandon a stream.
	DefaultAckTimeout = 1500 * time.Millisecond
	// DefaultIdleTimeout is shorter than the idle timeouts of common servers.
	DefaultIdleTimeout = 4 * time.Second
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
	return o
}

var (
	errConnectionLimit = fault.New(fault.Overloaded, "try another upstream", "all connections to the upstream are in use")
	errMismatched      = fault.New(fault.Mismatch, "no action needed; the connection is closed", "the response belongs to another request")
	errEncoded         = fault.New(fault.Mismatch, "look for an intermediary that encodes responses; the response is discarded", "the response body has a content encoding")
	errHeadTooLarge    = fault.New(fault.TooLarge, "see the upstream's logs; the connection is closed", "the head of the response exceeds %d bytes", httphead.MaxBytes)
	errTooLarge        = fault.New(fault.TooLarge, "raise the limit on response bodies", "the response body is too large")
)

// contextError returns the cause of ctx's end if ctx has ended, because err is
// then only a consequence of it, and err otherwise.
func contextError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}
