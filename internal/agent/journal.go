package agent

import (
	"sync"

	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// journalLimit is the number of attempts that the journal holds.
const journalLimit = 1 << 13

// journal records the states of the newest attempts at this incarnation of the
// agent, limit of them at most. Every incarnation of an entry numbers its
// dispatches. For each, the journal keeps a floor: dispatches numbered above it
// are in the journal or have never arrived, while others may have been evicted,
// or may have arrived before the journal knew the entry.
//
// Invariants: an attempt is inserted once, as running or as fenced, and a fenced
// attempt never runs. An attempt that is neither in the journal nor covered
// never runs, and the journal never reports that it has not run.
type journal struct {
	limit int

	mu      sync.Mutex
	states  map[wire.AttemptID]wire.AttemptState
	order   []journalKey
	entries map[string]*coverage
}

// journalKey names an attempt and the incarnation of the entry that dispatched
// it.
type journalKey struct {
	entry string
	id    wire.AttemptID
}

// coverage is the journal's state for one incarnation of an entry: every
// dispatch numbered above floor is in the journal or has never arrived.
type coverage struct {
	floor uint64
	// conns is the number of the entry's connections, attempts that of its attempts
	// in the journal.
	conns, attempts int
}

func newJournal(limit int) *journal {
	return &journal{limit: limit, states: map[wire.AttemptID]wire.AttemptState{}, entries: map[string]*coverage{}}
}

// connect records a connection of an entry whose last dispatch has the given
// number. If the entry is new to the journal, dispatches up to that number are
// not covered.
func (j *journal) connect(entry string, number uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	c := j.entries[entry]
	if c == nil {
		c = &coverage{floor: number}
		j.entries[entry] = c
	}
	c.conns++
}

// disconnect records the end of a connection.
func (j *journal) disconnect(entry string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if c := j.entries[entry]; c != nil {
		c.conns--
		j.removeUnused(entry, c)
	}
}

// removeUnused removes an entry's coverage once it has neither connections nor
// attempts. This is safe because dispatches arrive only on connections, and the
// entry's next connection sets a new floor. The caller holds mu.
func (j *journal) removeUnused(entry string, c *coverage) {
	if c.conns == 0 && c.attempts == 0 {
		delete(j.entries, entry)
	}
}

// begin records an attempt as running. It returns false if the attempt must not
// run, because it is already in the journal or no longer covered.
func (j *journal) begin(entry string, id wire.AttemptID) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if _, seen := j.states[id]; seen || !j.covers(entry, id) {
		return false
	}
	j.insert(entry, id, wire.Running)
	return true
}

// fence returns the state of an attempt, for a Cancel or an Attach. An attempt
// that has not arrived is recorded as never run, so that a late dispatch of it is
// refused.
func (j *journal) fence(entry string, id wire.AttemptID) wire.AttemptState {
	j.mu.Lock()
	defer j.mu.Unlock()
	if state, seen := j.states[id]; seen {
		return state
	}
	if !j.covers(entry, id) {
		return wire.Forgotten
	}
	j.insert(entry, id, wire.NeverRun)
	return wire.NeverSeen
}

// set changes the state of an attempt that is in the journal.
func (j *journal) set(id wire.AttemptID, state wire.AttemptState) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if _, seen := j.states[id]; seen {
		j.states[id] = state
	}
}

// covers reports whether an attempt that is not in the journal is known never to
// have arrived. The caller holds mu.
func (j *journal) covers(entry string, id wire.AttemptID) bool {
	c := j.entries[entry]
	return c != nil && id.DispatchNumber > c.floor
}

// insert adds an attempt of an entry that has a coverage, and evicts the oldest
// attempt if the limit is exceeded. The caller holds mu.
func (j *journal) insert(entry string, id wire.AttemptID, state wire.AttemptState) {
	j.states[id] = state
	j.order = append(j.order, journalKey{entry, id})
	j.entries[entry].attempts++
	if len(j.order) > j.limit {
		j.evict(j.order[0])
		j.order = j.order[1:]
	}
}

// evict removes an attempt and raises its entry's floor to the attempt's number.
// The caller holds mu.
func (j *journal) evict(k journalKey) {
	delete(j.states, k.id)
	c := j.entries[k.entry]
	c.floor = max(c.floor, k.id.DispatchNumber)
	c.attempts--
	j.removeUnused(k.entry, c)
}
