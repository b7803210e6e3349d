package kvstore

import (
	"context"
	"sync"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/fault"
)

// Position is a place in the history of the key-value service. When the service comes
// back from an older copy, it begins a new era and gives revisions out again, so that
// revisions of different eras can't be compared.
type Position struct {
	// Era is 0 for a service that has none.
	Era, Revision int64
}

// After reports whether p is later than q.
func (p Position) After(q Position) bool {
	if p.Era != q.Era {
		return p.Era > q.Era
	}
	return p.Revision > q.Revision
}

// fencingRevisionBits is the number of low bits of a fencing number that hold the
// revision. Map versions of the stand-alone deployment need the highest 20 bits.
const fencingRevisionBits = 33

// FencingNumber returns a number that increases with the revision, and with the era while
// revisions fit into fencingRevisionBits.
func (p Position) FencingNumber() int64 { return p.Era<<fencingRevisionBits + p.Revision }

// Eras tracks the era of the key-value service as its answers state it. A nil *Eras
// belongs to a service without eras. It is safe for concurrent use.
type Eras struct {
	mu      sync.Mutex // leaf
	current int64
	risen   chan struct{}
}

// NewEras returns a tracker that has seen no era.
func NewEras() *Eras { return &Eras{risen: make(chan struct{})} }

// Observe records the era of an answer. Answers of earlier eras arrive late and change
// nothing.
func (e *Eras) Observe(era int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if era <= e.current {
		return
	}
	first := e.current == 0
	e.current = era
	if !first {
		close(e.risen)
		e.risen = make(chan struct{})
	}
}

// Current returns the latest era seen, and a channel that is closed when a later one is
// seen. The first era that is seen closes no channel.
func (e *Eras) Current() (era int64, risen <-chan struct{}) {
	if e == nil {
		return 0, nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current, e.risen
}

// Has reports whether era is the latest era seen.
func (e *Eras) Has(era int64) bool {
	current, _ := e.Current()
	return current == era
}

// Lease is a lease of the key-value service. The zero value is no lease.
type Lease struct {
	ID int64
	// Era is the era in which the lease was granted. The lease ends with it, although
	// the service may give its ID out again.
	Era int64
}

// ErrNewEra means that a lease ended because the service began a new era.
var ErrNewEra error = fault.New(fault.NotFound, "no action needed; a new lease is granted", "the key-value service began a new era, which doesn't have the lease")

// Grant creates a lease that expires after ttl unless it is renewed.
func Grant(ctx context.Context, kv KV, ttl time.Duration) (Lease, error) {
	before, _ := kv.Eras().Current()
	id, err := kv.Grant(ctx, ttl)
	if err != nil {
		return Lease{}, err
	}
	era, _ := kv.Eras().Current()
	if before != 0 && era != before {
		return Lease{}, ErrNewEra
	}
	return Lease{ID: id, Era: era}, nil
}

// EndedWithEra reports whether the service began a new era since the lease was granted.
func (l Lease) EndedWithEra(kv KV) bool { return !kv.Eras().Has(l.Era) }
