package ranks

import (
	"maps"
	"slices"
	"time"
)

// silenceDelay is the time for which a group keeps its map after a rank has left orders
// unanswered, unless that rank has answered a later one. It is several times the time for
// which an order is sent again: an engine or agent that is silent for so long is likely to
// stay so for seconds. A hold that can't be ended costs the callers of the whole group their
// streams; an uneven map costs a few per cent of the pace.
const silenceDelay = time.Second

// Gate decides whether the map of a group may be switched, by how the ranks have answered
// orders. The zero value has no answers; a nil Gate allows everything. It is not safe for
// concurrent use.
type Gate struct {
	// unanswered holds the ranks that have left an order of this switch unanswered.
	unanswered map[int]bool
	// silent holds the ranks whose last order was left unanswered.
	silent map[int]bool
}

// Begin begins a switch.
func (g *Gate) Begin() {
	if g != nil {
		clear(g.unanswered)
	}
}

// Add adds the verdict on an order to a rank.
func (g *Gate) Add(rank int, v Verdict) {
	if g == nil {
		return
	}
	if v != Unknown {
		delete(g.silent, rank)
		return
	}
	if g.silent == nil {
		g.unanswered, g.silent = map[int]bool{}, map[int]bool{}
	}
	g.unanswered[rank], g.silent[rank] = true, true
}

// Unanswered returns the ranks that have left an order of this switch unanswered. While
// there are any, the group must not be held.
func (g *Gate) Unanswered() []int {
	if g == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(g.unanswered))
}

// MayBegin reports whether a switch may begin, given the time of the last one's end: not soon
// after a switch in which a rank stayed silent.
func (g *Gate) MayBegin(now, lastEnd time.Time) bool {
	return g == nil || len(g.silent) == 0 || now.Sub(lastEnd) >= silenceDelay
}
