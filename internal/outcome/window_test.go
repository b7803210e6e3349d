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

// Guards against entries that together exceed the shared bound in some window:
// nine entries retry whenever their budgets allow it, and one of them restarts
// from time to time.
func TestWindowBudgetsStayWithinSharedLimits(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	rng := rand.New(rand.NewPCG(3, 3))
	const entries = 9
	budgets := make([]*outcome.WindowBudget, entries)
	restart := func(i int) {
		budgets[i] = outcome.NewWindowBudget(clock, windowLimits, clock.Now())
		budgets[i].SetEntryShare(1.0 / entries)
	}
	for i := range budgets {
		restart(i)
	}
	const ticks = 600 // of 100 ms
	requests, retries := make([]int, ticks), make([]int, ticks)
	for tick := range ticks {
		clock.Advance(100 * time.Millisecond)
		if tick%250 == 240 {
			restart(rng.IntN(entries))
		}
		for _, b := range budgets {
			if rng.IntN(2) == 0 {
				b.RecordRequest()
				requests[tick]++
			}
			for b.TrySpend() {
				retries[tick]++
			}
		}
	}
	for from := range ticks - 100 {
		requestSum, retrySum := 0, 0
		for i := range 100 {
			requestSum += requests[from+i]
			retrySum += retries[from+i]
		}
		g.Expect(float64(retrySum)).To(BeNumerically("<=", 0.2*float64(requestSum)+90+entries), "window from tick %d", from)
	}
}

// A process that has just started does not know which retries its previous
// incarnation has used, so it must not use the allowance in its first window.
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
