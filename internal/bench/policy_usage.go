package bench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupreel/kingcupreel/internal/admission"
	"github.com/kingcupreel/kingcupreel/internal/kvstore"
	"github.com/kingcupreel/kingcupreel/internal/membership"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

const (
	// usageStepTime is the simulated time of one step.
	usageStepTime             = 100 * time.Millisecond
	usageEntriesPerDataCentre = 30
	// usageDigestSteps is the number of steps between two digests of an entry.
	usageDigestSteps = 5
	// usageMeanDuration is the mean time that a request is in flight.
	usageMeanDuration = 2 * time.Second
	// usageAccounts and usageRequestRate describe the background load: the number
	// of client accounts, and the requests per second at each entry.
	usageAccounts    = 1600
	usageRequestRate = 9
	// backgroundLimit is the limit of each background account in requests in
	// flight; limitedAccount names the account whose limit is tested.
	backgroundLimit = 200
	limitedAccount  = "limited"
	// usageFloodStart is the step at which the limited account starts to send,
	// usageSteps the number of steps of a run.
	usageFloodStart = 100
	usageSteps      = 700
	// usageSteadyStart is the step from which the steady state is measured.
	usageSteadyStart = 400
)

// LimitResult is the result of one run of an account's limit over all entries.
type LimitResult struct {
	Experiment string `json:"experiment"`
	Seed       uint64 `json:"seed"`
	Entries    int    `json:"entries"`
	// EntriesUsed is the number of entries that the account's callers use.
	EntriesUsed int `json:"entries_used"`
	Limit       int `json:"limit"`
	// Bound is the stated upper bound of the account's requests in flight.
	Bound int `json:"bound"`
	// Peak is the maximum of the account's requests in flight; SteadyMean and
	// SteadyPeak are the mean and the maximum in the steady state.
	Peak       int     `json:"peak"`
	SteadyMean float64 `json:"steady_mean"`
	SteadyPeak int     `json:"steady_peak"`
	// SecondsTo90 is the time until 90% of the limit was used; -1 means never.
	SecondsTo90 float64 `json:"seconds_to_90_percent"`
	// OutBytesPerS is the mean rate of digest bytes that an entry sends,
	// MaxInBytesPerS the rate that the busiest receiver gets.
	OutBytesPerS   float64 `json:"out_bytes_per_s"`
	MaxInBytesPerS float64 `json:"max_in_bytes_per_s"`
}

// usageMesh is a set of entries with the peer connections that membership gives
// them. Slices are indexed by entry.
type usageMesh struct {
	rand   *rand.Rand
	clock  *clockwork.FakeClock
	usages []*admission.Usage
	// controllers enforce the limit; tickets are the limited account's requests
	// in flight.
	controllers       []*admission.Controller
	tickets           [][]*admission.Ticket
	ids               []string
	peers             [][]int
	bytesOut, bytesIn []int
	// activeAccounts counts an entry's background requests in flight by account.
	activeAccounts []map[admission.Key]int
}

// newUsageMesh returns n entries spread over data centres.
func newUsageMesh(n int, seed uint64) *usageMesh {
	m := &usageMesh{
		rand: rand.New(rand.NewPCG(seed, 3)), peers: make([][]int, n), bytesOut: make([]int, n), bytesIn: make([]int, n),
		activeAccounts: make([]map[admission.Key]int, n), tickets: make([][]*admission.Ticket, n), clock: clockwork.NewFakeClock(),
	}
	index := map[string]int{}
	var vms []kvstore.VM
	for i := range n {
		id := fmt.Sprintf("e%d", i)
		index[id] = i
		m.ids = append(m.ids, id)
		m.activeAccounts[i] = map[admission.Key]int{}
		vms = append(vms, kvstore.VM{ID: id, DataCentre: fmt.Sprintf("dc%d", i/usageEntriesPerDataCentre), Role: membership.RoleEntry})
		u := admission.NewUsage()
		u.SetEntries(n, n)
		m.usages = append(m.usages, u)
		rng := rand.New(rand.NewPCG(m.rand.Uint64(), 4))
		m.controllers = append(m.controllers, admission.NewController(m.clock, rng, u, admission.Options{}))
	}
	for i, vm := range vms {
		for _, id := range membership.PeerIDs(vms, vm.ID, vm.DataCentre) {
			j := index[id]
			m.peers[i] = append(m.peers[i], j)
			m.peers[j] = append(m.peers[j], i)
		}
	}
	for i := range m.peers {
		slices.Sort(m.peers[i])
		m.peers[i] = slices.Compact(m.peers[i])
	}
	return m
}

// exchangeDigest sends a digest of entry i to a random peer and applies the
// reply.
func (m *usageMesh) exchangeDigest(i int) {
	if len(m.peers[i]) == 0 {
		return
	}
	remote := make([]bool, len(m.peers[i]))
	for n, j := range m.peers[i] {
		remote[n] = i/usageEntriesPerDataCentre != j/usageEntriesPerDataCentre
	}
	j := m.peers[i][admission.ChoosePeer(m.rand, remote)]
	items := m.usages[i].Digest(m.ids[j])
	if len(items) == 0 {
		return
	}
	m.countBytes(i, j, items)
	reply := m.usages[j].Receive(m.ids[i], items)
	if len(reply) > 0 {
		m.countBytes(j, i, reply)
		m.usages[i].Receive(m.ids[j], reply)
	}
}

// countBytes adds the size of a digest to the traffic of both entries.
func (m *usageMesh) countBytes(from, to int, items []admission.Item) {
	n := digestBytes(items)
	m.bytesOut[from] += n
	m.bytesIn[to] += n
}

