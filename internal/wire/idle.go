package wire

import (
	"sync"
	"time"
)

const (
	// IdleFactor is the factor by which the heartbeat of a connection between entry
	// and agent is slower while no request uses it; see Options.IdleFactor.
	IdleFactor = 4
	// activeWindow is how long a connection counts as active after a frame of a
	// request or a map switch, sent or received. Both sides see the same frames.
	activeWindow = 5 * time.Second
)

// activity tracks whether requests use a connection, when it last sent and
// received, and so when a heartbeat is due and when the peer counts as silent. Its
// lock is a leaf lock.
type activity struct {
	heartbeat      time.Duration
	silenceTimeout time.Duration
	idleFactor     int

	mu sync.Mutex
	// usedAt is when the last frame of a request or a map switch was sent or
	// received, activeSince when the connection last became active.
	usedAt      time.Time
	activeSince time.Time
	// receivedAt and sentAt are the times of the last traffic in each direction.
	receivedAt time.Time
	sentAt     time.Time
}

func newActivity(o Options, now time.Time) *activity {
	return &activity{heartbeat: o.HeartbeatInterval, silenceTimeout: o.SilenceTimeout, idleFactor: max(o.IdleFactor, 1), receivedAt: now, sentAt: now}
}

// isActive reports whether the connection uses the short heartbeat: requests use
// it, or idleFactor is 1. The caller holds mu.
func (a *activity) isActive(now time.Time) bool {
	return a.idleFactor == 1 || !a.usedAt.IsZero() && now.Sub(a.usedAt) < activeWindow
}

// markUsed records a frame of a request or a map switch. It reports whether the
// connection was idle before, in which case the read deadline must be set again.
func (a *activity) markUsed(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	wasIdle := !a.isActive(now)
	if wasIdle {
		a.activeSince = now
	}
	a.usedAt = now
	return wasIdle
}

// markReceived records that bytes arrived from the peer.
func (a *activity) markReceived(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.receivedAt = now
}

// markSent records that frames were sent.
func (a *activity) markSent(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sentAt = now
}

// pingDue reports whether a Ping must be sent now.
func (a *activity) pingDue(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	interval := a.heartbeat
	if !a.isActive(now) {
		interval *= time.Duration(a.idleFactor)
	}
	// A Ping is sent half a heartbeat early: otherwise it could be delayed by up to
	// a whole interval of the ticker that polls pingDue.
	return now.Sub(a.sentAt) >= interval-a.heartbeat/2
}

// deadline returns the time at which the peer counts as silent if it sends
// nothing more.
func (a *activity) deadline(now time.Time) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.isActive(now) {
		return a.receivedAt.Add(a.silenceTimeout * time.Duration(a.idleFactor))
	}
	if a.activeSince.After(a.receivedAt) {
		return a.activeSince.Add(a.silenceTimeout)
	}
	return a.receivedAt.Add(a.silenceTimeout)
}
