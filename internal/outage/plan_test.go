package outage_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/outage"
)

var (
	start = time.Unix(1000, 0)
	terms = outage.Terms{MaxPartition: 6 * time.Second, FormTime: 600 * time.Millisecond}
)

// cutAt returns a tracker of a group of 63 that served until a data centre was cut off at
// start.
func cutAt() *outage.Tracker {
	t := outage.NewTracker(700 * time.Millisecond)
	t.SetOpenTime(250 * time.Millisecond)
	t.Observe([]outage.Group{{Name: "g", Size: 63, Alive: 63, Usable: 63}}, true, start.Add(-time.Second))
	t.Observe([]outage.Group{{Name: "g", Size: 63, Alive: 63}}, false, start)
	t.Observe([]outage.Group{{Name: "g", Size: 63, Alive: 42}}, false, start.Add(time.Second))
	return t
}

// firstAttempt is a caller that has just come: it leaves after 8 s, or after 2 s without an
// event.
func firstAttempt() outage.Caller {
	return outage.Caller{Remaining: 8 * time.Second, WaitLimit: 1400 * time.Millisecond, HoldLimit: 1700 * time.Millisecond, NextWaitLimit: 1400 * time.Millisecond, ServiceTime: 2 * time.Second, MayReturn: true}
}

// retry is a caller that comes for the second time.
func retry() outage.Caller {
	c := firstAttempt()
	c.Remaining, c.MayReturn = 5500*time.Millisecond, false
	return c
}

// A data centre is cut off for up to 6 s before one group of 63 ranks: by which way the callers
// of each moment are carried.
func TestCallersOfAnOutageByTheirMoment(t *testing.T) {
	for name, c := range map[string]struct {
		at     time.Duration
		caller outage.Caller
		action outage.Action
	}{
		"only a wait, a return and a second wait may reach the end": {500 * time.Millisecond, firstAttempt(), outage.Wait},
		"a return and a wait reach the latest end":                  {3 * time.Second, firstAttempt(), outage.Return},
		"a wait probably reaches the end":                           {5 * time.Second, firstAttempt(), outage.Wait},
		"a retry that came too early":                               {2 * time.Second, retry(), outage.Refuse},
		"a retry that probably reaches the end":                     {4600 * time.Millisecond, retry(), outage.Wait},
		"longer than any before":                                    {7 * time.Second, firstAttempt(), outage.Wait},
		"no end is expected":                                        {14 * time.Second, firstAttempt(), outage.Refuse},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			now := start.Add(c.at)
			p := cutAt().Forecast(terms, now).Plan(c.caller, 0, now)
			g.Expect(p.Action).To(Equal(c.action))
			if p.Action == outage.Return {
				latest := c.at + p.ReturnTo + c.caller.NextWaitLimit
				g.Expect(latest).To(BeNumerically(">=", terms.MaxPartition+terms.FormTime))
				g.Expect(p.ReturnTo).To(BeNumerically("<", c.caller.Remaining/3))
			}
		})
	}
}

// Partitions may last a minute here: callers who leave after 8 s are told at once.
func TestLongOutageKeepsNobody(t *testing.T) {
	g := NewWithT(t)
	long := terms
	long.MaxPartition = time.Minute
	now := start.Add(time.Second)
	p := cutAt().Forecast(long, now).Plan(firstAttempt(), 0, now)
	g.Expect(p.Action).To(Equal(outage.Refuse))
	g.Expect(p.ReturnTo).To(BeNumerically("~", 2600*time.Millisecond, 50*time.Millisecond))
}

// The wave at the return: 40 callers of an entry that starts 8 within 0.4 s and then 10 a second come back
// over 3.6 s if they can bear it, not at one moment.
func TestReturningCallersAreSpreadOverTheIntake(t *testing.T) {
	g := NewWithT(t)
	in := outage.Intake{AtOnce: 8, StartsPerSecond: 20, PerSecond: 10}
	patient := firstAttempt()
	patient.Remaining = time.Minute
	now := start.Add(3 * time.Second)
	f := cutAt().Forecast(terms, now)
	p := f.Plan(patient, in.Turn(40), now)
	g.Expect(p.ReturnTo - p.ReturnFrom).To(Equal(3600 * time.Millisecond))
	p = f.Plan(firstAttempt(), in.Turn(40), now)
	g.Expect(p.ReturnTo).To(BeNumerically("<", 8*time.Second/3))
}

