package ranks

import (
	"math"
	"time"
)

// demandMemory is the time constant at which demand is forgotten: twice the
// interval of the readings. A reading holds thousands of choices an expert, so
// that demand that has shifted matters more than noise.
const demandMemory = 400 * time.Millisecond

const (
	// shiftLimit is the least part of the choices that must have moved to other
	// experts, from what was remembered to one reading, for demand to count as
	// shifted, and shiftFactor how many times what moves from reading to reading
	// of a steady demand that must be.
	shiftLimit  = 0.12
	shiftFactor = 2.3
	// usualWeight is the weight of a reading in the mean of what usually moves.
	usualWeight = 0.2
	// usualFirst is that mean before anything was read.
	usualFirst = 0.08
)

// Demand estimates how often a group's requests choose each expert now, from
// what some of its ranks chose since the last reading. The zero value has seen
// nothing.
type Demand struct {
	at   time.Time
	load []float64
	// usual is the part of the choices that usually moves between readings.
	usual float64
	// settling says that demand has just shifted: the reading that showed it
	// mixes what was and what is, and so counts for nothing.
	settling bool
	// doubted says that the last reading may have mixed two demands, and sure that
	// the last one can't: it was taken after a change was seen or suspected, or is
	// the first.
	doubted, sure bool
	// skip says that the next reading reaches back too far.
	skip bool
}

// Add takes a reading. It returns the part of the choices that went to other
// experts than before, and whether the reading counts.
func (d *Demand) Add(reading []Selections, now time.Time) (moved float64, fresh bool) {
	chosen := addChosen(reading)
	fade := math.Exp(-now.Sub(d.at).Seconds() / demandMemory.Seconds())
	d.at = now
	if chosen == nil || d.skip {
		d.skip = false
		return 0, false
	}
	moved = difference(chosen, d.load)
	if d.usual == 0 {
		d.usual = usualFirst
	}
	shifted := moved > max(shiftLimit, shiftFactor*d.usual)
	d.settling, d.sure = shifted && !d.settling && !d.doubted, d.settling || d.doubted || d.load == nil
	if d.settling {
		d.load = nil
		return moved, true
	}
	if d.doubted && shifted {
		d.load = nil
	} else if moved > 0 {
		d.usual += usualWeight * (moved - d.usual)
	}
	d.doubted = false
	if len(d.load) != len(chosen) {
		d.load = make([]float64, len(chosen))
	}
	for i := range d.load {
		d.load[i] = d.load[i]*fade + chosen[i]
	}
	return moved, true
}

// SkipNext makes the next reading count for nothing.
func (d *Demand) SkipNext() { d.skip = true }

// RequestConfirmation says that the load may mix what was chosen before and after a change that
// the shares alone don't show, and makes the next reading decide: it stands alone
// if demand has shifted. It is false for a load that a second reading has borne out.
func (d *Demand) RequestConfirmation() bool {
	if d.sure {
		return false
	}
	d.doubted = true
	return true
}

// Settling says that demand has shifted and the next reading shows the new one.
func (d *Demand) Settling() bool { return d.settling }

// difference returns the part of the whole by which two loads differ, 0 when
// one of them is empty.
func difference(a, b []float64) float64 {
	sumA, sumB := 0.0, 0.0
	for i := range a {
		sumA += a[i]
	}
	for i := range b {
		sumB += b[i]
	}
	if sumA == 0 || sumB == 0 || len(a) != len(b) {
		return 0
	}
	moved := 0.0
	for i := range a {
		moved += math.Abs(a[i]/sumA-b[i]/sumB) / 2
	}
	return moved
}

// ExpertLoads returns the load of each expert of a set, nil while nothing was seen.
func (d *Demand) ExpertLoads(set, experts int) []float64 {
	if (set+1)*experts > len(d.load) {
		return nil
	}
	return d.load[set*experts : (set+1)*experts]
}
