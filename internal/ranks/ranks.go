// Package ranks switches the expert maps of a rank group. The group's engines
// accept orders one at a time and don't coordinate with each other. The package
// reads no clock and opens no socket: it reaches the group through an interface.
// It is for the engines of the platform; package expertmap switches the maps of a
// stand-alone deployment, whose engines vote on each switch.
//
// Invariant: no step begins while two ranks have different maps. A switch holds
// the group before a later step and arms every rank for that step. It releases the
// step only when every rank is known to be armed, or when every rank is known not
// to be armed and no order still in flight can arm it.
package ranks

import "slices"

// None means no step or no version.
const None int64 = -1

// Status is the state that a rank's engine reports.
type Status struct {
	// Started is the time of the engine's start in Unix milliseconds.
	Started int64
	Group   string
	// Epoch counts the group's formations. Engines refuse orders for another epoch.
	Epoch int64
	Rank  int
	// Size is the number of ranks in the group.
	Size int
	// GroupServing is set while the group serves requests.
	GroupServing bool
	// Step is the last step begun.
	Step int64
	// Sequence counts the orders that took effect since the start.
	Sequence int64
	// Map is the version of the map in force. Prepared and Armed are the versions
	// of the maps that are prepared and armed, or None.
	Map, Prepared, Armed int64
	// Held is the step held until a Release, or None.
	Held int64
	// Queued and Active are the numbers of waiting and running requests.
	Queued, Active int
	// Slowness is the engine's slowness relative to normal; above 1 means slower.
	Slowness float64
	// Leaving is set if the engine says that it is leaving.
	Leaving bool
	// RequestLimit is the rate of requests, a second, that the engine takes from all entries
	// together; 0 if it names none.
	RequestLimit float64
}

// Op is the operation that an order requests.
type Op string

// The operations.
const (
	// Prepare copies the experts of a map to the rank.
	Prepare Op = "prepare"
	// Arm makes the rank switch to a prepared map when a given step begins.
	Arm Op = "arm"
	// Disarm cancels an Arm.
	Disarm Op = "disarm"
	// Hold keeps the group from beginning a given step.
	Hold Op = "hold"
	// Release lets a held step begin.
	Release Op = "go"
)

// MaxSends is how many times an order may be sent to an engine that doesn't answer.
// Each resend uses the next fence, so a leader leaves MaxSends fences between the
// fences of two orders.
const MaxSends = 16

// Map lists the experts held by each rank, indexed by set and rank.
type Map [][][]int

// Order is one order to a rank.
type Order struct {
	Op Op
	// Version is the version of the map, for Prepare, Arm and Disarm.
	Version int64
	// Step is the step to act at, for Arm, Hold and Release. For Prepare it is the
	// step that has to begin before the order is sent to the engine; 0 means no
	// wait.
	Step  int64
	Epoch int64
	// Fence is the order's fencing number. An engine with fencing refuses an order
	// whose fence is below the highest it has seen. The next MaxSends-1 numbers are
	// reserved for resending the order.
	Fence int64
	// ExpectSequence makes the engine refuse the order unless its Status.Sequence is this
	// number; nil means any.
	ExpectSequence *int64
	// Confirm requests the rank's status as of after the order, even if that takes longer
	// (see Answer).
	Confirm bool
	// Map is set only for Prepare.
	Map Map
}

// HasVisibleEffect reports whether a status can show that the order was carried out,
// however old the status is.
func (o Order) HasVisibleEffect() bool { return o.Op == Arm || o.Op == Release }

// IsShownBy reports whether a status shows that the order was carried out. No status from
// before an Arm has its version as armed or in force, and none from before a Release has its
// step as begun.
func (o Order) IsShownBy(st Status) bool {
	switch {
	case st.Epoch != o.Epoch:
		return false
	case o.Op == Arm:
		return st.Armed == o.Version || st.Map == o.Version
	}
	return o.Op == Release && st.Step >= o.Step
}

// Verdict is the outcome of an order.
type Verdict int

