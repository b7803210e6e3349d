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
	// maxReportInterval is the longest time between two reports.
	maxReportInterval = 4 * time.Second
	// minLoadChange and loadStepShare say which change is reported at once: so many
	// requests, or that share of the capacity if it is more.
	minLoadChange     = 2
	loadChangeDivisor = 8
)

// loadReports decides which loads are reported. Its zero value has reported
// none.
type loadReports struct {
	last   wire.Load
	sentAt time.Time
}

// due says whether a load is to be reported now, and notes that it is.
func (r *loadReports) due(load wire.Load, now time.Time) bool {
	if !r.sentAt.IsZero() && !r.changed(load) && now.Sub(r.sentAt) < maxReportInterval {
		return false
	}
	r.last, r.sentAt = load, now
	return true
}

// changed says whether the load differs enough from the last report.
func (r *loadReports) changed(load wire.Load) bool {
	if load.Silent != r.last.Silent || load.Capacity != r.last.Capacity {
		return true
	}
	change := load.Running + load.Queued - r.last.Running - r.last.Queued
	threshold := max(minLoadChange, load.Capacity/loadChangeDivisor)
	return change >= threshold || change <= -threshold
}

// reportLoad tells the entries of the engine's load, and gives up its attempts
// when the engine stays silent.
func (a *Agent) reportLoad(ctx context.Context) {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	var reports loadReports
	answeredAt := a.opts.Clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-a.configChanged:
		}
		if !a.servesModel() {
			continue
		}
		load, err := a.upstream.load(ctx)
		now := a.opts.Clock.Now()
		if err == nil {
			answeredAt = now
			a.storeLoad(&load)
		} else {
			load = reports.last
			load.Silent = true
		}
		if reports.due(load, now) {
			a.broadcast(&load)
		}
		if now.Sub(answeredAt) >= a.opts.StallTimeout {
			a.cancelStalled()
		}
	}
}

// storeLoad remembers a report for entries that connect before the next one.
func (a *Agent) storeLoad(load *wire.Load) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.load = load
}
