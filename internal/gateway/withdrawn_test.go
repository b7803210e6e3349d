package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/directory"
	"github.com/kingcupreel/kingcupreel/internal/dispatch"
)

// Guards against callers who leave since the requests that all entries withdraw from a silent
// upstream go to the only one with free slots: most of them can't begin there in time.
func TestEntriesShareTheFreeSlotsForRequestsWithdrawnFromASilentUpstream(t *testing.T) {
	g := NewWithT(t)
	const entries, upstreams, slots, freeSlots, withdrawnByEach = 9, 12, 12, 10, 4
	clock := clockwork.NewFakeClock()
	var list []directory.Upstream
	for i := range upstreams {
		id := fmt.Sprint("u", i)
		list = append(list, directory.Upstream{ID: id, Service: "s", Address: id, Slots: slots})
	}
	sent := map[string]int{}
	for i := range uint64(entries) {
		p := NewPools(clock, rand.New(rand.NewPCG(i, i)))
		p.Reconcile(list)
		p.SetEntryShare(1. / entries)
		for _, u := range list {
			load := dispatch.Load{Active: slots, Queued: 3, GroupServing: true, Slowness: 1}
			if u.ID == "u1" {
				load = dispatch.Load{Active: slots - freeSlots, GroupServing: true, Slowness: 1}
			}
			p.UpdateLoad(u.Address, 0, load)
		}
		for range withdrawnByEach {
			if m, _ := p.Pick("s", dispatch.Demand{Exclude: []string{"u0"}, BeginBy: clock.Now(), Accepted: true, Withdrawn: true}); m != nil {
				sent[m.ID]++
			}
		}
	}
	const withdrawn = entries * withdrawnByEach
	beyondSlots := max(sent["u1"]-freeSlots, 0)
	for id, n := range sent {
		if id != "u1" {
			beyondSlots += n
		}
	}
	g.Expect(sent["u1"]).To(BeNumerically(">=", freeSlots/2), "the free slots are used")
	g.Expect(4*beyondSlots).To(BeNumerically("<=", withdrawn),
		fmt.Sprintf("%d of %d withdrawn requests can't begin where they were sent, more than a quarter: %v", beyondSlots, withdrawn, sent))
}
