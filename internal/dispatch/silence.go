package dispatch

import (
	"slices"
	"time"
)

// An upstream that has been heard from and stops while the others go on is silent: its VM
// stands still or can't be reached. What runs there can't be ended until it is heard again.

const (
	// missedReports is the number of load reports in a row whose absence makes an
	// upstream silent. Datagrams get lost.
	missedReports = 3
	// reportIntervalWeight is the weight of a new interval in the moving average of the
	// time between two load reports.
	reportIntervalWeight = 0.2
	// maxSilenceCheckGap is the longest time between two checks for silence after which
	// this process itself may have stood still.
	maxSilenceCheckGap = 300 * time.Millisecond
)

// SilenceChange says that an upstream has fallen silent, or is heard from again.
type SilenceChange struct {
	Node   *Node
	Silent bool
	// Age is the time since the upstream was last heard from.
	Age time.Duration
}

// Hear records a sign of life from an upstream other than a load report.
func (n *Node) Hear(now time.Time) { n.heardAt, n.quiet = now, false }

// LastHeard returns when the upstream was last heard from, and how many load reports it sends in
// a second, 0 if it has sent none for long.
func (n *Node) LastHeard(now time.Time) (at time.Time, reportsPerSecond float64) {
	if now.Sub(n.reportedAt) <= silenceWindow && n.reportInterval > 0 {
		reportsPerSecond = 1 / n.reportInterval.Seconds()
	}
	return n.heardAt, reportsPerSecond
}

// SetQuiet records whether nothing is heard from the upstream's data centre at present. Such an
// upstream is used only if no other one can take the request, until it is heard from.
func (n *Node) SetQuiet(quiet bool) { n.quiet = quiet }

// silentAt reports whether the upstream has shown no sign of life for too long. One whose
// last report is older than silenceWindow has no load reports to miss.
func (n *Node) silentAt(now time.Time) bool {
	return now.Sub(n.reportedAt) <= silenceWindow && now.Sub(n.heardAt) > n.silenceLimit()
}

// silenceLimit is the time without any sign of life after which the upstream is silent.
func (n *Node) silenceLimit() time.Duration {
	return max(AliveTTL, missedReports*n.reportInterval)
}

// recordInterval updates the mean time between reports with a report that arrives now.
func (n *Node) recordInterval(now time.Time) {
	if !n.reportedAt.IsZero() {
		interval := min(now.Sub(n.reportedAt), reportTTL)
		n.reportInterval += time.Duration(reportIntervalWeight * float64(interval-n.reportInterval))
	}
}

// unheard reports whether an upstream may not answer: its data centre is unreachable, it is
// silent, its load reports have stopped, or it has sent none although most others have.
// After silenceWindow without reports it may be in use without them.
func (p *Pool) unheard(n *Node, now time.Time) bool {
	if n.reportedAt.IsZero() && p.mostReport {
		return n.unreachable || n.firstCheckedAt.IsZero() || now.Sub(n.firstCheckedAt) <= silenceWindow
	}
	age := now.Sub(n.reportedAt)
	return n.unreachable || n.quiet || n.silent || age > reportTTL && age <= silenceWindow
}

// CheckSilence updates which upstreams are silent and returns the changes. Call it several
// times a second. While fewer than half of the upstreams are heard from, and for AliveTTL
// after this process may have stood still, none falls silent: the fault may be on this side.
func (p *Pool) CheckSilence(now time.Time) []SilenceChange {
	if now.Sub(p.silenceCheckedAt) > maxSilenceCheckGap {
		p.silenceKnownFrom = now.Add(AliveTTL)
	}
	p.silenceCheckedAt = now
	reporting, heard := 0, 0
	for _, n := range p.nodes {
		if now.Sub(n.reportedAt) > silenceWindow {
			continue
		}
		reporting++
		if !n.silentAt(now) {
			heard++
		}
	}
	p.mostReport = reporting > 0 && 2*reporting >= len(p.nodes)
	trusted := 2*heard >= reporting && !now.Before(p.silenceKnownFrom)
	p.leaving = slices.DeleteFunc(p.leaving, func(n *Node) bool { return n.inFlight == 0 })
	var changes []SilenceChange
	for _, n := range slices.Concat(p.nodes, p.leaving) {
		if n.firstCheckedAt.IsZero() {
			n.firstCheckedAt = now
		}
		silent := n.silentAt(now)
		if silent == n.silent || silent && !trusted {
			continue
		}
		n.silent = silent
		changes = append(changes, SilenceChange{Node: n, Silent: silent, Age: now.Sub(n.heardAt)})
	}
	return changes
}
