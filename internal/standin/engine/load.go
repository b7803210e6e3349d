package engine

import (
	"net/http"
	"sync"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/engineapi"
	"github.com/kingcupreel/kingcupreel/internal/standin"
)

// loadStep is the least time between two kept states.
const loadStep = 10 * time.Millisecond

// lagged keeps the load of the last while, to report it late.
type lagged struct {
	lag time.Duration

	mu     sync.Mutex
	states []laggedLoad
}

type laggedLoad struct {
	at   time.Time
	load engineapi.Load
}

// keep records the present load.
func (g *lagged) keep(l engineapi.Load) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if n := len(g.states); n > 0 && now.Sub(g.states[n-1].at) < loadStep {
		g.states[n-1].load = l
		return
	}
	g.states = append(g.states, laggedLoad{now, l})
	for len(g.states) > 1 && now.Sub(g.states[1].at) >= g.lag {
		g.states = g.states[1:]
	}
}

// report returns the newest load that is at least the lag old; before there is
// one, an idle engine.
func (g *lagged) report(idle engineapi.Load) engineapi.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := idle
	for _, s := range g.states {
		if time.Since(s.at) >= g.lag {
			out = s.load
		}
	}
	return out
}

func (e *Engine) present() engineapi.Load {
	running, queued := e.batch.state()
	return engineapi.Load{Running: running, Queued: queued, Capacity: e.opts.Capacity}
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	standin.Answer(w, e.lagged.report(engineapi.Load{Capacity: e.opts.Capacity}), nil)
}
