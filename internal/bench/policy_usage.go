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
	usageStep = 100 * time.Millisecond
	// usageDataCentre is the number of entries of a data centre.
	usageDataCentre = 30
	// usageRound is the steps between two digests of an entry.
	usageRound = 5
	// usageHold is the mean time that a request is in flight.
	usageHold = 2 * time.Second
	// usageAccounts and usageRate are the background of all entries: client
	// accounts, and requests a second for each entry.
	usageAccounts = 1600
	usageRate     = 9
	// usageLimit is the background accounts' limit, limitedAccount the name of
	// the account that floods.
	usageLimit     = 200
	limitedAccount = "limited"
	// usageFlood is when the account with a limit starts, usageEnd the end, in
	// steps.
	usageFlood = 100
	usageEnd   = 700
	// usageSettled is when its steady state is measured from.
	usageSettled = 400
)

// LimitResult is one run of an account's limit over all entries.
type LimitResult struct {
	Experiment string `json:"experiment"`
	Seed       uint64 `json:"seed"`
	Entries    int    `json:"entries"`
	// Used is the number of entries that the account's callers use.
	Used  int `json:"entries_used"`
	Limit int `json:"limit"`
	// Bound is the stated bound of requests in flight.
	Bound int `json:"bound"`
	// Peak is the most that were in flight at once, SteadyMean and SteadyPeak
	// the mean and the most after it had settled.
	Peak       int     `json:"peak"`
	SteadyMean float64 `json:"steady_mean"`
	SteadyPeak int     `json:"steady_peak"`
	// SecondsTo90 is the time until 90% of the limit was used, -1 for never.
	SecondsTo90 float64 `json:"seconds_to_90_percent"`
	// OutBytesPerS and InBytesPerS are the digests of an entry, mean and, for
	// the busiest receiver, most.
	OutBytesPerS   float64 `json:"out_bytes_per_s"`
	MaxInBytesPerS float64 `json:"max_in_bytes_per_s"`
}

// usageMesh is entries connected as membership connects them.
type usageMesh struct {
	rand   *rand.Rand
	clock  *clockwork.FakeClock
	usages []*admission.Usage
	// controllers enforce the limit, tickets hold the account's requests.
	controllers []*admission.Controller
	tickets     [][]*admission.Ticket
	ids         []string
	peers       [][]int
	out, in     []int // bytes
	// held is the background's requests in flight of each entry, by account.
	held []map[admission.Key]int
}

