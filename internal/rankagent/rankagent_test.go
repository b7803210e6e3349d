package rankagent_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/feed"
	"github.com/kingcupreel/kingcupreel/internal/fleet"
	"github.com/kingcupreel/kingcupreel/internal/kvstore"
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
	// testReportLag is the age of reports to other VMs that the configuration states.
	testReportLag = 50 * time.Millisecond
)

// simulatedGroup is a group in memory. Steps begin every few milliseconds unless one is
// held, and requests select one expert most often.
type simulatedGroup struct {
	mu      sync.Mutex
	engines []*engine
	step    int64
	mixed   bool
	rng     *rand.Rand
	// lossRate is the fraction of the orders that get no answer.
	lossRate float64
	// hotExpert is the expert that is selected most.
	hotExpert int
	// holdsByRank counts the accepted holds by rank.
	holdsByRank map[int]int
	// freezeOnHold freezes the VM of the agent that sends the next Hold. frozenRank
	// is the rank of the frozen VM, -1 for none.
	freezeOnHold bool
	frozenRank   int
	// listsUnreadable makes the ranks' expert lists unreadable.
	listsUnreadable bool
	// reportLag is the age of the status that an engine reports to other VMs.
	reportLag time.Duration
	// onDisarm is called before a Disarm is carried out, with mu held; nil is allowed.
	onDisarm func(*engine)
	// stepAfterDisarm makes the group begin the armed step once an armed rank is disarmed.
	stepAfterDisarm bool
}

// datedStatus is a status that was current at a time.
type datedStatus struct {
	at     time.Time
	status ranks.Status
}

// engine is the engine of one rank of a simulatedGroup. It implements rankagent.Engine.
type engine struct {
	g                                  *simulatedGroup
	rank                               int
	fence                              int64
	active, prepared, armed, armedStep int64
	held, sequence                     int64
	experts, next                      [][]int
	selections                         []int64
	// reports are the last statuses, oldest first.
	reports []datedStatus
	// noNewConnections makes the engine leave orders on new connections unanswered.
	noNewConnections atomic.Bool
}

func newSimulatedGroup(size int) *simulatedGroup {
	g := &simulatedGroup{rng: rand.New(rand.NewPCG(1, 1)), holdsByRank: map[int]int{}, frozenRank: -1}
	for r := range size {
		e := &engine{g: g, rank: r, prepared: ranks.None, armed: ranks.None, held: ranks.None, selections: make([]int64, testExperts*size/testRanks), experts: make([][]int, 1)}
		for x := r; x < testExperts*size/testRanks; x += size {
			e.experts[0] = append(e.experts[0], x)
		}
		g.engines = append(g.engines, e)
	}
	return g
}

// run begins steps until ctx is done.
func (g *simulatedGroup) run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
		g.mu.Lock()
		g.beginStep()
		for _, e := range g.engines {
			e.reports = append(e.reports, datedStatus{time.Now(), e.status()})
			e.reports = e.reports[max(len(e.reports)-maxReports, 0):]
		}
		g.mu.Unlock()
	}
}

// maxReports is the number of statuses that an engine keeps: those of about a second.
const maxReports = 200

// beginStep begins the next step unless a rank holds it. The caller holds mu.
func (g *simulatedGroup) beginStep() {
	for _, e := range g.engines {
		if e.held == g.step+1 {
			return
		}
	}
	g.step++
	for _, e := range g.engines {
		if e.armed != ranks.None && e.armedStep == g.step {
			e.active, e.armed, e.experts = e.armed, ranks.None, e.next
		}
		for x := range e.selections {
			e.selections[x] += 40
		}
		e.selections[g.hotExpert] += 2000
		g.mixed = g.mixed || e.active != g.engines[0].active
	}
}

func (g *simulatedGroup) state() (step, version, held int64, mixed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.step, g.engines[0].active, g.engines[0].held, g.mixed
}

func (e *engine) Status(context.Context) (ranks.Status, error) {
	e.g.mu.Lock()
	defer e.g.mu.Unlock()
	return e.status(), nil
}

