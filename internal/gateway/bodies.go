package gateway

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/fault"
)

const (
	// maxBodyMemory bounds the bodies held at once, in bytes: a fifth of the
	// smallest entry VM's memory.
	maxBodyMemory = 48 << 20
	// minBodyReservation is the least memory that is taken for a body of unknown length.
	minBodyReservation = 4 << 10
)

var errBodyMemory = fault.New(fault.Unavailable, "try again shortly", "too many large bodies are held").After(time.Second)

// bodyBudget bounds the memory of the bodies held at once. Its lock is a leaf.
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

// read reads a body whole. The caller releases the capacity of what it returns,
// also with an error.
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
