// Package quarantine decides which requests may run after an engine has
// crashed. A request that was in flight at a crash is a suspect; suspects are
// run again one at a time. A suspect that is in flight at a second crash is
// convicted and refused until the conviction expires. A suspect that succeeds
// is cleared.
//
// What requests share, for example parts of prompts, is a suspect too, whatever else the
// requests hold (see parts.go).
//
// A request is identified by its fingerprint, a hash of its client account and
// content, because a caller that sends it again gives it a new ID. The package
// opens no sockets; reports are exchanged by the messages of package wire.
package quarantine

import (
	"cmp"
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
	// HoldTime is how long a request is held after a crash that asks for it. A group of
	// upstreams takes seconds to serve again, so that it serves for most of that time even
	// if the request crashes it each time.
	HoldTime = 30 * time.Second
	// MaxSuspects is the maximum number of requests that a table holds.
	MaxSuspects = 1 << 14
	// MaxReports is the maximum number of reports that a table stores.
	MaxReports = 1 << 10
)

// Fingerprint identifies a request by its client account and content.
type Fingerprint string

// FingerprintOf returns the fingerprint of a client account's call. The target is its path
// with the query.
func FingerprintOf(account, target string, body []byte) Fingerprint {
	return fingerprint(body, account, target)
}

// fingerprint returns the hash of a body and of what else identifies it.
func fingerprint(body []byte, fields ...string) Fingerprint {
	h := sha256.New()
	for _, s := range fields {
		h.Write([]byte(s))
		h.Write([]byte{0})
	}
	h.Write(body)
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:16]))
}

// ContentFingerprints returns the fingerprints of what a request may share with others that
// crash upstreams as it does: its content, whichever client account sends it, and its
// account, path and body, whatever the query.
func ContentFingerprints(account, target string, body []byte) []Fingerprint {
	list := []Fingerprint{fingerprint(body, "any account", "", target)}
	if path, _, found := strings.Cut(target, "?"); found {
		list = append(list, fingerprint(body, "any query", account, path))
	}
	return list
}

// UnfinishedFingerprint returns the fingerprint under which crashes count against a request
// until it has got a whole answer: an upstream may crash with it at any event of the answer.
func UnfinishedFingerprint(account, target string, body []byte, promptParts []string) Fingerprint {
	return fingerprint(body, append([]string{"unfinished", account, target}, promptParts...)...)
}

// PartFingerprints returns the fingerprints of parts of a prompt, which requests of all
// client accounts may share.
func PartFingerprints(parts []string) []Fingerprint {
	var list []Fingerprint
	for _, part := range parts {
		h := sha256.Sum256([]byte(part))
		list = append(list, Fingerprint(hex.EncodeToString(h[:8])))
	}
	return list
}

// Suspect is a request that was in flight at a crash.
type Suspect struct {
	// Fingerprint identifies the whole request; empty where its content is one of Parts.
	Fingerprint Fingerprint
	Account     string
	// Parts are what other requests may share: parts of its prompt and ContentFingerprints.
	// They are empty if the answer had begun.
	Parts []Fingerprint
	// Whole is the one of Parts that stands for the whole request, empty for none.
	Whole Fingerprint `json:",omitempty"`
	// Hold is set if Whole shouldn't run for HoldTime after the crash, since each crash costs
	// more than the one upstream.
	Hold bool `json:",omitempty"`
}

// Report describes one crash, or requests that were cleared.
type Report struct {
	// ID identifies the report, so that each is counted once.
	ID string
	// Upstream is the upstream whose engine crashed.
	Upstream string
	// Crash identifies the crash, since several processes may report the same one.
	// Empty means that no other report describes it.
	Crash string
	// AtMS is the time by the sender's wall clock, in Unix milliseconds.
	AtMS     int64
	Suspects []Suspect
	// Cleared is set if the suspects have succeeded since their crash; the report
	// then describes no crash.
	Cleared bool
	// Succeeded lists the parts of suspects that had succeeded before the crash, or have
	// since.
	Succeeded []Fingerprint `json:",omitempty"`
}

