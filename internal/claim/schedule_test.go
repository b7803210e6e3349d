package claim_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupreel/kingcupreel/internal/claim"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/kvstore"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/standin/kv"
)

const (
	schedules = 3000
	sessions  = 8
	keys      = 2
	agents    = 3
)

// agent is the agent of one upstream in a simulation.
type agent struct {
	incarnation int
	ledger      *claim.Ledger
}

// simulation runs requests one step at a time. The seed determines the order of
// the steps and the faults. At any time only the goroutine that holds the turn
// runs.
type simulation struct {
	rand   *rand.Rand
	clock  *clockwork.FakeClock
	store  *kv.Store
	agents []*agent
	// turns holds a channel for each request that has not ended, on which it
	// waits for its turn. delayed holds effects of earlier steps that have not
	// happened yet.
	turns         map[int]chan bool
	yielded       chan int
	delayed       []func()
	runs          map[claim.ID]int
	runsByRequest map[int]int
	counts        map[string]int
}

func newSimulation(seed uint64) *simulation {
	w := &simulation{
		rand: rand.New(rand.NewPCG(seed, 1)), clock: clockwork.NewFakeClock(), turns: map[int]chan bool{}, yielded: make(chan int),
		runs: map[claim.ID]int{}, runsByRequest: map[int]int{}, counts: map[string]int{},
	}
	w.store = kv.NewStore(w.clock)
	for range agents {
		w.agents = append(w.agents, &agent{})
	}
	for i := range w.agents {
		w.restart(i)
	}
	return w
}

func (w *simulation) restart(i int) {
	a := w.agents[i]
	a.incarnation++
	a.ledger = claim.NewLedger(fmt.Sprint(a.incarnation), w.clock, 1, claim.DefaultMaxAnswerBytes)
}

func (w *simulation) chance(percent int) bool { return w.rand.IntN(100) < percent }

// yieldTurn ends the request's turn and waits for the next one. It returns
// false if the request's process has been killed.
func (w *simulation) yieldTurn(req int) bool {
	turn := w.turns[req]
	w.yielded <- req
	return <-turn
}

// request is one caller's request at one entry. It implements the runner's
// dependencies. The steps of a killed request have no effect.
type request struct {
	*simulation
	kvstore.KV
	n      int
	killed bool
}

func (*request) Eras() *kvstore.Eras { return nil }

func (r *request) awaitTurn() bool {
	r.killed = r.killed || !r.yieldTurn(r.n)
	return !r.killed
}

var (
	errUnavailable = fault.New(fault.Unavailable, "", "unavailable")
	errTimeout     = fault.New(fault.Timeout, "", "timeout")
)

func (r *request) Grant(_ context.Context, ttl time.Duration) (int64, error) {
	return r.store.Grant(ttl), nil
}

func (r *request) Get(_ context.Context, key string) (kvstore.Item, error) {
	if !r.awaitTurn() || r.chance(10) {
		return kvstore.Item{}, errUnavailable
	}
	return r.store.Get(key)
}

func (r *request) Put(_ context.Context, p kvstore.Put) (int64, error) {
	if !r.awaitTurn() || r.chance(10) {
		return 0, errUnavailable
	}
	if r.chance(10) {
		r.delayed = append(r.delayed, func() { _, _ = r.store.Put(p) })
		return 0, errTimeout
	}
	rev, err := r.store.Put(p)
	if r.chance(15) {
		return 0, errUnavailable
	}
	return rev, err
}

func (r *request) Pick(exclude map[string]bool) (claim.Target, bool) {
	for _, i := range r.rand.Perm(agents) {
		if name := fmt.Sprint(i); !exclude[name] {
			return claim.Target{Upstream: name, Incarnation: fmt.Sprint(r.agents[i].incarnation)}, true
		}
	}
	return claim.Target{}, false
}

func (w *simulation) agentOf(rec claim.Record) *agent {
	return w.agents[rec.Upstream[0]-'0']
}

func ticket(rec claim.Record) claim.Ticket {
	return claim.Ticket{Generation: rec.Generation, Incarnation: rec.Incarnation, ClaimedMS: rec.ClaimedMS}
}

// arrive delivers a dispatch to its agent. If the agent accepts the call, it
// takes effect.
func (w *simulation) arrive(req int, rec claim.Record) bool {
	if w.agentOf(rec).ledger.Begin(rec.ID(), ticket(rec)) != nil {
		return false
	}
	w.runs[rec.ID()]++
	w.runsByRequest[req]++
	return true
}

func result(o outcome.Outcome) claim.Result {
	res := claim.Result{Answer: claim.Answer{Outcome: o, Status: 200}}
	if o != outcome.Completed {
		res.Err = errUnavailable
	}
	return res
}

