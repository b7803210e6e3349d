package rankagent_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The health answers of some engines hang and take their slots, so that new connections to
// them wait for seconds. The engines still answer on kept connections: their group must
// switch its map without being held until the slots are free.
func TestGroupIsNotHeldByAnEngineThatServesNoNewConnections(t *testing.T) {
	g := NewWithT(t)
	d := deploy(t, true)
	before := d.awaitMap(g, 0)
	// The leader holds the group at one of the first ranks.
	d.g.engines[testRanks-1].noNewConnections.Store(true)
	d.demand(3)
	step, _, _, _ := d.g.state()
	d.awaitMap(g, before)
	time.Sleep(500 * time.Millisecond)
	after, _, _, mixed := d.g.state()
	g.Expect(after).To(BeNumerically(">", step+20), "the group goes on")
	g.Expect(mixed).To(BeFalse())
}
