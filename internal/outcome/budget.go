package outcome

import "sync"

// The defaults of a Budget.
const (
	// DefaultRetryShare is the retries earned by one success.
	DefaultRetryShare = 0.1
	// DefaultRetryReserve is what a Budget starts with, in retries.
	DefaultRetryReserve = 10
	// DefaultRetryLimit is the most that a Budget saves up, in retries.
	DefaultRetryLimit = 100
)

// Budget bounds retries to a share of recent successes, so that retries fade
// out when an overload lets few requests succeed. It is safe for concurrent
// use; its lock is a leaf.
type Budget struct {
	share, limit float64

	mu    sync.Mutex
	saved float64
}

// NewBudget returns a budget that earns share retries by success, starts with
// reserve and saves up to limit. Over n successes it allows at most
// reserve + share*n retries.
func NewBudget(share, reserve, limit float64) *Budget {
	return &Budget{share: share, limit: limit, saved: min(reserve, limit)}
}

// Succeeded earns a share of a retry.
func (b *Budget) Succeeded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+b.share, b.limit)
}

// Spend takes one retry; false means that there is none.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
