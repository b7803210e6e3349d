package ranks_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/ranks"
)

// interceptor passes orders to a group unless intercept answers them.
type interceptor struct {
	ranks.Group
	intercept func(rank int, o ranks.Order) (ranks.Answer, bool)
}

func (i *interceptor) Order(orders map[int]ranks.Order) map[int]ranks.Answer {
	answers, passed := map[int]ranks.Answer{}, map[int]ranks.Order{}
	for rank, o := range orders {
		if a, ok := i.intercept(rank, o); ok {
			answers[rank] = a
		} else {
			passed[rank] = o
		}
	}
	for rank, a := range i.Group.Order(passed) {
		answers[rank] = a
	}
	return answers
}

// A rank refuses an order without reading it, as one that is busy does. Guards against a
// leader that disarms ranks although the order of an older one may still release the group.
func TestRefusedInvalidationIsSentAgain(t *testing.T) {
	g := NewWithT(t)
	w := newSimulatedGroup(1, 4)
	w.faultRate = 0
	refusals, n := 0, int64(0)
	group := &interceptor{Group: w, intercept: func(rank int, _ ranks.Order) (ranks.Answer, bool) {
		if rank != 1 {
			g.Expect(w.engines[1].fence).To(BeNumerically(">", 1<<20), "the held rank refuses older orders")
		}
		if rank == 1 && refusals < 2 {
			refusals++
			return ranks.Answer{Verdict: ranks.Refused, Status: w.status(rank), OK: true}, true
		}
		return ranks.Answer{}, false
	}}
	s := &ranks.Switcher{
		Group: group, Size: 4, IsLeader: func() bool { return true },
		Fence: func() int64 { n += ranks.MaxSends; return 1<<20 + n },
	}
	w.Order(map[int]ranks.Order{1: {Op: ranks.Hold, Step: w.step + 50, Epoch: w.epoch, Fence: 1}})
	g.Expect(s.Recover()).To(Succeed())
	g.Expect(refusals).To(Equal(2))
	g.Expect(w.status(1).Held).To(Equal(ranks.None))
}

// The reading before a switch was too old to show that a rank holds the group for another
// switch. Guards against arming ranks for a step that is released although the group is
// still held: a clean-up would disarm them one by one while the step begins.
func TestNoSwitchWhileAnotherHoldIsLeft(t *testing.T) {
	g := NewWithT(t)
	w := newSimulatedGroup(1, 4)
	w.faultRate = 0
	n, armed := int64(0), false
	s := &ranks.Switcher{
		Group: w, Size: 4, HoldRanks: []int{2}, IsLeader: func() bool { return true },
		Fence:    func() int64 { n += ranks.MaxSends; return 1<<20 + n },
		OnAnswer: func(_ int, o ranks.Order, _ ranks.Answer) { armed = armed || o.Op == ranks.Arm },
	}
	w.Order(map[int]ranks.Order{1: {Op: ranks.Hold, Step: w.step + 50, Epoch: w.epoch, Fence: 1}})
	g.Expect(s.Switch(w.epoch, 1<<20+1, nil, 3)).NotTo(Succeed())
	g.Expect(armed).To(BeFalse())
	g.Expect(w.status(2).Held).To(Equal(ranks.None))
}
