package outcome

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// WindowLimits bound the retries of one service within any time window, summed
// over all entries.
type WindowLimits struct {
	Window time.Duration
	// Ratio is the number of retries allowed per request. Allowance is the number
	// of retries allowed per window in addition.
	Ratio, Allowance float64
}

// bucketCount is the number of buckets that a window is divided into.
// WindowBudget counts over one bucket more, so that its count covers any span
// of the window's length.
const bucketCount = 20

// WindowBudget is one entry's share of a service's retry budget. Over any
// window it allows Ratio times this entry's own requests plus this entry's
// share of the allowance, so that all entries together stay within the limits
// without coordination. During its first window it grants no share of the
// allowance, because an earlier incarnation of the process may have used it. It
// is safe for concurrent use; its lock is a leaf.
type WindowBudget struct {
	limits WindowLimits
	clock  clockwork.Clock

	mu         sync.Mutex
	entryShare float64
	// start is the start of bucket 0, bucket the number of the current bucket.
	start  time.Time
	bucket int64
	// requests and retries hold the counts of the latest buckets, by the bucket's
	// number modulo their length.
	requests [bucketCount + 1]int
	retries  [bucketCount + 1]int
}

// NewWindowBudget returns an empty budget of a process that started at
// startedAt. It has no share of the allowance until SetEntryShare is called.
func NewWindowBudget(clock clockwork.Clock, limits WindowLimits, startedAt time.Time) *WindowBudget {
	return &WindowBudget{limits: limits, clock: clock, start: startedAt}
}

// SetEntryShare sets this entry's share of the allowance, 0 to 1. The shares of
// all entries add up to at most 1.
func (b *WindowBudget) SetEntryShare(entryShare float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entryShare = entryShare
}

// SetLimits changes the limits. Requests and retries already counted keep
// counting when the window's length changes.
func (b *WindowBudget) SetLimits(l WindowLimits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	if l.Window != b.limits.Window {
		b.start = b.clock.Now().Add(-time.Duration(b.bucket) * (l.Window / bucketCount))
	}
	b.limits = l
}

// RecordRequest counts a request of a caller.
func (b *WindowBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	b.requests[b.bucket%(bucketCount+1)]++
}

// TrySpend consumes one retry. It returns false if none is left.
func (b *WindowBudget) TrySpend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	if b.remaining() < 1 {
		return false
	}
	b.retries[b.bucket%(bucketCount+1)]++
	return true
}

// Remaining returns the number of retries that are left now.
func (b *WindowBudget) Remaining() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	return b.remaining()
}

// remaining is Remaining without locking. The caller holds mu.
func (b *WindowBudget) remaining() float64 {
	requests, retries := 0, 0
	for i := range b.requests {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	remaining := b.limits.Ratio*float64(requests) - float64(retries)
	if b.bucket > bucketCount {
		remaining += b.limits.Allowance * b.entryShare
	}
	return remaining
}

// advance moves to the current bucket and clears the buckets that have left the
// window. The caller holds mu.
func (b *WindowBudget) advance() {
	bucket := int64(b.clock.Since(b.start) / (b.limits.Window / bucketCount))
	for s := max(b.bucket+1, bucket-bucketCount); s <= bucket; s++ {
		b.requests[s%(bucketCount+1)] = 0
		b.retries[s%(bucketCount+1)] = 0
	}
	b.bucket = bucket
}
