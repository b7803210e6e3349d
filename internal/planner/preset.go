package planner

import (
	"time"

	"github.com/kingcupreel/kingcupreel/internal/fault"
)

// Preset sets how a deployment weighs skew against the cost of moving experts.
type Preset struct {
	Name string
	// SkewWeight is the weight of skew, 0 to 1; the cost of moves has the rest.
	SkewWeight float64
	// MovedFraction is the fraction of all slots that a plan may move on
	// average, and BurstFraction the fraction that one plan may move when
	// earlier plans moved less.
	MovedFraction, BurstFraction float64
	// StoreRateFraction is the fraction of the weight store's rate that moves
	// may use.
	StoreRateFraction float64
}

// The presets.
var (
	Teranga = Preset{Name: "teranga", SkewWeight: 0.9, MovedFraction: 0.02, BurstFraction: 0.1, StoreRateFraction: 0.5}
	Tocka   = Preset{Name: "tocka", SkewWeight: 0.7, MovedFraction: 0.0035, BurstFraction: 0.08, StoreRateFraction: 0.2}
)

// PresetByName returns the preset with the given name.
func PresetByName(name string) (Preset, error) {
	for _, p := range []Preset{Teranga, Tocka} {
		if p.Name == name {
			return p, nil
		}
	}
	return Preset{}, fault.New(fault.Invalid, "use teranga or tocka", "unknown preset %q", name)
}

// fullMoveSkew is the fall in skew that justifies moving every slot if skew and
// moves have equal weights.
const fullMoveSkew = 0.5

// minGainPerSlot returns the least fall in predicted skew that justifies moving
// one slot in a group of the given number of slots.
func (p Preset) minGainPerSlot(slots int) float64 {
	if p.SkewWeight <= 0 {
		return fullMoveSkew
	}
	return fullMoveSkew * (1 - p.SkewWeight) / p.SkewWeight / float64(slots)
}

// Allowance is a token bucket of the slots that a group may move. Each plan
// refills it; what is not used accumulates up to the preset's burst. The zero
// value is empty.
type Allowance struct{ slots float64 }

// Refill adds the slots that one plan may move on average, by the preset, in a
// group with total slots.
func (a *Allowance) Refill(p Preset, total int) {
	a.slots = min(a.slots+p.MovedFraction*float64(total), max(p.BurstFraction*float64(total), 1))
}

// Spend removes the slots that a plan moves.
func (a *Allowance) Spend(moved int) { a.slots -= float64(moved) }

// Slots returns the number of whole slots that may be moved now.
func (a *Allowance) Slots() int { return max(int(a.slots), 0) }

// Budget bounds the weights loaded for one plan.
type Budget struct {
	// Slots bounds the number of slots moved.
	Slots int
	// ExpertBytes is the size of one expert's weights.
	ExpertBytes int64
	// WindowBytes bounds the bytes loaded per planning window; 0 means no
	// bound.
	WindowBytes int64
	// StoreRate is the weight store's rate in bytes per second, Window the time
	// between two plans. If either is zero, the rate sets no bound.
	StoreRate int64
	Window    time.Duration
	// Quiet forbids every move, as in a quiet window.
	Quiet bool
}

// slots returns the number of slots that a plan may move.
func (b Budget) slots(p Preset) int {
	if b.Quiet {
		return 0
	}
	n := b.Slots
	if b.ExpertBytes <= 0 {
		return n
	}
	if b.WindowBytes > 0 {
		n = min(n, int(b.WindowBytes/b.ExpertBytes))
	}
	if b.StoreRate > 0 && b.Window > 0 {
		bytes := p.StoreRateFraction * float64(b.StoreRate) * b.Window.Seconds()
		n = min(n, int(bytes/float64(b.ExpertBytes)))
	}
	return n
}
