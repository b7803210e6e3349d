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
	p.SetStepCost(dispatch.StepCost{Base: 5 * time.Millisecond, PerRequest: 400 * time.Microsecond})
	var nodes []*dispatch.Node
	for r := range ranks {
		n := p.Add(dispatch.Replica{ID: fmt.Sprint("rank-", r), Slots: 12})
		n.UpdateLoad(dispatch.Load{GroupServing: true, Slowness: 1}, start)
		nodes = append(nodes, n)
	}
	return p, nodes
}

// pick picks an upstream for a new request that may wait for long.
func pick(p *dispatch.Pool, now time.Time, exclude []string) *dispatch.Node {
	n, _ := p.Pick(now, dispatch.Demand{Exclude: exclude, BeginBy: now.Add(time.Hour)})
	return n
}

// Ranks of a group step together, so the busiest rank slows all of them. A
// steady load must be spread almost evenly.
func TestSteadyLoadIsSpreadOverTheRanks(t *testing.T) {
	g := NewWithT(t)
	p, nodes := group(12)
	for range 96 {
		pick(p, start, nil).MarkSent()
	}
	for _, n := range nodes {
		g.Expect(n.InFlight()).To(And(BeNumerically(">=", 7), BeNumerically("<=", 9)))
	}
}

// Entries that follow the same reports must not all send to the rank that was
// least loaded when the reports were made.
func TestEntriesWithTheSameReportsDontHerd(t *testing.T) {
	g := NewWithT(t)
	sent := map[string]int{}
	for entry := range uint64(9) {
		p := dispatch.NewPool(rand.New(rand.NewPCG(entry, 2)))
		for r := range 12 {
			load := dispatch.Load{GroupServing: true, Slowness: 1, Active: 8}
			if r == 0 {
				load.Active = 6
			}
			p.Add(dispatch.Replica{ID: fmt.Sprint("rank-", r), Slots: 12}).UpdateLoad(load, start)
		}
		sent[pick(p, start, nil).ID]++
	}
	g.Expect(sent["rank-0"]).To(BeNumerically("<=", 7))
}

// Nothing is sent to a group that can't serve. As soon as a rank's own report,
// sent after the refusal, says that the group is open, the rank gets requests
// again.
func TestSuspendedGroupReopensWithItsReport(t *testing.T) {
	g := NewWithT(t)
	p, nodes := group(2)
	p.SuspendGroup(nodes[0], start)
	g.Expect(pick(p, start, nil)).To(BeNil())
	nodes[0].UpdateLoad(dispatch.Load{GroupServing: true, Slowness: 1}, start.Add(100*time.Millisecond))
	g.Expect(pick(p, start.Add(100*time.Millisecond), nil)).To(BeNil(), "the report may be older than the refusal")
	nodes[0].UpdateLoad(dispatch.Load{GroupServing: false, Slowness: 1}, start.Add(500*time.Millisecond))
	g.Expect(pick(p, start.Add(500*time.Millisecond), nil)).To(BeNil())
	nodes[0].UpdateLoad(dispatch.Load{GroupServing: true, Slowness: 1}, start.Add(550*time.Millisecond))
	g.Expect(pick(p, start.Add(550*time.Millisecond), nil)).To(Equal(nodes[0]))
}

// A service has two groups and one of them can't serve. The other one's ranks, whether
// they report or not, keep their requests; a rank that has not reported yet may belong
// to either.
func TestGroupThatCantServeDoesntStopAnother(t *testing.T) {
	g := NewWithT(t)
	p := dispatch.NewPool(rand.New(rand.NewPCG(1, 1)))
	var nodes []*dispatch.Node
	for r := range 4 {
		n := p.Add(dispatch.Replica{ID: fmt.Sprint("rank-", r), Slots: 12})
		n.UpdateLoad(dispatch.Load{GroupServing: true, Slowness: 1, Group: []string{"a", "b"}[r%2]}, start)
		nodes = append(nodes, n)
	}
	p.SuspendGroup(nodes[0], start)
	for range 20 {
		g.Expect(pick(p, start, nil)).To(Or(Equal(nodes[1]), Equal(nodes[3])))
	}
	g.Expect(p.Capacity(start).UsableUpstreams).To(Equal(2))
	later := start.Add(1300 * time.Millisecond) // the reports of ranks 2 and 3 have expired
	nodes[0].UpdateLoad(dispatch.Load{GroupServing: false, Group: "a"}, later)
	nodes[1].UpdateLoad(dispatch.Load{GroupServing: true, Slowness: 1, Group: "b"}, later)
	p.Add(dispatch.Replica{ID: "new", Slots: 12})
	g.Expect(pick(p, later, nil)).To(Equal(nodes[1]))
	g.Expect(pick(p, later, []string{"rank-1"})).To(Equal(nodes[3]))
	g.Expect(pick(p, later, []string{"rank-1", "rank-3"})).To(BeNil())
}

// An upstream that fails many of its requests while others don't gets few
// requests until the failures have decayed.
func TestFailingUpstreamGetsFewRequests(t *testing.T) {
	g := NewWithT(t)
	p, nodes := group(3)
	for range 4 {
		nodes[0].MarkSent()
		nodes[0].Finish(false, true, start)
	}
	for range 20 {
		pick(p, start, nil).MarkSent()
	}
	g.Expect(nodes[0].InFlight()).To(BeZero())
	later := start.Add(5 * time.Second)
	g.Expect(pick(p, later, nil)).To(Equal(nodes[0]))
}

