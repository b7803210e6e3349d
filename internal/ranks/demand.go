package ranks

import (
	"math"
	"time"
)

// demandTimeConstant is the time constant of the exponential decay of old demand:
// twice the interval between readings. A reading holds thousands of selections
// per expert, so following a shift quickly matters more than smoothing noise.
const demandTimeConstant = 400 * time.Millisecond

const (
	// Demand counts as shifted if the fraction of the selections that a reading
	// has on other experts than the estimate exceeds both minShiftFraction and
	// minShiftRatio times the fraction that usually moves between readings.
	minShiftFraction = 0.12
	minShiftRatio    = 2.3
	// usualShiftWeight is the weight of a new reading in Demand.usualShift.
	usualShiftWeight = 0.2
	// initialUsualShift is the value of Demand.usualShift before the first reading.
	initialUsualShift = 0.08
)

// Demand estimates the current load of each expert of a group from readings of
// the selections at its ranks. The zero value is an empty estimate.
type Demand struct {
	readAt time.Time
	// load is the decayed number of selections per expert, set after set; nil
	// before the first reading and after a shift.
	load []float64
	// usualShift is the mean fraction of the selections that moves to other
	// experts between two readings of steady demand.
	usualShift float64
	// settling is set after a reading that showed a shift. That reading mixes
	// old and new demand and is not added to the estimate.
	settling bool
	// confirming is set by RequestConfirmation: the estimate may mix old and new
	// demand, and the next reading decides. confirmed is set if the last reading
	// can't mix two demands: it followed a detected or suspected shift, or was
	// the first one.
	confirming, confirmed bool
	// skipNext drops the next reading, which covers time before SkipNext.
	skipNext bool
}

// Add adds a reading. It returns the fraction of the selections that moved to
// other experts relative to the estimate, and whether the reading was usable: an
// empty one, or one dropped after SkipNext, is not.
func (d *Demand) Add(reading []Selections, now time.Time) (moved float64, usable bool) {
	selections := addSelections(reading)
	decay := math.Exp(-now.Sub(d.readAt).Seconds() / demandTimeConstant.Seconds())
	d.readAt = now
	if selections == nil || d.skipNext {
		d.skipNext = false
		return 0, false
	}
	moved = totalVariation(selections, d.load)
	if d.usualShift == 0 {
		d.usualShift = initialUsualShift
	}
	shifted := moved > max(minShiftFraction, minShiftRatio*d.usualShift)
	d.settling, d.confirmed = shifted && !d.settling && !d.confirming, d.settling || d.confirming || d.load == nil
	if d.settling {
		d.load = nil
		return moved, true
	}
	if d.confirming && shifted {
		d.load = nil
	} else if moved > 0 {
		d.usualShift += usualShiftWeight * (moved - d.usualShift)
	}
	d.confirming = false
	if len(d.load) != len(selections) {
		d.load = make([]float64, len(selections))
	}
	for i := range d.load {
		d.load[i] = d.load[i]*decay + selections[i]
	}
	return moved, true
}

// SkipNext drops the next reading.
func (d *Demand) SkipNext() { d.skipNext = true }

// RequestConfirmation reports whether the estimate may mix selections from before
// and after a shift too small to detect. If so, the next reading decides: it
// replaces the estimate if demand has shifted and is added to it otherwise. The
// result is false if the last reading already confirmed the estimate.
func (d *Demand) RequestConfirmation() bool {
	if d.confirmed {
		return false
	}
	d.confirming = true
	return true
}

// Settling reports whether the last reading showed a shift. The estimate is empty
// until the next reading.
func (d *Demand) Settling() bool { return d.settling }

// totalVariation returns the total variation distance of two normalised loads, from
// 0 to 1. It is 0 if one of them is empty or their lengths differ.
func totalVariation(a, b []float64) float64 {
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

// ExpertLoads returns the load of each expert of a set, nil while the estimate is
// empty.
func (d *Demand) ExpertLoads(set, experts int) []float64 {
	if (set+1)*experts > len(d.load) {
		return nil
	}
	return d.load[set*experts : (set+1)*experts]
}