// newUsageMesh returns n entries in data centres.
func newUsageMesh(n int, seed uint64) *usageMesh {
	m := &usageMesh{
		rand: rand.New(rand.NewPCG(seed, 3)), peers: make([][]int, n), out: make([]int, n), in: make([]int, n),
		held: make([]map[admission.Key]int, n), tickets: make([][]*admission.Ticket, n), clock: clockwork.NewFakeClock(),
	}
	index := map[string]int{}
	var vms []kvstore.VM
	for i := range n {
		id := fmt.Sprintf("e%d", i)
		index[id] = i
		m.ids = append(m.ids, id)
		m.held[i] = map[admission.Key]int{}
		vms = append(vms, kvstore.VM{ID: id, DataCentre: fmt.Sprintf("dc%d", i/usageDataCentre), Role: membership.RoleEntry})
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

// send passes one entry's digest to a random peer.
func (m *usageMesh) send(i int) {
	if len(m.peers[i]) == 0 {
		return
	}
	remote := make([]bool, len(m.peers[i]))
	for n, j := range m.peers[i] {
		remote[n] = i/usageDataCentre != j/usageDataCentre
	}
	j := m.peers[i][admission.ChoosePeer(m.rand, remote)]
	items := m.usages[i].Digest(m.ids[j])
	if len(items) == 0 {
		return
	}
	m.count(i, j, items)
	answer := m.usages[j].Receive(m.ids[i], items)
	if len(answer) > 0 {
		m.count(j, i, answer)
		m.usages[i].Receive(m.ids[j], answer)
	}
}

// count notes the bytes of a digest.
func (m *usageMesh) count(from, to int, items []admission.Item) {
	n := digestBytes(items)
	m.out[from] += n
	m.in[to] += n
}

// digestBytes returns the size of a digest's frame.
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

// background starts and ends requests of the other accounts.
func (m *usageMesh) background(keys []admission.Key) {
	perStep := usageStep.Seconds() * usageRate
	for i, u := range m.usages {
		if m.rand.Float64() < perStep {
			k := keys[m.rand.IntN(len(keys))]
			m.held[i][k]++
			u.Add(k, 1)
		}
		m.finish(i)
	}
}

// finish ends each background request with the chance that its mean time gives.
func (m *usageMesh) finish(i int) {
	chance := usageStep.Seconds() / usageHold.Seconds()
	held := make([]admission.Key, 0, len(m.held[i]))
	for k := range m.held[i] {
		held = append(held, k)
	}
	slices.Sort(held)
	for _, k := range held {
		for range m.held[i][k] {
			if m.rand.Float64() < chance {
				m.held[i][k]--
				m.usages[i].Add(k, -1)
			}
		}
		if m.held[i][k] == 0 {
			delete(m.held[i], k)
		}
	}
}

// tick sends an entry's digest and corrects its limits.
func (m *usageMesh) tick(i int) {
	m.send(i)
	m.usages[i].Tick()
	m.controllers[i].Tick()
}

// demand lets the callers of the account with the limit try, perEntry of them
// at each used entry, which are spread over the data centres, and returns what
// is in flight then.
func (m *usageMesh) demand(limit, used, perEntry int) int {
	chance := usageStep.Seconds() / usageHold.Seconds()
	total := 0
	for n := range used {
		i := n * len(m.usages) / used
		c := m.controllers[i]
		m.tickets[i] = slices.DeleteFunc(m.tickets[i], func(t *admission.Ticket) bool {
			ends := m.rand.Float64() < chance
			if ends {
				c.Finish(t, true)
			}
			return ends
		})
		for started := true; started && len(m.tickets[i]) < perEntry; {
			t := c.Offer(admission.Request{
				Pool: policyPool, Account: limitedAccount, MaxInFlight: limit,
				OnDecision: func(d admission.Decision) { started = d.Start },
			})
			if started {
				m.tickets[i] = append(m.tickets[i], t)
			}
		}
		total += len(m.tickets[i])
	}
	return total
}

// RunLimit floods some of the entries with four times an account's limit.
func RunLimit(seed uint64, entries, used, limit int) LimitResult {
	m := newUsageMesh(entries, seed)
	keys := make([]admission.Key, usageAccounts)
	for i := range keys {
		keys[i] = admission.AccountKey(fmt.Sprintf("account-%d", i))
	}
	for _, u := range m.usages {
		u.SetLimit(admission.AccountKey(limitedAccount), limit)
		for _, k := range keys {
			u.SetLimit(k, usageLimit)
		}
	}
	r := LimitResult{
		Experiment: "limit", Seed: seed, Entries: entries, Used: used, Limit: limit,
		Bound: limit + entries, SecondsTo90: -1,
	}
	perEntry := max(1, 4*limit/used)
	sum := 0
	for step := range usageEnd {
		m.clock.Advance(usageStep)
		m.background(keys)
		if step >= usageFlood {
			total := m.demand(limit, used, perEntry)
			r.note(step, total)
			if step >= usageSettled {
				sum += total
			}
		}
		for i := range m.usages {
			if (step+i)%usageRound == 0 {
				m.tick(i)
			}
		}
	}
	r.SteadyMean = float64(sum) / float64(usageEnd-usageSettled)
	seconds := usageEnd * usageStep.Seconds()
	out := 0
	for _, n := range m.out {
		out += n
	}
	r.OutBytesPerS = float64(out) / float64(entries) / seconds
	r.MaxInBytesPerS = float64(slices.Max(m.in)) / seconds
	return r
}

func (r *LimitResult) note(step, total int) {
	r.Peak = max(r.Peak, total)
	if step >= usageSettled {
		r.SteadyPeak = max(r.SteadyPeak, total)
	}
	if r.SecondsTo90 < 0 && 10*total >= 9*r.Limit {
		r.SecondsTo90 = float64(step-usageFlood) * usageStep.Seconds()
	}
}

// printLimits runs limits over fleets of several sizes, with callers at all
// entries and at a tenth of them.
func printLimits(e env, seed uint64) error {
	for _, entries := range []int{9, 90, 330} {
		for _, used := range []int{entries, max(1, entries/10)} {
			for _, limit := range []int{100, 1000} {
				if err := e.print(RunLimit(seed, entries, used, limit)); err != nil {
					return err
				}
			}
		}
	}
	return nil
}
