package admission

import "math"

const (
	// shareGain is the fraction of a limit's slack that is added to the shares,
	// or of an excess that is subtracted from them, in one tick.
	shareGain = 0.5
	// shareDecay is the factor applied to an entry's share in each tick. What
	// the share loses becomes slack for the entries with demand.
	shareDecay = 0.995
)

// entryShare is the share of a client account's limit that this entry may use.
// Every entry corrects its share once a tick by the same fraction of the
// estimated slack, so that the shares add up to the limit although each
// estimate alone is inaccurate.
type entryShare struct {
	limit float64
	// exact is the share in requests. allowance is exact, rounded up or down at
	// random with probabilities that make its mean equal to exact, so that the
	// rounding errors of the entries cancel out.
	exact     float64
	allowance int
	// refused is set if a request was refused since the last tick.
	refused bool
}

// entryShare returns the share of an account and creates it if there is none.
func (c *Controller) entryShare(key Key, limit int) *entryShare {
	s := c.entryShares[key]
	if s == nil {
		s = &entryShare{limit: float64(limit)}
		s.exact = s.initialShare(c.usage, c.usage.recentTotal(key))
		c.entryShares[key] = s
		c.roundAllowance(s)
	}
	if s.limit != float64(limit) {
		s.exact *= float64(limit) / s.limit
		s.limit = float64(limit)
		c.roundAllowance(s)
	}
	c.usage.SetLimit(key, limit)
	return s
}

// equalShare returns the limit divided by the number of entries, but at least
// one request.
func (s *entryShare) equalShare(u *Usage) float64 { return max(s.limit/float64(u.entries), 1) }

// initialShare returns the share of an entry that has no requests: an equal
// share, reduced linearly to zero while the estimated total rises from half of
// the limit to the limit.
func (s *entryShare) initialShare(u *Usage, total float64) float64 {
	slack := 2 * (s.limit - total) / s.limit
	return s.equalShare(u) * min(max(slack, 0), 1)
}

// roundAllowance sets the allowance.
func (c *Controller) roundAllowance(s *entryShare) {
	s.allowance = int(math.Floor(s.exact + c.rand.Float64()))
	if c.usage.entries == 1 {
		s.allowance = int(s.limit)
	}
}

// withinAllowance reports whether the account may have one more request in
// flight at this entry.
func (c *Controller) withinAllowance(key Key, limit int) bool {
	s := c.entryShare(key, limit)
	if c.usage.Local(key) < s.allowance {
		return true
	}
	s.refused = true
	return false
}

// adjustEntryShares adjusts the shares and deletes those that are not in use.
func (c *Controller) adjustEntryShares() {
	for key, s := range c.entryShares {
		local := c.usage.Local(key)
		if local == 0 && !s.refused {
			delete(c.entryShares, key)
			continue
		}
		s.adjust(c.usage, key)
		s.refused = false
		c.roundAllowance(s)
	}
}

// adjust changes the share by a fraction of the slack. A share without refused
// requests is limited to the requests in flight and an initial share for new
// ones.
func (s *entryShare) adjust(u *Usage, key Key) {
	recentTotal := u.recentTotal(key)
	s.exact = shareDecay*s.exact + shareGain*(s.limit-u.Total(key))/float64(u.entries)
	if !s.refused {
		s.exact = min(s.exact, float64(u.Local(key))+s.initialShare(u, recentTotal))
	}
	if 2*recentTotal < s.limit {
		s.exact = max(s.exact, s.equalShare(u))
	}
	s.exact = min(max(s.exact, 0), s.limit)
}
