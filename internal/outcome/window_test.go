package outcome_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/outcome"
)

var windowLimits = outcome.WindowLimits{Window: 10 * time.Second, Ratio: 0.2, Allowance: 90}

// Nine entries that repeat whatever they may, one of which is killed and starts
// again, stay within the bound in every window.
func TestWindowBudgetsStayWithinTheSharedBound(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	rng := rand.New(rand.NewPCG(3, 3))
	const entries = 9
	budgets := make([]*outcome.WindowBudget, entries)
	begin := func(i int) {
		budgets[i] = outcome.NewWindowBudget(clock, windowLimits, clock.Now())
		budgets[i].SetEntryShare(1.0 / entries)
	}
	for i := range budgets {
		begin(i)
	}
	const ticks = 600 // of 100 ms
	requests, repeats := make([]int, ticks), make([]int, ticks)
	for tick := range ticks {
		clock.Advance(100 * time.Millisecond)
		if tick%250 == 240 {
			begin(rng.IntN(entries))
		}
		for _, b := range budgets {
			if rng.IntN(2) == 0 {
				b.RecordRequest()
				requests[tick]++
			}
			for b.TrySpend() {
				repeats[tick]++
			}
		}
	}
	for from := range ticks - 100 {
		asked, repeated := 0, 0
		for i := range 100 {
			asked += requests[from+i]
			repeated += repeats[from+i]
		}
		g.Expect(float64(repeated)).To(BeNumerically("<=", 0.2*float64(asked)+90+entries), "window from tick %d", from)
	}
}

// A process that has just started can't know what its earlier life has spent.
func TestWindowBudgetStartsWithoutTheAllowance(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	b := outcome.NewWindowBudget(clock, windowLimits, clock.Now())
	b.SetEntryShare(1)
	g.Expect(b.TrySpend()).To(BeFalse())
	for range 10 {
		b.RecordRequest()
	}
	g.Expect(b.TrySpend()).To(BeTrue())
	g.Expect(b.TrySpend()).To(BeTrue())
	g.Expect(b.TrySpend()).To(BeFalse())
	clock.Advance(11 * time.Second)
	g.Expect(b.Remaining()).To(Equal(90.0))
}
