package engine

import (
	"net/http"
	"slices"
	"strconv"
	"sync"

	"github.com/kingcupreel/kingcupreel/internal/engineapi"
)

// batch admits requests to the running batch, up to its capacity. Other
// requests wait, ordered by descending priority and then by arrival.
type batch struct {
	mu      sync.Mutex
	free    int
	running int
	waiting []*waiter
}

// waiter is a request in the queue; granted is closed when it gets a slot.
type waiter struct {
	priority int
	granted  chan struct{}
}

func newBatch(capacity int) *batch { return &batch{free: capacity} }

// wait waits until w gets a slot. It returns false if the caller of r
// disconnects first.
func (b *batch) wait(r *http.Request, w *waiter) bool {
	select {
	case <-w.granted:
		return true
	case <-r.Context().Done():
		return b.cancel(w)
	}
}

func priorityOf(r *http.Request) int {
	n, _ := strconv.Atoi(r.Header.Get(engineapi.HeaderPriority))
	return n
}

// enqueue adds a request to the queue.
func (b *batch) enqueue(priority int) *waiter {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := &waiter{priority: priority, granted: make(chan struct{})}
	i := slices.IndexFunc(b.waiting, func(o *waiter) bool { return o.priority < priority })
	if i < 0 {
		i = len(b.waiting)
	}
	b.waiting = slices.Insert(b.waiting, i, w)
	b.grant()
	return w
}

// cancel removes w from the queue. It returns true if w already has a slot,
// which the caller then has to release.
func (b *batch) cancel(w *waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := slices.Index(b.waiting, w)
	if i < 0 {
		return true
	}
	b.waiting = slices.Delete(b.waiting, i, i+1)
	return false
}

func (b *batch) releaseSlot() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	b.free++
	b.grant()
}

// grant gives free slots to the first waiters. The caller holds mu.
func (b *batch) grant() {
	for b.free > 0 && len(b.waiting) > 0 {
		close(b.waiting[0].granted)
		b.waiting = b.waiting[1:]
		b.free--
		b.running++
	}
}

func (b *batch) counts() (running, queued int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running, len(b.waiting)
}