// Held returns the requests that the report holds.
func (r *Report) Held() []Fingerprint {
	var held []Fingerprint
	for _, s := range r.Suspects {
		if s.Hold {
			held = append(held, s.Whole)
		}
	}
	return held
}

// HeldUntil returns until when they are held.
func (r *Report) HeldUntil() time.Time { return time.UnixMilli(r.AtMS).Add(HoldTime) }

// crash returns the identity of the crash.
func (r *Report) crash() string { return cmp.Or(r.Crash, r.ID) }

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

// Record is a table's state of one request, or of one part of requests.
type Record struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Part is set for a part of requests.
	Part    bool   `json:"part"`
	Account string `json:"account"`
	State   State  `json:"state"`
	// CrashedUpstreams are the upstreams whose engines crashed while they ran
	// the request, with one element for each crash.
	CrashedUpstreams []string  `json:"crashed"`
	Expires          time.Time `json:"expires"`
	// crashes identifies the crashes, in the order of CrashedUpstreams. firstCrash and
	// lastCrash are their earliest and latest times.
	crashes               []string
	firstCrash, lastCrash time.Time
	// whole is set for a part that stands for a whole request. That request is held until
	// heldUntil.
	whole     bool
	heldUntil time.Time
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
	// convicted lists the requests and parts convicted since the last TakeConvicted.
	convicted []Fingerprint
	// clearedAt holds when parts were last cleared: a report of an earlier crash that arrives
	// later doesn't count. The time is zero for a part of which another process says that it
	// has succeeded.
	clearedAt map[Fingerprint]time.Time
}

