package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// newTestPool returns a pool of local and remote upstreams with the given
// capacity each.
func newTestPool(local, remote, capacity int) (*Pool, []*Node, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	p := NewPool(clock, rand.New(rand.NewPCG(5, 6)), "dc1")
	var nodes []*Node
	for i := range local + remote {
		u := Upstream{Name: fmt.Sprintf("u%d", i), DataCentre: "dc1"}
		if i >= local {
			u.DataCentre = "dc2"
		}
		n := p.Add(u)
		n.SetUsable(true)
		n.UpdateLoad(Load{Capacity: capacity})
		nodes = append(nodes, n)
	}
	return p, nodes, clock
}

// send picks an upstream for each of n requests, marks them as sent and returns
// the number sent to each upstream.
func send(p *Pool, picker Picker, n int, prefix string) map[string]int {
	counts := map[string]int{}
	for range n {
		node := picker.Pick(p, Request{Prefix: prefix})
		node.MarkSent()
		counts[node.Name]++
	}
	return counts
}

var _ = Describe("LeastWork", func() {
	It("picks nothing from a pool without usable upstreams", func() {
		p, nodes, _ := newTestPool(1, 0, 4)
		nodes[0].SetUsable(false)
		Expect(LeastWork{}.Pick(p, Request{})).To(BeNil())
	})

	It("spreads the requests over the pool although the load reports never change", func() {
		p, nodes, clock := newTestPool(10, 0, 32)
		for _, n := range nodes[1:] {
			n.UpdateLoad(Load{Work: 20, Capacity: 32})
		}
		clock.Advance(time.Minute)
		for name, n := range send(p, LeastWork{}, 200, "") {
			Expect(n).To(BeNumerically("<=", 30), name)
		}
	})

	It("sends a prefix to its preferred upstream while the load allows it", func() {
		p, _, _ := newTestPool(8, 0, 32)
		preferred := LeastWork{}.Pick(p, Request{Prefix: "p"})
		for range 5 {
			Expect(LeastWork{}.Pick(p, Request{Prefix: "p"})).To(Equal(preferred))
		}
		counts := send(p, LeastWork{}, 128, "p")
		Expect(counts[preferred.Name]).To(BeNumerically("<", 64))
		Expect(counts).To(HaveLen(8))
	})

	It("keeps a prefix's preferred upstream when another upstream leaves", func() {
		p, nodes, _ := newTestPool(8, 0, 32)
		preferred := LeastWork{}.Pick(p, Request{Prefix: "p"})
		for _, n := range nodes {
			if n != preferred {
				p.Remove(n)
				break
			}
		}
		Expect(LeastWork{}.Pick(p, Request{Prefix: "p"})).To(Equal(preferred))
	})

	It("stays in its data centre until it is full", func() {
		p, _, _ := newTestPool(2, 2, 8)
		counts := send(p, LeastWork{}, 16, "")
		Expect(counts["u2"] + counts["u3"]).To(BeNumerically("<=", 1))
		counts = send(p, LeastWork{}, 12, "")
		Expect(counts["u2"] + counts["u3"]).To(BeNumerically(">=", 8))
	})

	It("chooses a full upstream only if no other one has room", func() {
		p, nodes, clock := newTestPool(2, 1, 4)
		for range 4 {
			nodes[0].MarkSent()
			nodes[1].MarkSent()
		}
		Expect(send(p, LeastWork{}, 4, "p")).To(Equal(map[string]int{"u2": 4}), "another data centre has room")
		Expect(send(p, LeastWork{}, 60, "p")).To(HaveLen(3), "all are full")
		for nodes[1].InFlight() > 4 {
			nodes[1].Finish()
		}
		nodes[1].UpdateLoad(Load{Work: 4, Capacity: 32})
		Expect(nodes[1].full(clock.Now())).To(BeFalse())
		Expect(send(p, LeastWork{}, 20, "")).To(Equal(map[string]int{"u1": 20}))
		Expect(LeastWork{}.Pick(p, Request{Exclude: []string{"u1"}})).NotTo(BeNil(), "no other one has room")
	})

	It("counts the reported work of other entries towards the capacity", func() {
		p, nodes, _ := newTestPool(2, 0, 4)
		nodes[0].SetUsable(false)
		nodes[0].SetUsable(true)
		nodes[0].UpdateLoad(Load{Work: 3, Capacity: 4})
		Expect(send(p, LeastWork{}, 5, "")).To(Equal(map[string]int{"u0": 1, "u1": 4}))
	})

	It("takes no upstream of unknown capacity for full", func() {
		clock := clockwork.NewFakeClock()
		n := NewPool(clock, rand.New(rand.NewPCG(5, 6)), "dc1").Add(Upstream{Name: "s", DataCentre: "dc1"})
		n.SetUsable(true)
		for range 2 * defaultCapacity {
			n.MarkSent()
		}
		Expect(n.full(clock.Now())).To(BeFalse())
	})

	It("uses other data centres when no local upstream is usable", func() {
		p, nodes, _ := newTestPool(1, 1, 8)
		nodes[0].SetUsable(false)
		Expect(LeastWork{}.Pick(p, Request{})).To(Equal(nodes[1]))
	})

	It("skips excluded upstreams", func() {
		p, nodes, _ := newTestPool(2, 0, 8)
		for range 10 {
			Expect(LeastWork{}.Pick(p, Request{Prefix: "p", Exclude: []string{"u0"}})).To(Equal(nodes[1]))
		}
	})

	It("sends fewer requests to a slow upstream and tries it again later", func() {
		p, nodes, clock := newTestPool(4, 0, 64)
		for range 40 {
			for i, n := range nodes {
				gap := 10 * time.Millisecond
				if i == 0 {
					gap *= 3
				}
				n.MarkProgress(gap)
			}
		}
		counts := send(p, LeastWork{}, 100, "")
		Expect(counts["u0"]).To(BeNumerically("<=", 15))
		clock.Advance(time.Minute)
		Expect(nodes[0].slownessAt(clock.Now())).To(BeNumerically("~", 1, 0.01))
	})

	It("does not use a preferred upstream that would become its group's busiest rank", func() {
		clock := clockwork.NewFakeClock()
		p := NewPool(clock, rand.New(rand.NewPCG(5, 6)), "dc1")
		var nodes []*Node
		for i := range 4 {
			n := p.Add(Upstream{Name: fmt.Sprintf("u%d", i), DataCentre: "dc1", Group: "g"})
			n.SetUsable(true)
			nodes = append(nodes, n)
		}
		for _, n := range nodes {
			n.UpdateLoad(Load{Work: 8, Capacity: 32})
		}
		preferred := p.preferredFor("p")[0]
		Expect(preferred.wouldStraggle(clock.Now())).To(BeTrue())
		for _, n := range nodes {
			if n != preferred {
				n.MarkSent()
				n.MarkSent()
			}
		}
		Expect(preferred.wouldStraggle(clock.Now())).To(BeFalse())
		Expect(LeastWork{}.Pick(p, Request{Prefix: "p"})).To(Equal(preferred))
	})

	It("assumes a low capacity of ranks until they report", func() {
		clock := clockwork.NewFakeClock()
		p := NewPool(clock, rand.New(rand.NewPCG(5, 6)), "dc1")
		a := p.Add(Upstream{Name: "a", DataCentre: "dc1", Group: "g"})
		b := p.Add(Upstream{Name: "b", DataCentre: "dc1", Group: "g"})
		a.SetUsable(true)
		b.SetUsable(true)
		Expect(p.Capacity()).To(Equal(2 * assumedCapacity))
		a.UpdateLoad(Load{Capacity: 64})
		Expect(p.Capacity()).To(Equal(64 + assumedCapacity))
		plain := NewPool(clock, rand.New(rand.NewPCG(5, 6)), "dc1")
		plain.Add(Upstream{Name: "s", DataCentre: "dc1"}).SetUsable(true)
		Expect(plain.Capacity()).To(BeZero())
	})

	It("does not allocate", func() {
		p, _, _ := newTestPool(100, 20, 32)
		r := Request{Prefix: "prefix", Exclude: []string{"u1"}}
		LeastWork{}.Pick(p, r)
		Expect(testing.AllocsPerRun(100, func() { LeastWork{}.Pick(p, r) })).To(BeZero())
	})
})