// The verdicts.
const (
	// Unknown means that no answer came. The order may have been carried out, or
	// may be carried out later.
	Unknown Verdict = iota
	// Accepted means that the order was carried out, or had no effect because the
	// rank is in the requested state already.
	Accepted
	// Refused means that the order does not fit the rank's state, or that the engine can't
	// carry it out. The engine may not have seen its fence.
	Refused
	// Fenced means that the engine has seen a higher fence.
	Fenced
)

var verdictNames = map[Verdict]string{Unknown: "unknown", Accepted: "taken", Refused: "refused", Fenced: "fenced"}

// String returns the verdict's name as it appears in logs and metric names.
func (v Verdict) String() string { return verdictNames[v] }

// Answer is the answer to an order. Status is valid only if OK is set. It is then the
// rank's status as of a moment after the order, except after a Prepare, when it may be
// older. OK isn't set for accepted orders without Confirm, and may not be set if the rank's
// own agent doesn't answer: an engine reports its state to other VMs with a delay.
type Answer struct {
	Verdict Verdict
	Status  Status
	OK      bool
}

// Group gives access to the ranks of a group.
type Group interface {
	// Order sends orders, keyed by rank, in parallel and returns the answers by
	// rank. A rank without an answer may be missing.
	Order(orders map[int]Order) map[int]Answer
	// ReadStatuses reads the status of every rank. A rank that can't be read is
	// missing from the result. A status may be out of date, if the rank's own agent
	// doesn't answer.
	ReadStatuses() map[int]Status
	// Pause waits between two readings. It returns false if the process is
	// stopping.
	Pause() bool
}

// Counts holds how often a rank's requests have selected each expert since the
// engine's start, set after set, as of a step of an epoch.
type Counts struct {
	Step, Epoch int64
	Selections  []int64
}

// Selections holds how often a rank's requests selected each expert between two
// readings, relative to the most selected expert: Shares[e]/255*Max selections of
// expert e. It uses one byte per expert because it is sent often and only the
// shares matter.
type Selections struct {
	Epoch  int64
	Max    float64
	Shares []byte
}

// maxShare is the share of the most selected expert.
const maxShare = 255

// Since returns the selections between two counts. It returns false if the engine
// has restarted in between or if nothing was selected.
func (c Counts) Since(old Counts) (Selections, bool) {
	if len(old.Selections) != len(c.Selections) || len(c.Selections) == 0 || c.Step <= old.Step {
		return Selections{}, false
	}
	highest := int64(0)
	for i, n := range c.Selections {
		if n < old.Selections[i] {
			return Selections{}, false
		}
		highest = max(highest, n-old.Selections[i])
	}
	if highest == 0 {
		return Selections{}, false
	}
	since := make([]float64, len(c.Selections))
	for i, n := range c.Selections {
		since[i] = float64(n - old.Selections[i])
	}
	return packSelections(c.Epoch, since, float64(highest)), true
}

func packSelections(epoch int64, counts []float64, highest float64) Selections {
	out := Selections{Epoch: epoch, Max: highest, Shares: make([]byte, len(counts))}
	for i, n := range counts {
		out.Shares[i] = byte(maxShare*n/highest + 0.5)
	}
	return out
}

// SumSelections adds up the selections of several ranks of a group. It returns false
// if there are none.
func SumSelections(list []Selections) (Selections, bool) {
	sum := addSelections(list)
	if sum == nil {
		return Selections{}, false
	}
	highest := slices.Max(sum)
	if highest == 0 {
		return Selections{}, false
	}
	return packSelections(list[0].Epoch, sum, highest), true
}

// addSelections returns the number of selections of each expert, nil for an empty
// list. It ignores entries whose epoch or length differs from the first one's.
func addSelections(list []Selections) []float64 {
	var sum []float64
	for _, c := range list {
		if sum == nil {
			sum = make([]float64, len(c.Shares))
		}
		if len(c.Shares) != len(sum) || c.Epoch != list[0].Epoch {
			continue
		}
		for i, n := range c.Shares {
			sum[i] += float64(n) / maxShare * c.Max
		}
	}
	return sum
}

// ExpertLists holds the map in force at a rank: the experts that the rank holds, by
// set.
type ExpertLists struct {
	Version int64
	Experts [][]int
}
