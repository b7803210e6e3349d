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
	// balanceSlots is the capacity of a replica, balanceMeanTokens the mean
	// number of tokens of an answer.
	balanceSlots      = 32
	balanceMeanTokens = 60
	// balanceLoadFraction is the offered load as a fraction of balanceCapacity.
	balanceLoadFraction = 0.7
	balanceWarmup       = 20 * time.Second
	balanceEnd          = 120 * time.Second
	// balancePrefixes is the number of prefixes in use at once. The i-th is drawn
	// in proportion to 1/(i+1); at each balanceDriftInterval, balancePrefixes/10
	// randomly drawn ones are replaced by new ones.
	balancePrefixes      = 600
	balanceDriftInterval = 10 * time.Second
	// balanceSkewInterval is the time between two comparisons of the ranks' step
	// times.
	balanceSkewInterval = 250 * time.Millisecond
)

var balanceReplica = replicaOptions{
	capacity: balanceSlots, prefill: 400 * time.Millisecond, cached: 80 * time.Millisecond,
	tokenGap: 20 * time.Millisecond, maxPrefixes: 40, slowdown: 1,
}

// BalanceCase describes the conditions of a run.
type BalanceCase struct {
	name string
	// slowdown multiplies the first replica's times.
	slowdown float64
	// ranks is the number of replicas of a lock-step group; 1 means no groups.
	ranks         int
	loadReporting loadReporting
}

// balanceCases are the conditions under which the pickers are compared.
var balanceCases = []BalanceCase{
	{"even", 1, 1, loadReporting{interval: policyDigestInterval}},
	{"slow-lag-drift", 4, 1, loadReporting{interval: policyDigestInterval, delay: 2 * time.Second, lossProbability: 0.3}},
	{"slow-silent", 4, 1, loadReporting{interval: policyDigestInterval, silentFrom: 30 * time.Second}},
	{"lock-step", 1, 8, loadReporting{interval: policyDigestInterval, delay: time.Second}},
}

// balancePickers are the pickers compared.
var balancePickers = []struct {
	name   string
	picker balance.Picker
}{
	{"random", balance.Random{}},
	{"round-robin", balance.RoundRobin{}},
	{"two-choices", balance.TwoChoices{}},
	{"least-work", balance.LeastWork{}},
}

// BalanceResult is the result of one run of one picker.
type BalanceResult struct {
	Experiment string `json:"experiment"`
	Seed       uint64 `json:"seed"`
	Case       string `json:"case"`
	Picker     string `json:"picker"`
	// Quantiles are those of the time to the first token.
	Quantiles
	// CacheHitPercent is the percentage of requests whose prefix was cached.
	CacheHitPercent float64 `json:"cache_hit_percent"`
	// MaxOverMean is the work of the busiest replica over the mean of all
	// replicas, averaged over time; 1 means that all have the same work.
	MaxOverMean float64 `json:"max_over_mean"`
	// StepSkewPercent is the difference between the step times of the slowest and
	// the fastest rank of a group in percent of the slowest, averaged over groups
	// and time.
	StepSkewPercent float64 `json:"step_skew_percent"`
	CompletedPerS   float64 `json:"completed_per_s"`
}

// balanceRun is the state of one run. Sums and counts start after the warm-up.
type balanceRun struct {
	fleet             *policyFleet
	picker            balance.Picker
	prefixes          []int
	nextPrefix        int
	cumulativeWeights []float64

	firstTokenMS         []float64
	cacheHits, completed int
	skewSum, peakSum     float64
	skewCount, peakCount int
}

// RunBalance runs one picker under one case.
func RunBalance(seed uint64, c BalanceCase, name string, picker balance.Picker) BalanceResult {
	l := newLoop(seed)
	opts := slices.Repeat([]replicaOptions{balanceReplica}, balanceReplicas)
	opts[0].slowdown = c.slowdown
	b := &balanceRun{fleet: newPolicyFleet(l, balanceEntries, opts, c.ranks, c.loadReporting), picker: picker}
	sum := 0.0
	for i := range balancePrefixes {
		sum += 1 / float64(i+1)
		b.cumulativeWeights = append(b.cumulativeWeights, sum)
		b.prefixes = append(b.prefixes, i)
	}
	b.nextPrefix = balancePrefixes
	l.scheduleEvery(balanceDriftInterval, b.replacePrefixes)
	l.scheduleEvery(balanceSkewInterval, b.observe)
	l.scheduleArrivals(balanceLoadFraction*balanceCapacity(), b.submitRequest)
	l.runUntil(balanceEnd)
	return b.result(seed, c.name, name)
}

