package claim

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
)

// Limits of a ledger.
const (
	// DefaultMaxCalls is the number of calls that a ledger covers.
	DefaultMaxCalls = 1 << 14
	// DefaultMaxAnswerBytes bounds the answers that a ledger keeps, in bytes.
	DefaultMaxAnswerBytes = 4 << 20
	// MaxAnswerBody bounds one kept answer, in bytes.
	MaxAnswerBody = 256 << 10
)

// State is a ledger's word on a call.
type State string

// The states of a call at an agent.
const (
	// NeverRun means that the call has not run here and is fenced: the asked
	// generation never will.
	NeverRun State = "never-run"
	// Running means that the call was taken and has not ended.
	Running State = "running"
	// Ended means that the call ran; its answer is attached.
	Ended State = "ended"
	// Forgotten means that the ledger does not cover the call.
	Forgotten State = "forgotten"
)

// Ticket is the claim that a dispatch or a question refers to.
type Ticket struct {
	Generation  uint32
	Incarnation string
	// ClaimedMS is the claim's wall-clock time in Unix milliseconds.
	ClaimedMS int64
}

// Status is the state of a call, with its answer once it has ended.
type Status struct {
	State  State
	Answer Answer
}

// entry is what a ledger knows of one call. Invariant: a call that was taken
// is never taken again, and no generation up to fenced is ever taken.
type entry struct {
	fenced     uint32
	generation uint32
	state      State
	answer     Answer
	// arrived is when the call was last taken or fenced.
	arrived time.Time
	waiters []func(Status)
}

// Ledger is an agent's memory of non-idempotent calls: what ran, its answers,
// and the generations that must not run. It covers every call that arrived
// after horizon. It is safe for concurrent use.
type Ledger struct {
	incarnation string
	clock       clockwork.Clock
	calls       int
	bytes       int

	mu      sync.Mutex // leaf lock; waiters are called without it
	entries map[ID]*entry
	order   []ID
	kept    []ID
	used    int
	horizon time.Time
}

// NewLedger returns an empty ledger for one incarnation of an agent, which
// covers that many calls and keeps that many bytes of answers.
func NewLedger(incarnation string, clock clockwork.Clock, calls, bytes int) *Ledger {
	return &Ledger{incarnation: incarnation, clock: clock, calls: calls, bytes: bytes, entries: map[ID]*entry{}}
}

// Begin takes a call that is about to run. An error means that it must not run
// under this ticket.
func (l *Ledger) Begin(id ID, t Ticket) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.Incarnation != l.incarnation {
		return fault.New(fault.Stale, "ask the present incarnation", "the claim names another incarnation of the agent")
	}
	if !l.covers(t) {
		return fault.New(fault.Stale, "check with the service", "the claim is older than what the agent remembers")
	}
	e := l.entries[id]
	switch {
	case e == nil:
		e = l.insert(id)
	case e.state != NeverRun:
		return fault.New(fault.Conflict, "ask for the call's state", "the call was taken before")
	case t.Generation <= e.fenced:
		return fault.New(fault.Stale, "read the claim again", "generation %d of the claim was withdrawn", t.Generation)
	}
	e.state, e.generation, e.arrived = Running, t.Generation, l.clock.Now()
	return nil
}

// Withdraw undoes Begin for a call that did not run and never will under that
// generation.
func (l *Ledger) Withdraw(id ID, generation uint32) {
	l.settle(id, generation, func(e *entry) {
		e.state = NeverRun
		e.fenced = max(e.fenced, e.generation)
	})
}

// End records how a call that was taken ended. NotRun withdraws it.
func (l *Ledger) End(id ID, generation uint32, a Answer) {
	if a.Outcome == outcome.NotRun {
		l.Withdraw(id, generation)
		return
	}
	if len(a.Body) > MaxAnswerBody {
		a.Body, a.BodyDropped = nil, true
	}
	l.settle(id, generation, func(e *entry) {
		e.state, e.answer = Ended, a
		l.keep(id, e)
	})
}

// settle changes a call that runs under that generation and tells those who
// wait for it.
func (l *Ledger) settle(id ID, generation uint32, change func(*entry)) {
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

// Query returns what is known of a call. With fence, a call that has not run is
// fenced up to the ticket's generation. If the call is running and wait is not
// nil, wait is called once it has ended.
func (l *Ledger) Query(id ID, t Ticket, fence bool, wait func(Status)) Status {
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
		e.fenced, e.arrived = max(e.fenced, t.Generation), l.clock.Now()
	}
	if e.state == Running && wait != nil {
		e.waiters = append(e.waiters, wait)
	}
	return e.status()
}

func (e *entry) status() Status { return Status{State: e.state, Answer: e.answer} }

// covers says whether a call claimed at the ticket's time would be in the
// ledger if it had arrived. The caller holds mu.
func (l *Ledger) covers(t Ticket) bool {
	return l.horizon.IsZero() || time.UnixMilli(t.ClaimedMS).After(l.horizon.Add(MaxSkew))
}

// insert adds a call and forgets the oldest over the limit that is not running.
// The caller holds mu.
func (l *Ledger) insert(id ID) *entry {
	e := &entry{state: NeverRun, arrived: l.clock.Now()}
	l.entries[id] = e
	l.order = append(l.order, id)
	for len(l.order) > l.calls {
		oldest := l.order[0]
		l.order = l.order[1:]
		if l.entries[oldest].state == Running {
			l.order = append(l.order, oldest)
			break
		}
		l.forget(oldest)
	}
	return e
}

// forget drops a call and moves the horizon. The caller holds mu.
func (l *Ledger) forget(id ID) {
	e := l.entries[id]
	if e.arrived.After(l.horizon) {
		l.horizon = e.arrived
	}
	l.used -= len(e.answer.Body)
	delete(l.entries, id)
}

// keep accounts for an answer's body and drops the oldest bodies over the
// limit. The caller holds mu.
func (l *Ledger) keep(id ID, e *entry) {
	if len(e.answer.Body) == 0 {
		return
	}
	l.kept = append(l.kept, id)
	l.used += len(e.answer.Body)
	for len(l.kept) > 0 && l.dropBody(l.kept[0]) {
		l.kept = l.kept[1:]
	}
}

// dropBody drops a call's body if the limit asks for it; false means that the
// body stays. The caller holds mu.
func (l *Ledger) dropBody(id ID) bool {
	e := l.entries[id]
	if e == nil || len(e.answer.Body) == 0 {
		return true
	}
	if l.used <= l.bytes {
		return false
	}
	l.used -= len(e.answer.Body)
	e.answer.Body, e.answer.BodyDropped = nil, true
	return true
}
