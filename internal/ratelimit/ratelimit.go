// Package ratelimit spaces the requests of one entry to an upstream that limits the rate of
// the requests from all entries together. Entries don't coordinate single requests: each keeps
// to its share, which may be far below one request a second. The package does no I/O and reads
// no clock.
package ratelimit

import (
	"math"
	"strconv"
	"strings"
	"time"
)

const (
	// usedFraction is the fraction of a limit that small shares together use, those of less
	// than fullShare requests a second. Each entry's permits fall at moments of its own: the
	// more entries, the more the number of all permits within a few seconds varies.
	usedFraction = 0.8
	fullShare    = 0.1
	// maxUnused is how long a permit may be used after it was due. Permits that many entries
	// keep while the upstream isn't chosen would add up.
	maxUnused = 500 * time.Millisecond
	// MinLimit is the lowest limit that entries keep to, in requests a second: only an answer
	// shows that a limit has ended.
	MinLimit = 0.1
	// minChange is the least relative change of a limit that matters: an upstream may name
	// another rate in each answer.
	minChange = 0.1
	// maxInterval bounds the time between two permits.
	maxInterval = 24 * time.Hour
)

// ParseLimit reads a limit in requests a second. A limit below MinLimit counts as MinLimit.
// It returns false for a text that is no limit.
func ParseLimit(text string) (float64, bool) {
	limit, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(limit) || math.IsInf(limit, 0) || limit < 0 {
		return 0, false
	}
	return max(limit, MinLimit), true
}

// Changed reports whether a limit differs noticeably from the one before; 0 stands for none.
func Changed(before, after float64) bool {
	return math.Abs(after-before) > minChange*before
}

// Share is one entry's share of a limit: a series of permits for one request each. The zero
// value doesn't limit. It is not safe for concurrent use.
type Share struct {
	// interval is the time between two permits, 0 for no limit. nextAt is when the first
	// permit that isn't taken falls due.
	interval time.Duration
	nextAt   time.Time
	// spaced is set if an interval passes after the use of a permit, however late that was,
	// until the next one falls due. endsAt is when such a limit ends, lastAt when its last
	// permit was used, or will be.
	spaced         bool
	endsAt, lastAt time.Time
}

// Set sets the entry's share of a limit, in requests a second. Its first permit falls due
// after the given fraction of the interval, which entries draw at random so that their
// permits spread out.
func (s *Share) Set(rate, phase float64, now time.Time) {
	if rate < fullShare {
		rate *= usedFraction
	}
	interval := maxInterval
	if seconds := 1 / rate; rate > 0 && seconds < maxInterval.Seconds() {
		interval = time.Duration(seconds * float64(time.Second))
	}
	if interval == s.interval {
		return
	}
	first := now.Add(time.Duration(phase * float64(interval)))
	if s.interval == 0 || first.Before(s.nextAt) {
		s.nextAt = first
	}
	s.interval = interval
}

// SetSpaced sets the least time between two requests until a time, 0 for no requests at all.
// Unused permits don't add up, whatever the number of entries.
func (s *Share) SetSpaced(interval time.Duration, endsAt time.Time) {
	switch {
	case interval == 0:
		interval, s.nextAt = maxInterval, endsAt
	case s.lastAt.IsZero():
		s.nextAt = time.Time{}
	default:
		s.nextAt = s.lastAt.Add(interval)
	}
	s.spaced, s.interval, s.endsAt = true, interval, endsAt
}

// Clear removes the limit.
func (s *Share) Clear() { *s = Share{lastAt: s.lastAt} }

// Limited reports whether there is a limit.
func (s *Share) Limited(now time.Time) bool {
	return s.interval > 0 && !(s.spaced && !now.Before(s.endsAt))
}

// Interval returns the time between two permits, 0 without a limit.
func (s *Share) Interval() time.Duration { return s.interval }

// Wait returns the time until the next permit, 0 if one is due or there is no limit.
func (s *Share) Wait(now time.Time) time.Duration {
	if !s.Limited(now) {
		return 0
	}
	wait := max(s.next(now).Sub(now), 0)
	if s.spaced {
		wait = min(wait, s.endsAt.Sub(now))
	}
	return wait
}

// Take takes the next permit, which may lie in the future.
func (s *Share) Take(now time.Time) {
	if !s.Limited(now) {
		return
	}
	next := s.next(now)
	if s.spaced {
		if !next.Before(s.endsAt) {
			return // it is sent once the limit has ended
		}
		s.lastAt = next
	}
	s.nextAt = next.Add(s.interval)
}

// next returns when the first permit falls due that is neither taken nor expired.
func (s *Share) next(now time.Time) time.Time {
	if s.spaced {
		if s.nextAt.Before(now) {
			return now
		}
		return s.nextAt
	}
	unused := now.Add(-maxUnused).Sub(s.nextAt)
	if unused <= 0 {
		return s.nextAt
	}
	expired := math.Ceil(float64(unused) / float64(s.interval))
	return s.nextAt.Add(time.Duration(expired) * s.interval)
}
