package rankagent_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/feed"
	"github.com/kingcupreel/kingcupreel/internal/fleet"
	"github.com/kingcupreel/kingcupreel/internal/rankagent"
	"github.com/kingcupreel/kingcupreel/internal/ranks"
	"github.com/kingcupreel/kingcupreel/internal/routing"
	"github.com/kingcupreel/kingcupreel/internal/standin/kv"
	"github.com/kingcupreel/kingcupreel/internal/telemetry"
	"github.com/kingcupreel/kingcupreel/platform"
)

const (
	testRanks   = 4
	testExperts = 16
)

// groupOfEngines is a group in memory: steps begin every few milliseconds unless
// one is held, and requests choose the first expert most.
type groupOfEngines struct {
	mu      sync.Mutex
	engines []*engine
	step    int64
	mixed   bool
	rng     *rand.Rand
	// lost is the part of the orders that get no answer.
	lost float64
	// hot is the expert that is chosen most.
	hot int
	// holders counts the holds by rank.
	holders map[int]int
	// freezeGiver makes the VM stop that gives the next Hold, and frozen is its
	// rank, -1 for none.
	freezeGiver bool
	frozen      int
}

// engine is one rank of it. It implements rankagent.Engine.
type engine struct {
	g                              *groupOfEngines
	rank                           int
	fence                          int64
	active, prepared, armed, armAt int64
	held                           int64
	experts, next                  [][]int
	chosen                         []int64
}

func newGroupOfEngines(size int) *groupOfEngines {
	g := &groupOfEngines{rng: rand.New(rand.NewPCG(1, 1)), holders: map[int]int{}, frozen: -1}
	for r := range size {
		e := &engine{g: g, rank: r, prepared: ranks.None, armed: ranks.None, held: ranks.None, chosen: make([]int64, testExperts*size/testRanks), experts: make([][]int, 1)}
		for x := r; x < testExperts*size/testRanks; x += size {
			e.experts[0] = append(e.experts[0], x)
		}
		g.engines = append(g.engines, e)
	}
	return g
}

// run begins steps until ctx is done.
func (g *groupOfEngines) run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
		g.begin()
	}
}

func (g *groupOfEngines) begin() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.engines {
		if e.held == g.step+1 {
			return
		}
	}
	g.step++
	for _, e := range g.engines {
		if e.armed != ranks.None && e.armAt == g.step {
			e.active, e.armed, e.experts = e.armed, ranks.None, e.next
		}
		for x := range e.chosen {
			e.chosen[x] += 40
		}
		e.chosen[g.hot] += 2000
		g.mixed = g.mixed || e.active != g.engines[0].active
	}
}

func (g *groupOfEngines) state() (step, version, held int64, mixed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.step, g.engines[0].active, g.engines[0].held, g.mixed
}

func (e *engine) Status(context.Context) (ranks.Status, error) {
	e.g.mu.Lock()
	defer e.g.mu.Unlock()
	return ranks.Status{
		Started: 1, Group: "g", Epoch: 1, Rank: e.rank, Size: len(e.g.engines), Open: true, Step: e.g.step,
		Map: e.active, Prepared: e.prepared, Armed: e.armed, Held: e.held,
	}, nil
}

func (e *engine) Counts(context.Context) (ranks.Counts, error) {
	e.g.mu.Lock()
	defer e.g.mu.Unlock()
	return ranks.Counts{Step: e.g.step, Epoch: 1, Selections: append([]int64(nil), e.chosen...)}, nil
}

func (e *engine) ExpertLists(context.Context) (ranks.ExpertLists, error) {
	e.g.mu.Lock()
	defer e.g.mu.Unlock()
	return ranks.ExpertLists{Version: e.active, Experts: e.experts}, nil
}

func (e *engine) Order(_ context.Context, o ranks.Order, _ time.Duration) (ranks.Verdict, error) {
	e.g.mu.Lock()
	defer e.g.mu.Unlock()
	if e.g.rng.Float64() < e.g.lost {
		return ranks.Unknown, errors.New("no answer")
	}
	if o.Fence < e.fence {
		return ranks.Fenced, errors.New("fenced")
	}
	e.fence = o.Fence
	switch o.Op {
	case ranks.Prepare:
		e.prepared, e.next = o.Version, nil
		for _, set := range o.Map {
			e.next = append(e.next, set[e.rank])
		}
	case ranks.Arm:
		if e.prepared != o.Version || o.Step <= e.g.step {
			return ranks.Refused, errors.New("not prepared, or begun")
		}
		e.armed, e.armAt = o.Version, o.Step
	case ranks.Disarm:
		if e.armed == o.Version {
			e.armed = ranks.None
		}
	case ranks.Hold:
		if o.Step <= e.g.step {
			return ranks.Refused, errors.New("begun")
		}
		e.held = o.Step
		e.g.holders[e.rank]++
	case ranks.Release:
		if e.held == o.Step {
			e.held = ranks.None
		}
	}
	return ranks.Accepted, nil
}