// NewTable returns an empty table.
func NewTable(clock clockwork.Clock) *Table {
	return &Table{clock: clock, records: map[Fingerprint]*Record{}, reportIDs: map[string]bool{}, clearedAt: map[Fingerprint]time.Time{}}
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
	for _, f := range r.Succeeded {
		t.markSucceeded(f, time.Time{})
	}
	for _, s := range r.Suspects {
		if r.Cleared {
			t.clear(s, time.UnixMilli(r.AtMS))
			continue
		}
		if s.Fingerprint != "" {
			t.recordCrash(&Record{Fingerprint: s.Fingerprint, Account: s.Account}, r)
		}
		for _, part := range s.Parts {
			rec := &Record{Fingerprint: part, Part: true, whole: part == s.Whole}
			if rec.whole && s.Hold {
				rec.heldUntil = r.HeldUntil()
			}
			t.recordCrash(rec, r)
		}
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

// recordCrash counts a crash against a request or a part, whose record is created if there
// is none. The caller must hold mu.
func (t *Table) recordCrash(created *Record, r Report) {
	if cleared := t.clearedAt[created.Fingerprint]; !cleared.IsZero() && !time.UnixMilli(r.AtMS).After(cleared) {
		return
	}
	rec := t.unexpired(created.Fingerprint)
	if rec == nil {
		rec = created
		rec.State = Suspected
		t.insert(rec)
	}
	if created.heldUntil.After(rec.heldUntil) {
		rec.heldUntil = created.heldUntil
	}
	crash, at := r.crash(), time.UnixMilli(r.AtMS)
	if slices.Contains(rec.crashes, crash) {
		return
	}
	if len(rec.crashes) == 0 || at.Before(rec.firstCrash) {
		rec.firstCrash = at
	}
	if at.After(rec.lastCrash) {
		rec.lastCrash, rec.Expires = at, at.Add(Expiry)
	}
	rec.crashes = append(rec.crashes, crash)
	rec.CrashedUpstreams = append(rec.CrashedUpstreams, r.Upstream)
	if rec.State != Convicted && (rec.Part && rec.recurs() || !rec.Part && len(rec.crashes) >= ConvictionThreshold) {
		rec.State = Convicted
		t.convicted = append(t.convicted, rec.Fingerprint)
		if len(t.convicted) > MaxReports { // nobody takes them
			t.convicted = t.convicted[1:]
		}
	}
}

// clear deletes the records of a request that has succeeded at the given time and of its
// parts; a conviction of the request itself stays. The caller must hold mu.
func (t *Table) clear(s Suspect, at time.Time) {
	if rec := t.records[s.Fingerprint]; rec != nil && rec.State == Suspected {
		delete(t.records, s.Fingerprint)
	}
	if now := t.clock.Now(); at.After(now) {
		at = now // the sender's clock is ahead
	}
	for _, part := range s.Parts {
		if t.records[part] == nil {
			continue
		}
		delete(t.records, part)
		t.markSucceeded(part, at)
	}
}

// markSucceeded records that a part has succeeded, and when; the time is zero if it isn't known.
// The caller must hold mu.
func (t *Table) markSucceeded(part Fingerprint, at time.Time) {
	if at.Before(t.clearedAt[part]) {
		return
	}
	if len(t.clearedAt) >= MaxSuspects {
		clear(t.clearedAt)
	}
	t.clearedAt[part] = at
}

// hasSucceeded reports whether a part is known to have succeeded. The caller must hold mu.
func (t *Table) hasSucceeded(part Fingerprint) bool {
	_, succeeded := t.clearedAt[part]
	return succeeded
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

// Lookup returns a copy of the record that says how a request may be run: its own, or that
// of a part to blame. The State is Clear if there is none.
func (t *Table) Lookup(s Suspect) Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	rec := t.unexpired(s.Fingerprint)
	if rec == nil || rec.State != Convicted {
		if part := t.partToBlame(s.Parts); part != nil {
			rec = part
		}
	}
	if rec == nil {
		return Record{Fingerprint: s.Fingerprint, State: Clear}
	}
	out := *rec
	out.CrashedUpstreams = slices.Clone(rec.CrashedUpstreams)
	return out
}

// TakeConvicted returns the requests and parts that were convicted since its last call.
func (t *Table) TakeConvicted() []Fingerprint {
	t.mu.Lock()
	defer t.mu.Unlock()
	convicted := t.convicted
	t.convicted = nil
	return convicted
}

// Quarantined reports whether a request or part is in quarantine or has been held, and hasn't
// been cleared since.
func (t *Table) Quarantined(f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.quarantined(f)
}

// quarantined is Quarantined for a caller that holds mu.
func (t *Table) quarantined(f Fingerprint) bool {
	rec := t.unexpired(f)
	return rec != nil && (rec.State == Convicted || !rec.heldUntil.IsZero())
}

// Empty reports whether the table holds no requests.
func (t *Table) Empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records) == 0
}

// Check returns an error for a convicted request, one with a convicted part, or one that is
// held, and nil for any other. The error carries the time until the conviction or the hold ends.
func (t *Table) Check(s Suspect) error {
	rec := t.Lookup(s)
	if rec.State != Convicted {
		return t.checkHold(s)
	}
	remedy, what := "change the request; it is on the quarantine list that operators see", "the request"
	if rec.Part {
		remedy, what = "change the request; the part is on the quarantine list that operators see", "part "+string(rec.Fingerprint)+" of the request"
	}
	return fault.New(fault.Quarantined, remedy, "%s is in quarantine: %d upstreams crashed while running it", what, len(rec.CrashedUpstreams)).After(rec.Expires.Sub(t.clock.Now()))
}

// checkHold returns an error for a request that is held.
func (t *Table) checkHold(s Suspect) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	until := t.heldUntil(s)
	if until.IsZero() {
		return nil
	}
	return fault.New(fault.Quarantined, "send the request again after the delay", "request %s is held: %d upstreams crashed while running it", s.Whole, len(t.records[s.Whole].crashes)).After(until.Sub(t.clock.Now()))
}

// heldUntil returns until when a request is held, zero if it isn't. The caller must hold mu.
func (t *Table) heldUntil(s Suspect) time.Time {
	if rec := t.unexpired(s.Whole); rec != nil && t.clock.Now().Before(rec.heldUntil) {
		return rec.heldUntil
	}
	return time.Time{}
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
