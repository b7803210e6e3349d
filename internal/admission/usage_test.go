package admission

import (
	"fmt"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// mesh is a set of entries, each of which sends digests to random ones of its
// four neighbours.
type mesh struct {
	rand  *rand.Rand
	nodes []*Usage
	loss  float64
}

func newMesh(n int, loss float64) *mesh {
	m := &mesh{rand: rand.New(rand.NewPCG(3, 4)), loss: loss}
	for range n {
		u := NewUsage()
		u.SetEntries(n, n)
		m.nodes = append(m.nodes, u)
	}
	return m
}

func (m *mesh) exchange(n int) {
	steps := []int{1, -1, 5, -5}
	for range n {
		for i, u := range m.nodes {
			u.Tick()
			j := (i + steps[m.rand.IntN(len(steps))] + len(m.nodes)) % len(m.nodes)
			items := u.Digest(fmt.Sprint(j))
			if m.rand.Float64() >= m.loss {
				u.Receive(fmt.Sprint(j), m.nodes[j].Receive(fmt.Sprint(i), items))
			}
		}
	}
}

var _ = Describe("Usage", func() {
	It("does not send a key that is far below its limit", func() {
		u := NewUsage()
		u.SetLimit(AccountKey("x"), 100)
		u.Add(AccountKey("x"), 10)
		for range 100 {
			u.Tick()
		}
		Expect(u.Digest("p")).To(BeEmpty())
	})

	key := AccountKey("x")

	It("assumes an equal count everywhere before any exchange", func() {
		u := NewUsage()
		u.SetEntries(10, 4)
		u.Add(key, 2)
		Expect(u.Total(key)).To(Equal(20.0))
		Expect(u.ReachableTotal(key)).To(Equal(8.0))
	})

	DescribeTable("estimates the sum, wherever the requests are", func(loss float64) {
		m := newMesh(20, loss)
		for _, u := range m.nodes {
			u.SetLimit(key, 60)
		}
		m.nodes[0].Add(key, 37)
		m.nodes[7].Add(key, 23)
		m.exchange(200)
		for i, u := range m.nodes {
			if i != 0 && i != 7 {
				Expect(u.Total(key)).To(BeNumerically("~", 60, 6))
			}
		}
		m.nodes[0].Add(key, -37)
		m.nodes[7].Add(key, -23)
		m.exchange(200)
		Expect(m.nodes[3].Total(key)).To(BeNumerically("~", 0, 6))
	}, Entry("without loss", 0.0), Entry("with a third of the digests lost", 0.33))

	It("removes the count of a peer that has left", func() {
		a, b := NewUsage(), NewUsage()
		a.SetEntries(2, 2)
		b.Add(key, 10)
		a.SetLimit(key, 10)
		b.SetLimit(key, 10)
		for range 20 {
			b.Tick()
			b.Receive("a", a.Receive("b", b.Digest("a")))
		}
		Expect(a.Total(key)).To(BeNumerically("~", 10, 0.5))
		a.RemovePeer("b")
		Expect(a.Total(key)).To(Equal(0.0))
	})

	It("bounds a digest whatever the number of keys", func() {
		u := NewUsage()
		for i := range 1000 {
			u.SetLimit(AccountKey(fmt.Sprint(i)), 1)
			u.Add(AccountKey(fmt.Sprint(i)), 1+i)
		}
		for range 20 {
			u.Tick()
		}
		sent := map[Key]bool{}
		for range 1000/(MaxDigest-refreshItems) + 2 {
			items := u.Digest("p")
			Expect(len(items)).To(BeNumerically("<=", MaxDigest))
			for _, i := range items {
				sent[i.Key] = true
			}
		}
		Expect(sent).To(HaveLen(1000))
		Expect(u.Digest("p")).To(BeEmpty())
	})
})
