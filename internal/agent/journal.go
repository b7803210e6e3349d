package agent

import (
	"sync"

	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// journalLimit bounds the attempts that the journal holds.
const journalLimit = 1 << 13

// journal remembers the attempts of this incarnation, the newest limit of them.
// Each entry's incarnation numbers its dispatches, and for each the journal
// knows the number up to which it no longer covers them.
//
// Invariants: an attempt enters the journal once, as begun or as fenced, and a
// fenced attempt never begins; an attempt that isn't covered neither begins
// nor is vouched for.
type journal struct {
	limit int

	mu      sync.Mutex
	states  map[wire.AttemptID]wire.AttemptState
	order   []journalKey
	entries map[string]*coverage
}

// journalKey names an attempt and the entry's incarnation that made it.
type journalKey struct {
	entry string
	id    wire.AttemptID
}

// coverage is what the journal knows of one entry's incarnation: every
// dispatch numbered above floor is in the journal or never came.
type coverage struct {
	floor uint64
	// conns and attempts count its connections and its attempts in the journal.
	conns, attempts int
}

func newJournal(limit int) *journal {
	return &journal{limit: limit, states: map[wire.AttemptID]wire.AttemptState{}, entries: map[string]*coverage{}}
}

// connect notes a connection of an entry whose last dispatch has the given
// number. Earlier dispatches of an unknown entry aren't covered.
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

// disconnect notes the end of a connection.
func (j *journal) disconnect(entry string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if c := j.entries[entry]; c != nil {
		c.conns--
		j.removeUnused(entry, c)
	}
}

// removeUnused drops an entry without connections and attempts. A dispatch comes
// only on a connection, and the next one sets the floor anew. The caller holds
// mu.
func (j *journal) removeUnused(entry string, c *coverage) {
	if c.conns == 0 && c.attempts == 0 {
		delete(j.entries, entry)
	}
}

// begin records an attempt as running; false means that it must not run: the
// journal has it already, or no longer covers it.
func (j *journal) begin(entry string, id wire.AttemptID) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if _, seen := j.states[id]; seen || !j.covers(entry, id) {
		return false
	}
	j.insert(entry, id, wire.Running)
	return true
}

// fence answers a Cancel: an attempt that has not been seen is fenced, so that
// a late dispatch is refused.
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

// set changes the state of a known attempt.
func (j *journal) set(id wire.AttemptID, state wire.AttemptState) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if _, seen := j.states[id]; seen {
		j.states[id] = state
	}
}

// covers says whether an unseen attempt certainly never came. The caller holds
// mu.
func (j *journal) covers(entry string, id wire.AttemptID) bool {
	c := j.entries[entry]
	return c != nil && id.DispatchNumber > c.floor
}

// insert adds an attempt of a known entry and drops the oldest over the limit.
// The caller holds mu.
func (j *journal) insert(entry string, id wire.AttemptID, state wire.AttemptState) {
	j.states[id] = state
	j.order = append(j.order, journalKey{entry, id})
	j.entries[entry].attempts++
	if len(j.order) > j.limit {
		j.evict(j.order[0])
		j.order = j.order[1:]
	}
}

// evict removes an attempt and raises its entry's floor over it. The caller
// holds mu.
func (j *journal) evict(k journalKey) {
	delete(j.states, k.id)
	c := j.entries[k.entry]
	c.floor = max(c.floor, k.id.DispatchNumber)
	c.attempts--
	j.removeUnused(k.entry, c)
}
