package gateway

import (
	"sync"
	"time"
)

// maxObservationGap is the longest time between two observations, which are due every
// silenceCheckInterval, in which the process has not stood still.
const maxObservationGap = silenceCheckInterval + 50*time.Millisecond

// standstill notes when the process itself has stood still, so that what it reads may be old.
// It is safe for concurrent use; mu is a leaf.
type standstill struct {
	mu sync.Mutex
	// observedAt is the time of the last observation, zero before the first. endedAt is the end
	// of the last standstill.
	observedAt, endedAt time.Time
}

// observe is called every silenceCheckInterval.
func (s *standstill) observe(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gap(now) > maxObservationGap {
		s.endedAt = now
	}
	s.observedAt = now
}

// after reports whether the process has stood still since t.
func (s *standstill) after(t, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endedAt.After(t) || s.gap(now) > maxObservationGap
}

// gap returns the time since the last observation, also if the VM was suspended: the monotonic
// clock doesn't count that time. The caller holds mu.
func (s *standstill) gap(now time.Time) time.Duration {
	if s.observedAt.IsZero() {
		return 0
	}
	return max(now.Sub(s.observedAt), now.Round(0).Sub(s.observedAt.Round(0)))
}
