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
	first := b.join(0)
	low, old, young := b.join(1), b.join(5), b.join(5)
	for _, want := range []*place{first, old, young, low} {
		select {
		case <-want.granted:
		default:
			t.Fatal("not granted in order")
		}
		b.leave()
	}
}

func TestBatchAbandon(t *testing.T) {
	b := newBatch(1)
	b.join(0)
	p := b.join(0)
	if b.abandon(p) {
		t.Fatal("a waiting place counts as granted")
	}
	if running, queued := b.state(); running != 1 || queued != 0 {
		t.Fatalf("running=%d queued=%d", running, queued)
	}
}

func TestCacheIsBounded(t *testing.T) {
	c := newCache(2, 0, 0)
	for _, prompt := range []string{"a", "b", "a", "c"} {
		c.use(prompt)
	}
	if !c.use("a") || c.use("b") {
		t.Fatal("the cache does not keep the prefixes used last")
	}
}

func TestCacheEventsComeLate(t *testing.T) {
	c := newCache(2, time.Hour, 0)
	c.use("a")
	w := httptest.NewRecorder()
	c.show(w, httptest.NewRequest(http.MethodGet, "/cache/events", http.NoBody))
	if w.Body.String() != "[]\n" {
		t.Fatalf("events %s", w.Body)
	}
}

func TestLoadLags(t *testing.T) {
	g := lagged{lag: time.Hour}
	g.keep(engineapi.Load{Running: 3, Capacity: 4})
	if l := g.report(engineapi.Load{Capacity: 4}); l.Running != 0 {
		t.Fatalf("running %d", l.Running)
	}
	g.lag = 0
	if l := g.report(engineapi.Load{Capacity: 4}); l.Running != 3 {
		t.Fatalf("running %d", l.Running)
	}
}
