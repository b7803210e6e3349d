// Package fault defines the typed errors of kingcupreel. Every error that
// reaches a caller or an operator has a kind, a message and a remedy, which tells
// the reader what to do next.
package fault

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Kind classifies an error. An unknown kind, such as the zero value, has
// the HTTP status of Internal.
type Kind string

// The kinds of errors.
const (
	Invalid         Kind = "invalid"
	Unauthenticated Kind = "unauthenticated"
	Forbidden       Kind = "forbidden"
	NotFound        Kind = "not_found"
	Conflict        Kind = "conflict"
	Mismatch        Kind = "mismatch"
	TooLarge        Kind = "too_large"
	Overloaded      Kind = "overloaded"
	Unavailable     Kind = "unavailable"
	Timeout         Kind = "timeout"
	Stale           Kind = "stale"
	Crashed         Kind = "crashed"
	Quarantined     Kind = "quarantined"
	Internal        Kind = "internal"
)

// Error is the error type of all packages.
type Error struct {
	Kind Kind `json:"kind"`
	// Message says what went wrong.
	Message string `json:"message"`
	// Remedy says what the reader can do about it.
	Remedy string `json:"remedy"`
	// RetryAfter is how long the caller should wait before it retries; zero
	// means that the error suggests no delay.
	RetryAfter time.Duration `json:"-"`
	// Cause is the wrapped error, or nil.
	Cause error `json:"-"`
}

// New returns an error of the given kind.
func New(kind Kind, remedy, format string, args ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...), Remedy: remedy}
}

// Wrap returns an error of the given kind that wraps cause.
func Wrap(kind Kind, cause error, remedy, format string, args ...any) *Error {
	e := New(kind, remedy, format, args...)
	e.Cause = cause
	return e
}

// After returns a copy of e with RetryAfter set.
func (e *Error) After(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error implements the error interface.
func (e *Error) Error() string {
	s := e.Message
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	if e.Remedy != "" {
		s += "; " + e.Remedy
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// As returns the *Error in err's chain. If there is none, it returns an error of
// kind Internal that wraps err.
func As(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(Internal, err, "report this as a bug, with the request id", "internal error")
}

// KindOf returns the kind of As(err), or "" if err is nil.
func KindOf(err error) Kind {
	if err == nil {
		return ""
	}
	return As(err).Kind
}

var httpStatus = map[Kind]int{
	Invalid:         http.StatusBadRequest,
	Unauthenticated: http.StatusUnauthorized,
	Forbidden:       http.StatusForbidden,
	NotFound:        http.StatusNotFound,
	Conflict:        http.StatusConflict,
	Mismatch:        http.StatusUnprocessableEntity,
	TooLarge:        http.StatusRequestEntityTooLarge,
	Overloaded:      http.StatusTooManyRequests,
	Unavailable:     http.StatusServiceUnavailable,
	Timeout:         http.StatusGatewayTimeout,
	Stale:           http.StatusConflict,
	Crashed:         http.StatusBadGateway,
	Quarantined:     http.StatusUnprocessableEntity,
	Internal:        http.StatusInternalServerError,
}

// Status returns the HTTP status code for the error.
func (e *Error) Status() int {
	if s, ok := httpStatus[e.Kind]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// RetryAfterSeconds formats d for the Retry-After header: whole seconds,
// rounded up, at least 1.
func RetryAfterSeconds(d time.Duration) string {
	s := int64((d + time.Second - 1) / time.Second)
	return strconv.FormatInt(max(s, 1), 10)
}
