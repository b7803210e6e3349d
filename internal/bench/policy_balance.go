package bench

import (
	"context"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/kingcupreel/kingcupreel/internal/balance"
)

const (
	balanceEntries  = 3
	balanceReplicas = 24
	balanceSlots    = 32
	balanceTokens   = 60
	balanceLoad     = 0.7
	balanceWarmup   = 20 * time.Second
	balanceEnd      = 120 * time.Second
	// balancePrefixes are in use at once, each the less often the higher its
	// number; every balanceDrift one in ten gives way to a new one.
	balancePrefixes = 600
	balanceDrift    = 10 * time.Second
	// balanceSkewInterval is how often the ranks' step times are compared.
	balanceSkewInterval = 250 * time.Millisecond
)

var balanceReplica = replicaOptions{
	capacity: balanceSlots, prefill: 400 * time.Millisecond, cached: 80 * time.Millisecond,
	gap: 20 * time.Millisecond, prefixes: 40, slow: 1,
}

// BalanceCase is the conditions of a run.
type BalanceCase struct {
	name string
	// slow is the factor of the first replica's times.
	slow   float64
	ranks  int
	signal signal
}

// balanceCases are the conditions that the pickers are compared under.
var balanceCases = []BalanceCase{
	{"even", 1, 1, signal{interval: policyExchange}},
	{"slow-lag-drift", 4, 1, signal{interval: policyExchange, lag: 2 * time.Second, loss: 0.3}},
	{"slow-silent", 4, 1, signal{interval: policyExchange, silentFrom: 30 * time.Second}},
	{"lock-step", 1, 8, signal{interval: policyExchange, lag: time.Second}},
}

// balancePickers are the policies compared.
var balancePickers = []struct {
	name   string
	picker balance.Picker
}{
	{"random", balance.Random{}},
	{"round-robin", balance.RoundRobin{}},
	{"two-choices", balance.TwoChoices{}},
	{"least-work", balance.LeastWork{}},
}

// BalanceResult is one run of one picker.
type BalanceResult struct {
	Experiment string `json:"experiment"`
	Seed       uint64 `json:"seed"`
	Case       string `json:"case"`
	Picker     string `json:"picker"`
	// First token times, in milliseconds.
	Quantiles
	// CacheHitPercent is the requests whose prefix was cached.
	CacheHitPercent float64 `json:"cache_hit_percent"`
	// MaxOverMean is the most work at one replica over the mean, the mean over
	// time: 1 for no difference.
	MaxOverMean float64 `json:"max_over_mean"`
	// StepSkewPercent is the gap between the fastest and the slowest rank of a
	// group, as a part of the slowest, the mean over groups and time.
	StepSkewPercent float64 `json:"step_skew_percent"`
	CompletedPerS   float64 `json:"completed_per_s"`
}

// balanceRun is the state of one run.
type balanceRun struct {
	fleet    *policyFleet
	picker   balance.Picker
	prefixes []int
	next     int
	weights  []float64

	firsts              []float64
	hits, completed     int
	skew, peak          float64
	skewCount, peakSeen int
}

// RunBalance runs one picker under one case.
func RunBalance(seed uint64, c BalanceCase, name string, picker balance.Picker) BalanceResult {
	l := newLoop(seed)
	opts := slices.Repeat([]replicaOptions{balanceReplica}, balanceReplicas)
	opts[0].slow = c.slow
	b := &balanceRun{fleet: newPolicyFleet(l, balanceEntries, opts, c.ranks, c.signal), picker: picker}
	sum := 0.0
	for i := range balancePrefixes {
		sum += 1 / float64(i+1)
		b.weights = append(b.weights, sum)
		b.prefixes = append(b.prefixes, i)
	}
	b.next = balancePrefixes
	l.every(balanceDrift, b.drift)
	l.every(balanceSkewInterval, b.observe)
	l.arrivals(balanceLoad*balanceCapacity(), b.arrive)
	l.runUntil(balanceEnd)
	return b.result(seed, c.name, name)
}

