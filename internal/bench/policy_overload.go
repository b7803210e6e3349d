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
	// overloadSlots is the capacity of a replica, overloadMeanTokens the mean
	// number of tokens of an answer.
	overloadSlots      = 16
	overloadMeanTokens = 40
	overloadWarmup     = 30 * time.Second
	overloadEnd        = 150 * time.Second
	// overloadTimeout is the callers' timeout, counted from the first call.
	overloadTimeout = 10 * time.Second
	// overloadResendDelay is the time from a refusal until the caller sends the
	// request again.
	overloadResendDelay = 50 * time.Millisecond
	// overloadRefusalProbability is the probability that an upstream refuses an
	// attempt.
	overloadRefusalProbability = 0.05
)

var overloadReplica = replicaOptions{
	capacity: overloadSlots, prefill: 200 * time.Millisecond, cached: 200 * time.Millisecond,
	tokenGap: 20 * time.Millisecond, maxPrefixes: 1, slowdown: 1,
}

// overloadAccount is a client account. loadFraction is its fraction of the
// offered load.
type overloadAccount struct {
	name         string
	priority     int
	loadFraction float64

	// offered and inTime count the requests and those that completed before their
	// deadline; latencies are those of the latter, in milliseconds.
	offered, inTime int
	latencies       []float64
	slowestRefusal  time.Duration
}

func overloadAccounts() []*overloadAccount {
	list := []*overloadAccount{
		{name: "high", priority: 9, loadFraction: 0.1},
		{name: "middle", priority: 5, loadFraction: 0.1},
		{name: "large", priority: 1, loadFraction: 0.6},
	}
	for i := range 5 {
		list = append(list, &overloadAccount{name: fmt.Sprintf("small-%d", i+1), priority: 1, loadFraction: 0.04})
	}
	return list
}

// OverloadResult is the result of one run at one load.
type OverloadResult struct {
	Experiment string  `json:"experiment"`
	Seed       uint64  `json:"seed"`
	Policy     string  `json:"policy"`
	Load       float64 `json:"load"`
	// GoodputPerS is the number of requests per second that completed before
	// their deadline.
	GoodputPerS float64 `json:"goodput_per_s"`
	// HighInTimePercent and HighP99MS are the percentage of requests in time and
	// their 99th percentile of latency, for the account of the highest priority.
	HighInTimePercent float64 `json:"high_in_time_percent"`
	HighP99MS         float64 `json:"high_p99_ms"`
	// AttemptsPercent is the number of attempts in percent of the calls that
	// started.
	AttemptsPercent float64 `json:"attempts_percent"`
	// CallsPerRequest is the number of calls, resends included, per request.
	CallsPerRequest float64 `json:"calls_per_request"`
	// SmallSharePercent is what the least served small account got, in percent of
	// an equal share with the large account; 100 if it got all that it asked for.
	SmallSharePercent float64 `json:"small_share_percent"`
	// SlowestRefusalMS is the longest time from a call to its refusal.
	SlowestRefusalMS float64 `json:"slowest_refusal_ms"`
	// WastedPercent is the percentage of attempts that were cancelled at the
	// deadline.
	WastedPercent float64 `json:"wasted_percent"`
}

// overloadRun is the state of one run.
type overloadRun struct {
	fleet        *policyFleet
	useAdmission bool
	accounts     []*overloadAccount
	budgets      []*outcome.RetryBudget

	calls, started, attempts, wasted int
}

