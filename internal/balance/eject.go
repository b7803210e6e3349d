package balance

import "time"

const (
	// maxConsecutiveFailures is the number of consecutive failures after which
	// an upstream is ejected.
	maxConsecutiveFailures = 5
	// An upstream is ejected, provided that most others are responsive, if its
	// requests in flight make no progress for progressTimeout in a pool without
	// load reports, or if it sends no report for reportTimeout in a pool with
	// them.
	progressTimeout = 5 * time.Second
	reportTimeout   = 3 * reportDecay
	// An upstream is ejected if, after minSlowGaps gaps between tokens, its
	// mean gap is more than slowFactor times the pool's.
	slowFactor  = 4
	minSlowGaps = 50
	// ejectionTime is the duration of the first ejection. It doubles with each
	// further ejection, up to maxEjectionTime.
	ejectionTime    = 5 * time.Second
	maxEjectionTime = 60 * time.Second
)

// eject takes an upstream out of use for a while. At most half of the usable
// upstreams are ejected at once, so that a pool is never emptied: if a signal
// is lost for most upstreams, the signal is more likely at fault than the
// upstreams. It returns false if it has not ejected the upstream.
func (p *Pool) eject(n *Node, now time.Time) bool {
	p.readmitExpired(now)
	if !n.usable || now.Before(n.ejectedUntil) || 2*(p.ejected+1) > p.usable {
		return false
	}
	duration := min(ejectionTime<<min(n.ejections, 6), maxEjectionTime)
	n.ejections++
	n.failures, n.gapCount, n.gap = 0, 0, 0
	n.ejectedUntil = now.Add(duration)
	p.rebuildIndex()
	return true
}

func (n *Node) ejectIfSlow(now time.Time) {
	if n.gapCount >= minSlowGaps && n.gap > slowFactor*n.pool.meanGap {
		n.pool.eject(n, now)
	}
}

// Tick ejects upstreams that have become silent while most of the pool has not,
// and returns their names.
func (p *Pool) Tick() []string {
	now := p.clock.Now()
	p.readmitExpired(now)
	var silent []*Node
	responsive := 0
	for _, n := range p.nodes {
		switch {
		case !n.usable || now.Before(n.ejectedUntil):
		case n.silentAt(now):
			silent = append(silent, n)
		default:
			responsive++
		}
	}
	if len(silent) >= responsive {
		return nil
	}
	var ejected []string
	for _, n := range silent {
		if p.eject(n, now) {
			n.awaitsReport = true
			ejected = append(ejected, n.Name)
		}
	}
	return ejected
}

// silentAt reports whether the upstream is silent: its engine is reported as
// not answering, its load reports have stopped, or, in a pool without load
// reports, its requests in flight make no progress.
func (n *Node) silentAt(now time.Time) bool {
	if n.engineSilent {
		return true
	}
	lastHeard := n.usableAt
	if n.reportedAt.After(lastHeard) {
		lastHeard = n.reportedAt
	}
	if n.pool.reporting {
		return now.Sub(lastHeard) > reportTimeout
	}
	return n.inFlight > 0 && now.Sub(n.lastProgress) > progressTimeout
}
