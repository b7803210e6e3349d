package gateway

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/routing"
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

// stoppingRetryAfter is the delay before a caller may retry a request that a stopping gateway
// can't serve. Another one takes it at once.
const stoppingRetryAfter = 100 * time.Millisecond

// drainState is how far a planned stop has come. The zero value means that there is none.
type drainState struct {
	// startedAt is when it began, endsAt when the requests that are left are ended.
	startedAt, endsAt time.Time
	// closed is set once no more requests are taken.
	closed bool
}

// refuses reports whether a request that comes now is refused: the gateway takes none any
// more, or a request usually takes longer than the time left. usual is 0 while it isn't known.
// A stream that may be resumed is taken anyway, since another entry goes on with it.
func (d drainState) refuses(now time.Time, usual time.Duration, resumable bool) bool {
	if d.closed {
		return true
	}
	return !d.endsAt.IsZero() && !resumable && now.Add(usual).After(d.endsAt)
}

// usualDuration returns the usual time from the sending of such a request to the end of its
// answer, 0 if it isn't known.
func (q *request) usualDuration() time.Duration {
	times := q.g.Pools.times(q.service)
	if q.route.Kind == routing.Stream {
		return times.service
	}
	return times.wholeAnswer
}

// Drain begins a planned stop, at whose end Stop is to be called: the gateway isn't ready, its
// answers close their connections, and requests that would outlast it are refused.
func (g *Gateway) Drain(endsAt time.Time) {
	g.mu.Lock()
	g.drain.startedAt, g.drain.endsAt = time.Now(), endsAt
	g.mu.Unlock()
	g.draining.Store(true)
}

// RefuseNew refuses all further requests. Connections that have been accepted may still bring
// some, and one that is closed as idle may just have.
func (g *Gateway) RefuseNew() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.drain.closed = true
}

var errStopping = fault.New(fault.Unavailable, "send the request again; another entry takes it", "the entry is stopping").After(stoppingRetryAfter)

// Stop ends the requests in flight and refuses further ones. A request that hasn't been
// answered gets an error; a stream ends after a complete event without looking complete, so
// that its caller can resume it.
func (g *Gateway) Stop() {
	g.RefuseNew()
	for _, r := range g.inProgress() {
		r.cancel(errStopping)
	}
}

// InFlightFields describes the requests in flight by phase, and by whether they began before
// the drain.
func (g *Gateway) InFlightFields() []zap.Field {
	g.mu.Lock()
	drainedAt := g.drain.startedAt
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