// RunOverload runs one load, either with admission or with every request
// dispatched at once. load is relative to overloadCapacity.
func RunOverload(seed uint64, load float64, useAdmission bool) OverloadResult {
	l := newLoop(seed)
	opts := slices.Repeat([]replicaOptions{overloadReplica}, overloadReplicas)
	o := &overloadRun{
		fleet:        newPolicyFleet(l, overloadEntries, opts, 1, loadReporting{interval: policyDigestInterval, delay: time.Second}),
		useAdmission: useAdmission,
		accounts:     overloadAccounts(),
	}
	for range overloadEntries {
		o.budgets = append(o.budgets, outcome.NewRetryBudget(outcome.DefaultRetriesPerSuccess, outcome.DefaultInitialRetries, outcome.DefaultMaxSavedRetries))
	}
	for _, a := range o.accounts {
		l.scheduleArrivals(load*a.loadFraction*overloadCapacity(), func() { o.startRequest(a) })
	}
	l.runUntil(overloadEnd)
	return o.result(seed, load)
}

// overloadCapacity returns the requests per second that all replicas serve with
// full batches.
func overloadCapacity() float64 {
	r := &replica{opts: overloadReplica, running: overloadSlots}
	service := overloadReplica.prefill + r.stepTime()*(overloadMeanTokens-1)
	return overloadReplicas * overloadSlots / service.Seconds()
}

// startRequest starts a request of an account. It is counted if it arrives after
// the warm-up and its deadline isn't after the end of the run.
func (o *overloadRun) startRequest(a *overloadAccount) {
	now := o.fleet.eventLoop.now()
	c := &overloadRequest{run: o, account: a, arrivedAt: now, deadline: now + overloadTimeout}
	c.counted = now >= overloadWarmup && c.deadline <= overloadEnd
	if c.counted {
		a.offered++
	}
	o.fleet.eventLoop.after(overloadTimeout, c.expire)
	c.sendCall()
}

// overloadRequest is a request with all its calls and attempts. Times are since
// the start of the run.
type overloadRequest struct {
	run       *overloadRun
	account   *overloadAccount
	arrivedAt time.Duration
	deadline  time.Duration
	// counted is true if the request counts in the result.
	counted bool
	// done is true once the request has completed or its deadline has passed.
	done bool
	// withdraw withdraws the call that waits for admission, or cancels the running
	// attempt; nil if neither was started yet.
	withdraw func()
}

// sendCall sends the request to a random entry.
func (c *overloadRequest) sendCall() {
	if c.done {
		return
	}
	l := c.run.fleet.eventLoop
	entryIndex := l.rand.IntN(overloadEntries)
	e := c.run.fleet.entries[entryIndex]
	if c.counted {
		c.run.calls++
	}
	if !c.run.useAdmission {
		c.start(e, entryIndex, func(bool) {})
		return
	}
	offeredAt := l.now()
	var t *admission.Ticket
	handleDecision := func(d admission.Decision) {
		// The callback may run before Offer has returned the ticket.
		l.after(0, func() { c.handleDecision(d, e, entryIndex, t, l.now()-offeredAt) })
	}
	t = e.controller.Offer(admission.Request{
		Pool: policyPool, Account: c.account.name, Priority: c.account.priority,
		Deadline: l.start.Add(c.deadline), OnDecision: handleDecision,
	})
	c.withdraw = func() { e.controller.Withdraw(t) }
}

// handleDecision starts the request, or sends it again after a refusal.
func (c *overloadRequest) handleDecision(d admission.Decision, e *policyEntry, entryIndex int, t *admission.Ticket, elapsed time.Duration) {
	if d.Start {
		if c.done {
			e.controller.Finish(t, false)
			return
		}
		c.start(e, entryIndex, func(served bool) { e.controller.Finish(t, served) })
		return
	}
	if c.counted {
		c.account.slowestRefusal = max(c.account.slowestRefusal, elapsed)
	}
	c.run.fleet.eventLoop.after(overloadResendDelay, c.sendCall)
}

// start runs the request's attempts at the replicas. release is told whether the
// request was served.
func (c *overloadRequest) start(e *policyEntry, entryIndex int, release func(served bool)) {
	if c.counted {
		c.run.started++
	}
	c.runAttempt(e, entryIndex, release)
}

