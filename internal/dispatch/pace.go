package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/pace"
)

// A group of engines makes a pass at a time, so that a slow engine or one request too many slows
// the streams of all of its callers. New streams go to the groups that keep the pace with one
// more, as long as there are any; else to all.

const (
	// targetGapWindow is how long the target gap of a request counts after it. Its stream may
	// still run.
	targetGapWindow = 10 * time.Second
	// paceHold is how long after the last stream that found no group at pace the pool counts as
	// short of room.
	paceHold = 2 * time.Second
	// pacedSampleSize is sampleSize in a paced pool. The reports of its ranks are as old as
	// the time in which all entries together send each rank a request or two: the more
	// upstreams a pick compares, the more of the entries come to the same ones.
	pacedSampleSize = 3
	// measuredTTL is how long a group that isn't reported any more keeps its stretch.
	measuredTTL = time.Minute
)

// pacer is what a pool knows of its groups' pace.
type pacer struct {
	cost   pace.Cost
	groups map[string]*measuredGroup
	// target is the smallest target gap of the requests since targetSince, targetBefore that
	// of the window before; 0 for none.
	target, targetBefore time.Duration
	targetSince          time.Time
	// shortAt is when a stream last found no group at pace, shortSince since when that has
	// been so.
	shortAt, shortSince time.Time
}

// measuredGroup is what was measured of a group, and its batch as of the last reports.
type measuredGroup struct {
	pace.Meter
	batch  pace.Batch
	seenAt time.Time
}

// SetPaceCost sets the declared costs of a pass. Without them the pool isn't paced.
func (p *Pool) SetPaceCost(c pace.Cost) { p.pacer.cost = c }

// addTarget counts the target gap of a request.
func (p *pacer) addTarget(gap time.Duration, now time.Time) {
	if now.Sub(p.targetSince) > targetGapWindow {
		p.targetBefore = p.target
		if now.Sub(p.targetSince) > 2*targetGapWindow {
			p.targetBefore = 0
		}
		p.target, p.targetSince = gap, now
	}
	p.target = min(p.target, gap)
}

// targetGap returns the smallest target gap of the requests of late, 0 for none.
func (p *pacer) targetGap() time.Duration {
	if p.targetBefore == 0 {
		return p.target
	}
	return min(p.target, p.targetBefore)
}

// paced reports whether the pool's groups are measured against a target gap.
func (p *pacer) paced() bool { return p.cost.Known() && p.target > 0 }

// recordPace records the interval between two parts of an answer of the node.
func (p *Pool) recordPace(n *Node, interval time.Duration, now time.Time) {
	if g := p.pacer.groups[n.group]; g != nil && now.Sub(n.reportedAt) <= reportTTL && interval < maxPartInterval {
		g.Record(p.pacer.cost, g.batch, interval)
	}
}

// measureGroups sets the loads, batches and bounds of the groups.
func (p *Pool) measureGroups(states []groupState, now time.Time) {
	if !p.pacer.paced() {
		return
	}
	for _, n := range p.nodes {
		if now.Sub(n.reportedAt) > reportTTL || n.groupSize == 0 {
			continue
		}
		s, load := &states[n.groupAt], float64(n.load(now))
		running := min(load, float64(n.Slots))
		s.load += load
		s.slots = max(s.slots, n.Slots)
		s.batch.Engines++
		s.batch.Total += running
		s.batch.Largest = max(s.batch.Largest, running)
	}
	for i := range states {
		s := &states[i]
		if s.batch.Engines == 0 {
			continue
		}
		g := p.pacer.measured(s.name, now)
		g.batch = s.batch
		spread := s.batch.Largest - s.batch.Total/float64(s.batch.Engines)
		s.bound = float64(s.batch.Engines) * g.Bound(p.pacer.cost, p.pacer.targetGap(), spread, s.slots)
	}
}

// measured returns what was measured of a group, and forgets groups that aren't reported any more.
func (p *pacer) measured(name string, now time.Time) *measuredGroup {
	g := p.groups[name]
	if g == nil {
		for other, o := range p.groups {
			if now.Sub(o.seenAt) > measuredTTL {
				delete(p.groups, other)
			}
		}
		g = &measuredGroup{}
		p.groups[name] = g
	}
	g.seenAt = now
	return g
}

// keepsPace reports whether the group keeps the pace with one more request.
func (g *groupState) keepsPace() bool { return g.load+1 <= g.bound }

// offPace records the target gap of a request and returns, by their places in the view, the groups
// that it doesn't go to since others keep the pace; nil for none.
func (p *Pool) offPace(v view, d Demand) []int {
	if d.TargetGap > 0 {
		p.pacer.addTarget(d.TargetGap, v.now)
	}
	if !p.pacer.paced() || d.TargetGap == 0 || d.Accepted || d.Withdrawn {
		return nil
	}
	var off []int
	keeping := 0
	for i := range v.groups {
		switch s := &v.groups[i]; {
		case !s.serving || s.batch.Engines == 0:
		case s.keepsPace():
			keeping++
		default:
			off = append(off, i)
		}
	}
	if keeping > 0 || len(off) == 0 {
		return off
	}
	if v.now.Sub(p.pacer.shortAt) > paceHold {
		p.pacer.shortSince = v.now
	}
	p.pacer.shortAt = v.now
	return nil
}

// GroupPace describes the pace of a group.
type GroupPace struct {
	Group string
	// Interval is the last measured time between two parts, Expected the usual one with the
	// present batch, and WithOneMore that with one more request; 0 while unknown.
	Interval, Expected, WithOneMore time.Duration
	// Load is the number of requests at the group, Bound the number up to which it keeps the
	// target, and Largest the largest batch of a rank.
	Load, Bound, Largest float64
}

// Pace describes the pace of a pool's groups.
type Pace struct {
	// Target is the smallest target gap of the requests of late, 0 if the pool isn't paced.
	Target time.Duration
	// Short is set while streams find no group that keeps the pace, for ShortFor.
	Short    bool
	ShortFor time.Duration
	// ViewAge is the age of the oldest valid report.
	ViewAge time.Duration
	// Groups are the groups that serve, in the order of their names.
	Groups []GroupPace
}

// Pace returns the pace of the pool's groups.
func (p *Pool) Pace(now time.Time) Pace {
	if !p.pacer.paced() {
		return Pace{}
	}
	out := Pace{Target: p.pacer.targetGap()}
	if out.Short = !p.pacer.shortAt.IsZero() && now.Sub(p.pacer.shortAt) <= paceHold; out.Short {
		out.ShortFor = now.Sub(p.pacer.shortSince)
	}
	for _, n := range p.nodes {
		if age := now.Sub(n.reportedAt); age <= reportTTL {
			out.ViewAge = max(out.ViewAge, age)
		}
	}
	for _, s := range p.groupStates(now) {
		if !s.serving || s.batch.Engines == 0 {
			continue
		}
		g, more := p.pacer.measured(s.name, now), s.batch
		more.Total++
		out.Groups = append(out.Groups, GroupPace{
			Group: s.name, Interval: g.Interval(), Expected: g.Expected(p.pacer.cost, s.batch), WithOneMore: g.Expected(p.pacer.cost, more),
			Load: s.load, Bound: s.bound, Largest: s.batch.Largest,
		})
	}
	slices.SortFunc(out.Groups, func(a, b GroupPace) int { return cmp.Compare(a.Group, b.Group) })
	return out
}
