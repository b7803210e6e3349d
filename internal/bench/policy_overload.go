package bench

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/kingcupreel/kingcupreel/internal/admission"
	"github.com/kingcupreel/kingcupreel/internal/balance"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
)

const (
	overloadEntries  = 4
	overloadReplicas = 8
	overloadSlots    = 16
	overloadTokens   = 40
	overloadWarmup   = 30 * time.Second
	overloadEnd      = 150 * time.Second
	// overloadPatience is the callers' deadline, counted from the first try.
	overloadPatience = 10 * time.Second
	// overloadResend is the time between a refusal and the same call again.
	overloadResend = 50 * time.Millisecond
	// overloadFaults is the part of the attempts that an upstream refuses.
	overloadFaults = 0.05
)

var overloadReplica = replicaOptions{
	capacity: overloadSlots, prefill: 200 * time.Millisecond, cached: 200 * time.Millisecond,
	gap: 20 * time.Millisecond, prefixes: 1, slow: 1,
}

// overloadAccount is a client account with its part of the offered load.
type overloadAccount struct {
	name     string
	priority int
	part     float64

	offered, good  int
	latencies      []float64
	longestRefusal time.Duration
}

func overloadAccounts() []*overloadAccount {
	list := []*overloadAccount{
		{name: "high", priority: 9, part: 0.1},
		{name: "middle", priority: 5, part: 0.1},
		{name: "large", priority: 1, part: 0.6},
	}
	for i := range 5 {
		list = append(list, &overloadAccount{name: fmt.Sprintf("small-%d", i+1), priority: 1, part: 0.04})
	}
	return list
}

// OverloadResult is one run at one load.
type OverloadResult struct {
	Experiment string  `json:"experiment"`
	Seed       uint64  `json:"seed"`
	Policy     string  `json:"policy"`
	Load       float64 `json:"load"`
	// GoodputPerS is the answers within the deadline, a second.
	GoodputPerS float64 `json:"goodput_per_s"`
	// HighInTimePercent and HighP99MS are of the highest priority.
	HighInTimePercent float64 `json:"high_in_time_percent"`
	HighP99MS         float64 `json:"high_p99_ms"`
	// AttemptsPercent is the attempts over the requests started.
	AttemptsPercent float64 `json:"attempts_percent"`
	// CallsPerRequest counts the callers' resends.
	CallsPerRequest float64 `json:"calls_per_request"`
	// SmallSharePercent is the least served small account's part of an equal
	// share with the large one; 100 when it got all that it asked for.
	SmallSharePercent float64 `json:"small_share_percent"`
	// SlowestRefusalMS is the longest time until a request was refused.
	SlowestRefusalMS float64 `json:"slowest_refusal_ms"`
	// WastedPercent is the attempts that ran in part only.
	WastedPercent float64 `json:"wasted_percent"`
}

// overloadRun is the state of one run.
type overloadRun struct {
	fleet    *policyFleet
	admitted bool
	accounts []*overloadAccount
	budgets  []*outcome.RetryBudget

	calls, started, attempts, wasted int
}

// RunOverload runs one load, with admission or with dispatch at once.
func RunOverload(seed uint64, load float64, admitted bool) OverloadResult {
	l := newLoop(seed)
	opts := slices.Repeat([]replicaOptions{overloadReplica}, overloadReplicas)
	o := &overloadRun{
		fleet:    newPolicyFleet(l, overloadEntries, opts, 1, signal{interval: policyExchange, lag: time.Second}),
		admitted: admitted,
		accounts: overloadAccounts(),
	}
	for range overloadEntries {
		o.budgets = append(o.budgets, outcome.NewRetryBudget(outcome.DefaultRetriesPerSuccess, outcome.DefaultInitialRetries, outcome.DefaultMaxSavedRetries))
	}
	for _, a := range o.accounts {
		l.arrivals(load*a.part*overloadCapacity(), func() { o.offer(a) })
	}
	l.runUntil(overloadEnd)
	return o.result(seed, load)
}

// overloadCapacity returns the requests a second that full batches serve.
func overloadCapacity() float64 {
	r := &replica{opts: overloadReplica, running: overloadSlots}
	service := overloadReplica.prefill + r.ownStep()*(overloadTokens-1)
	return overloadReplicas * overloadSlots / service.Seconds()
}

// offer is a new request; it counts if it comes after the warm-up and its
// deadline is before the end.
func (o *overloadRun) offer(a *overloadAccount) {
	now := o.fleet.loop.now()
	c := &overloadCall{run: o, account: a, first: now, deadline: now + overloadPatience}
	c.counted = now >= overloadWarmup && c.deadline <= overloadEnd
	if c.counted {
		a.offered++
	}
	o.fleet.loop.after(overloadPatience, c.expire)
	c.send()
}

// overloadCall is a request with all its tries.
type overloadCall struct {
	run      *overloadRun
	account  *overloadAccount
	first    time.Duration
	deadline time.Duration
	counted  bool
	over     bool
	withdraw func()
}

