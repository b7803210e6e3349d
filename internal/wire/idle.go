package wire

import (
	"sync"
	"time"
)

const (
	// IdleFactor is how many times slower the heartbeat of a connection between
	// entry and agent is while no request uses it.
	IdleFactor = 4
	// activeWindow is how long a connection counts as used after a frame of a
	// request, sent or received. Both sides see the same frames.
	activeWindow = 5 * time.Second
)

// activity knows whether requests use a connection, and so how often it must
// show a sign of life. Its lock is a leaf.
type activity struct {
	heartbeat      time.Duration
	silenceTimeout time.Duration
	idleFactor     int

	mu     sync.Mutex
	usedAt time.Time
	// activeSince is when the connection became used, heard the last sign of the peer.
	activeSince time.Time
	receivedAt  time.Time
	sentAt      time.Time
}

func newActivity(o Options, now time.Time) *activity {
	return &activity{heartbeat: o.HeartbeatInterval, silenceTimeout: o.SilenceTimeout, idleFactor: max(o.IdleFactor, 1), receivedAt: now, sentAt: now}
}

// isActive says whether requests use the connection. The caller holds mu.
func (a *activity) isActive(now time.Time) bool {
	return a.idleFactor == 1 || !a.usedAt.IsZero() && now.Sub(a.usedAt) < activeWindow
}

// markUsed notes a frame of a request; true means that the connection was idle
// before, so that the wait for the peer has to be bounded anew.
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

// markReceived notes a sign of the peer.
func (a *activity) markReceived(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.receivedAt = now
}

// markSent notes that frames were sent.
func (a *activity) markSent(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sentAt = now
}

// pingDue says whether the peer is owed a sign of life.
func (a *activity) pingDue(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	interval := a.heartbeat
	if !a.isActive(now) {
		interval *= time.Duration(a.idleFactor)
	}
	// Half a heartbeat early, so that the ticker's phase costs no interval.
	return now.Sub(a.sentAt) >= interval-a.heartbeat/2
}

// deadline returns when the peer counts as silent if nothing more is heard.
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
