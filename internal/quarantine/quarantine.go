// Package quarantine decides which requests may run after an engine has
// crashed. A request that was in flight at a crash is a suspect; suspects are
// run again one at a time. A suspect that is in flight at a second crash is
// convicted and refused until the conviction expires. A suspect that succeeds
// is cleared.
//
// A request is identified by its fingerprint, a hash of its client account and
// content, because a caller that sends it again gives it a new ID. The package
// opens no sockets; reports are exchanged by the messages of package wire.
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
	// Expiry is how long after a crash its report counts.
	Expiry = 10 * time.Minute
	// ConvictionThreshold is the number of crashes after which a request is
	// convicted.
	ConvictionThreshold = 2
	// MaxSuspects is the maximum number of requests that a table holds.
	MaxSuspects = 1 << 14
	// MaxReports is the maximum number of reports that a table stores.
	MaxReports = 1 << 10
)

// Fingerprint identifies a request by its client account and content.
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

// Report describes one crash, or requests that were cleared.
type Report struct {
	// ID identifies the report, so that each is counted once.
	ID string
	// Upstream is the upstream whose engine crashed.
	Upstream string
	// AtMS is the time by the sender's wall clock, in Unix milliseconds.
	AtMS     int64
	Suspects []Suspect
	// Cleared is set if the suspects have succeeded since their crash; the report
	// then describes no crash.
	Cleared bool
}

// State is how a request may be run.
type State string

const (
	// Clear requests run without restriction.
	Clear State = "clear"
	// Suspected requests run one at a time.
	Suspected State = "suspected"
	// Convicted requests are refused.
	Convicted State = "convicted"
)

// Record is a table's state of one request.
type Record struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Account     string      `json:"account"`
	State       State       `json:"state"`
	// CrashedUpstreams are the upstreams whose engines crashed while they ran
	// the request, with one element for each crash.
	CrashedUpstreams []string  `json:"crashed"`
	Expires          time.Time `json:"expires"`
}

// Table holds the requests that were in flight at crashes. It is safe for
// concurrent use.
type Table struct {
	clock clockwork.Clock

	mu      sync.Mutex // leaf lock
	records map[Fingerprint]*Record
	// order lists the fingerprints in the order in which their records were
	// inserted, including those of records that have been deleted since.
	order     []Fingerprint
	reports   []Report
	reportIDs map[string]bool
}

// NewTable returns an empty table.
func NewTable(clock clockwork.Clock) *Table {
	return &Table{clock: clock, records: map[Fingerprint]*Record{}, reportIDs: map[string]bool{}}
}

// Add applies a report. It returns false if the report has been added before or
// has expired.
func (t *Table) Add(r Report) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	expires := time.UnixMilli(r.AtMS).Add(Expiry)
	if t.reportIDs[r.ID] || !t.clock.Now().Before(expires) {
		return false
	}
	t.storeReport(r)
	for _, s := range r.Suspects {
		if r.Cleared {
			t.clear(s.Fingerprint)
			continue
		}
		t.recordCrash(s, r.Upstream, expires)
	}
	return true
}

// storeReport stores a report for peers that connect later, and drops the
// oldest one over the limit. The caller must hold mu.
func (t *Table) storeReport(r Report) {
	t.reportIDs[r.ID] = true
	t.reports = append(t.reports, r)
	if len(t.reports) > MaxReports {
		delete(t.reportIDs, t.reports[0].ID)
		t.reports = t.reports[1:]
	}
}

// recordCrash counts a crash against a request. The caller must hold mu.
func (t *Table) recordCrash(s Suspect, upstream string, expires time.Time) {
	rec := t.unexpired(s.Fingerprint)
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

// clear deletes a suspect's record; a conviction stays. The caller must hold
// mu.
func (t *Table) clear(f Fingerprint) {
	if rec := t.records[f]; rec != nil && rec.State == Suspected {
		delete(t.records, f)
	}
}

// unexpired returns a request's record, or nil if there is none. It deletes a
// record that has expired. The caller must hold mu.
func (t *Table) unexpired(f Fingerprint) *Record {
	rec := t.records[f]
	if rec == nil || t.clock.Now().Before(rec.Expires) {
		return rec
	}
	delete(t.records, f)
	return nil
}

// insert adds a record. If order exceeds MaxSuspects, insert deletes the record
// of its first fingerprint. The caller must hold mu.
func (t *Table) insert(rec *Record) {
	t.records[rec.Fingerprint] = rec
	t.order = append(t.order, rec.Fingerprint)
	if len(t.order) > MaxSuspects {
		delete(t.records, t.order[0])
		t.order = t.order[1:]
	}
}

// Lookup returns a copy of a request's record. Its State is Clear if there is
// no record.
func (t *Table) Lookup(f Fingerprint) Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	rec := t.unexpired(f)
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

// Empty reports whether the table holds no requests.
func (t *Table) Empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records) == 0
}

// Check returns an error for a convicted request and nil for any other. The
// error carries the time until the conviction expires.
func (t *Table) Check(f Fingerprint) error {
	rec := t.Lookup(f)
	if rec.State != Convicted {
		return nil
	}
	remedy := "change the request; it is on the quarantine list that operators see"
	return fault.New(fault.Quarantined, remedy, "the request is in quarantine: %d upstreams crashed while running it", len(rec.CrashedUpstreams)).After(rec.Expires.Sub(t.clock.Now()))
}

// List returns the unexpired records, sorted by state, convicted ones first,
// and by fingerprint.
func (t *Table) List() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := []Record{}
	for f := range t.records {
		if rec := t.unexpired(f); rec != nil {
			list = append(list, *rec)
		}
	}
	slices.SortFunc(list, func(a, b Record) int {
		return strings.Compare(string(a.State)+string(a.Fingerprint), string(b.State)+string(b.Fingerprint))
	})
	return list
}
