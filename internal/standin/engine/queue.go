package engine

import (
	"net/http"
	"slices"
	"strconv"
	"sync"

	"github.com/kingcupreel/kingcupreel/internal/engineapi"
)

// batch is the running batch with the requests that wait for a place in it, by
// priority and then by age.
type batch struct {
	mu      sync.Mutex
	free    int
	running int
	waiting []*place
}

// place is a request that waits; granted is closed when it may run.
type place struct {
	priority int
	granted  chan struct{}
}

func newBatch(capacity int) *batch { return &batch{free: capacity} }

// wait waits for a place that was joined; false means that the caller left.
func (b *batch) wait(r *http.Request, p *place) bool {
	select {
	case <-p.granted:
		return true
	case <-r.Context().Done():
		return b.abandon(p)
	}
}

func priorityOf(r *http.Request) int {
	n, _ := strconv.Atoi(r.Header.Get(engineapi.HeaderPriority))
	return n
}

// join queues for a place.
func (b *batch) join(priority int) *place {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := &place{priority: priority, granted: make(chan struct{})}
	at := slices.IndexFunc(b.waiting, func(o *place) bool { return o.priority < priority })
	if at < 0 {
		at = len(b.waiting)
	}
	b.waiting = slices.Insert(b.waiting, at, p)
	b.grant()
	return p
}

// abandon takes a place out of the queue; true means that it was granted
// before.
func (b *batch) abandon(p *place) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := slices.Index(b.waiting, p)
	if at < 0 {
		return true
	}
	b.waiting = slices.Delete(b.waiting, at, at+1)
	return false
}

func (b *batch) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	b.free++
	b.grant()
}

// grant gives free places to those waiting. The caller holds mu.
func (b *batch) grant() {
	for b.free > 0 && len(b.waiting) > 0 {
		close(b.waiting[0].granted)
		b.waiting = b.waiting[1:]
		b.free--
		b.running++
	}
}

func (b *batch) state() (running, queued int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running, len(b.waiting)
}
