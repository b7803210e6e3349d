package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/dispatch"
	"github.com/kingcupreel/kingcupreel/internal/ratelimit"
)

// loadedGroup returns a group of ranks whose requests take 6 s, each with the given load.
func loadedGroup(loads ...dispatch.Load) (*dispatch.Pool, []*dispatch.Node) {
	p, nodes := group(len(loads))
	p.RecordFirstPart(time.Second)
	p.RecordPart(nodes[0], 500*time.Millisecond, start)
	p.RecordAnswerParts(10, true)
	for i, l := range loads {
		l.GroupServing, l.Slowness = true, max(l.Slowness, 1)
		nodes[i].UpdateLoad(l, start)
	}
	return p, nodes
}

// Guards against runs without callers: with 12 slots and 6 s a request, each one in the queue
// stands for half a second, so that a request which has to begin within a second finds room
// for two.
func TestRequestThatCantBeginInTimeFindsThePoolFull(t *testing.T) {
	g := NewWithT(t)
	soon := dispatch.Demand{BeginBy: start.Add(time.Second)}
	p, nodes := loadedGroup(dispatch.Load{Active: 12, Queued: 1}, dispatch.Load{Active: 12, Queued: 2})
	n, _ := p.Pick(start, soon)
	g.Expect(n).To(Equal(nodes[0]))
	n.MarkSent()
	_, obstacle := p.Pick(start, soon)
	g.Expect(obstacle).To(Equal(dispatch.Full))
	soon.Accepted = true
	n, _ = p.Pick(start, soon)
	g.Expect(n).NotTo(BeNil(), "engines begin accepted requests before those in their queues")
}

// A free slot is taken however little time is left, but by a withdrawn request only if its
// caller may still be answered in time.
func TestFreeSlotIsTakenWithoutTimeToWait(t *testing.T) {
	g := NewWithT(t)
	p, _ := loadedGroup(dispatch.Load{Active: 11})
	late := dispatch.Demand{BeginBy: start.Add(-time.Second)}
	n, _ := p.Pick(start, late)
	g.Expect(n).NotTo(BeNil())
	late.Accepted, late.Withdrawn = true, true
	_, obstacle := p.Pick(start, late)
	g.Expect(obstacle).To(Equal(dispatch.Full))
}

// A group's step lasts as long as its slowest rank's part: such a rank gets nothing while the
// others could take the request, and requests if it is the only one left or all are alike.
func TestSlowRankIsUsedOnlyWhereNoOtherCouldBe(t *testing.T) {
	g := NewWithT(t)
	soon := dispatch.Demand{BeginBy: start.Add(time.Second)}
	p, nodes := loadedGroup(dispatch.Load{Slowness: 7}, dispatch.Load{Active: 12, Queued: 5})
	_, obstacle := p.Pick(start, soon)
	g.Expect(obstacle).To(Equal(dispatch.Full))
	soon.Exclude = []string{"rank-1"}
	n, _ := p.Pick(start, soon)
	g.Expect(n).To(Equal(nodes[0]))
	p, _ = loadedGroup(dispatch.Load{Slowness: 7}, dispatch.Load{Slowness: 7})
	n, _ = p.Pick(start, dispatch.Demand{BeginBy: start})
	g.Expect(n).NotTo(BeNil())
	p, nodes = loadedGroup(dispatch.Load{Slowness: 3, Group: "a"}, dispatch.Load{Active: 12, Queued: 5, Group: "b"})
	n, _ = p.Pick(start, dispatch.Demand{BeginBy: start})
	g.Expect(n).To(Equal(nodes[0]), "another group's pace says nothing")
}

// A full upstream's permits stay for requests that it can begin, and a reservation doesn't stand
// in its own way.
func TestPermitsOfAFullUpstream(t *testing.T) {
	g := NewWithT(t)
	soon := dispatch.Demand{BeginBy: start.Add(time.Second)}
	limited := func(active int) (*dispatch.Pool, *dispatch.Node) {
		p, nodes := loadedGroup(dispatch.Load{Active: active, Queued: active / 2})
		share := &ratelimit.Share{}
		share.Set(2, 0, start)
		nodes[0].SetLimit(share)
		return p, nodes[0]
	}
	p, _ := limited(12)
	n, _ := p.NextPermit(start, soon)
	g.Expect(n).To(BeNil())
	p, node := limited(0)
	for range 11 {
		node.MarkSent()
	}
	n, _ = p.NextPermit(start, soon)
	g.Expect(n).To(Equal(node))
	n.MarkSent()
	g.Expect(p.CanTake(n, start, dispatch.Demand{BeginBy: start})).To(BeTrue())
}

// An answer that was cut short doesn't make the usual one shorter.
func TestServiceTimeIgnoresAnswersThatWereCutShort(t *testing.T) {
	g := NewWithT(t)
	p, nodes := loadedGroup(dispatch.Load{})
	before := p.ServiceTime()
	for range 100 {
		p.RecordAnswerParts(1, false)
	}
	g.Expect(p.ServiceTime()).To(Equal(before))
	for range 100 {
		p.RecordPart(nodes[0], time.Second, start)
	}
	g.Expect(p.ServiceTime()).To(BeNumerically(">", before), "it follows the present pace")
}
