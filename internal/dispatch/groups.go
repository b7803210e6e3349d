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
	// stops are the times of the newest reports that the group doesn't serve, of one rank
	// each, the newest first. size is the number of its ranks.
	stops [maxStopReports]time.Time
	size  int
	// load is the number of requests at the group's ranks, batch those that run, slots the most
	// slots of a rank and bound the number of requests up to which the group keeps the pace.
	// They are set in a paced pool.
	load, bound float64
	batch       pace.Batch
	slots       int
}

// maxStopReports is the number of ranks whose reports that their group doesn't serve hold for
// all ranks that have not reported since: ranks step together, and those that are cut off can't
// say that they have stopped. One rank alone may be wrong about the others.
const maxStopReports = 3

// recordStop adds the time of a rank's report that the group doesn't serve.
func (g *groupState) recordStop(at time.Time) {
	for i, t := range g.stops {
		if at.After(t) {
			g.stops[i], at = at, t
		}
	}
}

// stoppedAfter reports whether enough ranks have reported since the given time that the group
// doesn't serve.
func (g *groupState) stoppedAfter(at time.Time) bool {
	needed := min(maxStopReports, g.size-1)
	return needed > 0 && g.stops[needed-1].After(at)
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
		states[i].size = max(states[i].size, n.groupSize)
		if !n.groupServing {
			states[i].recordStop(n.reportedAt)
		}
	}
	for _, n := range p.nodes {
		if n.groupServing && now.Sub(n.reportedAt) <= reportTTL {
			g := &states[n.groupAt]
			g.serving = g.serving || !g.stoppedAfter(n.reportedAt)
		}
	}
	p.measureGroups(states, now)
	return states
}

// GroupStatus is what the ranks' reports say about one group.
type GroupStatus struct {
	Name string
	// Size is the number of ranks, 0 if not known. Alive is the number of those that have
	// reported within AliveTTL.
	Size, Alive int
	// Usable is the number of ranks that can take requests.
	Usable int
}

// Groups returns the states of the groups whose ranks have reported. usable is set if an
// upstream can take requests, whether it has reported or not.
func (p *Pool) Groups(now time.Time) (groups []GroupStatus, usable bool) {
	states := p.groupStates(now)
	index := map[string]int{}
	for _, n := range p.nodes {
		serves := n.usable(now, states) && !p.unheard(n, now)
		usable = usable || serves
		if n.reportedAt.IsZero() {
			continue
		}
		i, ok := index[n.group]
		if !ok {
			i = len(groups)
			index[n.group] = i
			groups = append(groups, GroupStatus{Name: n.group})
		}
		g := &groups[i]
		g.Size = max(g.Size, n.groupSize)
		if serves {
			g.Usable++
		}
		if now.Sub(n.reportedAt) <= AliveTTL {
			g.Alive++
		}
	}
	return groups, usable
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

// Len returns the number of upstreams.
func (p *Pool) Len() int { return len(p.nodes) }