// balanceCapacity returns the requests a second that full batches serve.
func balanceCapacity() float64 {
	r := &replica{opts: balanceReplica, running: balanceSlots}
	service := balanceReplica.prefill + r.ownStep()*(balanceTokens-1)
	return balanceReplicas * balanceSlots / service.Seconds()
}

// drift replaces one prefix in ten.
func (b *balanceRun) drift() {
	for range balancePrefixes / 10 {
		b.prefixes[b.fleet.loop.rand.IntN(balancePrefixes)] = b.next
		b.next++
	}
}

func (b *balanceRun) drawPrefix() int {
	x := b.fleet.loop.rand.Float64() * b.weights[balancePrefixes-1]
	i, _ := slices.BinarySearch(b.weights, x)
	return b.prefixes[min(i, balancePrefixes-1)]
}

func (b *balanceRun) arrive() {
	l := b.fleet.loop
	prefix := b.drawPrefix()
	at := l.now()
	counted := at >= balanceWarmup
	j := &job{prefix: prefix, tokens: 1 + int(l.rand.ExpFloat64()*(balanceTokens-1))}
	j.first = func(cached bool) {
		if !counted {
			return
		}
		b.firsts = append(b.firsts, milliseconds(l.now()-at))
		if cached {
			b.hits++
		}
	}
	j.ended = func(time.Duration) {
		if counted {
			b.completed++
		}
	}
	e := b.fleet.entries[l.rand.IntN(balanceEntries)]
	e.dispatch(b.picker, fmt.Sprintf("prefix-%d", prefix), j)
}

// observe compares the replicas' work and the ranks' step times.
func (b *balanceRun) observe() {
	if b.fleet.loop.now() < balanceWarmup {
		return
	}
	most, sum := 0, 0
	for i, r := range b.fleet.replicas {
		most = max(most, r.work())
		sum += r.work()
		if len(r.ranks) > 1 && i%len(r.ranks) == 0 {
			b.observeGroup(r.ranks)
		}
	}
	if sum > 0 {
		b.peak += float64(most) * balanceReplicas / float64(sum)
		b.peakSeen++
	}
}

func (b *balanceRun) observeGroup(ranks []*replica) {
	slowest, fastest := time.Duration(0), time.Duration(math.MaxInt64)
	for _, r := range ranks {
		slowest = max(slowest, r.ownStep())
		fastest = min(fastest, r.ownStep())
	}
	b.skew += 100 * float64(slowest-fastest) / float64(slowest)
	b.skewCount++
}

func (b *balanceRun) result(seed uint64, name, picker string) BalanceResult {
	slices.Sort(b.firsts)
	return BalanceResult{
		Experiment: "balance", Seed: seed, Case: name, Picker: picker,
		Quantiles:       Quantiles{P50: percentile(b.firsts, 50), P95: percentile(b.firsts, 95), P99: percentile(b.firsts, 99)},
		CacheHitPercent: percent(b.hits, len(b.firsts)),
		MaxOverMean:     b.peak / float64(max(b.peakSeen, 1)),
		StepSkewPercent: b.skew / float64(max(b.skewCount, 1)),
		CompletedPerS:   float64(b.completed) / (balanceEnd - balanceWarmup).Seconds(),
	}
}

func declareBalance(app *kingpin.Application, e env) (string, command) {
	cmd := app.Command("balance", "First token, cache hits and skew of the pickers under the same load, on a fake clock.")
	seed := cmd.Flag("seed", "Seed of the run.").Default("1").Uint64()
	return cmd.FullCommand(), func(context.Context) error {
		for _, c := range balanceCases {
			for _, p := range balancePickers {
				if err := e.print(RunBalance(*seed, c, p.name, p.picker)); err != nil {
					return err
				}
			}
		}
		return nil
	}
}