// seenFrom is an engine as the agent of a rank reaches it.
type seenFrom struct {
	*engine
	agent int
}

// reach fails where one of the two VMs has stopped; on the stopped one itself
// nothing goes on.
func (s *seenFrom) reach(ctx context.Context) error {
	s.g.mu.Lock()
	frozen := s.g.frozen
	s.g.mu.Unlock()
	if frozen == s.agent {
		<-ctx.Done()
	}
	if frozen == s.agent || frozen == s.rank {
		return errors.New("unreachable")
	}
	return nil
}

func (s *seenFrom) Status(ctx context.Context) (ranks.Status, error) {
	if err := s.reach(ctx); err != nil {
		return ranks.Status{}, err
	}
	return s.engine.Status(ctx)
}

func (s *seenFrom) Order(ctx context.Context, o ranks.Order, timeout time.Duration) (ranks.Verdict, error) {
	if err := s.reach(ctx); err != nil {
		return ranks.Unknown, err
	}
	verdict, err := s.engine.Order(ctx, o, timeout)
	s.g.mu.Lock()
	freeze := s.g.freezeGiver && o.Op == ranks.Hold && verdict == ranks.Accepted
	if freeze {
		s.g.frozen, s.g.freezeGiver = s.agent, false
	}
	s.g.mu.Unlock()
	if freeze {
		return ranks.Unknown, s.reach(ctx)
	}
	return verdict, err
}

