// Package evacuation keeps which data centres an operator has evacuated: their upstreams get
// no further requests until that is taken back. The state comes from the key-value service
// and from other entries, in any order, and more than once. An end is believed only with
// proof; see docs/design/evacuation.md.
package evacuation

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/kvstore"
)

// MaxRecords bounds the data centres whose evacuations are kept.
const MaxRecords = 64

// MaxName bounds the name of a data centre, in bytes.
const MaxName = 120

// newsTime is how long a change is news. Within that time an entry sends several digests.
const newsTime = 5 * time.Second

// Record is the latest that is known of the evacuation of one data centre.
type Record struct {
	DataCentre string
	// InForce is set from the operator's request until it is taken back.
	InForce bool
	// Position is where in the service's history that was written or, for an end that a
	// listing has shown, the position of the listing.
	Position kvstore.Position
}

// Proof is what has shown that an evacuation has ended.
type Proof string

// The proofs.
const (
	ProofDeletion Proof = "its record was deleted"
	ProofListing  Proof = "a later listing lacks its record"
	ProofEntry    Proof = "another entry has proof"
)

// SourceStore is the source of what the key-value service says. Other sources are names of
// entries.
const SourceStore = "store"

// State is the content of the service's records in a listing.
type State struct {
	// At is the position of the listing.
	At kvstore.Position
	// Requested holds the evacuations in the listing.
	Requested []Record
	// Unreadable names the data centres whose records can't be read. They count neither as
	// evacuated nor as taken back.
	Unreadable []string
}

// Table holds the evacuations that a process knows. It is safe for concurrent use; mu is a
// leaf, and the functions set by OnChange are called without it.
type Table struct {
	clock clockwork.Clock
	log   *zap.Logger

	mu      sync.Mutex
	records map[string]known
	// asOf is the position up to which this process has read the service, zero before the
	// first listing.
	asOf      kvstore.Position
	changedAt time.Time
	// ended collects the data centres whose evacuations end within an update.
	ended    []string
	onChange []func(ended []string)
}

// known is a record with the time since when its state has been known here.
type known struct {
	Record
	since time.Time
}

// NewTable returns a table that knows of no evacuation.
func NewTable(clock clockwork.Clock, log *zap.Logger) *Table {
	return &Table{clock: clock, log: log, records: map[string]known{}}
}

// OnChange adds a function that is called after each change of evacuations, with the data
// centres that are evacuated no longer. It is called before the table is used.
func (t *Table) OnChange(f func(ended []string)) { t.onChange = append(t.onChange, f) }

// Evacuated reports whether a data centre is evacuated.
func (t *Table) Evacuated(dataCentre string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.records[dataCentre].InForce
}

