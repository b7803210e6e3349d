package pace_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/pace"
)

// cost is that of engines with 10 slots whose pass takes 34 ms and 3 ms a request.
var cost = pace.Cost{Base: 34 * time.Millisecond, PerRequest: 3 * time.Millisecond, SharedFraction: 0.85, Parts: 20}

const target = 120 * time.Millisecond

// measured returns a meter that has seen passes of the batch with the given interval.
func measured(b pace.Batch, interval time.Duration) *pace.Meter {
	m := &pace.Meter{}
	for range 300 {
		m.Record(cost, b, interval)
	}
	return m
}

// A full group with even demand for experts keeps the pace with all of its slots.
func TestEvenGroupKeepsThePaceWithAllSlots(t *testing.T) {
	g := NewWithT(t)
	full := pace.Batch{Engines: 24, Total: 240, Largest: 10}
	m := measured(full, 75*time.Millisecond)
	g.Expect(m.Bound(cost, target, 0, 10)).To(Equal(10.0))
	g.Expect(m.Expected(cost, full)).To(BeNumerically("~", 75*time.Millisecond, time.Millisecond))
}

// Passes take three times as long as the declared work of their batches: with full batches the group
// is over its pace, with the bound it keeps it.
func TestUnevenDemandForExpertsBoundsTheBatch(t *testing.T) {
	g := NewWithT(t)
	m := measured(pace.Batch{Engines: 24, Total: 240, Largest: 10}, 124*time.Millisecond)
	bound := m.Bound(cost, target, 0, 10)
	g.Expect(bound).To(And(BeNumerically(">", 8), BeNumerically("<", 10)))
	g.Expect(m.Expected(cost, pace.Batch{Engines: 24, Total: 24 * bound, Largest: bound})).To(BeNumerically("~", target, time.Millisecond))
}

// One rank with a larger batch than the others: its own work takes room from all of them.
func TestOneFullerRankLowersTheBound(t *testing.T) {
	g := NewWithT(t)
	m := measured(pace.Batch{Engines: 24, Total: 240, Largest: 10}, 180*time.Millisecond)
	g.Expect(m.Bound(cost, target, 4, 10)).To(BeNumerically("<", m.Bound(cost, target, 0, 10)))
}

// A stall of a group that is held says little about its pace with fewer requests.
func TestStallIsNotTakenForThePace(t *testing.T) {
	g := NewWithT(t)
	full := pace.Batch{Engines: 24, Total: 240, Largest: 10}
	m := measured(full, 75*time.Millisecond)
	m.Record(cost, full, 2*time.Second)
	g.Expect(m.Bound(cost, target, 0, 10)).To(Equal(10.0))
}

// Without measurements or declared costs nothing is bounded.
func TestUnknownPaceBoundsNothing(t *testing.T) {
	g := NewWithT(t)
	g.Expect((&pace.Meter{}).Bound(cost, target, 0, 10)).To(Equal(10.0))
	g.Expect(pace.Cost{}.Known()).To(BeFalse())
	m := &pace.Meter{}
	m.Record(pace.Cost{}, pace.Batch{Engines: 1, Total: 1, Largest: 1}, time.Second)
	g.Expect(m.Bound(pace.Cost{}, target, 0, 10)).To(Equal(10.0))
}