// status returns the present status. The caller holds the group's mu.
func (e *engine) status() ranks.Status {
	return ranks.Status{
		Started: 1, Group: "g", Epoch: 1, Rank: e.rank, Size: len(e.g.engines), GroupServing: true, Step: e.g.step, Sequence: e.sequence,
		Map: e.active, Prepared: e.prepared, Armed: e.armed, Held: e.held,
	}
}

func (e *engine) CurrentStatus(ctx context.Context) (ranks.Status, error) { return e.Status(ctx) }

// remoteStatus returns the status that the engine reports to other VMs.
func (e *engine) remoteStatus() ranks.Status {
	e.g.mu.Lock()
	defer e.g.mu.Unlock()
	status := e.status()
	if e.g.reportLag > 0 {
		for _, r := range e.reports {
			if time.Since(r.at) >= e.g.reportLag {
				status = r.status
			}
		}
	}
	return status
}

func (e *engine) Counts(context.Context) (ranks.Counts, error) {
	e.g.mu.Lock()
	defer e.g.mu.Unlock()
	return ranks.Counts{Step: e.g.step, Epoch: 1, Selections: append([]int64(nil), e.selections...)}, nil
}

func (e *engine) ExpertLists(context.Context) (ranks.ExpertLists, error) {
	e.g.mu.Lock()
	defer e.g.mu.Unlock()
	if e.g.listsUnreadable {
		return ranks.ExpertLists{}, errors.New("no answer")
	}
	return ranks.ExpertLists{Version: e.active, Experts: e.experts}, nil
}

func (e *engine) Order(_ context.Context, o ranks.Order, _ time.Duration) (ranks.Verdict, error) {
	e.g.mu.Lock()
	defer e.g.mu.Unlock()
	if e.g.rng.Float64() < e.g.lossRate {
		return ranks.Unknown, errors.New("no answer")
	}
	if o.Fence < e.fence {
		return ranks.Fenced, errors.New("fenced")
	}
	e.fence = o.Fence
	if o.Op == ranks.Disarm && e.g.onDisarm != nil {
		e.g.onDisarm(e)
	}
	if o.ExpectSequence != nil && *o.ExpectSequence != e.sequence {
		return ranks.Refused, errors.New("another sequence")
	}
	e.sequence++
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
		e.armed, e.armedStep = o.Version, o.Step
	case ranks.Disarm:
		if e.armed != o.Version {
			e.sequence--
			break
		}
		e.armed = ranks.None
		if e.g.stepAfterDisarm {
			e.g.step = e.armedStep - 1
			e.g.beginStep()
		}
	case ranks.Hold:
		if o.Step <= e.g.step {
			return ranks.Refused, errors.New("begun")
		}
		e.held = o.Step
		e.g.holdsByRank[e.rank]++
	case ranks.Release:
		if e.held == o.Step {
			e.held = ranks.None
		}
	}
	return ranks.Accepted, nil
}

// remoteEngine is an engine as the agent of rank agentRank reaches it. The engine is that
// rank's own or another rank's.
type remoteEngine struct {
	*engine
	agentRank int
}

// checkReachable fails if the VM of the agent or of the engine is frozen. If it is the
// agent's, the call first blocks until ctx is done, as the agent is frozen too.
func (s *remoteEngine) checkReachable(ctx context.Context) error {
	s.g.mu.Lock()
	frozenRank := s.g.frozenRank
	s.g.mu.Unlock()
	if frozenRank == s.agentRank {
		<-ctx.Done()
	}
	if frozenRank == s.agentRank || frozenRank == s.rank {
		return errors.New("unreachable")
	}
	return nil
}

func (s *remoteEngine) Status(ctx context.Context) (ranks.Status, error) {
	if err := s.checkReachable(ctx); err != nil {
		return ranks.Status{}, err
	}
	if s.rank != s.agentRank {
		return s.remoteStatus(), nil
	}
	return s.engine.Status(ctx)
}

func (s *remoteEngine) CurrentStatus(ctx context.Context) (ranks.Status, error) {
	return s.Status(ctx)
}

