package quarantine

import (
	"slices"
	"time"
)

// Reports returns the reports that have not expired, oldest first.
func (t *Table) Reports() []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	return slices.DeleteFunc(slices.Clone(t.reports), func(r Report) bool {
		return !now.Before(time.UnixMilli(r.AtMS).Add(Expiry))
	})
}

// newReport is the age up to which every report is relevant.
const newReport = 3 * time.Second

// Relevant returns the reports, oldest first, that another process needs: the new ones, and
// those of crashes with a request that is held, or with a request or a part that was in flight
// at several. Parts that have been cleared since a crash are left out of its report.
func (t *Table) Relevant() []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	matters := func(s Suspect) bool { return t.recurring(s) || !t.heldUntil(s).IsZero() }
	relevant := slices.DeleteFunc(slices.Clone(t.reports), func(r Report) bool {
		return now.Sub(time.UnixMilli(r.AtMS)) > newReport && (r.Cleared || !slices.ContainsFunc(r.Suspects, matters))
	})
	for i := range relevant {
		relevant[i] = t.withoutCleared(relevant[i])
	}
	return relevant
}

// withoutCleared returns a report of a crash without the parts that have been cleared since:
// a process that starts later doesn't learn of their success. The caller must hold mu.
func (t *Table) withoutCleared(r Report) Report {
	if r.Cleared {
		return r
	}
	suspects := slices.Clone(r.Suspects)
	for i, s := range suspects {
		s.Parts = slices.DeleteFunc(slices.Clone(s.Parts), func(f Fingerprint) bool {
			cleared := t.clearedAt[f]
			return !cleared.IsZero() && !time.UnixMilli(r.AtMS).After(cleared)
		})
		if !slices.Contains(s.Parts, s.Whole) {
			s.Whole, s.Hold = "", false
		}
		suspects[i] = s
	}
	r.Suspects, r.Succeeded = suspects, t.succeededParts(suspects)
	return r
}

// succeededParts returns the parts of the suspects that are known to have succeeded. The caller
// must hold mu.
func (t *Table) succeededParts(suspects []Suspect) []Fingerprint {
	var succeeded []Fingerprint
	for _, s := range suspects {
		for _, part := range s.Parts {
			if t.hasSucceeded(part) && !slices.Contains(succeeded, part) {
				succeeded = append(succeeded, part)
			}
		}
	}
	return succeeded
}

// Evidence returns reports that convict or hold a request or part in another table: one for
// each of its crashes, with it as the only suspect.
func (t *Table) Evidence(f Fingerprint) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var evidence []Report
	for _, r := range t.reports {
		if r.Cleared {
			continue
		}
		i := slices.IndexFunc(r.Suspects, func(s Suspect) bool { return s.Fingerprint == f || slices.Contains(s.Parts, f) })
		if i < 0 {
			continue
		}
		suspect := Suspect{Parts: []Fingerprint{f}}
		switch s := r.Suspects[i]; f {
		case s.Fingerprint:
			suspect = Suspect{Fingerprint: f, Account: s.Account}
		case s.Whole:
			suspect.Whole, suspect.Hold = f, s.Hold
		}
		known := slices.IndexFunc(evidence, func(e Report) bool { return e.crash() == r.crash() })
		if known >= 0 {
			evidence[known].Suspects[0].Hold = evidence[known].Suspects[0].Hold || suspect.Hold
			continue
		}
		// The ID differs from that of the whole report, which may arrive too.
		suspects := []Suspect{suspect}
		evidence = append(evidence, Report{ID: r.ID + "/" + string(f), Upstream: r.Upstream, Crash: r.crash(), AtMS: r.AtMS, Suspects: suspects, Succeeded: t.succeededParts(suspects)})
	}
	return evidence
}
