// Package outage estimates when a rank group that can't serve will be back, and by which way a
// caller can be carried to that moment: a wait, a delay after which it retries, and a second
// wait. The package does no I/O and reads no clock. A Tracker is not safe for concurrent use.
// Package gateway uses it.
package outage

import (
	"maps"
	"slices"
	"time"
)

// Group is what the ranks' reports say about one group.
type Group struct {
	Name string
	// Size is the number of ranks, 0 if not known. Alive is the number of those that have
	// reported lately.
	Size, Alive int
	// Usable is the number of ranks that can take requests.
	Usable int
}

// allAlive reports whether the group can serve as soon as it has formed.
func (g Group) allAlive() bool { return g.Size > 0 && g.Alive >= g.Size }

// Terms are the bounds that the deployment's settings and configuration state.
type Terms struct {
	// MaxPartition is the longest time for which VMs are cut off.
	MaxPartition time.Duration
	// FormTime is how long a group takes to open once all of its ranks are there, 0 if it
	// isn't known.
	FormTime time.Duration
}

// Span is the course of an outage.
type Span struct {
	// Since is when it began, zero if there is none. AliveSince is the time since when all
	// ranks have been alive meanwhile, zero if they aren't.
	Since, AliveSince time.Time
	// ServedBefore is set if requests could be served before. Longest is the longest outage
	// that has ended since then.
	ServedBefore bool
	Longest      time.Duration
	// ReturnedAt is when the last outage ended, zero if there was none.
	ReturnedAt time.Time
}

func (s *Span) observe(serving, alive bool, aliveTTL time.Duration, now time.Time) {
	if serving {
		if !s.Since.IsZero() && s.ServedBefore {
			s.Longest, s.ReturnedAt = max(s.Longest, now.Sub(s.Since)), now
		}
		s.ServedBefore, s.Since, s.AliveSince = true, time.Time{}, time.Time{}
		return
	}
	if s.Since.IsZero() {
		s.Since = now
	}
	switch {
	// Just after a rank's end its last report is still recent.
	case !alive || now.Sub(s.Since) < aliveTTL:
		s.AliveSince = time.Time{}
	case s.AliveSince.IsZero():
		s.AliveSince = now
	}
}

// Tracker follows the outages of one service and of each of its groups.
type Tracker struct {
	aliveTTL, openTime time.Duration
	service            Span
	groups             map[string]*trackedGroup
}

type trackedGroup struct {
	Span
	lost int
	// openingSince is the time since when a rank has been usable in an outage that goes on.
	openingSince time.Time
}

// NewTracker returns a tracker that has observed nothing. aliveTTL is the age of a report up to
// which a rank counts as alive.
func NewTracker(aliveTTL time.Duration) *Tracker {
	return &Tracker{aliveTTL: aliveTTL, groups: map[string]*trackedGroup{}}
}

// SetOpenTime sets for how long a group that returns doesn't count as serving while fewer than
// half of its live ranks are usable: they open together and say so one after the other, and the
// first would get what waits at all entries. 0 means that one rank is enough.
func (t *Tracker) SetOpenTime(openTime time.Duration) { t.openTime = openTime }

// serves reports whether the group serves.
func (g *trackedGroup) serves(s Group, openTime time.Duration, now time.Time) bool {
	if s.Usable == 0 {
		g.openingSince = time.Time{}
		return false
	}
	if g.openingSince.IsZero() {
		g.openingSince = now
	}
	return g.ServedBefore && g.Since.IsZero() || 2*s.Usable >= s.Alive || now.Sub(g.openingSince) >= openTime
}

