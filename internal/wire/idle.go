package wire

import (
	"sync"
	"time"
)

const (
	// IdleFactor is how many times slower the heartbeat of a connection between
	// entry and agent is while no request uses it.
	IdleFactor = 4
	// activeTime is how long a connection counts as used after a frame of a
	// request, sent or received. Both sides see the same frames.
	activeTime = 5 * time.Second
)

// activity knows whether requests use a connection, and so how often it must
// show a sign of life. Its lock is a leaf.
type activity struct {
	heartbeat time.Duration
	silence   time.Duration
	factor    int

	mu       sync.Mutex
	lastWork time.Time
	// since is when the connection became used, heard the last sign of the peer.
	since time.Time
	heard time.Time
	sent  time.Time
}

func newActivity(o Options, now time.Time) *activity {
	return &activity{heartbeat: o.HeartbeatInterval, silence: o.SilenceTimeout, factor: max(o.IdleFactor, 1), heard: now, sent: now}
}

// isActive says whether requests use the connection. The caller holds mu.
func (a *activity) isActive(now time.Time) bool {
	return a.factor == 1 || !a.lastWork.IsZero() && now.Sub(a.lastWork) < activeTime
}

// worked notes a frame of a request; true means that the connection was idle
// before, so that the wait for the peer has to be bounded anew.
func (a *activity) worked(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	woken := !a.isActive(now)
	if woken {
		a.since = now
	}
	a.lastWork = now
	return woken
}

// hear notes a sign of the peer.
func (a *activity) hear(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.heard = now
}

// send notes that frames were sent.
func (a *activity) send(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent = now
}

// pingDue says whether the peer is owed a sign of life.
func (a *activity) pingDue(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	interval := a.heartbeat
	if !a.isActive(now) {
		interval *= time.Duration(a.factor)
	}
	// Half a heartbeat early, so that the ticker's phase costs no interval.
	return now.Sub(a.sent) >= interval-a.heartbeat/2
}

// deadline returns when the peer counts as silent if nothing more is heard.
func (a *activity) deadline(now time.Time) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.isActive(now) {
		return a.heard.Add(a.silence * time.Duration(a.factor))
	}
	if a.since.After(a.heard) {
		return a.since.Add(a.silence)
	}
	return a.heard.Add(a.silence)
}
