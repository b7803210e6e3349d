// Package ranks switches the expert maps of a rank group whose engines take
// orders one at a time and compare nothing among themselves. It is pure: the
// group is reached through an interface, and no clock or socket is opened.
//
// Invariant: a step never begins while two ranks have different maps. A switch
// holds the group before a later step, arms every rank for that step, and lets
// the step begin only when every rank is known to be armed, or every rank is
// known not to be and can't become so by an order that is still on its way.
package ranks

import "slices"

// None stands for no step and no version.
const None int64 = -1

// Status is what a rank's engine says of itself.
type Status struct {
	// Started is the engine's start in Unix milliseconds.
	Started int64
	Group   string
	// Epoch counts the group's formations: orders for another one are refused.
	Epoch int64
	Rank  int
	Size  int
	// Open says that the group serves.
	Open bool
	// Step is the last step begun.
	Step int64
	// Sequence counts the orders that began something since the start.
	Sequence int64
	// Map is the version in force, Prepared and Armed are versions or None.
	Map, Prepared, Armed int64
	// Held is the step that waits for a Go, or None.
	Held int64
	// Queued and Active are the requests waiting and running, Pace is over 1
	// for a slow engine.
	Queued, Active int
	Pace           float64
}

// Op is the kind of an order.
type Op string

// The orders.
const (
	// Prepare copies the experts of a map to the rank.
	Prepare Op = "prepare"
	// Arm makes the rank change to a prepared map as a step begins.
	Arm Op = "arm"
	// Disarm takes an Arm back.
	Disarm Op = "disarm"
	// Hold keeps the group from beginning a step.
	Hold Op = "hold"
	// Release lets a held step begin.
	Release Op = "go"
)

// MaxSends is how many times, with fences from its own on, an order may be given
// to an engine that doesn't answer. The fences between two orders of a leader
// are kept free for that.
const MaxSends = 16

// Map lists the experts by set and rank.
type Map [][][]int

// Order is one order to a rank.
type Order struct {
	Op Op
	// Version is the map's, for Prepare, Arm and Disarm.
	Version int64
	// Step is the step meant, for Arm, Hold and Go; for Prepare it is the one that
	// has to begin before the order is given to the engine.
	Step  int64
	Epoch int64
	// Fence orders the orders: an engine that checks it refuses one below the
	// highest that it has seen. The next Repeats-1 numbers are the order's too.
	Fence int64
	// Map is set for Prepare.
	Map Map
}

// Verdict is what became of an order.
type Verdict int

// The verdicts.
const (
	// Unknown means that no answer came: the order may have been taken, or may
	// be carried out later.
	Unknown Verdict = iota
	// Accepted means that the order was carried out, or that its state holds.
	Accepted
	// Refused means that it does not fit the rank's state.
	Refused
	// Fenced means that a higher fence has been seen.
	Fenced
)

var verdictNames = map[Verdict]string{Unknown: "unknown", Accepted: "taken", Refused: "refused", Fenced: "fenced"}

// String returns the verdict's name.
func (v Verdict) String() string { return verdictNames[v] }

// Answer is the answer to an order. Status is the rank's after it, valid if OK.
type Answer struct {
	Verdict Verdict
	Status  Status
	OK      bool
}

// Group reaches the ranks of a group.
type Group interface {
	// Order sends one order to each of the ranks named, all at once, and
	// returns their answers.
	Order(orders map[int]Order) map[int]Answer
	// ReadStatuses reads every rank; one that can't be read is missing.
	ReadStatuses() map[int]Status
	// Pause waits between two readings; false means that the process stops.
	Pause() bool
}

// Counts is how often a rank's requests chose each expert since its start, set
// after set, as of a step of an epoch.
type Counts struct {
	Step, Epoch int64
	Selections  []int64
}

// Selections is how a rank's requests chose experts between two readings, in parts
// of the most chosen one: Parts[e]/255*Most choices of expert e. It takes a byte
// an expert, since it travels often and only shares matter.
type Selections struct {
	Epoch  int64
	Max    float64
	Shares []byte
}

// chosenScale is the part that stands for the most chosen expert.
const chosenScale = 255

// Since returns what was chosen between two counts, and false when they can't be
// compared: the engine has started again, or nothing was chosen.
func (c Counts) Since(old Counts) (Selections, bool) {
	if len(old.Selections) != len(c.Selections) || len(c.Selections) == 0 || c.Step <= old.Step {
		return Selections{}, false
	}
	most := int64(0)
	for i, n := range c.Selections {
		if n < old.Selections[i] {
			return Selections{}, false
		}
		most = max(most, n-old.Selections[i])
	}
	if most == 0 {
		return Selections{}, false
	}
	since := make([]float64, len(c.Selections))
	for i, n := range c.Selections {
		since[i] = float64(n - old.Selections[i])
	}
	return packChosen(c.Epoch, since, float64(most)), true
}

func packChosen(epoch int64, chosen []float64, most float64) Selections {
	out := Selections{Epoch: epoch, Max: most, Shares: make([]byte, len(chosen))}
	for i, n := range chosen {
		out.Shares[i] = byte(chosenScale*n/most + 0.5)
	}
	return out
}

// SumSelections adds up what ranks of one group chose; false means that there is nothing.
func SumSelections(list []Selections) (Selections, bool) {
	sum := addChosen(list)
	if sum == nil {
		return Selections{}, false
	}
	most := slices.Max(sum)
	if most == 0 {
		return Selections{}, false
	}
	return packChosen(list[0].Epoch, sum, most), true
}

// addChosen adds up choices, nil for none. Those of another epoch or shape than
// the first are passed over.
func addChosen(list []Selections) []float64 {
	var sum []float64
	for _, c := range list {
		if sum == nil {
			sum = make([]float64, len(c.Shares))
		}
		if len(c.Shares) != len(sum) || c.Epoch != list[0].Epoch {
			continue
		}
		for i, n := range c.Shares {
			sum[i] += float64(n) / chosenScale * c.Max
		}
	}
	return sum
}

// ExpertLists is the map in force at a rank, as the experts that it holds by set.
type ExpertLists struct {
	Version int64
	Experts [][]int
}
