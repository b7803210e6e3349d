package outcome_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/kingcupreel/kingcupreel/internal/outcome"
)

// TestBudgetBoundsRetries checks the stated bound over arbitrary orders of
// successes and retries.
func TestBudgetBoundsRetries(t *testing.T) {
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

// TestBudgetSavesUpToItsLimit checks that a long quiet time earns no storm.
func TestBudgetSavesUpToItsLimit(t *testing.T) {
	b := outcome.NewRetryBudget(outcome.DefaultRetriesPerSuccess, outcome.DefaultInitialRetries, outcome.DefaultMaxSavedRetries)
	for range 1_000_000 {
		b.RecordSuccess()
	}
	retries := 0
	for b.TrySpend() {
		retries++
	}
	if retries > outcome.DefaultMaxSavedRetries {
		t.Fatalf("%d retries saved up", retries)
	}
}

func TestAfterNeverUndoesARun(t *testing.T) {
	for _, earlier := range []outcome.Outcome{outcome.Failed, outcome.Unknown} {
		if got := outcome.Combine(earlier, outcome.NotRun); got != earlier {
			t.Errorf("after %s a refusal gives %s", earlier, got)
		}
	}
	if got := outcome.Combine("", outcome.NotRun); got != outcome.NotRun {
		t.Errorf("a refusal gives %s", got)
	}
	if got := outcome.Combine(outcome.Unknown, outcome.Completed); got != outcome.Completed {
		t.Errorf("a completion gives %s", got)
	}
}