// All ranks are back: the end is known, and a group that has lost more is back later than one
// that forms.
func TestGroupThatFormsIsExpectedFirst(t *testing.T) {
	g := NewWithT(t)
	tracker, now := cutAt(), start.Add(2*time.Second)
	tracker.Observe([]outage.Group{{Name: "g", Size: 63, Alive: 42}, {Name: "h", Size: 63, Alive: 63}}, false, now)
	now = now.Add(time.Second)
	tracker.Observe([]outage.Group{{Name: "g", Size: 63, Alive: 42}, {Name: "h", Size: 63, Alive: 63}}, false, now)
	f := tracker.Forecast(terms, now)
	g.Expect(f.Group).To(Equal("h"))
	g.Expect(f.Evidence).To(Equal(outage.RanksBack))
	g.Expect(f.Expected).To(Equal(now.Add(terms.FormTime)))
}

// First attempts name timeouts that differ by a seventh, and some requests are retries.
func TestRetriesAreKnownByTheirTimeout(t *testing.T) {
	g := NewWithT(t)
	var timeouts outage.Timeouts
	g.Expect(timeouts.AttemptAge(5 * time.Second)).To(BeZero())
	for i := range 200 {
		timeouts.Add(6900*time.Millisecond + time.Duration(i%11)*100*time.Millisecond)
		if i%4 == 0 {
			timeouts.Add(time.Duration(i) * 20 * time.Millisecond)
		}
	}
	for _, first := range []time.Duration{6900 * time.Millisecond, 8 * time.Second, 20 * time.Second, 0} {
		g.Expect(timeouts.AttemptAge(first)).To(BeZero())
	}
	g.Expect(timeouts.AttemptAge(5 * time.Second)).To(BeNumerically("~", 2200*time.Millisecond, 300*time.Millisecond))
}

// The wave at the return of 63 ranks: they say that they are open one after the other. What
// waits at all entries isn't sent to the first.
func TestGroupServesOnceHalfOfItsRanksSaySo(t *testing.T) {
	g := NewWithT(t)
	tracker, now := cutAt(), start.Add(6*time.Second)
	observe := func(usable int, after time.Duration) bool {
		now = now.Add(after)
		return tracker.Observe([]outage.Group{{Name: "g", Size: 63, Alive: 63, Usable: usable}}, usable > 0, now)
	}
	g.Expect(observe(1, 0)).To(BeFalse())
	g.Expect(tracker.Forecast(terms, now).Plan(firstAttempt(), 0, now).Action).To(Equal(outage.Wait))
	g.Expect(observe(20, 50*time.Millisecond)).To(BeFalse())
	g.Expect(observe(32, 50*time.Millisecond)).To(BeTrue())
	g.Expect(observe(1, 50*time.Millisecond)).To(BeTrue(), "it has served since")
	g.Expect(observe(0, 50*time.Millisecond)).To(BeFalse())
	g.Expect(observe(1, 50*time.Millisecond)).To(BeFalse())
	g.Expect(observe(1, 250*time.Millisecond)).To(BeTrue(), "the others don't follow")
}

// A data centre with a group of its own is cut off: nobody says that the group has stopped, but
// dozens of reports are missing.
func TestDataCentreIsQuietOnceItsReportsAreMissing(t *testing.T) {
	g := NewWithT(t)
	dataCentres := map[string]outage.DataCentre{"cut": {start, 21, 140}, "own": {start.Add(350 * time.Millisecond), 21, 140}, "small": {start, 4, 20}, "idle": {start, 21, 42}}
	g.Expect(outage.Quiet(dataCentres, start.Add(250*time.Millisecond))).To(BeEmpty())
	g.Expect(outage.Quiet(dataCentres, start.Add(400*time.Millisecond))).To(Equal(map[string]bool{"cut": true}))
	g.Expect(outage.Quiet(dataCentres, start.Add(700*time.Millisecond))).To(BeEmpty(), "nothing comes from anywhere")
}