// runAttempt sends the request to a replica. If the upstream refuses, it retries
// within the entry's retry budget, else the caller sends the request again later.
func (c *overloadRequest) runAttempt(e *policyEntry, entryIndex int, release func(served bool)) {
	o, l := c.run, c.run.fleet.eventLoop
	if c.counted {
		o.attempts++
	}
	if l.rand.Float64() < overloadRefusalProbability {
		if o.budgets[entryIndex].TrySpend() {
			c.runAttempt(e, entryIndex, release)
			return
		}
		release(false)
		l.after(overloadResendDelay, c.sendCall)
		return
	}
	tokens := 1 + int(l.rand.ExpFloat64()*(overloadMeanTokens-1))
	j := &job{priority: c.account.priority, tokens: tokens, onFirstToken: func(bool) {}}
	j.onCompletion = func(time.Duration) {
		o.budgets[entryIndex].RecordSuccess()
		c.recordCompletion()
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

// recordCompletion marks the request as done and counts it as in time: a job that
// isn't complete at the deadline is cancelled by expire.
func (c *overloadRequest) recordCompletion() {
	c.done = true
	if c.counted {
		c.account.inTime++
		c.account.latencies = append(c.account.latencies, milliseconds(c.run.fleet.eventLoop.now()-c.arrivedAt))
	}
}

// expire withdraws a request that isn't done at its deadline.
func (c *overloadRequest) expire() {
	if c.done {
		return
	}
	c.done = true
	if c.withdraw != nil {
		c.withdraw()
	}
}

func (o *overloadRun) result(seed uint64, load float64) OverloadResult {
	r := OverloadResult{Experiment: "overload", Seed: seed, Load: load, Policy: "dispatch-at-once"}
	if o.useAdmission {
		r.Policy = "admission"
	}
	seconds := (overloadEnd - overloadTimeout - overloadWarmup).Seconds()
	var offered, inTime int
	var slowest time.Duration
	for _, a := range o.accounts {
		offered += a.offered
		inTime += a.inTime
		slowest = max(slowest, a.slowestRefusal)
	}
	high := o.accounts[0]
	slices.Sort(high.latencies)
	r.GoodputPerS = float64(inTime) / seconds
	r.HighInTimePercent = percent(high.inTime, high.offered)
	r.HighP99MS = percentile(high.latencies, 99)
	r.AttemptsPercent = percent(o.attempts, o.started)
	r.CallsPerRequest = float64(o.calls) / float64(max(offered, 1))
	r.SmallSharePercent = leastServedPercent(o.accounts[2:])
	r.SlowestRefusalMS = milliseconds(slowest)
	r.WastedPercent = percent(o.wasted, o.attempts)
	return r
}

// percent returns part in percent of whole; a whole of 0 counts as 1.
func percent(part, whole int) float64 { return 100 * float64(part) / float64(max(whole, 1)) }

// leastServedPercent returns what the least served small account got, in percent
// of an equal share of what all given accounts got, or of what it asked for if
// that is less. The first account is the large one and isn't considered.
func leastServedPercent(accounts []*overloadAccount) float64 {
	total := 0
	for _, a := range accounts {
		total += a.inTime
	}
	equalShare := total / len(accounts)
	least := 100.0
	for _, a := range accounts[1:] {
		least = min(least, percent(a.inTime, min(equalShare, a.offered)))
	}
	return least
}

func declareOverload(app *kingpin.Application, e env) (string, command) {
	cmd := app.Command("overload", "Measure goodput and fairness at 0.5 to 4 times the capacity, and by how much limits are exceeded, on a fake clock.")
	seed := cmd.Flag("seed", "Seed of the run.").Default("1").Uint64()
	return cmd.FullCommand(), func(context.Context) error {
		for _, useAdmission := range []bool{false, true} {
			for _, load := range []float64{0.5, 1, 2, 4} {
				if err := e.print(RunOverload(*seed, load, useAdmission)); err != nil {
					return err
				}
			}
		}
		return printLimits(e, *seed)
	}
}