func (s *remoteEngine) Order(ctx context.Context, o ranks.Order, timeout time.Duration) (ranks.Verdict, error) {
	if err := s.checkReachable(ctx); err != nil {
		return ranks.Unknown, err
	}
	if o.Op != ranks.Prepare && s.noNewConnections.Load() {
		time.Sleep(timeout)
		return ranks.Unknown, errors.New("no answer")
	}
	verdict, err := s.engine.Order(ctx, o, timeout)
	s.g.mu.Lock()
	freeze := s.g.freezeOnHold && o.Op == ranks.Hold && verdict == ranks.Accepted
	if freeze {
		s.g.frozenRank, s.g.freezeOnHold = s.agentRank, false
	}
	s.g.mu.Unlock()
	if freeze {
		return ranks.Unknown, s.checkReachable(ctx)
	}
	return verdict, err
}

// OrderOnKeptConnection reaches an engine that serves no new connections.
func (s *remoteEngine) OrderOnKeptConnection(ctx context.Context, o ranks.Order, timeout time.Duration) error {
	if err := s.checkReachable(ctx); err != nil {
		return err
	}
	_, err := s.engine.Order(ctx, o, timeout)
	return err
}

// deployment is a simulatedGroup with an agent for each rank.
type deployment struct {
	g     *simulatedGroup
	state *kv.Store
	// url is the key-value service's.
	url string
	// kvs are the agents' clients of the key-value service, by rank.
	kvs  map[int]*cutKV
	stop []context.CancelFunc
	// metrics are the agents' registries, by rank.
	metrics []metrics.Registry
}

// listenDatagrams returns an address whose TCP port is free and a datagram socket on it.
// It tries again if another process has taken the port in between.
func listenDatagrams(t *testing.T) (string, *fleet.Datagrams) {
	t.Helper()
	var err error
	for range 10 {
		var l net.Listener
		if l, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			break
		}
		address := l.Addr().String()
		var d *fleet.Datagrams
		d, err = fleet.ListenDatagrams(address, zap.NewNop())
		l.Close()
		if err == nil {
			return address, d
		}
	}
	t.Fatal(err)
	return "", nil
}

func deploy(t *testing.T, fencing bool) *deployment {
	t.Helper()
	return deployRanks(t, testRanks, fencing)
}

func deployRanks(t *testing.T, size int, fencing bool) *deployment {
	t.Helper()
	ctx, d := deployGroup(t, size)
	for r := range size {
		d.startAgent(ctx, t, r, fencing)
	}
	return d
}

// deployGroup starts a group without agents, and a key-value service, until the returned
// context ends with the test.
func deployGroup(t *testing.T, size int) (context.Context, *deployment) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	d := &deployment{g: newSimulatedGroup(size), kvs: map[int]*cutKV{}, state: kv.NewStore(clockwork.NewRealClock())}
	srv := httptest.NewServer(kv.NewServer(d.state).Handler())
	t.Cleanup(srv.Close)
	t.Cleanup(cancel) // before the service closes, so that no watch blocks it
	d.url = srv.URL
	go d.g.run(ctx)
	return ctx, d
}

// startAgent starts the agent of a rank and registers it.
func (d *deployment) startAgent(ctx context.Context, t *testing.T, rank int, fencing bool) {
	t.Helper()
	d.startUnregisteredAgent(ctx, t, rank, fencing)()
}

