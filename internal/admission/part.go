package admission

import "math"

const (
	// partGain is the part of the slack of a limit that is handed out, or of an
	// excess that is taken back, in one tick.
	partGain = 0.5
	// partDecay is what remains of a part after one tick; what it gives up goes
	// to the entries with demand.
	partDecay = 0.995
)

// part is this entry's part of a client account's limit. It is corrected once
// a tick by the same fraction of the estimated slack at every entry, so that
// the parts add up to the limit although each estimate alone is off.
type part struct {
	limit float64
	// allowed is the part, in requests; allowance is it rounded up or down at
	// random, in proportion, so that the entries' roundings cancel out.
	allowed   float64
	allowance int
	// demanded says that a request was refused since the last tick.
	demanded bool
}

// part returns the part of an account, a new one if it has none.
func (c *Controller) part(key Key, limit int) *part {
	p := c.parts[key]
	if p == nil {
		p = &part{limit: float64(limit)}
		p.allowed = p.initial(c.usage, c.usage.recent(key))
		c.parts[key] = p
		c.round(p)
	}
	if p.limit != float64(limit) {
		p.allowed *= float64(limit) / p.limit
		p.limit = float64(limit)
		c.round(p)
	}
	c.usage.SetLimit(key, limit)
	return p
}

// equal is an equal part of the limit, at least one request.
func (p *part) equal(u *Usage) float64 { return max(p.limit/float64(u.entries), 1) }

// initial is the part of an entry without requests: an equal one, and less once
// the others have used more than half of the limit.
func (p *part) initial(u *Usage, total float64) float64 {
	slack := 2 * (p.limit - total) / p.limit
	return p.equal(u) * min(max(slack, 0), 1)
}

// round chooses the allowance.
func (c *Controller) round(p *part) {
	p.allowance = int(math.Floor(p.allowed + c.rand.Float64()))
	if c.usage.entries == 1 {
		p.allowance = int(p.limit)
	}
}

// takes says whether the account may have one more request in flight here.
func (c *Controller) takes(key Key, limit int) bool {
	p := c.part(key, limit)
	if c.usage.Local(key) < p.allowance {
		return true
	}
	p.demanded = true
	return false
}

// tickParts corrects the parts and drops those out of use.
func (c *Controller) tickParts() {
	for key, p := range c.parts {
		local := c.usage.Local(key)
		if local == 0 && !p.demanded {
			delete(c.parts, key)
			continue
		}
		p.correct(c.usage, key)
		p.demanded = false
		c.round(p)
	}
}

// correct moves the part by its fraction of the slack. Without demand it keeps
// only what is in flight and room for new requests.
func (p *part) correct(u *Usage, key Key) {
	recent := u.recent(key)
	p.allowed = partDecay*p.allowed + partGain*(p.limit-u.Total(key))/float64(u.entries)
	if !p.demanded {
		p.allowed = min(p.allowed, float64(u.Local(key))+p.initial(u, recent))
	}
	if 2*recent < p.limit {
		p.allowed = max(p.allowed, p.equal(u))
	}
	p.allowed = min(max(p.allowed, 0), p.limit)
}
