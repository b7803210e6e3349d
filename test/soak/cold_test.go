package soak

import (
	"fmt"
	"testing"
	"time"
)

const (
	// An upstream is cold for warmup after the start of each incarnation but the first, and
	// bears warmupRate requests a second meanwhile. More than warmupOverage times that plus
	// warmupAllowance in a second, from all processes together, would crash it.
	warmup          = 1500 * time.Millisecond
	warmupRate      = 14
	warmupOverage   = 1.5
	warmupAllowance = 5
)

// The faults of TestSoak, where upstreams are cold after each start: crashes and new incarnations
// come beside entries that start, freeze or don't reach the store.
func TestColdUpstreamsAreNotOverrun(t *testing.T) {
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			d := newStore(t, seed)
			d.firstHost, d.warmsUp = 20, true
			d.startPlain()
			soak(t, d)
		})
	}
}

// coldSpell is the time for which one incarnation of an upstream is cold. It is guarded by
// upstream.mu.
type coldSpell struct {
	until    time.Time
	arrivals []time.Time
}

// arriveCold counts a request that has reached the present incarnation of the upstream, and
// records a violation if a cold one gets more than it bears, whether the processes that sent
// them are in touch or not.
func (u *upstream) arriveCold() {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	if !now.Before(u.cold.until) {
		return
	}
	u.cold.arrivals = append(u.cold.arrivals, now)
	recent := 0
	for _, at := range u.cold.arrivals {
		if now.Sub(at) < time.Second {
			recent++
		}
	}
	if recent > warmupOverage*warmupRate+warmupAllowance {
		u.d.recorder.recordViolation("%s got %d requests in a second while it was cold", u.name, recent)
	}
}
