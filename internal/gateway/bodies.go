package gateway

import (
	"context"
	"io"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/membudget"
)

const (
	// maxBodyMemory is the maximum memory for the bodies of requests and of answers
	// that are read to their end, in bytes. On a small VM it is bodyMemoryFraction of the
	// VM's memory.
	maxBodyMemory      = 48 << 20
	bodyMemoryFraction = 0.2
	// minBodyReservation is the memory that is reserved first for a body of
	// unknown length, in bytes.
	minBodyReservation = 4 << 10
)

var errBodyMemory = fault.New(fault.Unavailable, "try again shortly", "the memory for bodies, or the client account's part of it, is exhausted").After(time.Second)

// bodyBudget limits the memory for bodies in all and of each client account: callers of one
// that send or read slowly hold theirs for long.
type bodyBudget struct{ *membudget.Budget }

// newBodyBudget returns the budget of a VM with the given memory in bytes, 0 for unknown.
func newBodyBudget(vmMemory int64) bodyBudget {
	limit := int64(maxBodyMemory)
	if vmMemory > 0 {
		limit = min(limit, int64(bodyMemoryFraction*float64(vmMemory)))
	}
	return bodyBudget{membudget.New(limit)}
}

// read reads a body of a client account's request or answer to its end. A negative length means
// that it is unknown. The caller releases the capacity of the returned slice, also after an error.
func (b bodyBudget) read(ctx context.Context, account string, r io.Reader, length int64) ([]byte, error) {
	size := length
	if size < 0 {
		size = minBodyReservation
	}
	if !b.Reserve(account, size) {
		return nil, errBodyMemory
	}
	body := make([]byte, 0, size)
	for {
		if len(body) == cap(body) {
			if length >= 0 {
				return body, nil
			}
			grow := int64(cap(body))
			if !b.Reserve(account, grow) {
				return body, errBodyMemory
			}
			bigger := make([]byte, len(body), 2*cap(body))
			copy(bigger, body)
			body = bigger
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			if length >= 0 && int64(len(body)) < length {
				return body, io.ErrUnexpectedEOF
			}
			return body, nil
		}
		if err != nil {
			return body, err
		}
		if ctx.Err() != nil {
			return body, context.Cause(ctx)
		}
	}
}
