package fleet_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/fleet"
	"github.com/kingcupreel/kingcupreel/internal/kvstore"
	"github.com/kingcupreel/kingcupreel/internal/standin/kv"
	"github.com/kingcupreel/kingcupreel/internal/wire"
	"github.com/kingcupreel/kingcupreel/platform"
)

func member(name string, role fleet.Role) kvstore.Item {
	value, _ := json.Marshal(fleet.Member{Name: name, Role: role, Address: "10.0.0.1:1"})
	return kvstore.Item{Key: "kingcupreel/members/" + name, Value: value}
}

func TestEntryCountIsRecentMaximum(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	v := fleet.NewView(clock, zap.NewNop())
	var items []kvstore.Item
	for i := range 9 {
		items = append(items, member(fmt.Sprint("e", i), fleet.RoleEntry))
	}
	v.Replace(kvstore.Listing{Items: append(items, member("r", fleet.RoleRank))})
	g.Expect(v.EntryCount()).To(BeZero(), "registrations may still be incomplete")
	clock.Advance(4 * time.Second)
	g.Expect(v.EntryCount()).To(Equal(9))
	// All registrations expire during an outage of the key-value service. An entry
	// that then counted only itself would use the whole retry allowance.
	for i := range 9 {
		v.Apply(kvstore.Batch{Events: []kvstore.Event{{Item: items[i], Deleted: true}}})
	}
	g.Expect(v.EntryCount()).To(Equal(9))
	g.Expect(v.Members(fleet.RoleEntry)).To(HaveLen(9), "members are kept for a while after their registrations expire")
	clock.Advance(time.Minute)
	v.Apply(kvstore.Batch{Events: []kvstore.Event{{Item: member("e9", fleet.RoleEntry)}}})
	v.Apply(kvstore.Batch{Events: []kvstore.Event{{Item: member("r", fleet.RoleRank), Deleted: true}}})
	g.Expect(v.Members(fleet.RoleEntry)).To(HaveLen(1))
	clock.Advance(time.Minute)
	g.Expect(v.EntryCount()).To(Equal(1))
}

// An entry that joins acts in common with the others once they know of it, and one that restarts
// once the second is over in which it stopped.
func TestEntryNamesOfAnEntryThatJoins(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	v := fleet.NewView(clock, zap.NewNop())
	v.Replace(kvstore.Listing{Items: []kvstore.Item{member("e0", fleet.RoleEntry), member("r", fleet.RoleRank)}})
	g.Expect(v.EntryNames("e0")).To(BeNil(), "it was registered before")
	clock.Advance(2 * time.Second)
	g.Expect(v.EntryNames("e0")).To(Equal([]string{"e0"}))
	v.Apply(kvstore.Batch{Events: []kvstore.Event{{Item: member("e1", fleet.RoleEntry)}}})
	g.Expect(v.EntryNames("e0")).To(Equal([]string{"e0"}))
	clock.Advance(2 * time.Second)
	g.Expect(v.EntryNames("e0")).To(Equal([]string{"e0", "e1"}), "the others make room before it acts")
	g.Expect(v.EntryNames("e1")).To(BeNil(), "the others may not know of it")
	g.Expect(v.EntryNames("e2")).To(BeNil(), "it hasn't registered")
	clock.Advance(4 * time.Second)
	g.Expect(v.EntryNames("e1")).To(HaveLen(2))
}

func TestViewIgnoresInvalidRegistrations(t *testing.T) {
	g := NewWithT(t)
	v := fleet.NewView(clockwork.NewFakeClock(), zap.NewNop())
	v.Replace(kvstore.Listing{Items: []kvstore.Item{
		{Key: "kingcupreel/members/x", Value: []byte("\xff")},
		{Key: "kingcupreel/members/y", Value: []byte(`{"name":"z","address":"a"}`)},
		{Key: "kingcupreel/leaders/g", Value: []byte("r1")},
	}})
	g.Expect(v.Members(fleet.RoleEntry)).To(BeEmpty())
	g.Expect(v.Leader("g")).To(Equal("r1"))
	v.Apply(kvstore.Batch{Events: []kvstore.Event{{Item: kvstore.Item{Key: "kingcupreel/leaders/g"}, Deleted: true}}})
	g.Expect(v.Leader("g")).To(BeEmpty())
}

