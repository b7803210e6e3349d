package quarantine

import (
	"slices"
	"time"
)

// One part of a prompt may crash every engine that begins to write an answer on it, and one
// content every upstream, whichever client account sends it. Other parts of the same requests
// are in flight at the same crashes, also in sound requests. Three things tell them apart: a
// success clears a part, a crash is blamed on a part of a request only if no part that the
// request lacks was in flight at all the same crashes, and the crashes of a part that has
// succeeded before are rather those of parts that never have.

const (
	// partThreshold is the number of crashes after which a part is convicted. By
	// chance, a part that many requests share is in flight at one or two. A part that
	// stands for a whole request is convicted at ConvictionThreshold.
	partThreshold = 3
	// minCrashSpread is the least time between the first and the last of these crashes.
	// Many upstreams may crash at one moment for another reason.
	minCrashSpread = 1 * time.Second
)

// threshold returns the number of crashes that are too many to be chance.
func (r *Record) threshold() int {
	if r.whole {
		return ConvictionThreshold
	}
	return partThreshold
}

// recurs reports whether the record's crashes are too many to be chance.
func (r *Record) recurs() bool {
	return len(r.crashes) >= r.threshold() && r.lastCrash.Sub(r.firstCrash) >= minCrashSpread
}

// partToBlame returns the record of a convicted part among those of a request, or nil. The
// caller must hold mu.
func (t *Table) partToBlame(parts []Fingerprint) *Record {
	for _, f := range parts {
		if rec := t.unexpired(f); rec != nil && rec.State == Convicted && !t.blamedElsewhere(rec, parts) {
			return rec
		}
	}
	return nil
}

// blamedElsewhere reports whether parts that aren't among the given ones explain the crashes of
// the record: one of them was in flight at all, or the record is of a part that has succeeded
// before and those that never have were in flight at all but a few. One that has succeeded
// explains no crash of a part that never has. The caller must hold mu.
func (t *Table) blamedElsewhere(rec *Record, parts []Fingerprint) bool {
	unexplained, succeeded := slices.Clone(rec.crashes), t.hasSucceeded(rec.Fingerprint)
	for f, other := range t.records {
		if !other.Part || other.State != Convicted || slices.Contains(parts, f) || !succeeded && t.hasSucceeded(f) {
			continue
		}
		explained := func(crash string) bool { return slices.Contains(other.crashes, crash) }
		if !slices.ContainsFunc(rec.crashes, func(crash string) bool { return !explained(crash) }) {
			return true
		}
		if !t.hasSucceeded(f) {
			unexplained = slices.DeleteFunc(unexplained, explained)
		}
	}
	return succeeded && len(unexplained) < rec.threshold()
}

// Recurring reports whether the request, or a part of it, was in flight at more than one
// crash and has not succeeded since the first.
func (t *Table) Recurring(s Suspect) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.recurring(s)
}

// recurring is Recurring for a caller that holds mu.
func (t *Table) recurring(s Suspect) bool {
	return slices.ContainsFunc(append([]Fingerprint{s.Fingerprint}, s.Parts...), func(f Fingerprint) bool {
		rec := t.unexpired(f)
		return rec != nil && len(rec.crashes) > 1
	})
}

// QuarantinedParts returns the parts of a request that are in quarantine, to blame or not, or
// have been held.
func (t *Table) QuarantinedParts(s Suspect) []Fingerprint {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(s.Parts), func(f Fingerprint) bool { return !t.quarantined(f) })
}

// CrashedWith returns the upstreams that crashed while they ran the request, or one with a
// part of it, since that was last cleared.
func (t *Table) CrashedWith(s Suspect) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var upstreams []string
	for _, f := range append([]Fingerprint{s.Fingerprint}, s.Parts...) {
		if rec := t.unexpired(f); rec != nil {
			upstreams = append(upstreams, rec.CrashedUpstreams...)
		}
	}
	slices.Sort(upstreams)
	return slices.Compact(upstreams)
}