var _ = Describe("Ejection", func() {
	fail := func(nodes []*Node) {
		for _, n := range nodes {
			for range maxConsecutiveFailures {
				n.MarkFailed()
			}
		}
	}

	DescribeTable("leaves at least half of a pool in use", func(size, wantEjected int) {
		p, nodes, _ := newTestPool(size, 0, 8)
		fail(nodes)
		Expect(p.ejected).To(Equal(wantEjected))
		Expect(len(p.local)).To(Equal(size - wantEjected))
	}, Entry("of one", 1, 0), Entry("of two", 2, 1), Entry("of three", 3, 1), Entry("of ten", 10, 5))

	It("readmits an upstream after a while and ejects it for longer the next time", func() {
		p, nodes, clock := newTestPool(4, 0, 8)
		fail(nodes[:1])
		Expect(nodes[0].Ejected()).To(BeTrue())
		clock.Advance(ejectionTime)
		LeastWork{}.Pick(p, Request{})
		Expect(p.local).To(HaveLen(4))
		fail(nodes[:1])
		clock.Advance(ejectionTime)
		Expect(nodes[0].Ejected()).To(BeTrue())
	})

	It("ejects the only upstream that stops reporting", func() {
		p, nodes, clock := newTestPool(4, 0, 8)
		clock.Advance(reportTimeout + time.Second)
		for _, n := range nodes[1:] {
			n.UpdateLoad(Load{Capacity: 8})
		}
		Expect(p.Tick()).To(Equal([]string{"u0"}))
	})

	It("ejects the only upstream whose engine doesn't answer", func() {
		p, nodes, _ := newTestPool(4, 0, 8)
		nodes[2].UpdateLoad(Load{Capacity: 8, Silent: true})
		Expect(p.Tick()).To(Equal([]string{"u2"}))
		nodes[2].UpdateLoad(Load{Capacity: 8, Silent: true})
		Expect(p.local).NotTo(ContainElement(nodes[2]))
		nodes[2].UpdateLoad(Load{Capacity: 8})
		Expect(p.local).To(ContainElement(nodes[2]))
	})

	It("readmits a silent upstream with its next report and not before", func() {
		p, nodes, clock := newTestPool(4, 0, 8)
		clock.Advance(reportTimeout + time.Second)
		for _, n := range nodes[1:] {
			n.UpdateLoad(Load{Capacity: 8})
		}
		p.Tick()
		clock.Advance(2 * ejectionTime)
		p.readmitExpired(clock.Now())
		Expect(p.local).NotTo(ContainElement(nodes[0]))
		nodes[0].UpdateLoad(Load{Capacity: 8})
		Expect(p.local).To(ContainElement(nodes[0]))
	})

	It("ejects the only upstream that has never reported", func() {
		p, nodes, clock := newTestPool(4, 0, 8)
		nodes[0].SetUsable(false)
		nodes[0].SetUsable(true)
		clock.Advance(reportTimeout + time.Second)
		for _, n := range nodes[1:] {
			n.UpdateLoad(Load{Capacity: 8})
		}
		Expect(p.Tick()).To(Equal([]string{"u0"}))
	})

	It("ejects an upstream without reports whose work makes no progress", func() {
		clock := clockwork.NewFakeClock()
		p := NewPool(clock, rand.New(rand.NewPCG(5, 6)), "dc1")
		var nodes []*Node
		for i := range 3 {
			n := p.Add(Upstream{Name: fmt.Sprintf("u%d", i), DataCentre: "dc1"})
			n.SetUsable(true)
			n.MarkSent()
			nodes = append(nodes, n)
		}
		clock.Advance(progressTimeout + time.Second)
		nodes[1].MarkProgress(0)
		nodes[2].MarkProgress(0)
		Expect(p.Tick()).To(Equal([]string{"u0"}))
	})

	It("ejects none when most stop reporting", func() {
		p, nodes, clock := newTestPool(4, 0, 8)
		clock.Advance(reportTimeout + time.Second)
		nodes[0].UpdateLoad(Load{Capacity: 8})
		Expect(p.Tick()).To(BeEmpty())
	})

	It("ejects an upstream whose tokens arrive much more slowly than the pool's", func() {
		_, nodes, _ := newTestPool(10, 0, 8)
		for range minSlowGaps {
			for i, n := range nodes {
				gap := 10 * time.Millisecond
				if i == 0 {
					gap = time.Second
				}
				n.MarkProgress(gap)
			}
		}
		Expect(nodes[0].Ejected()).To(BeTrue())
	})
})

var _ = Describe("Baselines", func() {
	It("use all upstreams, round robin evenly", func() {
		p, _, _ := newTestPool(4, 0, 8)
		for _, n := range send(p, RoundRobin{}, 40, "") {
			Expect(n).To(Equal(10))
		}
		for _, picker := range []Picker{Random{}, TwoChoices{}} {
			Expect(send(p, picker, 200, "")).To(HaveLen(4))
		}
	})
})
