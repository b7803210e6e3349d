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

// buckets is the number of parts of a window that are counted apart. A window
// of the budget is one part longer than the bound's, so that it covers any
// span of that length.
const buckets = 20

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
	slot     int64
	requests [buckets + 1]int
	repeats  [buckets + 1]int
}

// NewWindowBudget returns a budget of a process that began then. It has counted
// nothing and has no part of the allowance yet.
func NewWindowBudget(clock clockwork.Clock, limits WindowLimits, began time.Time) *WindowBudget {
	return &WindowBudget{limits: limits, clock: clock, start: began}
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
		b.start = b.clock.Now().Add(-time.Duration(b.slot) * (l.Window / buckets))
	}
	b.limits = l
}

// RecordRequest counts a caller's request.
func (b *WindowBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	b.requests[b.slot%(buckets+1)]++
}

// TrySpend takes one repeat; false means that there is none left.
func (b *WindowBudget) TrySpend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	if b.left() < 1 {
		return false
	}
	b.repeats[b.slot%(buckets+1)]++
	return true
}

// Remaining returns the repeats that are left now.
func (b *WindowBudget) Remaining() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	return b.left()
}

// left is Left. The caller holds mu.
func (b *WindowBudget) left() float64 {
	requests, repeats := 0, 0
	for i := range b.requests {
		requests += b.requests[i]
		repeats += b.repeats[i]
	}
	left := b.limits.Ratio*float64(requests) - float64(repeats)
	if b.slot > buckets {
		left += b.limits.Allowance * b.part
	}
	return left
}

// advance clears the parts of the window that have passed. The caller holds mu.
func (b *WindowBudget) advance() {
	slot := int64(b.clock.Since(b.start) / (b.limits.Window / buckets))
	for s := max(b.slot+1, slot-buckets); s <= slot; s++ {
		b.requests[s%(buckets+1)] = 0
		b.repeats[s%(buckets+1)] = 0
	}
	b.slot = slot
}
