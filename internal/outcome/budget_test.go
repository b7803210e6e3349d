package outcome_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/kingcupreel/kingcupreel/internal/outcome"
)

// TestRetryBudgetBoundsRetries checks the bound that NewRetryBudget states for
// arbitrary sequences of successes and retries.
func TestRetryBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := outcome.NewRetryBudget(outcome.DefaultRetriesPerSuccess, outcome.DefaultInitialRetries, outcome.DefaultMaxSavedRetries)
		successes, retries := 0, 0
		for range rapid.IntRange(0, 500).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "success") {
				b.RecordSuccess()
				successes++
			} else if b.TrySpend() {
				retries++
			}
		}
		const rounding = 1e-6
		if bound := outcome.DefaultInitialRetries + outcome.DefaultRetriesPerSuccess*float64(successes) + rounding; float64(retries) > bound {
			t.Fatalf("%d retries over %d successes, bound %v", retries, successes, bound)
		}
	})
}

// TestRetryBudgetAccumulatesUpToLimit guards against a burst of retries after a long
// time without failures.
func TestRetryBudgetAccumulatesUpToLimit(t *testing.T) {
	b := outcome.NewRetryBudget(outcome.DefaultRetriesPerSuccess, outcome.DefaultInitialRetries, outcome.DefaultMaxSavedRetries)
	for range 1_000_000 {
		b.RecordSuccess()
	}
	retries := 0
	for b.TrySpend() {
		retries++
	}
	if retries > outcome.DefaultMaxSavedRetries {
		t.Fatalf("%d retries accumulated", retries)
	}
}

func TestCombineKeepsAnEarlierRun(t *testing.T) {
	for _, earlier := range []outcome.Outcome{outcome.Failed, outcome.Unknown} {
		if got := outcome.Combine(earlier, outcome.NotRun); got != earlier {
			t.Errorf("outcome after %s and a refusal is %s", earlier, got)
		}
	}
	if got := outcome.Combine("", outcome.NotRun); got != outcome.NotRun {
		t.Errorf("outcome of a refusal is %s", got)
	}
	if got := outcome.Combine(outcome.Unknown, outcome.Completed); got != outcome.Completed {
		t.Errorf("outcome of a completion is %s", got)
	}
}
