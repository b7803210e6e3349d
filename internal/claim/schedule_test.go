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

// agent is one upstream's agent in a schedule.
type agent struct {
	incarnation int
	ledger      *claim.Ledger
}

// world runs requests one step at a time, in an order and with faults that its
// seed gives. Only the goroutine that was given a turn runs.
type world struct {
	rand   *rand.Rand
	clock  *clockwork.FakeClock
	store  *kv.Store
	agents []*agent
	// turns holds the waiting requests; late are effects of earlier steps that
	// have not come yet.
	turns  map[int]chan bool
	yield  chan int
	late   []func()
	runs   map[claim.ID]int
	byReq  map[int]int
	counts map[string]int
}

func newWorld(seed uint64) *world {
	w := &world{
		rand: rand.New(rand.NewPCG(seed, 1)), clock: clockwork.NewFakeClock(), turns: map[int]chan bool{}, yield: make(chan int),
		runs: map[claim.ID]int{}, byReq: map[int]int{}, counts: map[string]int{},
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

func (w *world) restart(i int) {
	a := w.agents[i]
	a.incarnation++
	a.ledger = claim.NewLedger(fmt.Sprint(a.incarnation), w.clock, 1, claim.DefaultMaxAnswerBytes)
}

func (w *world) chance(percent int) bool { return w.rand.IntN(100) < percent }

// step gives the turn away until the request is chosen again; false means that
// its process has died.
func (w *world) step(req int) bool {
	turn := w.turns[req]
	w.yield <- req
	return <-turn
}

// request is one caller's request at one entry; it implements the runner's
// dependencies. A dead request's steps have no effect.
type request struct {
	*world
	kvstore.KV
	n    int
	dead bool
}

func (r *request) turn() bool {
	r.dead = r.dead || !r.step(r.n)
	return !r.dead
}

var (
	errOut  = fault.New(fault.Unavailable, "", "out")
	errSlow = fault.New(fault.Timeout, "", "slow")
)

func (r *request) Grant(_ context.Context, ttl time.Duration) (int64, error) {
	return r.store.Grant(ttl), nil
}

func (r *request) Get(_ context.Context, key string) (kvstore.Item, error) {
	if !r.turn() || r.chance(10) {
		return kvstore.Item{}, errOut
	}
	return r.store.Get(key)
}

func (r *request) Put(_ context.Context, p kvstore.Put) (int64, error) {
	if !r.turn() || r.chance(10) {
		return 0, errOut
	}
	if r.chance(10) {
		r.late = append(r.late, func() { _, _ = r.store.Put(p) })
		return 0, errSlow
	}
	rev, err := r.store.Put(p)
	if r.chance(15) {
		return 0, errOut
	}
	return rev, err
}

func (r *request) Pick(tried map[string]bool) (claim.Target, bool) {
	for _, i := range r.rand.Perm(agents) {
		if name := fmt.Sprint(i); !tried[name] {
			return claim.Target{Upstream: name, Incarnation: fmt.Sprint(r.agents[i].incarnation)}, true
		}
	}
	return claim.Target{}, false
}

func (w *world) at(rec claim.Record) *agent {
	return w.agents[rec.Upstream[0]-'0']
}

func ticket(rec claim.Record) claim.Ticket {
	return claim.Ticket{Generation: rec.Generation, Incarnation: rec.Incarnation, ClaimedMS: rec.ClaimedMS}
}

// begin is the arrival of a dispatch at its agent; the call takes effect.
func (w *world) begin(req int, rec claim.Record) bool {
	if w.at(rec).ledger.Begin(rec.ID(), ticket(rec)) != nil {
		return false
	}
	w.runs[rec.ID()]++
	w.byReq[req]++
	return true
}

func result(o outcome.Outcome) claim.Result {
	res := claim.Result{Answer: claim.Answer{Outcome: o, Status: 200}}
	if o != outcome.Completed {
		res.Err = errOut
	}
	return res
}

func (r *request) Dispatch(_ context.Context, rec claim.Record) claim.Result {
	if !r.turn() {
		return result(outcome.Unknown)
	}
	if r.chance(15) {
		r.late = append(r.late, func() { r.begin(r.n, rec) })
		return result(outcome.Unknown)
	}
	if !r.begin(r.n, rec) {
		return result(outcome.NotRun)
	}
	ledger := r.at(rec).ledger
	end := func() { ledger.End(rec.ID(), rec.Generation, result(outcome.Completed).Answer) }
	if !r.turn() || r.chance(25) || r.at(rec).ledger != ledger {
		r.late = append(r.late, end)
		return result(outcome.Unknown)
	}
	end()
	return result(outcome.Completed)
}

func (r *request) Query(_ context.Context, rec claim.Record, fence, _ bool) (claim.Status, error) {
	if !r.turn() || r.chance(10) {
		return claim.Status{}, errOut
	}
	s := r.at(rec).ledger.Query(rec.ID(), ticket(rec), fence, nil)
	if r.chance(10) {
		return claim.Status{}, errOut
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

// start runs a request in a goroutine of its own and returns once it waits for
// its first turn or has ended.
func (w *world) start(n int, done func(claim.Result)) {
	w.turns[n] = make(chan bool)
	r := &request{world: w, n: n}
	store := &claim.Store{KV: r, Clock: w.clock}
	runner := claim.Runner{Store: store, Upstreams: r, Events: r, Completed: func(h claim.StoredRecord, a claim.Answer) {
		_ = store.Complete(context.Background(), h, a)
	}}
	go func() {
		res := runner.Run(context.Background(), claim.Call{ID: claim.ID{Account: "a", Key: fmt.Sprint(n % keys)}, BodyHash: "h"})
		if !r.dead {
			done(res)
		}
		w.turns[n] = nil
		w.yield <- n
	}()
	<-w.yield
}

// advance makes one step: a request's turn, a late effect or a fault.
func (w *world) advance() bool {
	var waiting []int
	for n := range sessions {
		if w.turns[n] != nil {
			waiting = append(waiting, n)
		}
	}
	if len(waiting)+len(w.late) == 0 {
		return false
	}
	w.clock.Advance(time.Duration(w.rand.IntN(int(claim.MaxSkew))))
	if w.chance(4) {
		w.restart(w.rand.IntN(agents))
	}
	i := w.rand.IntN(len(waiting) + len(w.late))
	if i >= len(waiting) {
		i -= len(waiting)
		effect := w.late[i]
		w.late = slices.Delete(w.late, i, i+1)
		effect()
		return true
	}
	w.turns[waiting[i]] <- !w.chance(3)
	<-w.yield
	return true
}

// TestSchedules runs requests that share idempotency keys through random
// orders of steps with lost and late writes, lost and late dispatches, frozen
// and killed entries, and agents that restart or forget.
func TestSchedules(t *testing.T) {
	total := map[string]int{}
	for seed := range uint64(schedules) {
		w := newWorld(seed)
		for n := range sessions {
			w.start(n, func(res claim.Result) {
				total[string(res.Answer.Outcome)]++
				if res.Answer.Outcome == outcome.NotRun && w.byReq[n] > 0 {
					t.Errorf("seed %d: request %d was told not-run and ran", seed, n)
				}
				if id := (claim.ID{Account: "a", Key: fmt.Sprint(n % keys)}); res.Answer.Outcome == outcome.Completed && w.runs[id] != 1 {
					t.Errorf("seed %d: request %d was told completed; %d runs", seed, n, w.runs[id])
				}
			})
			for w.chance(70) && w.advance() {
			}
		}
		for w.advance() {
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