// deployment is a group with an agent beside each rank.
type deployment struct {
	g     *groupOfEngines
	store *platform.Store
	state *kv.Store
	stop  []context.CancelFunc
	// metrics are the agents', by rank.
	metrics []metrics.Registry
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func deploy(t *testing.T, fencing bool) *deployment {
	t.Helper()
	return deployRanks(t, testRanks, fencing)
}

func deployRanks(t *testing.T, size int, fencing bool) *deployment {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	d := &deployment{g: newGroupOfEngines(size), state: kv.NewStore(clockwork.NewRealClock())}
	srv := httptest.NewServer(kv.NewServer(d.state).Handler())
	t.Cleanup(srv.Close)
	t.Cleanup(cancel) // before the service closes, so that no watch waits
	d.store = platform.NewStore(srv.URL, time.Second)
	go d.g.run(ctx)
	for r := range size {
		d.agent(ctx, t, r, fencing)
	}
	return d
}

// agent starts the agent of a rank.
func (d *deployment) agent(ctx context.Context, t *testing.T, rank int, fencing bool) {
	t.Helper()
	ctx, stop := context.WithCancel(ctx)
	d.stop = append(d.stop, stop)
	clock := clockwork.NewRealClock()
	self := fleet.Member{Name: fmt.Sprint("vm-", rank), Role: fleet.RoleRank, Address: freeAddress(t), Upstream: fmt.Sprint(rank)}
	view := fleet.NewView(clock, zap.NewNop())
	datagrams, err := fleet.ListenDatagrams(self.Address, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	routes := &routing.Store{}
	routes.Apply(routing.Configuration{Version: 1, Services: []routing.Service{{Name: "s", Engine: &routing.Engine{
		Experts: routing.ExpertShape{Sets: 1, Experts: len(d.g.engines[rank].chosen), Places: 6, Spare: 2, ExpertTimeShare: 0.85, CopyTime: time.Millisecond},
	}}}}, clock.Now())
	registry := metrics.NewRegistry()
	d.metrics = append(d.metrics, registry)
	a := rankagent.New(rankagent.Options{
		Self: self, Service: "s", Engine: &seenFrom{d.g.engines[rank], rank},
		Connect: func(address string) rankagent.Engine {
			var n int
			_, _ = fmt.Sscan(address, &n)
			return &seenFrom{d.g.engines[n], rank}
		},
		View: view, Datagrams: datagrams, Routes: routes, KV: d.store, LeaderLeaseTTL: time.Second, Fencing: fencing,
		Clock: clock, Log: zap.NewNop(), Metrics: registry,
	})
	if err := fleet.Serve(ctx, self.Address, a.Handler(ctx), zap.NewNop()); err != nil {
		t.Fatal(err)
	}
	go (&feed.Feed{KV: d.store, Prefix: fleet.Prefix, Sink: view, Clock: clock, Log: zap.NewNop()}).Run(ctx)
	go (&fleet.Registrar{KV: d.store, Self: self, Clock: clock, Log: zap.NewNop()}).Run(ctx)
	go a.RunElection(ctx)
}

func (d *deployment) leader() string {
	item, err := d.state.Get(fleet.LeaderKey("g"))
	if err != nil {
		return ""
	}
	return string(item.Value)
}

// One agent leads, sees that one expert is chosen most, and spreads its copies;
// with a third of the orders without an answer, too.
func TestLeaderFollowsDemand(t *testing.T) {
	for _, lost := range []float64{0, 0.3} {
		g := NewWithT(t)
		d := deploy(t, true)
		d.g.mu.Lock()
		d.g.lost = lost
		d.g.mu.Unlock()
		copies := func() int {
			d.g.mu.Lock()
			defer d.g.mu.Unlock()
			n := 0
			for _, e := range d.g.engines {
				for _, x := range e.experts[0] {
					if x == 0 {
						n++
					}
				}
			}
			return n
		}
		g.Eventually(copies, "20s").Should(Equal(testRanks))
		_, _, _, mixed := d.g.state()
		g.Expect(mixed).To(BeFalse())
	}
}

// The leader's VM may stop while it switches. Its own rank must not be the one that
// holds the group, since no other agent could reach it then.
func TestLeaderHoldsTheGroupAtAnotherRank(t *testing.T) {
	g := NewWithT(t)
	d := deploy(t, true)
	holds := func() int {
		d.g.mu.Lock()
		defer d.g.mu.Unlock()
		n := 0
		for _, times := range d.g.holders {
			n += times
		}
		return n
	}
	g.Eventually(holds, "10s").ShouldNot(BeZero())
	var own int
	_, err := fmt.Sscanf(d.leader(), "vm-%d", &own)
	g.Expect(err).NotTo(HaveOccurred())
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	g.Expect(d.g.holders).NotTo(HaveKey(own))
}

// The VM that gives the order to hold the group stops as it does. The group goes on
// at once, and not when that VM wakes.
func TestGroupGoesOnWhenTheGiverOfItsHoldStops(t *testing.T) {
	g := NewWithT(t)
	d := deploy(t, true)
	d.g.mu.Lock()
	d.g.freezeGiver = true
	d.g.mu.Unlock()
	frozen := func() int {
		d.g.mu.Lock()
		defer d.g.mu.Unlock()
		return d.g.frozen
	}
	g.Eventually(frozen, "20s").ShouldNot(Equal(-1))
	before, _, _, _ := d.g.state()
	g.Eventually(func() int64 {
		step, _, _, _ := d.g.state()
		return step
	}, "10s").Should(BeNumerically(">", before+20))
	g.Expect(frozen()).NotTo(Equal(-1))
	_, _, _, mixed := d.g.state()
	g.Expect(mixed).To(BeFalse())
}

// A map of a large group goes to a few agents, which hand it on. Where one of
// those has gone, the leader orders its ranks by itself.
func TestMapOfALargeGroupIsRelayed(t *testing.T) {
	g := NewWithT(t)
	const size = 28
	d := deployRanks(t, size, true)
	prepared := func(version int64) func() int {
		return func() int {
			d.g.mu.Lock()
			defer d.g.mu.Unlock()
			n := 0
			for _, e := range d.g.engines {
				if e.active > version {
					n++
				}
			}
			return n
		}
	}
	g.Eventually(prepared(0), "20s").Should(Equal(size))
	relayed := int64(0)
	for _, r := range d.metrics {
		relayed += telemetry.Counter(r, "maps_relayed").Count()
	}
	g.Expect(relayed).To(BeNumerically(">=", 4), "the leader's own link carries a part of the copies")
	_, version, _, mixed := d.g.state()
	g.Expect(mixed).To(BeFalse())
	for r := 1; r < size; r += 5 { // among them an agent that relays
		d.stop[r]()
	}
	d.g.mu.Lock()
	d.g.hot = 3
	d.g.mu.Unlock()
	g.Eventually(prepared(version), "30s").Should(Equal(size))
	_, _, _, mixed = d.g.state()
	g.Expect(mixed).To(BeFalse())
}

// Engines that take any order are given none.
func TestEnginesThatDontFenceKeepTheirMap(t *testing.T) {
	g := NewWithT(t)
	d := deploy(t, false)
	g.Consistently(d.leader, "1500ms").Should(BeEmpty())
	_, version, _, _ := d.g.state()
	g.Expect(version).To(BeZero())
}

// A hold that nobody stands behind any more is ended by whoever leads next, and
// when the leader is gone another agent takes its place.
func TestHoldThatIsLeftBehindIsEnded(t *testing.T) {
	g := NewWithT(t)
	d := deploy(t, true)
	g.Eventually(d.leader, "10s").ShouldNot(BeEmpty())
	first := d.leader()
	var rank int
	_, err := fmt.Sscanf(first, "vm-%d", &rank)
	g.Expect(err).NotTo(HaveOccurred())
	d.stop[rank]()
	d.g.mu.Lock()
	d.g.engines[0].held = d.g.step + 3
	d.g.mu.Unlock()
	g.Eventually(d.leader, "20s").ShouldNot(Or(BeEmpty(), Equal(first)))
	before, _, _, _ := d.g.state()
	g.Eventually(func() int64 {
		step, _, _, _ := d.g.state()
		return step
	}, "10s").Should(BeNumerically(">", before+20))
	_, _, _, mixed := d.g.state()
	g.Expect(mixed).To(BeFalse())
}
