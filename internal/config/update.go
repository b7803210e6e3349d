package config

import (
	"slices"
	"strings"

	"github.com/kingcupreel/kingcupreel/internal/fault"
)

// Update moves a store from one revision to a higher one. It holds all records,
// or the changes after revision From.
type Update struct {
	// Base is the base of the configuration at To.
	Base int64
	// From is the lowest revision that the changes apply to; 0 if Full is set.
	From int64
	To   int64
	// Full means that Records holds all records, not only changes.
	Full bool
	// Partial means that records outside the receiver's scope are left out.
	Partial bool
	// Records holds the records written after From, Removed the keys deleted
	// after From.
	Records []Record
	Removed []string
}

// FullUpdate returns the update that replaces the configuration by the records.
func FullUpdate(records []Record) Update {
	revision, base := RevisionOf(records)
	return Update{Base: base, To: revision, Full: true, Records: records}
}

// check returns an error if the update can't be applied to s. Kind Stale means
// that the update is not newer, Invalid that changes between s and the update
// are missing, Conflict that the update contradicts the records of s, since the
// service was restored from an older copy.
func (u *Update) check(s *Snapshot) error {
	switch {
	case u.Base < s.Base || (u.Base == s.Base && u.To <= s.Revision):
		return fault.New(fault.Stale, "no action needed: a node never goes back to a lower revision", "update to revision %d is not newer than revision %d in force", u.To, s.Revision)
	case u.Base > s.Base && u.To <= s.Revision:
		return fault.New(fault.Stale, "run kingcupreelctl adopt again", "update to base %d and revision %d is not newer than revision %d in force", u.Base, u.To, s.Revision)
	case u.Base > s.Base && !u.Full, !u.Full && s.Revision < u.From:
		return fault.New(fault.Invalid, "request the whole configuration", "update starts at revision %d, but only revision %d is in force", u.From, s.Revision)
	case u.Base > s.Base:
		return nil
	}
	return u.checkContradiction(s)
}

// checkContradiction returns an error if the update has a record whose revision
// is not above that of s, but which s lacks or holds at another revision.
func (u *Update) checkContradiction(s *Snapshot) error {
	if s.Revision == 0 || u.Partial {
		return nil
	}
	for _, r := range u.Records {
		if r.Revision > s.ServiceRevision() {
			continue
		}
		if state, ok := s.keyState[r.Key]; !ok || state.record.Revision != r.Revision {
			return fault.New(fault.Conflict, restoredRemedy, "the key-value service holds %s at revision %d, which contradicts the configuration in force", r.Key, r.Revision)
		}
	}
	return nil
}

// merge returns the records of s with the update's changes, sorted by key.
func (u *Update) merge(s *Snapshot) []Record {
	if u.Full {
		records := slices.Clone(u.Records)
		slices.SortFunc(records, compareKeys)
		return records
	}
	changed := make(map[string]bool, len(u.Records)+len(u.Removed))
	for _, key := range u.Removed {
		changed[key] = true
	}
	for _, r := range u.Records {
		changed[r.Key] = true
	}
	records := make([]Record, 0, len(s.Records)+len(u.Records))
	for _, r := range s.Records {
		if !changed[r.Key] {
			records = append(records, r)
		}
	}
	records = append(records, u.Records...)
	slices.SortFunc(records, compareKeys)
	return records
}

func compareKeys(a, b Record) int { return strings.Compare(a.Key, b.Key) }

// removal is a deleted key and the revision to which the update with the
// deletion led.
type removal struct {
	key      string
	revision int64
}

// updateSince returns the update that leads from revision from to s: the changes,
// or all records if from is before removalsSince. removals lists all deletions
// after removalsSince.
func updateSince(s *Snapshot, removals []removal, removalsSince, from, base int64) Update {
	if from < removalsSince || from > s.Revision || base != s.Base || from == 0 {
		return Update{Base: s.Base, To: s.Revision, Full: true, Records: s.Records}
	}
	u := Update{Base: s.Base, From: from, To: s.Revision}
	for _, r := range s.Records {
		if s.Base+r.Revision > from {
			u.Records = append(u.Records, r)
		}
	}
	for _, r := range removals {
		if _, exists := s.keyState[r.key]; r.revision > from && !exists {
			u.Removed = append(u.Removed, r.key)
		}
	}
	return u
}
