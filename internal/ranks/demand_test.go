package ranks_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/ranks"
)

// reader feeds a Demand with readings of one rank that counts from its start.
type reader struct {
	d    ranks.Demand
	now  time.Time
	last ranks.Counts
}

func newReader(experts int) *reader {
	return &reader{now: time.Unix(1000, 0), last: ranks.Counts{Epoch: 1, Selections: make([]int64, experts)}}
}

// read takes a reading after an interval in which experts were chosen.
func (r *reader) read(after time.Duration, chosen []int64) (float64, bool) {
	r.now = r.now.Add(after)
	next := ranks.Counts{Step: r.last.Step + 1, Epoch: 1, Selections: append([]int64(nil), r.last.Selections...)}
	for i, n := range chosen {
		next.Selections[i] += n
	}
	var reading []ranks.Selections
	if c, ok := next.Since(r.last); ok {
		reading = append(reading, c)
	}
	r.last = next
	return r.d.Add(reading, r.now)
}

// Demand shifts between two readings: the first one that shows it mixes both
// and counts for nothing, the next one alone is the new demand.
func TestShiftOfDemandIsReadOnceMore(t *testing.T) {
	g := NewWithT(t)
	r := newReader(4)
	for range 5 {
		moved, fresh := r.read(200*time.Millisecond, []int64{800, 100, 50, 50})
		g.Expect(fresh).To(BeTrue())
		g.Expect(moved).To(BeNumerically("<", 0.01))
	}
	moved, _ := r.read(200*time.Millisecond, []int64{400, 100, 50, 450})
	g.Expect(moved).To(BeNumerically("~", 0.4, 0.01))
	g.Expect(r.d.Settling()).To(BeTrue())
	_, _ = r.read(80*time.Millisecond, []int64{10, 40, 20, 330})
	g.Expect(r.d.Settling()).To(BeFalse())
	for i, want := range []float64{10, 40, 20, 330} {
		g.Expect(r.d.ExpertLoads(0, 4)[i]).To(BeNumerically("~", want, 1))
	}
}

// A reading that ends soon after demand has shifted shows little of it. A plan
// that it calls for waits for the next reading, which shows whether it has: then
// nothing from before counts, else all of it does.
func TestLoadThatMayMixTwoDemandsIsReadOnceMore(t *testing.T) {
	g := NewWithT(t)
	r := newReader(4)
	for range 5 {
		_, _ = r.read(200*time.Millisecond, []int64{800, 100, 50, 50})
	}
	_, _ = r.read(200*time.Millisecond, []int64{720, 100, 50, 130})
	g.Expect(r.d.Settling()).To(BeFalse(), "too little has moved")
	g.Expect(r.d.RequestConfirmation()).To(BeTrue())
	_, fresh := r.read(80*time.Millisecond, []int64{10, 40, 20, 330})
	g.Expect(fresh).To(BeTrue())
	g.Expect(r.d.RequestConfirmation()).To(BeFalse())
	for i, want := range []float64{10, 40, 20, 330} {
		g.Expect(r.d.ExpertLoads(0, 4)[i]).To(BeNumerically("~", want, 1))
	}
	_, _ = r.read(200*time.Millisecond, []int64{20, 80, 40, 660})
	g.Expect(r.d.RequestConfirmation()).To(BeTrue(), "it isn't the second reading any more")
	_, _ = r.read(80*time.Millisecond, []int64{10, 40, 20, 330})
	g.Expect(r.d.RequestConfirmation()).To(BeFalse())
	g.Expect(r.d.ExpertLoads(0, 4)[3]).To(BeNumerically(">", 700), "demand is the same, so the readings before count")
}

// Agents of a large group add up what their ranks chose, so that the leader's link
// carries the choices of all.
func TestChoicesAreAddedUp(t *testing.T) {
	g := NewWithT(t)
	rank := func(step int64, chosen ...int64) ranks.Selections {
		c, ok := ranks.Counts{Step: step, Epoch: 1, Selections: chosen}.Since(ranks.Counts{Selections: make([]int64, len(chosen))})
		g.Expect(ok).To(BeTrue())
		return c
	}
	other := rank(1, 9, 9, 9)
	other.Epoch = 2
	sum, ok := ranks.SumSelections([]ranks.Selections{rank(1, 100, 40, 0), rank(1, 20, 400, 5), other, rank(1, 7)})
	g.Expect(ok).To(BeTrue())
	var d ranks.Demand
	_, _ = d.Add([]ranks.Selections{sum}, time.Unix(1000, 0))
	for i, want := range []float64{120, 440, 5} {
		g.Expect(d.ExpertLoads(0, 3)[i]).To(BeNumerically("~", want, 2))
	}
	_, ok = ranks.SumSelections(nil)
	g.Expect(ok).To(BeFalse())
}

// Steady demand differs a little from reading to reading, and memory fades.
func TestSteadyDemandIsRemembered(t *testing.T) {
	g := NewWithT(t)
	r := newReader(2)
	_, _ = r.read(200*time.Millisecond, []int64{60, 40})
	_, _ = r.read(200*time.Millisecond, []int64{50, 50})
	g.Expect(r.d.Settling()).To(BeFalse())
	load := r.d.ExpertLoads(0, 2)
	g.Expect(load[0]).To(BeNumerically(">", 50))
	g.Expect(load[0]).To(BeNumerically("<", 110))
	g.Expect(r.d.ExpertLoads(1, 2)).To(BeNil(), "there is no second set")
}

// An engine that starts again counts from 0; a reading that reaches back over a
// switch counts for nothing.
func TestReadingsThatCantBeComparedCountForNothing(t *testing.T) {
	g := NewWithT(t)
	r := newReader(2)
	_, _ = r.read(200*time.Millisecond, []int64{60, 40})
	r.last.Selections = []int64{1000, 1000}
	_, fresh := r.read(200*time.Millisecond, []int64{-990, -990})
	g.Expect(fresh).To(BeFalse())
	_, fresh = r.read(200*time.Millisecond, nil)
	g.Expect(fresh).To(BeFalse(), "an idle group chooses nothing")
	r.d.SkipNext()
	_, fresh = r.read(200*time.Millisecond, []int64{5, 5})
	g.Expect(fresh).To(BeFalse())
	_, fresh = r.read(200*time.Millisecond, []int64{5, 5})
	g.Expect(fresh).To(BeTrue())
}

// What travels is a byte an expert, and keeps the shares.
func TestChosenKeepsTheShares(t *testing.T) {
	g := NewWithT(t)
	old := ranks.Counts{Step: 1, Selections: []int64{100, 0, 7}}
	c, ok := ranks.Counts{Step: 4, Epoch: 2, Selections: []int64{86100, 43000, 7}}.Since(old)
	g.Expect(ok).To(BeTrue())
	g.Expect(c).To(Equal(ranks.Selections{Epoch: 2, Max: 86000, Shares: []byte{255, 128, 0}}))
}
