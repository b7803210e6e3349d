package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/dispatch"
)

// cutGroup returns the ranks of a group over three data centres, all of which have reported at
// start that it serves.
func cutGroup() (*dispatch.Pool, []*dispatch.Node) {
	p := dispatch.NewPool(rand.New(rand.NewPCG(1, 1)))
	var nodes []*dispatch.Node
	for r := range 63 {
		nodes = append(nodes, p.Add(dispatch.Replica{ID: fmt.Sprint("rank-", r), Slots: 10}))
	}
	reportGroup(true, start, nodes...)
	return p, nodes
}

func reportGroup(serving bool, now time.Time, nodes ...*dispatch.Node) {
	for _, n := range nodes {
		n.UpdateLoad(dispatch.Load{GroupServing: serving, Group: "g", GroupSize: 63, Slowness: 1}, now)
	}
}

// A data centre is cut off from one group of 63 ranks. The ranks beside it, or in it, say that
// the group has stopped, and nothing is sent to those that can't say so.
func TestCutOffRanksGetNothingOnceTheOthersHaveStopped(t *testing.T) {
	g := NewWithT(t)
	for _, heard := range []int{42, 21} {
		p, nodes := cutGroup()
		stopped := start.Add(400 * time.Millisecond)
		reportGroup(false, stopped, nodes[:heard]...)
		g.Expect(pick(p, stopped, nil)).To(BeNil())
		g.Expect(p.Capacity(stopped).UsableUpstreams).To(BeZero())
		opened := start.Add(6 * time.Second)
		reportGroup(false, opened, nodes...)
		reportGroup(true, opened.Add(time.Millisecond), nodes[:heard]...)
		g.Expect(p.Capacity(opened.Add(time.Millisecond)).UsableUpstreams).To(Equal(heard))
	}
}

// One or two ranks of a group that serves say that it doesn't: the others are still used.
func TestOneRankIsNotTheGroup(t *testing.T) {
	g := NewWithT(t)
	p, nodes := cutGroup()
	reportGroup(false, start.Add(100*time.Millisecond), nodes[:2]...)
	g.Expect(p.Capacity(start.Add(100 * time.Millisecond)).UsableUpstreams).To(Equal(61))
}
