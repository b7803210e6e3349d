package balance

import "time"

const (
	// maxFailures is the number of consecutive failures that ejects.
	maxFailures = 5
	// silenceLimit is how long an upstream that never reports may make no
	// progress, and reportLimit how long one that does may not report, while most
	// others do.
	silenceLimit = 5 * time.Second
	reportLimit  = 3 * reportAging
	// slowFactor and slowGaps eject an upstream whose gaps between tokens are
	// this many times the pool's mean, over so many gaps.
	slowFactor = 4
	slowGaps   = 50
	// ejectionTime is the first ejection; each next one is twice as long.
	ejectionTime    = 5 * time.Second
	maxEjectionTime = 60 * time.Second
)

// eject takes an upstream out of use for a while. At most half of the usable
// upstreams are ejected at once, so a pool is never emptied: a signal that is
// lost for most upstreams says more about the signal than about them.
func (p *Pool) eject(n *Node, now time.Time) bool {
	p.refresh(now)
	if !n.usable || now.Before(n.ejectedUntil) || 2*(p.ejected+1) > p.usable {
		return false
	}
	d := min(ejectionTime<<min(n.ejections, 6), maxEjectionTime)
	n.ejections++
	n.failures, n.gaps, n.gap = 0, 0, 0
	n.ejectedUntil = now.Add(d)
	p.index()
	return true
}

func (n *Node) ejectIfSlow(now time.Time) {
	if n.gaps >= slowGaps && n.gap > slowFactor*n.pool.meanGap {
		n.pool.eject(n, now)
	}
}

// Tick ejects upstreams that have gone silent while most of the pool has not,
// and returns the names of those it ejected.
func (p *Pool) Tick() []string {
	now := p.clock.Now()
	p.refresh(now)
	var silent []*Node
	heard := 0
	for _, n := range p.nodes {
		switch {
		case !n.usable || now.Before(n.ejectedUntil):
		case n.silentAt(now):
			silent = append(silent, n)
		default:
			heard++
		}
	}
	if len(silent) >= heard {
		return nil
	}
	var ejected []string
	for _, n := range silent {
		if p.eject(n, now) {
			n.held = true
			ejected = append(ejected, n.Name)
		}
	}
	return ejected
}

// silentAt says whether an upstream's engine is reported as silent, one of a
// pool that reports has not, or one with work in flight has made no progress.
func (n *Node) silentAt(now time.Time) bool {
	if n.silent {
		return true
	}
	heard := n.usableAt
	if n.reportedAt.After(heard) {
		heard = n.reportedAt
	}
	if n.pool.reporting {
		return now.Sub(heard) > reportLimit
	}
	return n.inFlight > 0 && now.Sub(n.progress) > silenceLimit
}