// Observe records what is known of the service's groups. usable is set if an upstream of the
// service can take requests. Groups that are no longer reported are forgotten. It reports
// whether the service serves.
func (t *Tracker) Observe(groups []Group, usable bool, now time.Time) (serves bool) {
	maps.DeleteFunc(t.groups, func(name string, _ *trackedGroup) bool {
		return !slices.ContainsFunc(groups, func(g Group) bool { return g.Name == name })
	})
	anyAlive, anyServes, anyUsable := false, false, false
	for _, g := range groups {
		tracked := t.groups[g.Name]
		if tracked == nil {
			tracked = &trackedGroup{}
			t.groups[g.Name] = tracked
		}
		serves := tracked.serves(g, t.openTime, now)
		tracked.observe(serves, g.allAlive(), t.aliveTTL, now)
		tracked.lost = max(g.Size-g.Alive, 0)
		anyAlive = anyAlive || g.allAlive()
		anyServes, anyUsable = anyServes || serves, anyUsable || g.Usable > 0
	}
	serves = usable && (anyServes || !anyUsable)
	t.service.observe(serves, anyAlive, t.aliveTTL, now)
	return serves
}

// Pause forgets the present outages: the service's upstreams get no requests by an operator's
// order.
func (t *Tracker) Pause() {
	t.service.pause()
	for _, g := range t.groups {
		g.pause()
	}
}

func (s *Span) pause() { s.Since, s.AliveSince = time.Time{}, time.Time{} }

// Service returns the outage of the service as a whole.
func (t *Tracker) Service() Span { return t.service }

// Evidence is what a forecast goes by.
type Evidence string

// The kinds of evidence.
const (
	// NoEvidence means that nothing tells when the outage ends.
	NoEvidence Evidence = "none"
	// Opening means that its first ranks say that the group is open.
	Opening Evidence = "ranks open"
	// RanksBack means that all ranks are alive, so that the group is forming.
	RanksBack Evidence = "all ranks are back"
	// RanksLost means that ranks aren't heard from; the bound on partitions and the longest
	// outage so far tell how long that may last.
	RanksLost Evidence = "ranks are lost"
	// Overdue means that the outage has lasted longer than that.
	Overdue Evidence = "longer than any before"
)

// Forecast tells when a group can be expected to serve again.
type Forecast struct {
	Evidence Evidence
	Group    string
	// Lost is the number of its ranks that aren't heard from. Age is how long it has been
	// unable to serve.
	Lost int
	Age  time.Duration
	// The end is as likely before Expected as after it, and not expected after Latest.
	Expected, Latest time.Time
}

const (
	// maxFormTime is how long the ranks of a group can be alive until it has formed.
	maxFormTime = 5 * time.Second
	// maxOverdueFactor is the multiple of the longest expected outage after which no end is
	// expected.
	maxOverdueFactor = 2
)

// Forecast returns the forecast for the group that is expected back first.
func (t *Tracker) Forecast(terms Terms, now time.Time) Forecast {
	best := Forecast{Evidence: NoEvidence}
	for name, g := range t.groups {
		f := g.forecast(terms, t.service.ServedBefore, now)
		f.Group = name
		if f.Evidence != NoEvidence && (best.Evidence == NoEvidence || f.Expected.Before(best.Expected)) {
			best = f
		}
	}
	return best
}

func (g *trackedGroup) forecast(terms Terms, servedBefore bool, now time.Time) Forecast {
	f := Forecast{Evidence: NoEvidence, Lost: g.lost}
	if g.Since.IsZero() {
		return f
	}
	f.Age = now.Sub(g.Since)
	if !g.openingSince.IsZero() {
		f.Evidence, f.Expected, f.Latest = Opening, now, now
		return f
	}
	if !g.AliveSince.IsZero() && now.Sub(g.AliveSince) < maxFormTime {
		f.Evidence, f.Expected = RanksBack, g.AliveSince.Add(terms.FormTime)
		if f.Expected.Before(now) {
			f.Expected = now
		}
		f.Latest = f.Expected
		return f
	}
	longest := max(terms.MaxPartition+terms.FormTime, g.Longest)
	f.Latest = g.Since.Add(longest)
	switch {
	case !servedBefore || f.Age > maxOverdueFactor*longest:
		return f
	case now.Add(terms.FormTime).Before(f.Latest):
		// The ranks are as likely to return at one moment as at another.
		f.Evidence, f.Expected = RanksLost, now.Add(terms.FormTime+(f.Latest.Sub(now)-terms.FormTime)/2)
	default:
		f.Evidence, f.Expected = Overdue, now.Add(terms.FormTime)
		f.Latest = f.Expected
	}
	return f
}
