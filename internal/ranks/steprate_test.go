package ranks_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/ranks"
)

// Steps begin to take twice as long. A reading just after the end of a step and one
// just before the end of another must not make steps look short: a switch would
// then be set too many slow steps ahead.
func TestStepRateOfAGroupWhoseStepsGetLong(t *testing.T) {
	g := NewWithT(t)
	var p ranks.StepRate
	start := time.Unix(100, 0)
	g.Expect(p.StepTime()).To(BeZero())
	g.Expect(p.LeadSteps(time.Second)).To(Equal(int64(2)))
	steps := func(at time.Duration) int64 {
		if at < time.Second {
			return int64(at / (59 * time.Millisecond))
		}
		return int64(time.Second/(59*time.Millisecond)) + int64((at-time.Second)/(117*time.Millisecond))
	}
	for at := time.Duration(0); at <= time.Second; at += 200 * time.Millisecond {
		p.Add(steps(at), start.Add(at))
	}
	g.Expect(p.StepTime()).To(BeNumerically("~", 59*time.Millisecond, 10*time.Millisecond))
	for _, at := range []time.Duration{1200, 1280, 1480, 1680, 1760} {
		p.Add(steps(at*time.Millisecond), start.Add(at*time.Millisecond))
	}
	g.Expect(p.StepTime()).To(BeNumerically(">=", 90*time.Millisecond))
	g.Expect(p.LeadSteps(70 * time.Millisecond)).To(Equal(int64(2)))
	g.Expect(p.LeadSteps(300 * time.Millisecond)).To(Equal(int64(4)))
	last := start.Add(1760 * time.Millisecond)
	g.Expect(p.StepsUntil(last)).To(BeZero())
	g.Expect(p.StepsUntil(last.Add(-time.Second))).To(BeZero())
	g.Expect(p.StepsUntil(last.Add(p.StepTime()))).To(Equal(int64(1)))
	g.Expect(p.StepsUntil(last.Add(p.StepTime() + 1))).To(Equal(int64(2)))
}

// A VM froze for 4 s during a round of orders. The next switch must not be set that
// far ahead.
func TestExpectedRoundTripIgnoresOneLongRound(t *testing.T) {
	g := NewWithT(t)
	var r ranks.RoundTrips
	g.Expect(r.Expected()).To(BeZero())
	for _, ms := range []time.Duration{30, 50, 40, 4100, 45} {
		r.Add(ms * time.Millisecond)
	}
	g.Expect(r.Expected()).To(Equal(50 * time.Millisecond))
	for range 6 {
		r.Add(80 * time.Millisecond)
	}
	g.Expect(r.Expected()).To(Equal(80 * time.Millisecond))
}