func (r *request) Dispatch(_ context.Context, rec claim.Record) claim.Result {
	if !r.awaitTurn() {
		return result(outcome.Unknown)
	}
	if r.chance(15) {
		r.delayed = append(r.delayed, func() { r.arrive(r.n, rec) })
		return result(outcome.Unknown)
	}
	if !r.arrive(r.n, rec) {
		return result(outcome.NotRun)
	}
	ledger := r.agentOf(rec).ledger
	finish := func() { ledger.End(rec.ID(), rec.Generation, result(outcome.Completed).Answer) }
	if !r.awaitTurn() || r.chance(25) || r.agentOf(rec).ledger != ledger {
		r.delayed = append(r.delayed, finish)
		return result(outcome.Unknown)
	}
	finish()
	return result(outcome.Completed)
}

func (r *request) Query(_ context.Context, rec claim.Record, fence, _ bool) (claim.Status, error) {
	if !r.awaitTurn() || r.chance(10) {
		return claim.Status{}, errUnavailable
	}
	s := r.agentOf(rec).ledger.Query(rec.ID(), ticket(rec), fence, nil)
	if r.chance(10) {
		return claim.Status{}, errUnavailable
	}
	return s, nil
}

func (r *request) IncarnationEnded(claim.Record) bool { return false }

func (r *request) QueryAll(_ context.Context, id claim.ID) (claim.Status, bool) {
	for _, a := range r.agents {
		if s := a.ledger.Query(id, claim.Ticket{}, false, nil); s.State == claim.Running || s.State == claim.Ended {
			return s, true
		}
	}
	return claim.Status{}, false
}

func (r *request) Count(event string) { r.counts[event]++ }

// start runs a request in its own goroutine and returns once the request waits
// for its first turn or has ended.
func (w *simulation) start(n int, done func(claim.Result)) {
	w.turns[n] = make(chan bool)
	r := &request{simulation: w, n: n}
	store := &claim.Store{KV: r, Clock: w.clock}
	runner := claim.Runner{Store: store, Upstreams: r, Events: r, Completed: func(stored claim.StoredRecord, a claim.Answer) {
		_ = store.Complete(context.Background(), stored, a)
	}}
	go func() {
		res := runner.Run(context.Background(), claim.Call{ID: claim.ID{Account: "a", Key: fmt.Sprint(n % keys)}, BodyHash: "h"})
		if !r.killed {
			done(res)
		}
		w.turns[n] = nil
		w.yielded <- n
	}()
	<-w.yielded
}

// step makes one step: a request's turn or a delayed effect, possibly after an
// agent's restart. It returns false if nothing is left to do.
func (w *simulation) step() bool {
	var waiting []int
	for n := range sessions {
		if w.turns[n] != nil {
			waiting = append(waiting, n)
		}
	}
	if len(waiting)+len(w.delayed) == 0 {
		return false
	}
	w.clock.Advance(time.Duration(w.rand.IntN(int(claim.MaxSkew))))
	if w.chance(4) {
		w.restart(w.rand.IntN(agents))
	}
	i := w.rand.IntN(len(waiting) + len(w.delayed))
	if i >= len(waiting) {
		i -= len(waiting)
		effect := w.delayed[i]
		w.delayed = slices.Delete(w.delayed, i, i+1)
		effect()
		return true
	}
	w.turns[waiting[i]] <- !w.chance(3)
	<-w.yielded
	return true
}

// TestSchedules checks that no call runs more than once and that the outcomes
// reported to callers are true. It runs requests that share idempotency keys
// through random orders of steps with lost and late writes, lost and late
// dispatches, frozen and killed entries, and agents that restart or evict
// calls.
func TestSchedules(t *testing.T) {
	total := map[string]int{}
	for seed := range uint64(schedules) {
		w := newSimulation(seed)
		for n := range sessions {
			w.start(n, func(res claim.Result) {
				total[string(res.Answer.Outcome)]++
				if res.Answer.Outcome == outcome.NotRun && w.runsByRequest[n] > 0 {
					t.Errorf("seed %d: request %d was reported not-run but ran", seed, n)
				}
				if id := (claim.ID{Account: "a", Key: fmt.Sprint(n % keys)}); res.Answer.Outcome == outcome.Completed && w.runs[id] != 1 {
					t.Errorf("seed %d: request %d was reported completed; %d runs", seed, n, w.runs[id])
				}
			})
			for w.chance(70) && w.step() {
			}
		}
		for w.step() {
		}
		for id, runs := range w.runs {
			total["runs"] += runs
			if runs > 1 {
				t.Fatalf("seed %d: key %s ran %d times", seed, id.Key, runs)
			}
		}
	}
	t.Logf("seeds 0 to %d, %d requests on %d keys each: %v", schedules-1, sessions, keys, total)
}
