package dispatch_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/dispatch"
	"github.com/kingcupreel/kingcupreel/internal/pace"
)

var stream = dispatch.Demand{BeginBy: start.Add(time.Second), TargetGap: 120 * time.Millisecond}

// pacedGroups returns groups of two ranks with 10 slots whose pass takes 34 ms and 3 ms a request.
// Their ranks run 8 requests each, and the parts of each group come at the given interval.
func pacedGroups(intervals ...time.Duration) (*dispatch.Pool, [][]*dispatch.Node) {
	p := dispatch.NewPool(rand.New(rand.NewPCG(1, 1)))
	p.SetPaceCost(pace.Cost{Base: 34 * time.Millisecond, PerRequest: 3 * time.Millisecond, Parts: 20})
	groups := make([][]*dispatch.Node, len(intervals))
	for i := range intervals {
		name := string(rune('a' + i))
		for _, rank := range []string{"1", "2"} {
			n := p.Add(dispatch.Replica{ID: name + rank, Slots: 10})
			n.UpdateLoad(dispatch.Load{Active: 8, Slowness: 1, GroupServing: true, Group: name, GroupSize: 2}, start)
			groups[i] = append(groups[i], n)
		}
	}
	p.Pick(start, stream) // the first request tells the target gap
	p.Pace(start)         // the batches are those of the latest reports
	for i, interval := range intervals {
		for range 300 {
			p.RecordPart(groups[i][0], interval, start)
		}
	}
	return p, groups
}

// picks returns how many of 40 streams, none of which is sent, go to each group.
func picks(p *dispatch.Pool, groups [][]*dispatch.Node, d dispatch.Demand) []int {
	counts := make([]int, len(groups))
	for range 40 {
		n, _ := p.Pick(start, d)
		for i, g := range groups {
			if n == g[0] || n == g[1] {
				counts[i]++
			}
		}
	}
	return counts
}

// One group of three has a slow rank, so that all of its streams pause too long, while the others
// have room at pace. Before, all three got as many.
func TestStreamsGoToTheGroupsThatKeepThePace(t *testing.T) {
	g := NewWithT(t)
	p, groups := pacedGroups(60*time.Millisecond, 200*time.Millisecond, 60*time.Millisecond)
	counts := picks(p, groups, stream)
	g.Expect(counts[1]).To(BeZero())
	g.Expect(counts[0] + counts[2]).To(Equal(40))
	for _, other := range []dispatch.Demand{{BeginBy: stream.BeginBy}, {BeginBy: stream.BeginBy, TargetGap: stream.TargetGap, Accepted: true}} {
		g.Expect(picks(p, groups, other)[1]).To(BeNumerically(">", 0), "answers without a target gap, and accepted requests, go to all groups")
	}
	g.Expect(p.Pace(start).Short).To(BeFalse())
}

// Arrivals over what all groups serve at pace: a late answer is better than none, so that all
// groups take them, and the pool says that it is short of room.
func TestStreamsGoToAllGroupsIfNoneKeepsThePace(t *testing.T) {
	g := NewWithT(t)
	p, groups := pacedGroups(200*time.Millisecond, 200*time.Millisecond, 200*time.Millisecond)
	g.Expect(picks(p, groups, stream)).To(HaveEach(BeNumerically(">", 0)))
	state := p.Pace(start)
	g.Expect(state.Short).To(BeTrue())
	g.Expect(state.Groups).To(HaveLen(3))
	g.Expect(state.Groups[0].Bound).To(BeNumerically("<", state.Groups[0].Load))
	g.Expect(p.Pace(start.Add(3 * time.Second)).Short).To(BeFalse())
}

// A group at pace whose ranks can't begin the request in time doesn't keep it from the others.
func TestStreamGoesBeyondThePaceIfTheGroupsAtPaceAreFull(t *testing.T) {
	g := NewWithT(t)
	p, groups := pacedGroups(200*time.Millisecond, 60*time.Millisecond)
	excluded := stream
	excluded.Exclude = []string{"b1", "b2"}
	n, _ := p.Pick(start, excluded)
	g.Expect(groups[0]).To(ContainElement(n))
}