// startUnregisteredAgent starts the agent of a rank and returns the function that
// registers it.
func (d *deployment) startUnregisteredAgent(ctx context.Context, t *testing.T, rank int, fencing bool) (register func()) {
	t.Helper()
	ctx, stop := context.WithCancel(ctx)
	d.stop = append(d.stop, stop)
	client := &cutKV{KV: platform.NewStore(d.url, time.Second)}
	d.kvs[rank] = client
	clock := clockwork.NewRealClock()
	address, datagrams := listenDatagrams(t)
	self := fleet.Member{Name: fmt.Sprint("vm-", rank), Role: fleet.RoleRank, Address: address, Upstream: fmt.Sprint(rank)}
	view := fleet.NewView(clock, zap.NewNop())
	routes := &routing.Store{}
	routes.Apply(routing.Configuration{Version: 1, Services: []routing.Service{{Name: "s", Engine: &routing.Engine{
		ReportLag: testReportLag,
		Experts:   routing.ExpertShape{Sets: 1, Experts: len(d.g.engines[rank].selections), SlotsPerRank: 6, MaxNewExperts: 2, ExpertTimeShare: 0.85, CopyTime: time.Millisecond},
	}}}}, clock.Now())
	registry := metrics.NewRegistry()
	d.metrics = append(d.metrics, registry)
	a := rankagent.New(rankagent.Options{
		Self: self, Service: "s", Engine: &remoteEngine{d.g.engines[rank], rank},
		Connect: func(address string) rankagent.Engine {
			var n int
			_, _ = fmt.Sscan(address, &n)
			return &remoteEngine{d.g.engines[n], rank}
		},
		View: view, Datagrams: datagrams, Routes: routes, KV: client, LeaderLeaseTTL: time.Second, Fencing: fencing,
		Clock: clock, Log: zap.NewNop(), Metrics: registry,
	})
	if err := fleet.Serve(ctx, self.Address, a.Handler(ctx), zap.NewNop()); err != nil {
		t.Fatal(err)
	}
	go (&feed.Feed{KV: client, Prefix: fleet.Prefix, Sink: view, Clock: clock, Log: zap.NewNop()}).Run(ctx)
	go a.RunElection(ctx)
	registrar := &fleet.Registrar{KV: client, Self: self, Clock: clock, Log: zap.NewNop()}
	return func() { go registrar.Run(ctx) }
}

// cutKV is a client of the key-value service that can be cut off.
type cutKV struct {
	kvstore.KV
	cut atomic.Bool
}

var errCut = fault.New(fault.Unavailable, "", "cut off")

// reachable returns an error while the client is cut off.
func (c *cutKV) reachable() error {
	if c.cut.Load() {
		return errCut
	}
	return nil
}

func (c *cutKV) Get(ctx context.Context, key string) (kvstore.Item, error) {
	if err := c.reachable(); err != nil {
		return kvstore.Item{}, err
	}
	return c.KV.Get(ctx, key)
}

func (c *cutKV) List(ctx context.Context, prefix string) (kvstore.Listing, error) {
	if err := c.reachable(); err != nil {
		return kvstore.Listing{}, err
	}
	return c.KV.List(ctx, prefix)
}

func (c *cutKV) Put(ctx context.Context, p kvstore.Put) (int64, error) {
	if err := c.reachable(); err != nil {
		return 0, err
	}
	return c.KV.Put(ctx, p)
}

func (c *cutKV) KeepAlive(ctx context.Context, lease int64) error {
	if err := c.reachable(); err != nil {
		return err
	}
	return c.KV.KeepAlive(ctx, lease)
}

// Watch is short, so that a cut takes effect soon.
func (c *cutKV) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (kvstore.Batch, error) {
	if err := c.reachable(); err != nil {
		return kvstore.Batch{}, err
	}
	return c.KV.Watch(ctx, prefix, after, min(wait, 100*time.Millisecond))
}

// registerStoppedAgent registers an agent of a rank that accepts no connections.
func (d *deployment) registerStoppedAgent(ctx context.Context, t *testing.T, rank int) {
	t.Helper()
	address, _ := listenDatagrams(t)
	self := fleet.Member{Name: fmt.Sprint("vm-", rank), Role: fleet.RoleRank, Address: address, Upstream: fmt.Sprint(rank)}
	go (&fleet.Registrar{KV: platform.NewStore(d.url, time.Second), Self: self, Clock: clockwork.NewRealClock(), Log: zap.NewNop()}).Run(ctx)
}

func (d *deployment) leaderName() string {
	item, err := d.state.Get(fleet.LeaderKey("g"))
	if err != nil {
		return ""
	}
	return string(item.Value)
}

