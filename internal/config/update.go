package config

import (
	"slices"
	"strings"

	"github.com/kingcupreel/kingcupreel/internal/fault"
)

// Update carries a store from one revision to a higher one. It is a whole
// snapshot, or the changes after revision From.
type Update struct {
	// Base is that of the configuration at To.
	Base int64
	// From is the lowest revision that the changes apply to; 0 in a whole one.
	From int64
	To   int64
	// Whole says that Records are all records.
	Whole bool
	// Partial says that records outside the receiver's scope are left out.
	Partial bool
	// Records are the records written after From, Removed the keys deleted
	// after From.
	Records []Record
	Removed []string
}

// WholeUpdate returns the update that makes the records the configuration.
func WholeUpdate(records []Record) Update {
	revision, base := RevisionOf(records)
	return Update{Base: base, To: revision, Whole: true, Records: records}
}

// check says why the update can't follow s. Stale means that it is no newer,
// Invalid that changes between are missing, and Conflict that it contradicts
// what s held at that revision: the service has gone back to an older copy.
func (u *Update) check(s *Snapshot) error {
	switch {
	case u.Base < s.Base || (u.Base == s.Base && u.To <= s.Revision):
		return fault.New(fault.Stale, "nothing to do: a node never goes back", "update to revision %d, in force is %d", u.To, s.Revision)
	case u.Base > s.Base && u.To <= s.Revision:
		return fault.New(fault.Stale, "adopt the service's state again", "update to base %d and revision %d, in force is %d", u.Base, u.To, s.Revision)
	case u.Base > s.Base && !u.Whole, !u.Whole && s.Revision < u.From:
		return fault.New(fault.Invalid, "ask for the whole configuration", "update from revision %d, in force is %d", u.From, s.Revision)
	case u.Base > s.Base:
		return nil
	}
	return u.contradicts(s)
}

// contradicts looks for a record as old as s that s does not hold so.
func (u *Update) contradicts(s *Snapshot) error {
	if s.Revision == 0 || u.Partial {
		return nil
	}
	for _, r := range u.Records {
		if r.Revision > s.ServiceRevision() {
			continue
		}
		if h, ok := s.held[r.Key]; !ok || h.record.Revision != r.Revision {
			return fault.New(fault.Conflict, restoredRemedy, "the key-value service holds %s at revision %d again", r.Key, r.Revision)
		}
	}
	return nil
}

// merge returns the records of s with the update's changes, by key.
func (u *Update) merge(s *Snapshot) []Record {
	if u.Whole {
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

// removal is a deleted key and the revision that shows it.
type removal struct {
	key      string
	revision int64
}

// since returns the changes of s after from, given the removals after covered.
func since(s *Snapshot, removals []removal, covered, from, base int64) Update {
	if from < covered || from > s.Revision || base != s.Base || from == 0 {
		return Update{Base: s.Base, To: s.Revision, Whole: true, Records: s.Records}
	}
	u := Update{Base: s.Base, From: from, To: s.Revision}
	for _, r := range s.Records {
		if s.Base+r.Revision > from {
			u.Records = append(u.Records, r)
		}
	}
	for _, r := range removals {
		if _, back := s.held[r.key]; r.revision > from && !back {
			u.Removed = append(u.Removed, r.key)
		}
	}
	return u
}
