// Package balance decides which upstream gets an attempt. It is pure: state in,
// decisions out.
package balance

import "math/rand/v2"

// Candidate is an upstream that could take an attempt.
type Candidate struct {
	Name       string
	DataCentre string
	// InFlight counts this entry's own attempts at the upstream.
	InFlight int
	// Reported is the upstream's last report of its work, aged by the caller.
	Reported float64
	// Capacity is the upstream's capacity; 0 means unknown.
	Capacity int
}

// Request is what a decision may depend on.
type Request struct {
	DataCentre string
	// Prefix is the prompt's beginning; empty for plain services.
	Prefix string
}

// Picker chooses one of the candidates. It returns -1 for none.
type Picker interface {
	Pick(r Request, candidates []Candidate) int
}

// TwoChoices picks the less loaded of two random candidates, those of the
// request's data centre first.
type TwoChoices struct{ Rand *rand.Rand }

// Pick implements Picker.
func (t TwoChoices) Pick(r Request, candidates []Candidate) int {
	pool := local(r, candidates)
	if len(pool) == 0 {
		return -1
	}
	a := pool[t.Rand.IntN(len(pool))]
	b := pool[t.Rand.IntN(len(pool))]
	if work(candidates[b]) < work(candidates[a]) {
		return b
	}
	return a
}

// work is the expected work at a candidate.
func work(c Candidate) float64 { return max(float64(c.InFlight), c.Reported) }

// local returns the indexes of the candidates in the request's data centre, or
// of all when there are none.
func local(r Request, candidates []Candidate) []int {
	var near, all []int
	for i, c := range candidates {
		all = append(all, i)
		if c.DataCentre == r.DataCentre {
			near = append(near, i)
		}
	}
	if len(near) > 0 {
		return near
	}
	return all
}