// The leader detects that one expert is selected most and places a replica on every
// rank, also if a third of the orders get no answer.
func TestLeaderFollowsDemand(t *testing.T) {
	for _, lossRate := range []float64{0, 0.3} {
		g := NewWithT(t)
		d := deploy(t, true)
		d.g.mu.Lock()
		d.g.lossRate = lossRate
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

// The leader's VM may stop during a switch. The group must not be held at the leader's
// own rank, because no other agent could reach that rank to release it.
func TestLeaderHoldsTheGroupAtAnotherRank(t *testing.T) {
	g := NewWithT(t)
	d := deploy(t, true)
	holds := func() int {
		d.g.mu.Lock()
		defer d.g.mu.Unlock()
		n := 0
		for _, times := range d.g.holdsByRank {
			n += times
		}
		return n
	}
	g.Eventually(holds, "10s").ShouldNot(BeZero())
	var own int
	_, err := fmt.Sscanf(d.leaderName(), "vm-%d", &own)
	g.Expect(err).NotTo(HaveOccurred())
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	g.Expect(d.g.holdsByRank).NotTo(HaveKey(own))
}

// The VM of the agent that sends the order to hold the group freezes while doing so. The
// group must continue at once, without waiting for that VM.
func TestGroupContinuesWhenTheSenderOfItsHoldFreezes(t *testing.T) {
	g := NewWithT(t)
	d := deploy(t, true)
	d.g.mu.Lock()
	d.g.freezeOnHold = true
	d.g.mu.Unlock()
	frozenRank := func() int {
		d.g.mu.Lock()
		defer d.g.mu.Unlock()
		return d.g.frozenRank
	}
	g.Eventually(frozenRank, "20s").ShouldNot(Equal(-1))
	before, _, _, _ := d.g.state()
	g.Eventually(func() int64 {
		step, _, _, _ := d.g.state()
		return step
	}, "10s").Should(BeNumerically(">", before+20))
	g.Expect(frozenRank()).NotTo(Equal(-1))
	_, _, _, mixed := d.g.state()
	g.Expect(mixed).To(BeFalse())
}

// A switch fails because a VM freezes. The map in force is as it was, so the leader goes on
// once the VM is back, without reading every rank's lists, which takes long in a large
// group.
func TestLeaderGoesOnAfterAFailedSwitch(t *testing.T) {
	g := NewWithT(t)
	d := deploy(t, true)
	before := d.awaitMap(g, 0)
	d.g.mu.Lock()
	d.g.listsUnreadable, d.g.freezeOnHold, d.g.hotExpert = true, true, 3
	d.g.mu.Unlock()
	g.Eventually(func() int {
		d.g.mu.Lock()
		defer d.g.mu.Unlock()
		return d.g.frozenRank
	}, "20s").ShouldNot(Equal(-1))
	time.Sleep(time.Second) // the switch has failed
	d.g.mu.Lock()
	d.g.frozenRank, d.g.hotExpert = -1, 5
	d.g.mu.Unlock()
	d.awaitMap(g, before)
	_, _, _, mixed := d.g.state()
	g.Expect(mixed).To(BeFalse())
}

// The map of a large group is sent to a few agents, which relay it. If one of those has
// stopped, the leader sends the orders to the ranks of that branch itself.
func TestMapOfALargeGroupIsRelayed(t *testing.T) {
	g := NewWithT(t)
	const size = 28
	d := deployRanks(t, size, true)
	countSwitched := func(version int64) func() int {
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
	g.Eventually(countSwitched(0), "20s").Should(Equal(size))
	relayed := int64(0)
	for _, r := range d.metrics {
		relayed += telemetry.Counter(r, "maps_relayed").Count()
	}
	g.Expect(relayed).To(BeNumerically(">=", 4), "the leader's own link carries only a part of the copies")
	_, version, _, mixed := d.g.state()
	g.Expect(mixed).To(BeFalse())
	for r := 1; r < size; r += 5 { // among them an agent that relays
		d.stop[r]()
	}
	d.g.mu.Lock()
	d.g.hotExpert = 3
	d.g.mu.Unlock()
	g.Eventually(countSwitched(version), "30s").Should(Equal(size))
	_, _, _, mixed = d.g.state()
	g.Expect(mixed).To(BeFalse())
}

// Engines without fencing get no orders.
func TestEnginesThatDontFenceKeepTheirMap(t *testing.T) {
	g := NewWithT(t)
	d := deploy(t, false)
	g.Consistently(d.leaderName, "1500ms").Should(BeEmpty())
	_, version, _, _ := d.g.state()
	g.Expect(version).To(BeZero())
}

// A successor finds the ranks by the registrations of their agents. If a leader that isn't
// registered stopped, a hold at its rank would never be released.
func TestAgentLeadsOnlyOnceItIsRegistered(t *testing.T) {
	g := NewWithT(t)
	ctx, d := deployGroup(t, testRanks)
	register := d.startUnregisteredAgent(ctx, t, 0, true)
	g.Consistently(d.leaderName, "1500ms").Should(BeEmpty())
	register()
	g.Eventually(d.leaderName, "10s").Should(Equal("vm-0"))
}

// A leader that releases a hold while one rank's agent isn't registered yet must send that
// rank its orders once the agent is registered.
func TestHoldIsReleasedOnceAllAgentsAreRegistered(t *testing.T) {
	g := NewWithT(t)
	ctx, d := deployGroup(t, testRanks)
	d.g.mu.Lock()
	d.g.engines[0].held = 1
	d.g.mu.Unlock()
	for r := range testRanks - 1 {
		d.startAgent(ctx, t, r, true)
	}
	register := d.startUnregisteredAgent(ctx, t, testRanks-1, true)
	g.Eventually(d.leaderName, "10s").ShouldNot(BeEmpty())
	time.Sleep(time.Second) // the leader has begun to release the hold
	register()
	g.Eventually(func() int64 {
		step, _, _, _ := d.g.state()
		return step
	}, "10s").Should(BeNumerically(">", 20))
}

// When the leader stops, another agent becomes leader and releases a hold that was left
// behind.
func TestHoldThatIsLeftBehindIsEnded(t *testing.T) {
	g := NewWithT(t)
	d := deploy(t, true)
	g.Eventually(d.leaderName, "10s").ShouldNot(BeEmpty())
	first := d.leaderName()
	var rank int
	_, err := fmt.Sscanf(first, "vm-%d", &rank)
	g.Expect(err).NotTo(HaveOccurred())
	d.stop[rank]()
	d.g.mu.Lock()
	d.g.engines[0].held = d.g.step + 3
	d.g.mu.Unlock()
	g.Eventually(d.leaderName, "20s").ShouldNot(Or(BeEmpty(), Equal(first)))
	before, _, _, _ := d.g.state()
	g.Eventually(func() int64 {
		step, _, _, _ := d.g.state()
		return step
	}, "10s").Should(BeNumerically(">", before+20))
	_, _, _, mixed := d.g.state()
	g.Expect(mixed).To(BeFalse())
}

// awaitMap waits until a map newer than version is in force.
func (d *deployment) awaitMap(g Gomega, version int64) (inForce int64) {
	g.Eventually(func() int64 {
		_, inForce, _, _ = d.g.state()
		return inForce
	}, "20s").Should(BeNumerically(">", version))
	return inForce
}

// demand makes another expert the most selected one.
func (d *deployment) demand(expert int) {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	d.g.hotExpert = expert
}

// The key-value service comes back from a copy made before the leader was elected, so
// that a leader of the new era is elected at a lower revision. The old leader is cut off
// from the service and does not learn of it. The new leader's orders are accepted by
// every rank, the old one's by none.
func TestLeadersOfTwoEras(t *testing.T) {
	g := NewWithT(t)
	ctx, d := deployGroup(t, testRanks)
	d.state.Save()
	for range 50 { // the new era's revisions stay below those of the old one
		_, err := d.state.Put(kvstore.Put{Key: "other", Expect: kvstore.AnyRevision})
		g.Expect(err).NotTo(HaveOccurred())
	}
	d.startAgent(ctx, t, 0, true)
	g.Eventually(d.leaderName, "10s").Should(Equal("vm-0"))
	for r := 1; r < testRanks; r++ {
		d.startAgent(ctx, t, r, true)
	}
	before := d.awaitMap(g, 0)
	d.kvs[0].cut.Store(true)
	time.Sleep(200 * time.Millisecond) // ends the calls in flight
	d.state.Revert()
	g.Eventually(d.leaderName, "10s").ShouldNot(Or(BeEmpty(), Equal("vm-0")))
	d.demand(3)
	// The old leader may put a map into force until the new one's first order.
	inForce := d.awaitMap(g, (before>>20+1)<<20-1)
	d.demand(5)
	d.awaitMap(g, inForce)
	_, _, _, mixed := d.g.state()
	g.Expect(mixed).To(BeFalse())
}