// A registration that has expired is created again, and a registration is
// removed when its process stops.
func TestRegistrar(t *testing.T) {
	g := NewWithT(t)
	state := kv.NewStore(clockwork.NewRealClock())
	srv := httptest.NewServer(kv.NewServer(state).Handler())
	defer srv.Close()
	store := platform.NewStore(srv.URL, time.Second)
	v := fleet.NewView(clockwork.NewRealClock(), zap.NewNop())
	r := &fleet.Registrar{KV: store, Self: fleet.Member{Name: "e1", Role: fleet.RoleEntry, Address: "10.0.0.1:1"}, Clock: clockwork.NewRealClock(), Log: zap.NewNop()}
	r.ReregisterOnLoss(v)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	registered := func() int64 {
		item, err := state.Get("kingcupreel/members/e1")
		if err != nil {
			return 0
		}
		return item.Lease
	}
	g.Eventually(registered).ShouldNot(BeZero())
	first := registered()
	item, err := state.Get("kingcupreel/members/e1")
	g.Expect(err).NotTo(HaveOccurred())
	v.Replace(kvstore.Listing{Items: []kvstore.Item{item}})
	state.Revoke(first)
	v.Apply(kvstore.Batch{Events: []kvstore.Event{{Item: item, Deleted: true}}})
	g.Eventually(registered).Should(And(Not(BeZero()), Not(Equal(first))))
	cancel()
	<-done
	g.Expect(registered()).To(BeZero())
}

// sharedState is the shared state of one entry.
type sharedState struct {
	mu         sync.Mutex
	version    int64
	departures []wire.Departure
	limits     []wire.UpstreamLimit
	// evacuations is replaced by longer lists.
	evacuations []wire.Evacuation
	// configuredFirst is set if a configuration came before the evacuations.
	configuredFirst bool
}

func (s *sharedState) RecentLimits(max int) []wire.UpstreamLimit {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]wire.UpstreamLimit(nil), s.limits[:min(len(s.limits), max)]...)
}

func (*sharedState) UpstreamsChange() kvstore.Position       { return kvstore.Position{} }
func (*sharedState) ObserveUpstreamsChange(kvstore.Position) {}

func (s *sharedState) Evacuations() (list []wire.Evacuation, news bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuations, true
}

func (s *sharedState) MergeEvacuations(list []wire.Evacuation, _ string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(list) > len(s.evacuations) {
		s.evacuations = list
	}
}

func (s *sharedState) Version() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

func (s *sharedState) Encoded() []byte {
	return fmt.Appendf(nil, "%d", s.Version())
}

func (s *sharedState) ApplyConfiguration(encoded []byte, _ string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configuredFirst = len(s.evacuations) == 0
	_, _ = fmt.Sscan(string(encoded), &s.version)
}

func (s *sharedState) Departures() []wire.Departure {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]wire.Departure(nil), s.departures...)
}

func (s *sharedState) Depart(d wire.Departure) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, known := range s.departures {
		if known == d {
			return false
		}
	}
	s.departures = append(s.departures, d)
	return true
}

// registeredEntries returns the addresses and the registrations of n entries e0, e1, ... The
// addresses are those of one test only, by the network's number.
func registeredEntries(network, n int) (addresses []string, items []kvstore.Item) {
	for i := range n {
		// A loopback address of the process's own: a free port of a shared one may be taken
		// before it is listened on.
		address := fmt.Sprintf("127.%d.%d.%d:7340", network+i, os.Getpid()>>8&0xff, os.Getpid()&0xff)
		value, _ := json.Marshal(fleet.Member{Name: fmt.Sprint("e", i), Role: fleet.RoleEntry, Address: address})
		addresses = append(addresses, address)
		items = append(items, kvstore.Item{Key: fmt.Sprint("kingcupreel/members/e", i), Value: value})
	}
	return addresses, items
}

