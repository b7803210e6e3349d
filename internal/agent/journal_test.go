package agent

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/kingcupreel/kingcupreel/internal/wire"
)

func attemptNumber(n uint64) wire.AttemptID {
	return wire.AttemptID{Request: fmt.Sprint("r", n), Attempt: 1, DispatchNumber: n}
}

// TestJournalReportsNotRunOnlyForCoveredAttempts runs random sequences of
// dispatches, cancels and reconnects, including late and repeated ones, through a
// small journal. An attempt that the journal has evicted must neither run again
// nor be reported as not run.
func TestJournalReportsNotRunOnlyForCoveredAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := newJournal(rapid.IntRange(1, 6).Draw(t, "limit"))
		entries := []string{"e1", "e2"}
		for _, e := range entries {
			j.connect(e, 0)
		}
		started, reportedNotRun := map[journalKey]bool{}, map[journalKey]bool{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			k := journalKey{rapid.SampledFrom(entries).Draw(t, "entry"), wire.AttemptID{}}
			k.id = attemptNumber(rapid.Uint64Range(1, 20).Draw(t, "number"))
			k.id.Request += k.entry
			switch rapid.SampledFrom([]string{"dispatch", "cancel", "reconnect"}).Draw(t, "step") {
			case "dispatch":
				if !j.begin(k.entry, k.id) {
					continue
				}
				if started[k] || reportedNotRun[k] {
					t.Fatalf("%v started again, or after the journal reported it as not run", k)
				}
				started[k] = true
			case "cancel":
				switch state := j.fence(k.entry, k.id); state {
				case wire.NeverSeen, wire.NeverRun:
					if started[k] {
						t.Fatalf("%v started and is reported as %s", k, state)
					}
					reportedNotRun[k] = true
				}
			case "reconnect":
				j.disconnect(k.entry)
				j.connect(k.entry, 20)
			}
		}
		if len(j.order) > j.limit || len(j.states) > j.limit {
			t.Fatalf("journal holds %d attempts, limit %d", len(j.order), j.limit)
		}
	})
}

// TestJournalForgetsEntriesWithoutAttempts guards against memory growth: each
// restart of an entry makes a new incarnation, whose coverage must be removed.
func TestJournalForgetsEntriesWithoutAttempts(t *testing.T) {
	j := newJournal(4)
	for n := range 1000 {
		entry := fmt.Sprint("e", n)
		j.connect(entry, 0)
		j.begin(entry, wire.AttemptID{Request: entry, DispatchNumber: 1})
		j.disconnect(entry)
	}
	if len(j.entries) > 4 {
		t.Fatalf("journal keeps %d entries, limit 4", len(j.entries))
	}
}
