package gateway

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// phase is what a request in flight waits for.
type phase int32

const (
	// phaseQueued is the wait for an upstream.
	phaseQueued phase = iota
	// phaseSent is the wait for the first part of the upstream's answer.
	phaseSent
	// phaseAnswering is the wait for the rest of the answer.
	phaseAnswering
	// phaseWriting is the wait for the caller to read the answer.
	phaseWriting
	phaseCount
)

// atomicPhase is a phase that is set and read concurrently.
type atomicPhase struct{ value atomic.Int32 }

func (p *atomicPhase) load() phase   { return phase(p.value.Load()) }
func (p *atomicPhase) store(v phase) { p.value.Store(int32(v)) }

var phaseNames = [phaseCount]string{"queued", "sent", "answering", "writing"}

// InFlightFields describes the requests in flight by phase, and by whether they began before
// the drain.
func (g *Gateway) InFlightFields() []zap.Field {
	g.mu.Lock()
	drainedAt := g.drainedAt
	g.mu.Unlock()
	var phases [phaseCount]int
	var older int
	var oldest, longestLeft time.Duration
	requests := g.inProgress()
	for _, r := range requests {
		phases[r.phase.load()]++
		if r.startedAt.Before(drainedAt) {
			older++
		}
		oldest = max(oldest, time.Since(r.startedAt))
		longestLeft = max(longestLeft, r.remaining())
	}
	fields := []zap.Field{
		zap.Int("requests", len(requests)), zap.Int("begun_before_drain", older),
		zap.Duration("oldest", oldest), zap.Duration("longest_left", longestLeft),
	}
	for i, name := range phaseNames {
		fields = append(fields, zap.Int(name, phases[i]))
	}
	return fields
}
