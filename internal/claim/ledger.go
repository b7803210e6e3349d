package claim

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
)

const (
	// DefaultMaxCalls is the default number of calls that a ledger remembers.
	DefaultMaxCalls = 1 << 14
	// DefaultMaxAnswerBytes is the default limit of the total size of the
	// answer bodies that a ledger stores, in bytes.
	DefaultMaxAnswerBytes = 4 << 20
	// MaxAnswerBody is the maximum size of one stored answer body, in bytes.
	MaxAnswerBody = 256 << 10
)

// State is the state of a call as an agent's ledger reports it.
type State string

// The states of a call at an agent.
const (
	// NeverRun means that the call has not run at this agent. If the query set
	// a fence, no generation up to the queried one will run.
	NeverRun State = "never-run"
	// Running means that the agent has accepted the call and the call has not
	// ended.
	Running State = "running"
	// Ended means that the call has run; its answer is attached.
	Ended State = "ended"
	// Forgotten means that the ledger can't tell whether the call has run: the
	// claim names another incarnation, or the call may have been evicted.
	Forgotten State = "forgotten"
)

// Ticket carries the fields of a claim that a dispatch or a query refers to.
type Ticket struct {
	Generation  uint32
	Incarnation string
	// ClaimedMS is the claim's wall-clock time, in Unix milliseconds.
	ClaimedMS int64
}

// Status is the state of a call, with its answer once it has ended.
type Status struct {
	State  State
	Answer Answer
}

// callEntry is a ledger's state of one call. Invariant: a call that has been
// accepted and not withdrawn is not accepted again, and no generation up to
// fencedGeneration is accepted.
type callEntry struct {
	fencedGeneration uint32
	generation       uint32
	state            State
	answer           Answer
	// updatedAt is when the call was last accepted or fenced.
	updatedAt time.Time
	waiters   []func(Status)
}

// Ledger is an agent's record of non-idempotent calls: which calls ran, their
// answers, and the generations that must not run. It holds every call that
// arrived after horizon. A Ledger is safe for concurrent use.
type Ledger struct {
	incarnation string
	clock       clockwork.Clock
	maxCalls    int
	maxBytes    int

	mu      sync.Mutex // leaf lock; not held while waiters are called
	entries map[ID]*callEntry
	// order lists the calls in the order of their eviction.
	order []ID
	// withBody lists the calls whose answer body is stored, oldest first. An
	// evicted call is removed once it is the first one.
	withBody []ID
	// bodyBytes is the total size of the stored answer bodies.
	bodyBytes int
	// horizon is the latest update time of any evicted call.
	horizon time.Time
}

// NewLedger returns an empty ledger for one incarnation of an agent. It
// remembers up to maxCalls calls, running ones aside, and stores answer bodies
// of up to maxBytes bytes in total.
func NewLedger(incarnation string, clock clockwork.Clock, maxCalls, maxBytes int) *Ledger {
	return &Ledger{incarnation: incarnation, clock: clock, maxCalls: maxCalls, maxBytes: maxBytes, entries: map[ID]*callEntry{}}
}

// Begin accepts a call that is about to run. If it returns an error, the call
// must not run under this ticket.
func (l *Ledger) Begin(id ID, t Ticket) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.Incarnation != l.incarnation {
		return fault.New(fault.Stale, "query the agent's current incarnation", "the claim names another incarnation of the agent")
	}
	if !l.covers(t) {
		return fault.New(fault.Stale, "check with the service whether the call took effect", "the claim is older than the agent's records")
	}
	e := l.entries[id]
	switch {
	case e == nil:
		e = l.insert(id)
	case e.state != NeverRun:
		return fault.New(fault.Conflict, "query the call's state", "the agent has already accepted this call")
	case t.Generation <= e.fencedGeneration:
		return fault.New(fault.Stale, "read the claim again", "generation %d of the claim is fenced", t.Generation)
	}
	e.state, e.generation, e.updatedAt = Running, t.Generation, l.clock.Now()
	return nil
}

// Withdraw reverts Begin for a call that did not run, and fences its
// generation.
func (l *Ledger) Withdraw(id ID, generation uint32) {
	l.finish(id, generation, func(e *callEntry) {
		e.state = NeverRun
		e.fencedGeneration = max(e.fencedGeneration, e.generation)
	})
}