// A rank whose VM is frozen or cut off stops reporting and gets no requests
// while other ranks report. When no rank reports, the reports themselves are
// lost, and the ranks are used.
func TestSilentUpstreamIsSkipped(t *testing.T) {
	g := NewWithT(t)
	p, nodes := group(3)
	later := start.Add(1300 * time.Millisecond)
	nodes[1].UpdateLoad(dispatch.Load{GroupServing: true, Slowness: 1, Active: 9}, later)
	for range 5 {
		g.Expect(pick(p, later, nil)).To(Equal(nodes[1]))
	}
	g.Expect(pick(p, later, []string{"rank-1"})).NotTo(BeNil())
	g.Expect(pick(p, later.Add(1300*time.Millisecond), nil)).NotTo(BeNil())
}

// A data centre is cut off and only one upstream of the service is left. It gets all
// requests, also when it fails some. If it is tried too, an upstream that can't be reached
// is tried by a few requests only, so that the others are not kept waiting for it.
func TestUnreachableUpstreamsAreProbed(t *testing.T) {
	g := NewWithT(t)
	p := dispatch.NewPool(rand.New(rand.NewPCG(1, 1)))
	var nodes []*dispatch.Node
	for r := range 3 {
		n := p.Add(dispatch.Replica{ID: fmt.Sprint("rank-", r), Slots: 12})
		n.SetUnreachable(r > 0)
		nodes = append(nodes, n)
	}
	nodes[0].MarkSent()
	nodes[0].Finish(false, true, start)
	for range 20 {
		g.Expect(pick(p, start, nil)).To(Equal(nodes[0]))
	}
	probes := 0
	for i := range 100 {
		if pick(p, start.Add(time.Duration(i)*100*time.Millisecond), []string{"rank-0"}) != nil {
			probes++
		}
	}
	g.Expect(probes).To(Equal(5))
	nodes[1].SetUnreachable(false)
	g.Expect(pick(p, start, []string{"rank-0"})).To(Equal(nodes[1]))
}

// A slow rank slows the whole group by the work it has, so it gets fewer
// requests.
func TestSlowRankGetsFewerRequests(t *testing.T) {
	g := NewWithT(t)
	p, nodes := group(4)
	nodes[0].UpdateLoad(dispatch.Load{GroupServing: true, Slowness: 1.5}, start)
	for range 24 {
		pick(p, start, nil).MarkSent()
	}
	g.Expect(nodes[0].InFlight()).To(BeNumerically("<", nodes[1].InFlight()))
}

// A data centre has reconnected and its ranks are registered while the group
// is still re-forming. Ranks that have not reported get no requests because
// the others report that the group is closed.
func TestReturnedRankWaitsForItsGroup(t *testing.T) {
	g := NewWithT(t)
	p, nodes := group(2)
	for _, n := range nodes {
		n.UpdateLoad(dispatch.Load{GroupServing: false}, start)
	}
	back := p.Add(dispatch.Replica{ID: "back", Slots: 12})
	g.Expect(pick(p, start, nil)).To(BeNil())
	g.Expect(p.Capacity(start).FreeSlots).To(BeZero())
	nodes[0].UpdateLoad(dispatch.Load{GroupServing: true, Slowness: 1}, start)
	g.Expect(pick(p, start, []string{"rank-0"})).To(Equal(back))
	later := start.Add(2 * time.Second)
	g.Expect(pick(p, later, nil)).NotTo(BeNil(), "no reports at all: the ranks are used")
}

// A group reopens while nine entries have requests waiting, and no entry knows
// of the others' starts yet. Together they must start no more requests than
// the group has slots, and no more than its ranks can soon read the prompts
// of.
func TestEntriesShareSlotsOfReopenedGroup(t *testing.T) {
	g := NewWithT(t)
	const entryShare = 1.0 / 9
	p, nodes := group(12)
	nodes[0].UpdateLoad(dispatch.Load{GroupServing: false}, start)
	nodes[1].UpdateLoad(dispatch.Load{GroupServing: true, Slowness: 1, Active: 12}, start)
	g.Expect(p.Capacity(start)).To(Equal(dispatch.Capacity{UsableUpstreams: 11, TotalSlots: 144, FreeSlots: 70}))
	startRequests := func() (started []*dispatch.Node) {
		for range p.Capacity(start).StartQuota(entryShare) {
			n := pick(p, start, nil)
			n.MarkSent()
			started = append(started, n)
		}
		return started
	}
	first := startRequests()
	g.Expect(first).To(HaveLen(3), "a ninth of two prompts a rank")
	g.Expect(startRequests()).To(BeEmpty())
	total := len(first)
	for range 10 {
		for _, n := range first {
			n.MarkAnswered()
		}
		first = startRequests()
		total += len(first)
	}
	g.Expect(total).To(Equal(16), "a ninth of all slots")
	for range 4 {
		nodes[5].MarkAnswered()
	}
	g.Expect(p.Capacity(start).LeftoverQuota(entryShare)).To(BeNumerically(">", 0), "what others leave free is used a part at a time")
	full, all := group(2)
	for _, n := range all {
		n.UpdateLoad(dispatch.Load{GroupServing: true, Active: 12}, start)
	}
	g.Expect(full.Capacity(start).StartQuota(1)).To(BeZero())
	g.Expect(full.Capacity(start).LeftoverQuota(1)).To(BeZero())
}
