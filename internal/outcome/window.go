package outcome

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// WindowLimits bound the repeats of one service in any window over all entries
// together.
type WindowLimits struct {
	Window time.Duration
	// Ratio is the repeats allowed for each request, Allowance those allowed
	// besides.
	Ratio, Allowance float64
}

// bucketCount is the number of parts of a window that are counted apart. A window
// of the budget is one part longer than the bound's, so that it covers any
// span of that length.
const bucketCount = 20

// WindowBudget is one entry's part of the repeats of a service. Over any
// window it allows ratio times this entry's own requests and this entry's part
// of the allowance, so that the entries together stay within the limits
// without asking each other. In its first window it allows no part of the
// allowance: an earlier life of the process may have used it. It is safe for
// concurrent use; its lock is a leaf.
type WindowBudget struct {
	limits WindowLimits
	clock  clockwork.Clock

	mu       sync.Mutex
	part     float64
	start    time.Time
	bucket   int64
	requests [bucketCount + 1]int
	retries  [bucketCount + 1]int
}

// NewWindowBudget returns a budget of a process that began then. It has counted
// nothing and has no part of the allowance yet.
func NewWindowBudget(clock clockwork.Clock, limits WindowLimits, startedAt time.Time) *WindowBudget {
	return &WindowBudget{limits: limits, clock: clock, start: startedAt}
}

// SetEntryShare sets this entry's part of the allowance, 0 to 1. The parts of all
// entries add up to at most 1.
func (b *WindowBudget) SetEntryShare(part float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.part = part
}

// SetLimits changes the limits. What was counted in another window's parts
// counts on.
func (b *WindowBudget) SetLimits(l WindowLimits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	if l.Window != b.limits.Window {
		b.start = b.clock.Now().Add(-time.Duration(b.bucket) * (l.Window / bucketCount))
	}
	b.limits = l
}

// RecordRequest counts a caller's request.
func (b *WindowBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	b.requests[b.bucket%(bucketCount+1)]++
}

// TrySpend takes one repeat; false means that there is none left.
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

// Remaining returns the repeats that are left now.
func (b *WindowBudget) Remaining() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	return b.remaining()
}

// remaining is Left. The caller holds mu.
func (b *WindowBudget) remaining() float64 {
	requests, retries := 0, 0
	for i := range b.requests {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	remaining := b.limits.Ratio*float64(requests) - float64(retries)
	if b.bucket > bucketCount {
		remaining += b.limits.Allowance * b.part
	}
	return remaining
}

// advance clears the parts of the window that have passed. The caller holds mu.
func (b *WindowBudget) advance() {
	bucket := int64(b.clock.Since(b.start) / (b.limits.Window / bucketCount))
	for s := max(b.bucket+1, bucket-bucketCount); s <= bucket; s++ {
		b.requests[s%(bucketCount+1)] = 0
		b.retries[s%(bucketCount+1)] = 0
	}
	b.bucket = bucket
}
