package agent

import (
	"context"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/wire"
)

const (
	// loadInterval is how often the agent reads its engine's load; loadTimeout
	// bounds one read.
	loadInterval = 500 * time.Millisecond
	loadTimeout  = 2 * time.Second
	// maxReportInterval is the longest time between two load reports.
	maxReportInterval = 4 * time.Second
	// A change of the load is reported at once if it is at least minLoadChange
	// requests and at least 1/loadChangeDivisor of the capacity.
	minLoadChange     = 2
	loadChangeDivisor = 8
)

// loadReports decides which loads are reported. Its zero value has reported
// none.
type loadReports struct {
	// last is the last report, sent at sentAt.
	last   wire.Load
	sentAt time.Time
}

// due reports whether a load is to be sent now, and if so records it as sent.
func (r *loadReports) due(load wire.Load, now time.Time) bool {
	if !r.sentAt.IsZero() && !r.changed(load) && now.Sub(r.sentAt) < maxReportInterval {
		return false
	}
	r.last, r.sentAt = load, now
	return true
}

// changed reports whether the load differs enough from the last report to be
// sent at once.
func (r *loadReports) changed(load wire.Load) bool {
	if load.Silent != r.last.Silent || load.Capacity != r.last.Capacity {
		return true
	}
	change := load.Running + load.Queued - r.last.Running - r.last.Queued
	threshold := max(minLoadChange, load.Capacity/loadChangeDivisor)
	return change >= threshold || change <= -threshold
}

// reportLoad reads the engine's load periodically and reports it to the entries,
// until ctx is done. If the engine gives no answer for StallTimeout, its
// attempts are cancelled.
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

// storeLoad keeps a load for entries that connect before the next report.
func (a *Agent) storeLoad(load *wire.Load) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.load = load
}