// send makes a call through a random entry.
func (c *overloadCall) send() {
	if c.over {
		return
	}
	l := c.run.fleet.loop
	i := l.rand.IntN(overloadEntries)
	e := c.run.fleet.entries[i]
	if c.counted {
		c.run.calls++
	}
	if !c.run.admitted {
		c.start(e, i, func(bool) {})
		return
	}
	at := l.now()
	var t *admission.Ticket
	decided := func(d admission.Decision) {
		// The callback may come before Offer has returned the ticket.
		l.after(0, func() { c.decided(d, e, i, t, l.now()-at) })
	}
	t = e.controller.Offer(admission.Request{
		Pool: policyPool, Account: c.account.name, Priority: c.account.priority,
		Deadline: l.start.Add(c.deadline), OnDecision: decided,
	})
	c.withdraw = func() { e.controller.Withdraw(t) }
}

func (c *overloadCall) decided(d admission.Decision, e *policyEntry, i int, t *admission.Ticket, took time.Duration) {
	if d.Start {
		if c.over {
			e.controller.Finish(t, false)
			return
		}
		c.start(e, i, func(served bool) { e.controller.Finish(t, served) })
		return
	}
	if c.counted {
		c.account.longestRefusal = max(c.account.longestRefusal, took)
	}
	c.run.fleet.loop.after(overloadResend, c.send)
}

// start runs attempts at the replicas.
func (c *overloadCall) start(e *policyEntry, i int, release func(served bool)) {
	if c.counted {
		c.run.started++
	}
	c.attempt(e, i, release)
}

func (c *overloadCall) attempt(e *policyEntry, i int, release func(served bool)) {
	o, l := c.run, c.run.fleet.loop
	if c.counted {
		o.attempts++
	}
	if l.rand.Float64() < overloadFaults {
		if o.budgets[i].TrySpend() {
			c.attempt(e, i, release)
			return
		}
		release(false)
		l.after(overloadResend, c.send)
		return
	}
	tokens := 1 + int(l.rand.ExpFloat64()*(overloadTokens-1))
	j := &job{priority: c.account.priority, tokens: tokens, first: func(bool) {}}
	j.ended = func(time.Duration) {
		o.budgets[i].RecordSuccess()
		c.end()
		release(true)
	}
	cancel := e.dispatch(balance.LeastWork{}, "", j)
	c.withdraw = func() {
		cancel()
		release(false)
		if c.counted {
			o.wasted++
		}
	}
}

// end is the answer in time.
func (c *overloadCall) end() {
	c.over = true
	if c.counted {
		c.account.good++
		c.account.latencies = append(c.account.latencies, milliseconds(c.run.fleet.loop.now()-c.first))
	}
}

// expire is the callers' deadline.
func (c *overloadCall) expire() {
	if c.over {
		return
	}
	c.over = true
	if c.withdraw != nil {
		c.withdraw()
	}
}

func (o *overloadRun) result(seed uint64, load float64) OverloadResult {
	r := OverloadResult{Experiment: "overload", Seed: seed, Load: load, Policy: "dispatch-at-once"}
	if o.admitted {
		r.Policy = "admission"
	}
	seconds := (overloadEnd - overloadPatience - overloadWarmup).Seconds()
	var offered, good int
	var longest time.Duration
	for _, a := range o.accounts {
		offered += a.offered
		good += a.good
		longest = max(longest, a.longestRefusal)
	}
	high := o.accounts[0]
	slices.Sort(high.latencies)
	r.GoodputPerS = float64(good) / seconds
	r.HighInTimePercent = percent(high.good, high.offered)
	r.HighP99MS = percentile(high.latencies, 99)
	r.AttemptsPercent = percent(o.attempts, o.started)
	r.CallsPerRequest = float64(o.calls) / float64(max(offered, 1))
	r.SmallSharePercent = smallShare(o.accounts[2:])
	r.SlowestRefusalMS = milliseconds(longest)
	r.WastedPercent = percent(o.wasted, o.attempts)
	return r
}

func percent(part, whole int) float64 { return 100 * float64(part) / float64(max(whole, 1)) }

// smallShare compares the least served small account with an equal share of
// what the accounts of that priority got, or with all that it asked for.
func smallShare(accounts []*overloadAccount) float64 {
	total := 0
	for _, a := range accounts {
		total += a.good
	}
	equal := total / len(accounts)
	least := 100.0
	for _, a := range accounts[1:] {
		least = min(least, percent(a.good, min(equal, a.offered)))
	}
	return least
}

func declareOverload(app *kingpin.Application, e env) (string, command) {
	cmd := app.Command("overload", "Goodput and fairness at 0.5 to 4 times the capacity, and over-admission of limits, on a fake clock.")
	seed := cmd.Flag("seed", "Seed of the run.").Default("1").Uint64()
	return cmd.FullCommand(), func(context.Context) error {
		for _, admitted := range []bool{false, true} {
			for _, load := range []float64{0.5, 1, 2, 4} {
				if err := e.print(RunOverload(*seed, load, admitted)); err != nil {
					return err
				}
			}
		}
		return printLimits(e, *seed)
	}
}
