package outcome

import "sync"

// The defaults of a Budget.
const (
	// DefaultRetriesPerSuccess is the retries earned by one success.
	DefaultRetriesPerSuccess = 0.1
	// DefaultInitialRetries is what a Budget starts with, in retries.
	DefaultInitialRetries = 10
	// DefaultMaxSavedRetries is the most that a Budget saves up, in retries.
	DefaultMaxSavedRetries = 100
)

// RetryBudget bounds retries to a share of recent successes, so that retries fade
// out when an overload lets few requests succeed. It is safe for concurrent
// use; its lock is a leaf.
type RetryBudget struct {
	perSuccess, limit float64

	mu        sync.Mutex
	available float64
}

// NewRetryBudget returns a budget that earns share retries by success, starts with
// reserve and saves up to limit. Over n successes it allows at most
// reserve + share*n retries.
func NewRetryBudget(perSuccess, initial, limit float64) *RetryBudget {
	return &RetryBudget{perSuccess: perSuccess, limit: limit, available: min(initial, limit)}
}

// RecordSuccess earns a share of a retry.
func (b *RetryBudget) RecordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = min(b.available+b.perSuccess, b.limit)
}

// TrySpend takes one retry; false means that there is none.
func (b *RetryBudget) TrySpend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}
