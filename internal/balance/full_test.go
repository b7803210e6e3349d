package balance

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestFullUpstreamGetsNothingWhileOthersHaveFreeSlots guards against requests that wait at an
// upstream whose VM stands still: it runs them when it wakes, also if their callers have left.
func TestFullUpstreamGetsNothingWhileOthersHaveFreeSlots(t *testing.T) {
	const (
		upstreams, slots = 4, 4
		inFlight         = upstreams * slots * 3 / 4
		requests         = 120
		interval         = 25 * time.Millisecond // the requests come within 3 s, the default silence timeout
	)
	g := NewWithT(t)
	p, nodes, clock := newTestPool(upstreams, 0, slots)
	silent := nodes[0]
	var running []*Node
	for range requests {
		clock.Advance(interval)
		for _, n := range nodes[1:] {
			n.UpdateLoad(Load{Work: n.InFlight(), Capacity: slots})
		}
		n := LeastWork{}.Pick(p, Request{})
		n.MarkSent()
		if n != silent {
			running = append(running, n)
		}
		if len(running)+silent.InFlight() > inFlight {
			running[0].Finish()
			running = running[1:]
		}
	}
	g.Expect(silent.InFlight()).To(BeNumerically("<=", slots), "%d of %d slots are taken at the others", len(running), (upstreams-1)*slots)
}
