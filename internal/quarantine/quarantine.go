// Package quarantine decides which requests may run after an engine crashed. A
// request that was in flight at a crash is a suspect: it is run again one at a
// time. One that was in flight at a second crash is convicted and refused until
// the conviction expires. A suspect that succeeds is cleared.
//
// A request is known by its fingerprint, a hash of its client account and
// content, since a caller that sends it again gives it a new id. The package is
// free of sockets; reports reach a Table through the messages of package wire.
package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupreel/kingcupreel/internal/fault"
)

const (
	// Expiry is how long a crash counts.
	Expiry = 10 * time.Minute
	// ConvictionThreshold is the number of crashes that convict.
	ConvictionThreshold = 2
	// MaxSuspects bounds the requests that a table holds.
	MaxSuspects = 1 << 14
	// MaxReports bounds the reports that a table remembers.
	MaxReports = 1 << 10
)

// Fingerprint names a request by its content.
type Fingerprint string

// FingerprintOf returns the fingerprint of a client account's call.
func FingerprintOf(account, path string, body []byte) Fingerprint {
	h := sha256.New()
	for _, s := range []string{account, path} {
		h.Write([]byte(s))
		h.Write([]byte{0})
	}
	h.Write(body)
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:16]))
}

// Suspect is a request that was in flight at a crash.
type Suspect struct {
	Fingerprint Fingerprint
	Account     string
}

// Report tells of one crash, or of one request that was cleared.
type Report struct {
	// ID names the report, so that each counts once.
	ID string
	// Upstream is where the engine crashed.
	Upstream string
	// AtMS is the sender's wall clock, in Unix milliseconds.
	AtMS     int64
	Suspects []Suspect
	// Cleared says that the suspects have succeeded.
	Cleared bool
}

// State says how a request is to be run.
type State string

// The states.
const (
	Clear     State = "clear"
	Suspected State = "suspected"
	Convicted State = "convicted"
)

// Record is what a table knows of one request.
type Record struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Account     string      `json:"account"`
	State       State       `json:"state"`
	// CrashedUpstreams are the upstreams whose engine crashed with it, a name for each
	// crash.
	CrashedUpstreams []string  `json:"crashed"`
	Expires          time.Time `json:"expires"`
}

// Table holds the requests that were in flight at crashes. It is safe for
// concurrent use.
type Table struct {
	clock clockwork.Clock

	mu      sync.Mutex // leaf lock
	records map[Fingerprint]*Record
	order   []Fingerprint
	reports []Report
	seen    map[string]bool
}

// NewTable returns an empty table.
func NewTable(clock clockwork.Clock) *Table {
	return &Table{clock: clock, records: map[Fingerprint]*Record{}, seen: map[string]bool{}}
}

// Add takes a report; false means that the table has it or that it has
// expired.
func (t *Table) Add(r Report) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	expires := time.UnixMilli(r.AtMS).Add(Expiry)
	if t.seen[r.ID] || !t.clock.Now().Before(expires) {
		return false
	}
	t.remember(r)
	for _, s := range r.Suspects {
		if r.Cleared {
			t.clear(s.Fingerprint)
			continue
		}
		t.suspect(s, r.Upstream, expires)
	}
	return true
}

// remember keeps a report for those who connect later. The caller holds mu.
func (t *Table) remember(r Report) {
	t.seen[r.ID] = true
	t.reports = append(t.reports, r)
	if len(t.reports) > MaxReports {
		delete(t.seen, t.reports[0].ID)
		t.reports = t.reports[1:]
	}
}

// suspect counts a crash against a request. The caller holds mu.
func (t *Table) suspect(s Suspect, upstream string, expires time.Time) {
	rec := t.live(s.Fingerprint)
	if rec == nil {
		rec = &Record{Fingerprint: s.Fingerprint, Account: s.Account, State: Suspected}
		t.insert(rec)
	}
	rec.CrashedUpstreams = append(rec.CrashedUpstreams, upstream)
	rec.Expires = expires
	if len(rec.CrashedUpstreams) >= ConvictionThreshold {
		rec.State = Convicted
	}
}

// clear drops a suspect; a conviction stays. The caller holds mu.
func (t *Table) clear(f Fingerprint) {
	if rec := t.records[f]; rec != nil && rec.State == Suspected {
		delete(t.records, f)
	}
}

// live returns a record that has not expired, or nil. The caller holds mu.
func (t *Table) live(f Fingerprint) *Record {
	rec := t.records[f]
	if rec == nil || t.clock.Now().Before(rec.Expires) {
		return rec
	}
	delete(t.records, f)
	return nil
}

// insert adds a record and drops the oldest over the limit. The caller holds
// mu.
func (t *Table) insert(rec *Record) {
	t.records[rec.Fingerprint] = rec
	t.order = append(t.order, rec.Fingerprint)
	if len(t.order) > MaxSuspects {
		delete(t.records, t.order[0])
		t.order = t.order[1:]
	}
}

// Lookup returns a copy of a request's record; its State is Clear when there is
// none.
func (t *Table) Lookup(f Fingerprint) Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	rec := t.live(f)
	if rec == nil {
		return Record{Fingerprint: f, State: Clear}
	}
	out := *rec
	out.CrashedUpstreams = slices.Clone(rec.CrashedUpstreams)
	return out
}

// Reports returns the reports that have not expired, oldest first.
func (t *Table) Reports() []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	return slices.DeleteFunc(slices.Clone(t.reports), func(r Report) bool {
		return !now.Before(time.UnixMilli(r.AtMS).Add(Expiry))
	})
}

// Empty says whether no request is held.
func (t *Table) Empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records) == 0
}

// Check returns an error for a convicted request that says when it may run
// again, and nil for any other.
func (t *Table) Check(f Fingerprint) error {
	rec := t.Lookup(f)
	if rec.State != Convicted {
		return nil
	}
	remedy := "change the request; an operator finds it in the quarantine list"
	return fault.New(fault.Quarantined, remedy, "the request is in quarantine: %d upstreams crashed with it", len(rec.CrashedUpstreams)).After(rec.Expires.Sub(t.clock.Now()))
}

// List returns the records that have not expired, convicted first.
func (t *Table) List() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := []Record{}
	for f := range t.records {
		if rec := t.live(f); rec != nil {
			list = append(list, *rec)
		}
	}
	slices.SortFunc(list, func(a, b Record) int {
		return strings.Compare(string(a.State)+string(a.Fingerprint), string(b.State)+string(b.Fingerprint))
	})
	return list
}