// End records the answer of an accepted call. A call with the outcome NotRun is
// withdrawn instead.
func (l *Ledger) End(id ID, generation uint32, a Answer) {
	if a.Outcome == outcome.NotRun {
		l.Withdraw(id, generation)
		return
	}
	if len(a.Body) > MaxAnswerBody {
		a.Body, a.BodyDropped = nil, true
	}
	l.finish(id, generation, func(e *callEntry) {
		e.state, e.answer = Ended, a
		l.accountBody(id, e)
	})
}

// finish applies change to a call that is running under the given generation
// and notifies its waiters. It does nothing for any other call.
func (l *Ledger) finish(id ID, generation uint32, change func(*callEntry)) {
	l.mu.Lock()
	e := l.entries[id]
	if e == nil || e.state != Running || e.generation != generation {
		l.mu.Unlock()
		return
	}
	change(e)
	waiters, status := e.waiters, e.status()
	e.waiters = nil
	l.mu.Unlock()
	for _, f := range waiters {
		f(status)
	}
}

// Query returns the state of a call. If fence is set, a call that has not run
// is fenced up to the ticket's generation. If the call is running and onEnd is
// not nil, onEnd is called when the call ends.
func (l *Ledger) Query(id ID, t Ticket, fence bool, onEnd func(Status)) Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[id]
	if e == nil && (t.Incarnation != l.incarnation || !l.covers(t)) {
		return Status{State: Forgotten}
	}
	if e == nil && !fence {
		return Status{State: NeverRun}
	}
	if e == nil {
		e = l.insert(id)
	}
	if fence {
		e.fencedGeneration, e.updatedAt = max(e.fencedGeneration, t.Generation), l.clock.Now()
	}
	if e.state == Running && onEnd != nil {
		e.waiters = append(e.waiters, onEnd)
	}
	return e.status()
}

func (e *callEntry) status() Status { return Status{State: e.state, Answer: e.answer} }

// covers reports whether a call claimed at the ticket's time would be in the
// ledger if it had arrived. The caller must hold mu.
func (l *Ledger) covers(t Ticket) bool {
	return l.horizon.IsZero() || time.UnixMilli(t.ClaimedMS).After(l.horizon.Add(MaxSkew))
}

// insert adds a call and evicts the oldest calls over the limit. If the oldest
// call is running, it moves to the end of the order and the eviction stops. The
// caller must hold mu.
func (l *Ledger) insert(id ID) *callEntry {
	e := &callEntry{state: NeverRun, updatedAt: l.clock.Now()}
	l.entries[id] = e
	l.order = append(l.order, id)
	for len(l.order) > l.maxCalls {
		oldest := l.order[0]
		l.order = l.order[1:]
		if l.entries[oldest].state == Running {
			l.order = append(l.order, oldest)
			break
		}
		l.evict(oldest)
	}
	return e
}

// evict deletes a call and advances the horizon to its last update. The caller
// must hold mu.
func (l *Ledger) evict(id ID) {
	e := l.entries[id]
	if e.updatedAt.After(l.horizon) {
		l.horizon = e.updatedAt
	}
	l.bodyBytes -= len(e.answer.Body)
	delete(l.entries, id)
}

// accountBody adds an answer's body to the total and drops the oldest bodies
// over the limit. The caller must hold mu.
func (l *Ledger) accountBody(id ID, e *callEntry) {
	if len(e.answer.Body) == 0 {
		return
	}
	l.withBody = append(l.withBody, id)
	l.bodyBytes += len(e.answer.Body)
	for len(l.withBody) > 0 && l.dropBody(l.withBody[0]) {
		l.withBody = l.withBody[1:]
	}
}

// dropBody drops a call's body if the total is over the limit. It returns false
// if the body has to stay. The caller must hold mu.
func (l *Ledger) dropBody(id ID) bool {
	e := l.entries[id]
	if e == nil || len(e.answer.Body) == 0 {
		return true
	}
	if l.bodyBytes <= l.maxBytes {
		return false
	}
	l.bodyBytes -= len(e.answer.Body)
	e.answer.Body, e.answer.BodyDropped = nil, true
	return true
}
