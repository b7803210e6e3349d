package engine

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/engineapi"
)

func TestBatchGrantsByPriorityThenAge(t *testing.T) {
	b := newBatch(1)
	first := b.enqueue(0)
	low, old, young := b.enqueue(1), b.enqueue(5), b.enqueue(5)
	for _, want := range []*waiter{first, old, young, low} {
		select {
		case <-want.granted:
		default:
			t.Fatal("not granted in order")
		}
		b.releaseSlot()
	}
}

func TestCancelRemovesWaitingRequest(t *testing.T) {
	b := newBatch(1)
	b.enqueue(0)
	w := b.enqueue(0)
	if b.cancel(w) {
		t.Fatal("cancel reports a slot for a waiting request")
	}
	if running, queued := b.counts(); running != 1 || queued != 0 {
		t.Fatalf("running=%d queued=%d", running, queued)
	}
}

func TestCacheEvictsLeastRecentlyUsed(t *testing.T) {
	c := newCache(2, 0, 0)
	for _, prompt := range []string{"a", "b", "a", "c"} {
		c.access(prompt)
	}
	if !c.access("a") || c.access("b") {
		t.Fatal("the cache does not evict the least recently used prefix")
	}
}

func TestCacheEventsAreDelayed(t *testing.T) {
	c := newCache(2, time.Hour, 0)
	c.access("a")
	w := httptest.NewRecorder()
	c.showEvents(w, httptest.NewRequest(http.MethodGet, "/cache/events", http.NoBody))
	if w.Body.String() != "[]\n" {
		t.Fatalf("events %s", w.Body)
	}
}

func TestLoadReportIsDelayed(t *testing.T) {
	g := loadHistory{lag: time.Hour}
	g.record(engineapi.Load{Running: 3, Capacity: 4})
	if l := g.report(engineapi.Load{Capacity: 4}); l.Running != 0 {
		t.Fatalf("running %d", l.Running)
	}
	g.lag = 0
	if l := g.report(engineapi.Load{Capacity: 4}); l.Running != 3 {
		t.Fatalf("running %d", l.Running)
	}
}
