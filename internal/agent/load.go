package agent

import (
	"context"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/wire"
)

const (
	// loadInterval is how often the agent asks its engine for the load, and
	// loadTimeout bounds the engine's answer.
	loadInterval = 500 * time.Millisecond
	loadTimeout  = 2 * time.Second
	// loadRepeat is the longest time between two reports.
	loadRepeat = 4 * time.Second
	// minLoadStep and loadStepShare say which change is reported at once: so many
	// requests, or that share of the capacity if it is more.
	minLoadStep   = 2
	loadStepShare = 8
)

// loadReports decides which loads are reported. Its zero value has reported
// none.
type loadReports struct {
	last wire.Load
	at   time.Time
}

// due says whether a load is to be reported now, and notes that it is.
func (r *loadReports) due(load wire.Load, now time.Time) bool {
	if !r.at.IsZero() && !r.stepped(load) && now.Sub(r.at) < loadRepeat {
		return false
	}
	r.last, r.at = load, now
	return true
}

// stepped says whether the load differs enough from the last report.
func (r *loadReports) stepped(load wire.Load) bool {
	if load.Silent != r.last.Silent || load.Capacity != r.last.Capacity {
		return true
	}
	change := load.Running + load.Queued - r.last.Running - r.last.Queued
	step := max(minLoadStep, load.Capacity/loadStepShare)
	return change >= step || change <= -step
}

// reportLoad tells the entries of the engine's load, and gives up its attempts
// when the engine stays silent.
func (a *Agent) reportLoad(ctx context.Context) {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	var reports loadReports
	heard := a.opts.Clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-a.configured:
		}
		if !a.servesModel() {
			continue
		}
		load, err := a.upstream.load(ctx)
		now := a.opts.Clock.Now()
		if err == nil {
			heard = now
			a.keepLoad(&load)
		} else {
			load = reports.last
			load.Silent = true
		}
		if reports.due(load, now) {
			a.broadcast(&load)
		}
		if now.Sub(heard) >= a.opts.StallTimeout {
			a.giveUpStalled()
		}
	}
}

// keepLoad remembers a report for entries that connect before the next one.
func (a *Agent) keepLoad(load *wire.Load) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.load = load
}
