package ranks_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/ranks"
)

// demandReader feeds a Demand with readings of one rank.
type demandReader struct {
	d    ranks.Demand
	now  time.Time
	last ranks.Counts
}

func newDemandReader(experts int) *demandReader {
	return &demandReader{now: time.Unix(1000, 0), last: ranks.Counts{Epoch: 1, Selections: make([]int64, experts)}}
}

// read adds a reading that covers the given interval and selections.
func (r *demandReader) read(after time.Duration, selections []int64) (float64, bool) {
	r.now = r.now.Add(after)
	next := ranks.Counts{Step: r.last.Step + 1, Epoch: 1, Selections: append([]int64(nil), r.last.Selections...)}
	for i, n := range selections {
		next.Selections[i] += n
	}
	var reading []ranks.Selections
	if c, ok := next.Since(r.last); ok {
		reading = append(reading, c)
	}
	r.last = next
	return r.d.Add(reading, r.now)
}

// The first reading after a shift mixes old and new demand and must be dropped. The
// next one alone becomes the estimate.
func TestReadingThatShowsAShiftIsDropped(t *testing.T) {
	g := NewWithT(t)
	r := newDemandReader(4)
	for range 5 {
		moved, usable := r.read(200*time.Millisecond, []int64{800, 100, 50, 50})
		g.Expect(usable).To(BeTrue())
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

// A reading that ends soon after a shift shows too little of it to be detected. A plan
// has to wait for the next reading: if that shows a shift, it replaces the estimate,
// otherwise it is added to it.
func TestEstimateThatMayMixTwoDemandsIsConfirmed(t *testing.T) {
	g := NewWithT(t)
	r := newDemandReader(4)
	for range 5 {
		_, _ = r.read(200*time.Millisecond, []int64{800, 100, 50, 50})
	}
	_, _ = r.read(200*time.Millisecond, []int64{720, 100, 50, 130})
	g.Expect(r.d.Settling()).To(BeFalse(), "too little has moved")
	g.Expect(r.d.RequestConfirmation()).To(BeTrue())
	_, usable := r.read(80*time.Millisecond, []int64{10, 40, 20, 330})
	g.Expect(usable).To(BeTrue())
	g.Expect(r.d.RequestConfirmation()).To(BeFalse())
	for i, want := range []float64{10, 40, 20, 330} {
		g.Expect(r.d.ExpertLoads(0, 4)[i]).To(BeNumerically("~", want, 1))
	}
	_, _ = r.read(200*time.Millisecond, []int64{20, 80, 40, 660})
	g.Expect(r.d.RequestConfirmation()).To(BeTrue(), "the last reading was not a confirming one")
	_, _ = r.read(80*time.Millisecond, []int64{10, 40, 20, 330})
	g.Expect(r.d.RequestConfirmation()).To(BeFalse())
	g.Expect(r.d.ExpertLoads(0, 4)[3]).To(BeNumerically(">", 700), "demand is unchanged, so earlier readings count")
}

// Agents of a large group add up the selections of their ranks to spare the leader's
// link. Entries of another epoch or length are ignored.
func TestSumSelections(t *testing.T) {
	g := NewWithT(t)
	rank := func(step int64, selections ...int64) ranks.Selections {
		c, ok := ranks.Counts{Step: step, Epoch: 1, Selections: selections}.Since(ranks.Counts{Selections: make([]int64, len(selections))})
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

// Small differences between readings are no shift; older readings decay.
func TestSteadyDemandIsAveraged(t *testing.T) {
	g := NewWithT(t)
	r := newDemandReader(2)
	_, _ = r.read(200*time.Millisecond, []int64{60, 40})
	_, _ = r.read(200*time.Millisecond, []int64{50, 50})
	g.Expect(r.d.Settling()).To(BeFalse())
	load := r.d.ExpertLoads(0, 2)
	g.Expect(load[0]).To(BeNumerically(">", 50))
	g.Expect(load[0]).To(BeNumerically("<", 110))
	g.Expect(r.d.ExpertLoads(1, 2)).To(BeNil(), "there is no second set")
}

// A reading is dropped if the engine has restarted and counts from 0, if nothing was
// selected, or if it follows SkipNext.
func TestUnusableReadingsAreDropped(t *testing.T) {
	g := NewWithT(t)
	r := newDemandReader(2)
	_, _ = r.read(200*time.Millisecond, []int64{60, 40})
	r.last.Selections = []int64{1000, 1000}
	_, usable := r.read(200*time.Millisecond, []int64{-990, -990})
	g.Expect(usable).To(BeFalse())
	_, usable = r.read(200*time.Millisecond, nil)
	g.Expect(usable).To(BeFalse(), "an idle group selects no experts")
	r.d.SkipNext()
	_, usable = r.read(200*time.Millisecond, []int64{5, 5})
	g.Expect(usable).To(BeFalse())
	_, usable = r.read(200*time.Millisecond, []int64{5, 5})
	g.Expect(usable).To(BeTrue())
}

// Selections are sent as one byte per expert and keep the experts' shares.
func TestSelectionsKeepTheShares(t *testing.T) {
	g := NewWithT(t)
	old := ranks.Counts{Step: 1, Selections: []int64{100, 0, 7}}
	c, ok := ranks.Counts{Step: 4, Epoch: 2, Selections: []int64{86100, 43000, 7}}.Since(old)
	g.Expect(ok).To(BeTrue())
	g.Expect(c).To(Equal(ranks.Selections{Epoch: 2, Max: 86000, Shares: []byte{255, 128, 0}}))
}
