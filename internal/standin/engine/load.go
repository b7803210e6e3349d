package engine

import (
	"net/http"
	"sync"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/engineapi"
	"github.com/kingcupreel/kingcupreel/internal/standin"
)

// minSampleInterval is the minimum time between two samples. A change within it
// overwrites the last sample.
const minSampleInterval = 10 * time.Millisecond

// loadHistory keeps recent load samples, so that reports can show the load as
// it was lag ago.
type loadHistory struct {
	lag time.Duration

	mu      sync.Mutex
	samples []loadSample
}

type loadSample struct {
	at   time.Time
	load engineapi.Load
}

// record adds a sample of the current load and drops samples older than the one
// that report returns.
func (g *loadHistory) record(l engineapi.Load) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if n := len(g.samples); n > 0 && now.Sub(g.samples[n-1].at) < minSampleInterval {
		g.samples[n-1].load = l
		return
	}
	g.samples = append(g.samples, loadSample{now, l})
	for len(g.samples) > 1 && now.Sub(g.samples[1].at) >= g.lag {
		g.samples = g.samples[1:]
	}
}

// report returns the newest sample that is at least lag old, or idle if there
// is none.
func (g *loadHistory) report(idle engineapi.Load) engineapi.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := idle
	for _, s := range g.samples {
		if time.Since(s.at) >= g.lag {
			out = s.load
		}
	}
	return out
}

func (e *Engine) currentLoad() engineapi.Load {
	running, queued := e.batch.counts()
	return engineapi.Load{Running: running, Queued: queued, Capacity: e.opts.Capacity}
}

func (e *Engine) showLoad(w http.ResponseWriter, _ *http.Request) {
	standin.Answer(w, e.loadHistory.report(engineapi.Load{Capacity: e.opts.Capacity}), nil)
}
