package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/dispatch"
	"github.com/kingcupreel/kingcupreel/internal/ratelimit"
)

// Load: a group of ranks whose data centres are evacuated one after the other while requests
// come. The evacuated ranks get none, not even for a permit reserved before, and give no room;
// they stay alive as ranks of their group.
func TestEvacuatedRanksGetNoRequests(t *testing.T) {
	g := NewWithT(t)
	p, nodes := group(4)
	for _, n := range nodes {
		n.UpdateLoad(dispatch.Load{Slowness: 1, Group: "g", GroupSize: 4}, start)
	}
	allAlive := dispatch.GroupStatus{Name: "g", Size: 4, Alive: 4}
	groups, _ := p.Groups(start)
	g.Expect(groups).To(ConsistOf(allAlive))
	nodes[0].SetEvacuated(true)
	groups, _ = p.Groups(start)
	g.Expect(groups).To(ConsistOf(allAlive), "its ranks step with the group")
	for _, n := range nodes {
		n.UpdateLoad(dispatch.Load{Slowness: 1, GroupServing: true, Group: "g", GroupSize: 4}, start)
	}
	nodes[0].MarkSent() // goes on
	for range 60 {
		pick(p, start, nil).MarkSent()
	}
	g.Expect(nodes[0].InFlight()).To(Equal(1))
	c := p.Capacity(start)
	g.Expect(c.TotalSlots).To(Equal(3 * 12))
	g.Expect(c.UsableUpstreams).To(Equal(3))
	g.Expect(c.InFlight).To(Equal(60))

	demand := dispatch.Demand{BeginBy: start.Add(time.Hour)}
	var share ratelimit.Share
	share.Set(10, 0, start)
	nodes[1].SetLimit(&share)
	g.Expect(p.CanTake(nodes[1], start, demand)).To(BeTrue())
	for _, n := range nodes[1:] {
		n.SetEvacuated(true)
		n.SetUnreachable(true) // not even as a probe
	}
	g.Expect(p.CanTake(nodes[1], start, demand)).To(BeFalse())
	n, _ := p.NextPermit(start, demand)
	g.Expect(n).To(BeNil())
	n, obstacle := p.Pick(start, demand)
	g.Expect(n).To(BeNil())
	g.Expect(obstacle).To(Equal(dispatch.Evacuated))

	nodes[2].SetEvacuated(false)
	_, obstacle = p.Pick(start, dispatch.Demand{Exclude: []string{nodes[2].ID}, BeginBy: demand.BeginBy})
	g.Expect(obstacle).To(Equal(dispatch.Evacuated), "the request has been at the only other one")
	g.Expect(pick(p, start, nil)).To(Equal(nodes[2]))
}

// Upstreams that rest until soon don't promise room while their data centre is evacuated.
func TestEvacuatedUpstreamsDontCountAsResting(t *testing.T) {
	g := NewWithT(t)
	p, nodes := group(2)
	nodes[0].Rest(start.Add(time.Second))
	nodes[0].SetEvacuated(true)
	nodes[1].Rest(start.Add(time.Minute))
	earliest, all := p.Resting(start)
	g.Expect(earliest).To(Equal(start.Add(time.Minute)))
	g.Expect(all).To(BeTrue())
}