// digestBytes returns the size of a digest's frame; 0 if it can't be encoded.
func digestBytes(items []admission.Item) int {
	d := &wire.UsageDigest{}
	for _, i := range items {
		d.Items = append(d.Items, wire.UsageItem{Key: uint32(i.Key), Flow: i.Flow, Mean: i.Mean})
	}
	frame, err := wire.AppendFrame(nil, d)
	if err != nil {
		return 0
	}
	return len(frame)
}

// runBackground starts and finishes requests of the background accounts in one
// step.
func (m *usageMesh) runBackground(keys []admission.Key) {
	startProbability := usageStepTime.Seconds() * usageRequestRate
	for i, u := range m.usages {
		if m.rand.Float64() < startProbability {
			k := keys[m.rand.IntN(len(keys))]
			m.activeAccounts[i][k]++
			u.Add(k, 1)
		}
		m.finishBackground(i)
	}
}

// finishBackground finishes each background request of entry i with the
// probability that gives the mean duration.
func (m *usageMesh) finishBackground(i int) {
	endProbability := usageStepTime.Seconds() / usageMeanDuration.Seconds()
	activeAccounts := make([]admission.Key, 0, len(m.activeAccounts[i]))
	for k := range m.activeAccounts[i] {
		activeAccounts = append(activeAccounts, k)
	}
	slices.Sort(activeAccounts)
	for _, k := range activeAccounts {
		for range m.activeAccounts[i][k] {
			if m.rand.Float64() < endProbability {
				m.activeAccounts[i][k]--
				m.usages[i].Add(k, -1)
			}
		}
		if m.activeAccounts[i][k] == 0 {
			delete(m.activeAccounts[i], k)
		}
	}
}

// tick exchanges a digest of entry i and updates its limits.
func (m *usageMesh) tick(i int) {
	m.exchangeDigest(i)
	m.usages[i].Tick()
	m.controllers[i].Tick()
}

// runLimitedAccount finishes and starts requests of the limited account in one
// step. At each of entriesUsed entries, spread over the data centres,
// callersPerEntry callers try to keep a request in flight. It returns the
// requests in flight afterwards.
func (m *usageMesh) runLimitedAccount(limit, entriesUsed, callersPerEntry int) int {
	endProbability := usageStepTime.Seconds() / usageMeanDuration.Seconds()
	inFlight := 0
	for n := range entriesUsed {
		i := n * len(m.usages) / entriesUsed
		c := m.controllers[i]
		m.tickets[i] = slices.DeleteFunc(m.tickets[i], func(t *admission.Ticket) bool {
			ended := m.rand.Float64() < endProbability
			if ended {
				c.Finish(t, true)
			}
			return ended
		})
		for started := true; started && len(m.tickets[i]) < callersPerEntry; {
			t := c.Offer(admission.Request{
				Pool: policyPool, Account: limitedAccount, MaxInFlight: limit,
				OnDecision: func(d admission.Decision) { started = d.Start },
			})
			if started {
				m.tickets[i] = append(m.tickets[i], t)
			}
		}
		inFlight += len(m.tickets[i])
	}
	return inFlight
}

// RunLimit sends four times an account's limit through entriesUsed of the
// entries, with background load at all of them.
func RunLimit(seed uint64, entries, entriesUsed, limit int) LimitResult {
	m := newUsageMesh(entries, seed)
	keys := make([]admission.Key, usageAccounts)
	for i := range keys {
		keys[i] = admission.AccountKey(fmt.Sprintf("account-%d", i))
	}
	for _, u := range m.usages {
		u.SetLimit(admission.AccountKey(limitedAccount), limit)
		for _, k := range keys {
			u.SetLimit(k, backgroundLimit)
		}
	}
	r := LimitResult{
		Experiment: "limit", Seed: seed, Entries: entries, EntriesUsed: entriesUsed, Limit: limit,
		Bound: limit + entries, SecondsTo90: -1,
	}
	callersPerEntry := max(1, 4*limit/entriesUsed)
	sum := 0
	for step := range usageSteps {
		m.clock.Advance(usageStepTime)
		m.runBackground(keys)
		if step >= usageFloodStart {
			inFlight := m.runLimitedAccount(limit, entriesUsed, callersPerEntry)
			r.recordInFlight(step, inFlight)
			if step >= usageSteadyStart {
				sum += inFlight
			}
		}
		for i := range m.usages {
			if (step+i)%usageDigestSteps == 0 {
				m.tick(i)
			}
		}
	}
	r.SteadyMean = float64(sum) / float64(usageSteps-usageSteadyStart)
	seconds := usageSteps * usageStepTime.Seconds()
	bytesOut := 0
	for _, n := range m.bytesOut {
		bytesOut += n
	}
	r.OutBytesPerS = float64(bytesOut) / float64(entries) / seconds
	r.MaxInBytesPerS = float64(slices.Max(m.bytesIn)) / seconds
	return r
}

// recordInFlight updates the result with the requests in flight at a step.
func (r *LimitResult) recordInFlight(step, inFlight int) {
	r.Peak = max(r.Peak, inFlight)
	if step >= usageSteadyStart {
		r.SteadyPeak = max(r.SteadyPeak, inFlight)
	}
	if r.SecondsTo90 < 0 && 10*inFlight >= 9*r.Limit {
		r.SecondsTo90 = float64(step-usageFloodStart) * usageStepTime.Seconds()
	}
}

// printLimits runs limits over fleets of several sizes, with callers at all
// entries and at a tenth of them.
func printLimits(e env, seed uint64) error {
	for _, entries := range []int{9, 90, 330} {
		for _, entriesUsed := range []int{entries, max(1, entries/10)} {
			for _, limit := range []int{100, 1000} {
				if err := e.print(RunLimit(seed, entries, entriesUsed, limit)); err != nil {
					return err
				}
			}
		}
	}
	return nil
}
