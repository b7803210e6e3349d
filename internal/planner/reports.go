package planner

import "slices"

// Report is a rank's report for one reporting window.
type Report struct {
	// Window numbers the window. Reports lag, so the ranks' latest windows may
	// differ.
	Window int64
	// Tokens is the number of tokens that the rank routed to each expert.
	Tokens []float64
	// StepMicros is the mean time of the rank's steps.
	StepMicros int64
}

// MergeReports adds up the tokens of each expert over the ranks' reports. It
// returns false unless all reports are for the same window and it is later than
// last: if one rank lagged, an expert with replicas would seem to have
// less load than it has.
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

// stragglerFactor is the time per token, relative to the median rank's, above
// which a rank is a straggler.
const stragglerFactor = 1.3

// Stragglers returns the ranks whose time per token is far above the median
// rank's, so that they are slow for another reason than their experts. Plans
// use tokens only and do not move experts away from stragglers; operators are
// told about them.
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
