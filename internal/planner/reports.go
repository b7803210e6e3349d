package planner

import "slices"

// Report is a rank's report of one reporting window.
type Report struct {
	// Window numbers the window; reports lag, so ranks may differ.
	Window int64
	// Tokens is what the rank routed to each expert.
	Tokens []float64
	// StepMicros is the mean time of the rank's steps.
	StepMicros int64
}

// MergeReports adds up the ranks' reports to the tokens of each expert. It is of no use,
// and false, unless all are of one window later than the last: an expert with
// replicas would look colder than it is when one of its ranks lags.
func MergeReports(reports []Report, last int64) ([]float64, bool) {
	if len(reports) == 0 || reports[0].Window <= last {
		return nil, false
	}
	row := make([]float64, len(reports[0].Tokens))
	for _, r := range reports {
		if r.Window != reports[0].Window || len(r.Tokens) != len(row) {
			return nil, false
		}
		for e, t := range r.Tokens {
			row[e] += t
		}
	}
	return row, true
}

// stragglerFactor is how much longer than its load explains a rank's steps
// take before it is named a straggler.
const stragglerFactor = 1.3

// Stragglers returns the ranks that are slow for other reasons than their
// experts: their time a token is far above the median rank's. Plans look at
// tokens alone and so don't move experts away from them; operators are told.
func Stragglers(reports []Report) []int {
	perToken := make([]float64, len(reports))
	for r, report := range reports {
		tokens := 0.0
		for _, t := range report.Tokens {
			tokens += t
		}
		if tokens > 0 {
			perToken[r] = float64(report.StepMicros) / tokens
		}
	}
	sorted := slices.Sorted(slices.Values(perToken))
	if len(sorted) == 0 {
		return nil
	}
	median := sorted[(len(sorted)-1)/2]
	var slow []int
	for r, t := range perToken {
		if median > 0 && t > stragglerFactor*median {
			slow = append(slow, r)
		}
	}
	return slow
}
