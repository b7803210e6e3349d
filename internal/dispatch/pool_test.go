package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/dispatch"
)

var start = time.Unix(1000, 0)

// group returns a pool of ranks that share their steps, all reported as idle.
func group(ranks int) (*dispatch.Pool, []*dispatch.Node) {
	p := dispatch.NewPool(rand.New(rand.NewPCG(1, 1)))
	p.SetCost(dispatch.Cost{Base: 5 * time.Millisecond, Each: 400 * time.Microsecond})
	var nodes []*dispatch.Node
	for r := range ranks {
		n := p.Add(dispatch.Replica{ID: fmt.Sprint("rank-", r), Slots: 12})
		n.Reported(dispatch.Load{Open: true, Pace: 1}, start)
		nodes = append(nodes, n)
	}
	return p, nodes
}

// Ranks of a group step together, so that the busiest sets the pace of all. A
// steady load must be spread almost evenly.
func TestSteadyLoadIsSpreadOverTheRanks(t *testing.T) {
	g := NewWithT(t)
	p, nodes := group(12)
	for range 96 {
		p.Pick(start, nil).Sent()
	}
	for _, n := range nodes {
		g.Expect(n.InFlight()).To(And(BeNumerically(">=", 7), BeNumerically("<=", 9)))
	}
}

// Entries that all follow the same report must not send all they have to the
// one rank that was least loaded when the reports were made.
func TestEntriesWithTheSameReportsDontHerd(t *testing.T) {
	g := NewWithT(t)
	sent := map[string]int{}
	for entry := range uint64(9) {
		p := dispatch.NewPool(rand.New(rand.NewPCG(entry, 2)))
		for r := range 12 {
			load := dispatch.Load{Open: true, Pace: 1, Active: 8}
			if r == 0 {
				load.Active = 6
			}
			p.Add(dispatch.Replica{ID: fmt.Sprint("rank-", r), Slots: 12}).Reported(load, start)
		}
		sent[p.Pick(start, nil).ID]++
	}
	g.Expect(sent["rank-0"]).To(BeNumerically("<=", 7))
}

// While a group can't serve, nothing is sent to it; once a rank's own report,
// made after the refusal, says that it serves, work goes there at once.
func TestShutGroupComesBackWithItsReport(t *testing.T) {
	g := NewWithT(t)
	p, nodes := group(2)
	for _, n := range nodes {
		n.Shut(start)
	}
	g.Expect(p.Pick(start, nil)).To(BeNil())
	nodes[0].Reported(dispatch.Load{Open: true, Pace: 1}, start.Add(100*time.Millisecond))
	g.Expect(p.Pick(start.Add(100*time.Millisecond), nil)).To(BeNil(), "the report may be older than the refusal")
	nodes[0].Reported(dispatch.Load{Open: false, Pace: 1}, start.Add(500*time.Millisecond))
	g.Expect(p.Pick(start.Add(500*time.Millisecond), nil)).To(BeNil())
	nodes[0].Reported(dispatch.Load{Open: true, Pace: 1}, start.Add(550*time.Millisecond))
	g.Expect(p.Pick(start.Add(550*time.Millisecond), nil)).To(Equal(nodes[0]))
}

// An upstream that fails a good part of what it gets, while others don't, gets
// little more until that is forgotten.
func TestFailingUpstreamGetsLittle(t *testing.T) {
	g := NewWithT(t)
	p, nodes := group(3)
	for range 4 {
		nodes[0].Sent()
		nodes[0].Ended(true, start)
	}
	for range 20 {
		p.Pick(start, nil).Sent()
	}
	g.Expect(nodes[0].InFlight()).To(BeZero())
	later := start.Add(5 * time.Second)
	g.Expect(p.Pick(later, nil)).To(Equal(nodes[0]))
}

// A rank whose VM is frozen or cut off stops reporting: nothing more is sent
// there while others report. Where all have stopped it is the reports that are
// missing, and the ranks are used.
func TestSilentUpstreamIsPassedOver(t *testing.T) {
	g := NewWithT(t)
	p, nodes := group(3)
	later := start.Add(1300 * time.Millisecond)
	nodes[1].Reported(dispatch.Load{Open: true, Pace: 1, Active: 9}, later)
	for range 5 {
		g.Expect(p.Pick(later, nil)).To(Equal(nodes[1]))
	}
	g.Expect(p.Pick(later, []string{"rank-1"})).NotTo(BeNil())
	g.Expect(p.Pick(later.Add(1300*time.Millisecond), nil)).NotTo(BeNil())
}

// A slow rank slows the whole group by what it has to do, so it gets less.
func TestSlowRankGetsLess(t *testing.T) {
	g := NewWithT(t)
	p, nodes := group(4)
	nodes[0].Reported(dispatch.Load{Open: true, Pace: 1.5}, start)
	for range 24 {
		p.Pick(start, nil).Sent()
	}
	g.Expect(nodes[0].InFlight()).To(BeNumerically("<", nodes[1].InFlight()))
}