// InForce returns the evacuated data centres, sorted by name.
func (t *Table) InForce() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []string
	for name, k := range t.records {
		if k.InForce {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

// Records returns what is known, for other entries. news is set for a while after a change.
func (t *Table) Records() (list []Record, news bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range t.records {
		list = append(list, k.Record)
	}
	slices.SortFunc(list, func(a, b Record) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return list, len(list) > 0 && t.clock.Since(t.changedAt) < newsTime
}

// Replace applies a listing of the service's records. A data centre without a record is
// evacuated no longer if the listing is later, in the same era, than what was known. In a
// later era the absence proves nothing: the service may have come back from a copy that is
// older than the operator's request. A listing that is older than what has been read before
// is ignored: another process may have passed it on.
func (t *Table) Replace(s State) {
	t.update(func() (changed bool) {
		if t.asOf.After(s.At) {
			return false
		}
		listed := map[string]bool{}
		for _, name := range s.Unreadable {
			listed[name] = true
		}
		for _, r := range s.Requested {
			listed[r.DataCentre] = true
			changed = t.learn(r, SourceStore, "") || changed
		}
		for name, k := range t.records {
			switch {
			case listed[name] || !k.InForce || !s.At.After(k.Position):
			case s.At.Era != k.Position.Era:
				t.log.Warn("evacuation isn't in the store's new era; it stays in force until it is written there and taken back",
					zap.String("data_centre", name), zap.Int64("revision", k.Position.Revision), zap.Int64("revision_era", k.Position.Era), zap.Int64("era", s.At.Era), zap.Duration("age", t.clock.Since(k.since)))
			default:
				changed = t.learn(Record{DataCentre: name, Position: s.At}, SourceStore, ProofListing) || changed
			}
		}
		t.advance(s.At)
		return changed
	})
}

// Apply applies changes of the service's records up to a position, in order.
func (t *Table) Apply(changes []Record, upTo kvstore.Position) {
	t.update(func() (changed bool) {
		for _, r := range changes {
			if !t.superseded(r) {
				changed = t.learn(r, SourceStore, ProofDeletion) || changed
			}
		}
		t.advance(upTo)
		return changed
	})
}

// Merge applies what another entry knows.
func (t *Table) Merge(records []Record, from string) {
	t.update(func() (changed bool) {
		for _, r := range records {
			switch {
			case !t.superseded(r):
				changed = t.learn(r, from, ProofEntry) || changed
			case !t.records[r.DataCentre].InForce:
				t.contradict(r.DataCentre)
			}
		}
		return changed
	})
}

// superseded reports whether a request to evacuate is covered by what this process has read
// from the service itself. An end isn't: a request of an earlier era may still be in force,
// since a listing of a later one doesn't end it. The caller holds mu.
func (t *Table) superseded(r Record) bool {
	return r.InForce && r.Position.Era == t.asOf.Era && !r.Position.After(t.asOf)
}

// contradict records that an evacuation which another entry takes to be in force isn't, as of
// the position up to which this process has read the service, so that the other one learns it.
// The caller holds mu.
func (t *Table) contradict(dataCentre string) {
	t.learn(Record{DataCentre: dataCentre, Position: t.asOf}, SourceStore, ProofListing)
	t.changedAt = t.clock.Now()
}

// update calls f with the lock held, and the functions set by OnChange if it has changed an
// evacuation.
func (t *Table) update(f func() (changed bool)) {
	t.mu.Lock()
	t.ended = nil
	changed := f()
	if changed {
		t.changedAt = t.clock.Now()
	}
	ended := t.ended
	t.mu.Unlock()
	if !changed {
		return
	}
	for _, notify := range t.onChange {
		notify(ended)
	}
}

// advance records that the service has been read up to a position. The caller holds mu.
func (t *Table) advance(to kvstore.Position) {
	if to.After(t.asOf) {
		t.asOf = to
	}
}

// learn applies a record that is later than the known one, and reports whether the evacuation
// has begun or ended. proof is what shows the end. The caller holds mu.
func (t *Table) learn(r Record, source string, proof Proof) bool {
	before, ok := t.records[r.DataCentre]
	if ok && !r.Position.After(before.Position) {
		return false
	}
	if !ok && len(t.records) >= MaxRecords {
		t.log.Error("too many data centres are evacuated or were; this one is ignored", zap.String("data_centre", r.DataCentre), zap.Int("limit", MaxRecords), zap.String("source", source))
		return false
	}
	after := known{Record: r, since: before.since}
	if before.InForce == r.InForce {
		t.records[r.DataCentre] = after
		return false
	}
	after.since = t.clock.Now()
	t.records[r.DataCentre] = after
	fields := []zap.Field{
		zap.String("data_centre", r.DataCentre), zap.String("source", source),
		zap.Int64("revision", r.Position.Revision), zap.Int64("era", r.Position.Era), zap.Time("since", after.since),
	}
	if r.InForce {
		t.log.Info("data centre is evacuated", fields...)
		return true
	}
	t.ended = append(t.ended, r.DataCentre)
	t.log.Info("evacuation has ended", append(fields, zap.String("proof", string(proof)), zap.Int64("requested_at", before.Position.Revision),
		zap.Duration("was_in_force_for", after.since.Sub(before.since)))...)
	return true
}