// An entry that starts has read a service that came back from an older copy. It learns from
// another entry what that copy lacks, although its configuration isn't newer, and passes over
// those that don't answer.
func TestEntryAsksAnotherAtItsStart(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	addresses, items := registeredEntries(120, 3) // nothing listens at e2
	known := &sharedState{version: 7, evacuations: []wire.Evacuation{{DataCentre: "a", InForce: true, Era: 1, Revision: 9}}}
	other := &fleet.Exchange{SharedState: known}
	mux := &wire.Mux{Funcs: map[wire.Kind]func(*wire.Conn, wire.Message){wire.KindConfigurationRequest: other.SendConfiguration}}
	g.Expect(fleet.Serve(ctx, addresses[1], mux, zap.NewNop())).To(Succeed())
	view, state := fleet.NewView(clockwork.NewRealClock(), zap.NewNop()), &sharedState{version: 7}
	started := &fleet.Exchange{Self: "e0", View: view, SharedState: state, Clock: clockwork.NewRealClock(), Log: zap.NewNop()}
	go started.LearnAtStart(ctx)
	view.Replace(kvstore.Listing{Items: items})
	g.Eventually(func() []wire.Evacuation { l, _ := state.Evacuations(); return l }, "5s").Should(Equal(known.evacuations))
}

// Entries that can't reach the key-value service receive a new configuration, a departure,
// evacuations, and the limits of upstreams, as many as fit into a datagram, from an entry that
// can. The evacuations come with the configuration: an entry that has one may take work.
func TestExchangeWithoutStore(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	const entries = 4
	addresses, items := registeredEntries(100, entries)
	states := make([]*sharedState, entries)
	for i := range states {
		states[i] = &sharedState{version: 7}
		v := fleet.NewView(clockwork.NewRealClock(), zap.NewNop())
		v.Replace(kvstore.Listing{Items: items})
		d, err := fleet.ListenDatagrams(addresses[i], zap.NewNop())
		g.Expect(err).NotTo(HaveOccurred())
		x := &fleet.Exchange{Self: fmt.Sprint("e", i), View: v, Datagrams: d, SharedState: states[i], Clock: clockwork.NewRealClock(), Log: zap.NewNop()}
		mux := &wire.Mux{Funcs: map[wire.Kind]func(*wire.Conn, wire.Message){wire.KindConfigurationRequest: x.SendConfiguration}}
		g.Expect(fleet.Serve(ctx, addresses[i], mux, zap.NewNop())).To(Succeed())
		go d.Run(ctx, func(from netip.AddrPort, m wire.Message) {
			switch m := m.(type) {
			case *wire.EntryDigest:
				x.HandleDigest(ctx, from, m)
			case *wire.Evacuations:
				x.HandleEvacuations(m)
			case *wire.UpstreamLimits:
				states[i].mu.Lock()
				defer states[i].mu.Unlock()
				states[i].limits = m.Limits
			}
		})
		go x.Run(ctx)
	}
	states[2].mu.Lock()
	states[2].version = 12
	for i := range 100 {
		states[2].limits = append(states[2].limits, wire.UpstreamLimit{ID: fmt.Sprintf("i-%040d", i), Started: 1 << 50, Limit: 1.0 / 3, AgeMS: 1999})
	}
	for i := range 20 {
		states[2].evacuations = append(states[2].evacuations, wire.Evacuation{DataCentre: fmt.Sprintf("%0120d", i), InForce: true, Era: 1 << 20, Revision: 1 << 50})
	}
	states[2].mu.Unlock()
	states[2].Depart(wire.Departure{ID: "i-1", Started: 5})
	for _, s := range states {
		g.Eventually(s.Version, "5s").Should(Equal(int64(12)))
		g.Eventually(s.Departures, "5s").Should(Equal([]wire.Departure{{ID: "i-1", Started: 5}}))
		g.Eventually(func() int { l, _ := s.Evacuations(); return len(l) }, "5s").Should(Equal(20))
		g.Expect(s.configuredFirst).To(BeFalse())
		g.Eventually(func() int { return len(s.RecentLimits(100)) }, "5s").Should(BeNumerically(">=", 8))
	}
}
