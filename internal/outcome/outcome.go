// Package outcome defines the outcomes of a request that callers are told, and
// the budgets that bound retries.
package outcome

// Header is the response header or trailer that carries the outcome.
const Header = "Kingcupreel-Outcome"

// Outcome tells a caller how its request ended.
type Outcome string

const (
	// Completed means that the whole response was delivered.
	Completed Outcome = "completed"
	// NotRun means that no upstream ran the request or will run it.
	NotRun Outcome = "not-run"
	// Failed means that an upstream ran the request and it failed.
	Failed Outcome = "failed"
	// Unknown means that the request may or may not have run.
	Unknown Outcome = "unknown"
)

// Combine returns the outcome of a request from that of its earlier attempts
// and that of its last attempt. If the last attempt did not run, the request
// keeps the earlier outcome, since an earlier attempt may have run. The zero
// value of earlier means that there was no earlier attempt.
func Combine(earlier, last Outcome) Outcome {
	if last == NotRun && earlier != "" {
		return earlier
	}
	return last
}
