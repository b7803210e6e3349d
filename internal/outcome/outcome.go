// Package outcome names what a caller is told about the fate of a request.
package outcome

// Header is the response header (or trailer) that carries the outcome.
const Header = "Kingcupreel-Outcome"

// Outcome is the fate of a request as the caller is told.
type Outcome string

// The outcomes.
const (
	// Completed means that the whole answer was delivered.
	Completed Outcome = "completed"
	// NotRun means that no upstream ran the request, nor will.
	NotRun Outcome = "not-run"
	// Failed means that an upstream ran the request and it failed.
	Failed Outcome = "failed"
	// Unknown means that the request may or may not have run.
	Unknown Outcome = "unknown"
)

// Combine returns the outcome of a request whose earlier attempts ended as
// earlier and whose last one ended as last: a last attempt that did not run
// doesn't undo an earlier one that may have. The zero value of earlier means no
// earlier attempt.
func Combine(earlier, last Outcome) Outcome {
	if last == NotRun && earlier != "" {
		return earlier
	}
	return last
}
