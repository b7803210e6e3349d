package planner

import (
	"time"

	"github.com/kingcupreel/kingcupreel/internal/fault"
)

// Preset is how a deployment weighs skew against the cost of moving experts.
type Preset struct {
	Name string
	// SkewWeight is the weight of skew, 0 to 1; the moving cost has the rest.
	SkewWeight float64
	// MovedFraction is how many slots a plan may move on average, and BurstFraction
	// how many at once when earlier plans moved less, as parts of all slots.
	MovedFraction, BurstFraction float64
	// StoreRateFraction is the part of the weight store's rate that moves may use.
	StoreRateFraction float64
}

// The presets.
var (
	Teranga = Preset{Name: "teranga", SkewWeight: 0.9, MovedFraction: 0.02, BurstFraction: 0.1, StoreRateFraction: 0.5}
	Tocka   = Preset{Name: "tocka", SkewWeight: 0.7, MovedFraction: 0.0035, BurstFraction: 0.08, StoreRateFraction: 0.2}
)

// PresetByName returns a preset.
func PresetByName(name string) (Preset, error) {
	for _, p := range []Preset{Teranga, Tocka} {
		if p.Name == name {
			return p, nil
		}
	}
	return Preset{}, fault.New(fault.Invalid, "use teranga or tocka", "no preset %q", name)
}

// wholeMapCost is the skew, at equal weights, that pays for moving every slot.
const wholeMapCost = 0.5

// movePrice is the least fall in predicted skew that pays for one moved slot
// in a group of the given number of slots.
func (p Preset) movePrice(slots int) float64 {
	if p.SkewWeight <= 0 {
		return wholeMapCost
	}
	return wholeMapCost * (1 - p.SkewWeight) / p.SkewWeight / float64(slots)
}

// Allowance is the number of slots that a group may move now. It fills up with
// every plan and keeps what is not used, up to the preset's burst. The zero
// value is empty.
type Allowance struct{ slots float64 }

// Refill adds a plan's part for a group of total slots.
func (a *Allowance) Refill(p Preset, total int) {
	a.slots = min(a.slots+p.MovedFraction*float64(total), max(p.BurstFraction*float64(total), 1))
}

// Spend takes out the slots that a plan moves.
func (a *Allowance) Spend(moved int) { a.slots -= float64(moved) }

// Slots returns the whole slots left.
func (a *Allowance) Slots() int { return max(int(a.slots), 0) }

// Budget bounds the weight traffic of one plan.
type Budget struct {
	// Slots bounds the slots moved.
	Slots int
	// ExpertBytes is the size of one expert's weights.
	ExpertBytes int64
	// WindowBytes bounds the traffic of a planning window; 0 means no bound.
	WindowBytes int64
	// StoreRate is the weight store's rate in bytes a second, Window the time
	// between two plans; a zero value of either means no bound.
	StoreRate int64
	Window    time.Duration
	// Quiet forbids every move.
	Quiet bool
}

// slots returns how many slots a plan may move.
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
