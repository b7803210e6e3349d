package gateway

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/fault"
)

const (
	// maxBodyMemory is the maximum memory for the bodies of requests and of answers
	// that are read to their end, in bytes: a fifth of the memory of the smallest
	// entry VM.
	maxBodyMemory = 48 << 20
	// minBodyReservation is the memory that is reserved first for a body of
	// unknown length, in bytes.
	minBodyReservation = 4 << 10
)

var errBodyMemory = fault.New(fault.Unavailable, "try again shortly", "the memory for bodies is exhausted").After(time.Second)

// bodyBudget limits the memory for bodies. Its lock is a leaf: no
// other lock is taken while it is held.
type bodyBudget struct {
	mu   sync.Mutex
	free int64
}

func newBodyBudget(limit int64) *bodyBudget { return &bodyBudget{free: limit} }

func (b *bodyBudget) reserve(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.free < n {
		return false
	}
	b.free -= n
	return true
}

func (b *bodyBudget) release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.free += n
}

// read reads a body to its end. A negative length means that it is unknown.
// The caller releases the capacity of the returned slice, also after an error.
func (b *bodyBudget) read(ctx context.Context, r io.Reader, length int64) ([]byte, error) {
	size := length
	if size < 0 {
		size = minBodyReservation
	}
	if !b.reserve(size) {
		return nil, errBodyMemory
	}
	body := make([]byte, 0, size)
	for {
		if len(body) == cap(body) {
			if length >= 0 {
				return body, nil
			}
			grow := int64(cap(body))
			if !b.reserve(grow) {
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
