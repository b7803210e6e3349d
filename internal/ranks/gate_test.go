package ranks_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/ranks"
)

// silentGroup is a group of which some ranks leave orders unanswered.
type silentGroup struct {
	size int
	// unanswered is the number of orders that each rank leaves unanswered, by operation.
	unanswered map[int]map[ranks.Op]int
	prepared   int64
	// heldAt is the rank that was sent a Hold, -1 for none.
	heldAt int
}

func (s *silentGroup) status(rank int) ranks.Status {
	return ranks.Status{Group: "g", Epoch: 1, Rank: rank, Size: s.size, GroupServing: true, Step: 10, Prepared: s.prepared, Armed: ranks.None, Held: ranks.None}
}

func (s *silentGroup) Order(orders map[int]ranks.Order) map[int]ranks.Answer {
	answers := map[int]ranks.Answer{}
	for r, o := range orders {
		if o.Op == ranks.Hold {
			s.heldAt = r
		}
		if o.Op == ranks.Prepare {
			s.prepared = o.Version
		}
		if s.unanswered[r][o.Op] > 0 {
			s.unanswered[r][o.Op]--
			continue
		}
		answers[r] = ranks.Answer{Verdict: ranks.Accepted, Status: s.status(r), OK: o.Op == ranks.Prepare}
	}
	return answers
}

func (s *silentGroup) ReadStatuses() map[int]ranks.Status {
	all := map[int]ranks.Status{}
	for r := range s.size {
		all[r] = s.status(r)
	}
	return all
}

func (s *silentGroup) Pause() bool { return true }

// switchMap lets a leader try a switch with a gate.
func (s *silentGroup) switchMap(gate *ranks.Gate) error {
	s.heldAt = -1
	fence := int64(100)
	w := &ranks.Switcher{
		Group: s, Size: s.size, HoldRanks: []int{1, 2}, Gate: gate, IsLeader: func() bool { return true },
		Fence: func() int64 { fence += ranks.MaxSends; return fence },
	}
	return w.Switch(1, 7, nil, 3)
}

// An engine leaves the order to prepare a map unanswered at first, while its health answers
// hang: it would leave the next orders unanswered too, and its group would stay held.
func TestGroupIsNotHeldAfterAnUnansweredPrepare(t *testing.T) {
	g := NewWithT(t)
	s := &silentGroup{size: 4, unanswered: map[int]map[ranks.Op]int{3: {ranks.Prepare: 1}}}
	gate := &ranks.Gate{}
	err := s.switchMap(gate)
	g.Expect(fault.KindOf(err)).To(Equal(fault.Unavailable))
	g.Expect(s.heldAt).To(Equal(-1))
	// It answers all orders of the next switch.
	g.Expect(s.switchMap(gate)).To(Succeed())
	g.Expect(s.heldAt).To(Equal(1))
}

// An engine answers readings but no orders, while its health answers hang: the group is held
// at a rank that can release it.
func TestGroupIsHeldAtARankThatAnswersOrders(t *testing.T) {
	g := NewWithT(t)
	s := &silentGroup{size: 4, unanswered: map[int]map[ranks.Op]int{1: {ranks.Disarm: 1}}}
	g.Expect(s.switchMap(&ranks.Gate{})).To(Succeed())
	g.Expect(s.heldAt).To(Equal(2))
	s.unanswered = map[int]map[ranks.Op]int{1: {ranks.Disarm: 1}, 2: {ranks.Disarm: 1}}
	err := s.switchMap(&ranks.Gate{})
	g.Expect(fault.KindOf(err)).To(Equal(fault.Unavailable))
	g.Expect(s.heldAt).To(Equal(-1))
}

// While a rank is silent, a new attempt each reading would slow the steps with its copies and
// come to nothing.
func TestNoSwitchSoonAfterARankStayedSilent(t *testing.T) {
	g := NewWithT(t)
	end := time.Unix(1000, 0)
	gate := &ranks.Gate{}
	g.Expect(gate.MayBegin(end, end)).To(BeTrue())
	gate.Add(3, ranks.Unknown)
	g.Expect(gate.MayBegin(end.Add(100*time.Millisecond), end)).To(BeFalse())
	g.Expect(gate.MayBegin(end.Add(time.Second), end)).To(BeTrue(), "a rank that is asked nothing can't show that it answers again")
	gate.Add(3, ranks.Refused)
	g.Expect(gate.MayBegin(end.Add(100*time.Millisecond), end)).To(BeTrue())
}

// A faulty engine may repeat an earlier answer on a kept connection: only what no earlier
// status can show counts as carried out.
func TestOrderIsShownOnlyByALaterStatus(t *testing.T) {
	g := NewWithT(t)
	arm := ranks.Order{Op: ranks.Arm, Version: 7, Step: 12, Epoch: 1}
	before := ranks.Status{Epoch: 1, Step: 10, Map: 5, Prepared: 7, Armed: ranks.None, Held: 12}
	armed, inForce, otherEpoch := before, before, before
	armed.Armed, inForce.Map, otherEpoch.Armed, otherEpoch.Epoch = 7, 7, 7, 2
	g.Expect(arm.IsShownBy(before)).To(BeFalse())
	g.Expect(arm.IsShownBy(armed)).To(BeTrue())
	g.Expect(arm.IsShownBy(inForce)).To(BeTrue())
	g.Expect(arm.IsShownBy(otherEpoch)).To(BeFalse())
	release := ranks.Order{Op: ranks.Release, Step: 12, Epoch: 1}
	neverHeld, begun := before, before
	neverHeld.Held, begun.Step = ranks.None, 12
	g.Expect(release.IsShownBy(before)).To(BeFalse())
	g.Expect(release.IsShownBy(neverHeld)).To(BeFalse(), "the status may be from before the hold")
	g.Expect(release.IsShownBy(begun)).To(BeTrue())
	for _, op := range []ranks.Op{ranks.Prepare, ranks.Hold, ranks.Disarm} {
		g.Expect(ranks.Order{Op: op}.HasVisibleEffect()).To(BeFalse())
	}
}
