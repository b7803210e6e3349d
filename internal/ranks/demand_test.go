package ranks_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/ranks"
)

// reader feeds a Demand with readings of one rank that counts from its start.
type reader struct {
	d      ranks.Demand
	now    time.Time
	step   int64
	chosen []int64
}

func newReader(experts int) *reader {
	r := &reader{now: time.Unix(1000, 0), chosen: make([]int64, experts)}
	r.read(0, nil)
	return r
}

// read takes a reading after an interval in which experts were chosen.
func (r *reader) read(after time.Duration, chosen []int64) (float64, bool) {
	r.now = r.now.Add(after)
	r.step++
	for i, n := range chosen {
		r.chosen[i] += n
	}
	counts := ranks.Counts{Step: r.step, Epoch: 1, Chosen: append([]int64(nil), r.chosen...)}
	return r.d.Add(map[int]ranks.Counts{0: counts}, r.now)
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
	g.Expect(r.d.Set(0, 4)).To(Equal([]float64{10, 40, 20, 330}))
}

// Steady demand differs a little from reading to reading, and memory fades.
func TestSteadyDemandIsRemembered(t *testing.T) {
	g := NewWithT(t)
	r := newReader(2)
	_, _ = r.read(200*time.Millisecond, []int64{60, 40})
	_, _ = r.read(200*time.Millisecond, []int64{50, 50})
	g.Expect(r.d.Settling()).To(BeFalse())
	load := r.d.Set(0, 2)
	g.Expect(load[0]).To(BeNumerically(">", 50))
	g.Expect(load[0]).To(BeNumerically("<", 110))
	g.Expect(r.d.Set(1, 2)).To(BeNil(), "there is no second set")
}

// An engine that starts again counts from 0; a reading after a switch isn't
// compared with one before it.
func TestReadingsThatCantBeComparedCountForNothing(t *testing.T) {
	g := NewWithT(t)
	r := newReader(2)
	_, _ = r.read(200*time.Millisecond, []int64{60, 40})
	r.chosen = []int64{1, 1}
	_, fresh := r.read(200*time.Millisecond, nil)
	g.Expect(fresh).To(BeFalse())
	r.d.Restart()
	_, fresh = r.read(200*time.Millisecond, []int64{5, 5})
	g.Expect(fresh).To(BeFalse())
	_, fresh = r.read(200*time.Millisecond, []int64{5, 5})
	g.Expect(fresh).To(BeTrue())
}
