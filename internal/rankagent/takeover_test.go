package rankagent_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/ranks"
)

// A successor takes over while a rank's own agent is down, so that the rank's status reaches
// it late. Guards against a step that begins with mixed maps because the successor took a
// status from before its order for the state after it.
func TestSuccessorDoesNotTrustAStatusFromBeforeItsOrder(t *testing.T) {
	// version is the map of the old leader's switch. Its fence is that of the first order of
	// any leader, so that every rank accepts the successor's orders.
	const version = 1
	armAll := func(d *deployment, step int64) {
		for _, e := range d.g.engines {
			e.prepared, e.armed, e.armedStep, e.next = version, version, step, e.experts
			e.sequence += 2
		}
	}
	for name, c := range map[string]struct {
		// agentDown is the rank whose agent is down, holdRank the one that holds the group.
		agentDown, holdRank int
		lag                 time.Duration
		// lateOrder carries out orders of the old leader just before the successor's first
		// order, at a held step.
		lateOrder func(d *deployment, heldStep int64)
		// stepAfterDisarm lets a step begin between two of the successor's orders.
		stepAfterDisarm bool
		switched        bool
	}{
		"armed since": {
			agentDown: 2, holdRank: 1, lag: testReportLag, lateOrder: armAll,
		},
		"armed since, reports older than stated": {
			agentDown: 2, holdRank: 1, lag: 8 * testReportLag, lateOrder: armAll,
		},
		"armed and released since": {
			agentDown: 1, holdRank: 1, lag: testReportLag, stepAfterDisarm: true, switched: true,
			lateOrder: func(d *deployment, heldStep int64) {
				armAll(d, heldStep+40)
				d.g.engines[1].held = ranks.None
				d.g.engines[1].sequence++
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			ctx, d := deployGroup(t, testRanks)
			d.g.mu.Lock()
			d.g.reportLag = c.lag
			d.g.stepAfterDisarm = c.stepAfterDisarm
			d.g.mu.Unlock()
			time.Sleep(2 * c.lag) // the engines have reports from before the hold
			d.g.mu.Lock()
			heldStep := d.g.step + 20
			holding := d.g.engines[c.holdRank]
			holding.held, holding.sequence = heldStep, holding.sequence+1
			done := false
			d.g.onDisarm = func(*engine) {
				if !done {
					done = true
					c.lateOrder(d, heldStep)
				}
			}
			d.g.mu.Unlock()
			d.registerStoppedAgent(ctx, t, c.agentDown)
			for r := range testRanks {
				if r != c.agentDown {
					d.startAgent(ctx, t, r, true)
				}
			}
			g.Eventually(func() int64 {
				step, _, _, _ := d.g.state()
				return step
			}, "20s").Should(BeNumerically(">", heldStep+60))
			_, inForce, _, mixed := d.g.state()
			g.Expect(done).To(BeTrue())
			g.Expect(mixed).To(BeFalse())
			if c.switched {
				g.Expect(inForce).To(BeNumerically(">=", version))
			}
		})
	}
}
