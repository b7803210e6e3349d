package dispatch

import (
	"time"

	"github.com/kingcupreel/kingcupreel/internal/pace"
)

// groupState is what the valid reports say about one group.
type groupState struct {
	name string
	// serving is set if a report says that the group accepts requests.
	serving bool
	// fastest is the lowest slowness of the ranks that could take a request, 0 if there are
	// none.
	fastest float64
	// load is the number of requests at the group's ranks, batch those that run, slots the most
	// slots of a rank and bound the number of requests up to which the group keeps the pace.
	// They are set in a paced pool.
	load, bound float64
	batch       pace.Batch
	slots       int
}

// groupStates returns the states of the groups with valid reports, and sets the nodes' groupAt.
func (p *Pool) groupStates(now time.Time) []groupState {
	var states []groupState
	clear(p.groupIndex)
	for _, n := range p.nodes {
		if now.Sub(n.reportedAt) > reportTTL {
			continue
		}
		i, ok := p.groupIndex[n.group]
		if !ok {
			i = len(states)
			states = append(states, groupState{name: n.group})
			p.groupIndex[n.group] = i
		}
		n.groupAt = i
		states[i].serving = states[i].serving || n.groupServing
	}
	p.measureGroups(states, now)
	return states
}

// Reforming reports whether all ranks of a group are alive, so that the group can serve
// as soon as it has formed.
func (p *Pool) Reforming(now time.Time) bool {
	alive := map[string]int{}
	for _, n := range p.nodes {
		if now.Sub(n.reportedAt) > AliveTTL || n.groupSize == 0 {
			continue
		}
		if alive[n.group]++; alive[n.group] == n.groupSize {
			return true
		}
	}
	return false
}

// SuspendGroup skips the group of an upstream for suspendDuration because it can't serve.
// Upstreams that have not reported yet may belong to it.
func (p *Pool) SuspendGroup(of *Node, now time.Time) {
	for _, n := range p.nodes {
		if n.group == of.group || n.reportedAt.IsZero() || of.reportedAt.IsZero() {
			n.suspendedAt, n.suspendedUntil = now, now.Add(suspendDuration)
		}
	}
}
