package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/directory"
	"github.com/kingcupreel/kingcupreel/internal/dispatch"
)

// Who waits for a group that can't serve, and who is refused at once.
func TestWhoWaitsForTheEndOfAnOutage(t *testing.T) {
	const limit, minOutage = 1400 * time.Millisecond, 5 * time.Second
	for name, c := range map[string]struct {
		outage serviceOutage
		waits  bool
	}{
		"just begun":         {serviceOutage{age: time.Second, servedBefore: true}, false},
		"nearly over":        {serviceOutage{age: 4 * time.Second, servedBefore: true}, true},
		"all ranks are back": {serviceOutage{age: time.Second, servedBefore: true, reforming: true}, true},
		"all ranks are back after a restart of this entry": {serviceOutage{reforming: true}, true},
		"never served":         {serviceOutage{age: 4 * time.Second}, false},
		"longer than expected": {serviceOutage{age: 11 * time.Second, servedBefore: true}, false},
		"long, but not longer than an outage that has ended": {serviceOutage{age: 11 * time.Second, servedBefore: true, longest: 8 * time.Second}, true},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(c.outage.mayEndWithin(limit, minOutage)).To(Equal(c.waits))
		})
	}
}

// A group loses a rank, gets it back and forms again: it counts as re-forming once all of
// its ranks report again, and not while the lost rank's last report is still recent.
func TestGroupIsReformingOnceAllItsRanksReport(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	p := NewPools(clock, rand.New(rand.NewPCG(1, 1)))
	p.Reconcile([]directory.Upstream{{ID: "0", Service: "s", Address: "0"}, {ID: "1", Service: "s", Address: "1"}})
	report := func(serving bool, addresses ...string) {
		for _, a := range addresses {
			p.UpdateLoad(a, 0, dispatch.Load{GroupServing: serving, Group: "g", GroupSize: 2})
		}
	}
	outageAt := func(after time.Duration) serviceOutage {
		clock.Advance(after)
		return p.outage("s")
	}
	report(true, "0", "1")
	report(false, "0", "1")
	g.Expect(outageAt(0)).To(Equal(serviceOutage{servedBefore: true}))
	report(false, "0")
	g.Expect(outageAt(time.Second).reforming).To(BeFalse())
	report(false, "0", "1")
	g.Expect(outageAt(0)).To(Equal(serviceOutage{age: time.Second, servedBefore: true, reforming: true}))
	for range 10 {
		report(false, "0", "1")
		clock.Advance(500 * time.Millisecond)
	}
	report(false, "0", "1")
	g.Expect(outageAt(0).reforming).To(BeFalse(), "it should have formed long ago")
	report(true, "0", "1")
	report(false, "0", "1")
	g.Expect(outageAt(0)).To(Equal(serviceOutage{servedBefore: true, longest: 6 * time.Second}))
	p.SetEvacuated(func(string) bool { return true })
	outageAt(time.Minute)
	p.SetEvacuated(func(string) bool { return false })
	report(true, "0", "1")
	report(false, "0", "1")
	g.Expect(outageAt(0)).To(Equal(serviceOutage{servedBefore: true, longest: 6 * time.Second}), "an evacuation isn't an outage")
}
