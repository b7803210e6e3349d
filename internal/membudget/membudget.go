// Package membudget bounds the memory that a process holds for others, such as callers that
// send or read slowly, and keeps one holder from taking it all. The package does no I/O.
package membudget

import "sync"

// Budget is a bounded amount of memory that is shared by holders. A holder gets more only while
// it holds no more than is left free for the others: one alone may hold half of the budget, of n
// equally large ones each holds 1/(n+1), and a newcomer always finds room. It is safe for
// concurrent use; its lock is a leaf.
type Budget struct {
	mu   sync.Mutex
	free int64
	held map[string]int64
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{free: limit, held: map[string]int64{}} }

// Reserve takes n bytes for a holder. It returns false, and takes nothing, if they aren't free
// or the holder would hold more than is left.
func (b *Budget) Reserve(holder string, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held[holder]+n > b.free-n {
		return false
	}
	b.free -= n
	b.held[holder] += n
	return true
}

// Release gives back n bytes of a holder.
func (b *Budget) Release(holder string, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.free += n
	if b.held[holder] -= n; b.held[holder] <= 0 {
		delete(b.held, holder)
	}
}

// Held returns the bytes that all holders hold, and those of the largest one.
func (b *Budget) Held() (total, largest int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range b.held {
		total += n
		largest = max(largest, n)
	}
	return total, largest
}
