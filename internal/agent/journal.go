package agent

import (
	"sync"

	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// journalLimit bounds the attempts that the journal covers.
const journalLimit = 1 << 16

// journal remembers every attempt of this incarnation, newest journalLimit of
// them. Invariant: an attempt enters the journal once, either as started or as
// fenced, and a fenced attempt is never started.
type journal struct {
	mu      sync.Mutex
	states  map[wire.AttemptID]wire.AttemptState
	order   []wire.AttemptID
	dropped bool
}

func newJournal() *journal {
	return &journal{states: map[wire.AttemptID]wire.AttemptState{}}
}

// begin records an attempt as running; false means that the journal already
// has it and it must not run.
func (j *journal) begin(id wire.AttemptID) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if _, seen := j.states[id]; seen {
		return false
	}
	j.insert(id, wire.Running)
	return true
}

// fence answers a Cancel: an attempt that has not been seen is fenced, so that
// a late dispatch is refused.
func (j *journal) fence(id wire.AttemptID) wire.AttemptState {
	j.mu.Lock()
	defer j.mu.Unlock()
	if state, seen := j.states[id]; seen {
		return state
	}
	j.insert(id, wire.NeverRun)
	if j.dropped {
		return wire.Forgotten
	}
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

// insert adds an attempt and drops the oldest over the limit. The caller holds
// mu.
func (j *journal) insert(id wire.AttemptID, state wire.AttemptState) {
	j.states[id] = state
	j.order = append(j.order, id)
	if len(j.order) <= journalLimit {
		return
	}
	delete(j.states, j.order[0])
	j.order = j.order[1:]
	j.dropped = true
}
