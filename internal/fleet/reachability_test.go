package fleet_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/fleet"
)

// A data centre counts as unreachable once nothing has been heard from it for a while.
// The own one, and one that has never been heard from, count as reachable.
func TestDataCentreThatIsNotHeardFromIsUnreachable(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	r := fleet.NewReachability(clock, "a")
	r.Heard("a")
	r.Heard("b")
	clock.Advance(time.Second)
	g.Expect(r.Reachable("b")).To(BeTrue())
	clock.Advance(time.Second)
	g.Expect(r.Reachable("b")).To(BeFalse())
	g.Expect(r.Reachable("a")).To(BeTrue())
	g.Expect(r.Reachable("c")).To(BeTrue())
	r.Heard("b")
	g.Expect(r.Reachable("b")).To(BeTrue())
}
