package outcome

import "sync"

// Defaults of a RetryBudget.
const (
	// DefaultRetriesPerSuccess is the number of retries that one success adds.
	DefaultRetriesPerSuccess = 0.1
	// DefaultInitialRetries is the number of retries available at the start.
	DefaultInitialRetries = 10
	// DefaultMaxSavedRetries is the largest number of retries that can accumulate.
	DefaultMaxSavedRetries = 100
)

// RetryBudget bounds retries to a fraction of recent successes, so that retries
// cease when an overload lets few requests succeed. It is safe for concurrent
// use; its lock is a leaf.
type RetryBudget struct {
	perSuccess, limit float64

	mu        sync.Mutex
	available float64
}

// NewRetryBudget returns a budget that adds perSuccess retries for each
// success, starts with initial retries and accumulates at most limit. Over n
// successes it allows at most initial + perSuccess*n retries.
func NewRetryBudget(perSuccess, initial, limit float64) *RetryBudget {
	return &RetryBudget{perSuccess: perSuccess, limit: limit, available: min(initial, limit)}
}

// RecordSuccess counts a successful request, which adds to the available
// retries.
func (b *RetryBudget) RecordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = min(b.available+b.perSuccess, b.limit)
}

// TrySpend consumes one retry. It returns false if none is available.
func (b *RetryBudget) TrySpend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}