// balanceCapacity returns the requests per second that all replicas serve with
// full batches.
func balanceCapacity() float64 {
	r := &replica{opts: balanceReplica, running: balanceSlots}
	service := balanceReplica.prefill + r.stepTime()*(balanceMeanTokens-1)
	return balanceReplicas * balanceSlots / service.Seconds()
}

// replacePrefixes replaces balancePrefixes/10 randomly drawn prefixes by new
// ones.
func (b *balanceRun) replacePrefixes() {
	for range balancePrefixes / 10 {
		b.prefixes[b.fleet.eventLoop.rand.IntN(balancePrefixes)] = b.nextPrefix
		b.nextPrefix++
	}
}

func (b *balanceRun) drawPrefix() int {
	draw := b.fleet.eventLoop.rand.Float64() * b.cumulativeWeights[balancePrefixes-1]
	i, _ := slices.BinarySearch(b.cumulativeWeights, draw)
	return b.prefixes[min(i, balancePrefixes-1)]
}

// submitRequest dispatches one request through a random entry.
func (b *balanceRun) submitRequest() {
	l := b.fleet.eventLoop
	prefix := b.drawPrefix()
	arrivedAt := l.now()
	counted := arrivedAt >= balanceWarmup
	j := &job{prefix: prefix, tokens: 1 + int(l.rand.ExpFloat64()*(balanceMeanTokens-1))}
	j.onFirstToken = func(cached bool) {
		if !counted {
			return
		}
		b.firstTokenMS = append(b.firstTokenMS, milliseconds(l.now()-arrivedAt))
		if cached {
			b.cacheHits++
		}
	}
	j.onCompletion = func(time.Duration) {
		if counted {
			b.completed++
		}
	}
	e := b.fleet.entries[l.rand.IntN(balanceEntries)]
	e.dispatch(b.picker, fmt.Sprintf("prefix-%d", prefix), j)
}

// observe samples the imbalance of the replicas' work and the skew of each
// group's step times.
func (b *balanceRun) observe() {
	if b.fleet.eventLoop.now() < balanceWarmup {
		return
	}
	maxWork, sum := 0, 0
	for i, r := range b.fleet.replicas {
		maxWork = max(maxWork, r.work())
		sum += r.work()
		if len(r.ranks) > 1 && i%len(r.ranks) == 0 {
			b.observeGroup(r.ranks)
		}
	}
	if sum > 0 {
		b.peakSum += float64(maxWork) * balanceReplicas / float64(sum)
		b.peakCount++
	}
}

func (b *balanceRun) observeGroup(ranks []*replica) {
	slowest, fastest := time.Duration(0), time.Duration(math.MaxInt64)
	for _, r := range ranks {
		slowest = max(slowest, r.stepTime())
		fastest = min(fastest, r.stepTime())
	}
	b.skewSum += 100 * float64(slowest-fastest) / float64(slowest)
	b.skewCount++
}

func (b *balanceRun) result(seed uint64, name, picker string) BalanceResult {
	slices.Sort(b.firstTokenMS)
	return BalanceResult{
		Experiment: "balance", Seed: seed, Case: name, Picker: picker,
		Quantiles:       Quantiles{P50: percentile(b.firstTokenMS, 50), P95: percentile(b.firstTokenMS, 95), P99: percentile(b.firstTokenMS, 99)},
		CacheHitPercent: percent(b.cacheHits, len(b.firstTokenMS)),
		MaxOverMean:     b.peakSum / float64(max(b.peakCount, 1)),
		StepSkewPercent: b.skewSum / float64(max(b.skewCount, 1)),
		CompletedPerS:   float64(b.completed) / (balanceEnd - balanceWarmup).Seconds(),
	}
}

func declareBalance(app *kingpin.Application, e env) (string, command) {
	cmd := app.Command("balance", "Compare time to first token, cache hits and skew of the pickers under the same load, on a fake clock.")
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
