package ranks_test

import (
	"errors"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/ranks"
)

// engine simulates a rank's engine that follows the documented rules for orders.
type engine struct {
	sequence, highestVersion, fence    int64
	active, prepared, armed, armedStep int64
	held                               int64
	copyTicks                          int
	copyVersion                        int64
}

func newEngine() engine {
	return engine{prepared: ranks.None, armed: ranks.None, held: ranks.None}
}

// delayed is an order without an answer that is carried out later.
type delayed struct {
	rank      int
	order     ranks.Order
	remaining int // calls of advance until then
}

// simulatedGroup is a group under a random schedule of faults.
type simulatedGroup struct {
	rng     *rand.Rand
	engines []engine
	step    int64
	epoch   int64
	delayed []delayed
	calls   int
	// leaderDeathCall is the value of calls at which the leader dies, or -1.
	leaderDeathCall int
	// faultRate is the fraction of the orders that fail.
	faultRate float64
	// agentsStop lets the agents of ranks stop and start again. agentDown holds the ranks
	// whose agent is down: these report late, and refuse some orders without reading them.
	agentsStop bool
	agentDown  []bool
	// reports holds the last statuses of each rank, oldest first.
	reports [][]ranks.Status
	// gate decides whether the leaders may hold the group; nil means always.
	gate *ranks.Gate
	// mixed is set once a step has begun with two maps.
	mixed bool
	// switches counts the successful switches.
	switches int
}

var errLeaderDied = errors.New("the leader died")

func newSimulatedGroup(seed uint64, size int) *simulatedGroup {
	w := &simulatedGroup{rng: rand.New(rand.NewPCG(seed, 1)), epoch: 1, leaderDeathCall: -1, faultRate: 0.15}
	for range size {
		w.engines = append(w.engines, newEngine())
	}
	w.agentDown, w.reports = make([]bool, size), make([][]ranks.Status, size)
	return w
}

// carryOut applies an order to a rank as its engine would.
func (w *simulatedGroup) carryOut(rank int, o ranks.Order) ranks.Verdict {
	e := &w.engines[rank]
	if o.Fence < e.fence {
		return ranks.Fenced
	}
	e.fence = o.Fence
	if o.Epoch != w.epoch {
		return ranks.Refused
	}
	switch o.Op {
	case ranks.Prepare:
		if o.Version <= e.highestVersion || e.armed != ranks.None {
			return ranks.Refused
		}
		e.highestVersion, e.copyVersion, e.copyTicks = o.Version, o.Version, w.rng.IntN(4)
	case ranks.Arm:
		if e.armed == o.Version && e.armedStep == o.Step {
			return ranks.Accepted
		}
		if e.prepared != o.Version || o.Step <= w.step {
			return ranks.Refused
		}
		e.armed, e.armedStep = o.Version, o.Step
	case ranks.Disarm:
		if e.active == o.Version && o.Version != 0 {
			return ranks.Refused
		}
		if e.armed == o.Version {
			e.armed = ranks.None
		}
	case ranks.Hold:
		if o.Step <= w.step {
			return ranks.Refused
		}
		e.held = o.Step
	case ranks.Release:
		if e.held == o.Step {
			e.held = ranks.None
		}
	}
	e.sequence++
	return ranks.Accepted
}

// advance lets time pass: it carries out delayed orders, continues copies, begins
// steps, and sometimes forms a new epoch.
func (w *simulatedGroup) advance() {
	w.calls++
	for i := 0; i < len(w.delayed); {
		w.delayed[i].remaining--
		if w.delayed[i].remaining > 0 {
			i++
			continue
		}
		l := w.delayed[i]
		w.delayed = append(w.delayed[:i], w.delayed[i+1:]...)
		w.carryOut(l.rank, l.order)
	}
	for i := range w.engines {
		e := &w.engines[i]
		if e.copyVersion > 0 {
			if e.copyTicks--; e.copyTicks <= 0 {
				e.prepared, e.copyVersion = e.copyVersion, 0
			}
		}
	}
	if w.rng.IntN(400) == 0 {
		w.formNewEpoch()
	}
	if w.agentsStop {
		w.stopAgents()
	}
	for range w.rng.IntN(3) {
		w.beginStep()
	}
}

// maxReports bounds the age of a report, in calls of advance.
const maxReports = 20

// stopAgents stops or starts some agents and records the ranks' reports.
func (w *simulatedGroup) stopAgents() {
	for r := range w.engines {
		if w.rng.IntN(30) == 0 {
			w.agentDown[r] = !w.agentDown[r]
		}
		w.reports[r] = append(w.reports[r], w.status(r))
		w.reports[r] = w.reports[r][max(len(w.reports[r])-maxReports, 0):]
	}
}

// report returns the status of a rank as another VM gets it if the rank's agent is down: one
// of some time ago.
func (w *simulatedGroup) report(rank int) ranks.Status {
	if !w.agentDown[rank] || len(w.reports[rank]) == 0 {
		return w.status(rank)
	}
	return w.reports[rank][w.rng.IntN(len(w.reports[rank]))]
}

// answer returns the answer to an order that a rank has carried out or refused.
func (w *simulatedGroup) answer(rank int, o ranks.Order, v ranks.Verdict) ranks.Answer {
	switch {
	case o.Op == ranks.Prepare:
		return ranks.Answer{Verdict: v, Status: w.report(rank), OK: true}
	case v == ranks.Accepted && !o.Confirm:
		return ranks.Answer{Verdict: v}
	case !w.agentDown[rank]:
		return ranks.Answer{Verdict: v, Status: w.status(rank), OK: true}
	case v == ranks.Refused || v == ranks.Accepted:
		return ranks.Answer{Verdict: v, Status: w.status(rank), OK: w.rng.IntN(4) > 0}
	}
	return ranks.Answer{Verdict: v}
}

func (w *simulatedGroup) formNewEpoch() {
	w.epoch++
	lost := w.rng.IntN(len(w.engines))
	for i := range w.engines {
		e := &w.engines[i]
		e.active, e.prepared, e.armed, e.held, e.copyVersion = 0, ranks.None, ranks.None, ranks.None, 0
		if i == lost {
			*e = newEngine()
		}
	}
}

// beginStep begins the next step unless a rank holds it.
func (w *simulatedGroup) beginStep() {
	next := w.step + 1
	for i := range w.engines {
		if w.engines[i].held == next {
			return
		}
	}
	w.step = next
	for i := range w.engines {
		if e := &w.engines[i]; e.armed != ranks.None && e.armedStep == next {
			e.active, e.armed = e.armed, ranks.None
		}
	}
	for i := range w.engines {
		if w.engines[i].active != w.engines[0].active {
			w.mixed = true
		}
	}
}

func (w *simulatedGroup) status(rank int) ranks.Status {
	e := w.engines[rank]
	return ranks.Status{
		Group: "g", Epoch: w.epoch, Rank: rank, Size: len(w.engines), GroupServing: true, Step: w.step, Sequence: e.sequence,
		Map: e.active, Prepared: e.prepared, Armed: e.armed, Held: e.held,
	}
}

// Order implements ranks.Group.
func (w *simulatedGroup) Order(orders map[int]ranks.Order) map[int]ranks.Answer {
	answers := map[int]ranks.Answer{}
	for rank := range len(w.engines) {
		o, ok := orders[rank]
		if !ok {
			continue
		}
		w.dieIfDue()
		answers[rank] = w.deliver(rank, o)
		w.advance()
	}
	return answers
}

func (w *simulatedGroup) deliver(rank int, o ranks.Order) ranks.Answer {
	if w.agentDown[rank] && w.rng.Float64() < w.faultRate/4 {
		return w.answer(rank, o, ranks.Refused)
	}
	if w.rng.Float64() < w.faultRate {
		switch w.rng.IntN(4) {
		case 3: // a resend of the order arrives first
			resend := o
			resend.Fence += ranks.MaxSends - 1
			w.carryOut(rank, resend)
			return w.answer(rank, o, w.carryOut(rank, o))
		case 0: // lost
		case 1:
			w.carryOut(rank, o)
		case 2:
			w.delayed = append(w.delayed, delayed{rank, o, 1 + w.rng.IntN(60)})
		}
		return ranks.Answer{}
	}
	return w.answer(rank, o, w.carryOut(rank, o))
}

func (w *simulatedGroup) dieIfDue() {
	if w.leaderDeathCall >= 0 && w.calls >= w.leaderDeathCall {
		w.leaderDeathCall = -1
		panic(errLeaderDied)
	}
}

// ReadStatuses implements ranks.Group.
func (w *simulatedGroup) ReadStatuses() map[int]ranks.Status {
	w.dieIfDue()
	w.advance()
	all := map[int]ranks.Status{}
	for r := range w.engines {
		if w.rng.Float64() >= w.faultRate/4 {
			all[r] = w.report(r)
		}
	}
	return all
}

// Pause implements ranks.Group.
func (w *simulatedGroup) Pause() bool {
	w.dieIfDue()
	w.advance()
	return true
}

// runLeader runs a leader with its own range of fences for some switches, and reports
// whether it died.
func (w *simulatedGroup) runLeader(fenceBase int64) (died bool) {
	defer func() {
		if r := recover(); r != nil {
			if r != errLeaderDied {
				panic(r)
			}
			died = true
		}
	}()
	n := int64(0)
	s := &ranks.Switcher{
		Group: w, Size: len(w.engines), HoldRanks: []int{int(fenceBase) % len(w.engines), 0}, Gate: w.gate, IsLeader: func() bool { return true },
		ConfirmLeader: func() bool { return true },
		Fence:         func() int64 { n += ranks.MaxSends; return fenceBase<<20 + n },
	}
	for range 5 {
		if s.Recover() == nil {
			break
		}
	}
	for i := range int64(3) {
		if s.Switch(w.epoch, fenceBase<<20+i+1, nil, 3) == nil {
			w.switches++
		} else {
			_ = s.Recover()
		}
	}
	return false
}

// expectProgress runs a last leader without faults and expects that the group can
// begin steps again, all ranks with one map. Delayed orders are carried out first; the
// leader releases a hold that one of them may have set.
func expectProgress(g *WithT, w *simulatedGroup, seed uint64) {
	w.faultRate, w.agentsStop = 0, false
	for len(w.delayed) > 0 {
		w.advance()
	}
	clear(w.agentDown)
	w.runLeader(9)
	before := w.step
	for range 20 {
		w.beginStep()
	}
	g.Expect(w.step).To(Equal(before+20), "seed %d: the group is held", seed)
	g.Expect(w.mixed).To(BeFalse(), "seed %d", seed)
}

// TestSwitchNeverMixesMaps runs random schedules in which orders or their answers are
// lost, orders are carried out after newer ones, leaders die at any call, ranks
// restart, and new epochs form. In every second schedule agents stop too, so that ranks
// report late, and in half of each kind leaders give up if orders go unanswered. No step may begin with two maps, and after the last
// leader the group must not be held.
func TestSwitchNeverMixesMaps(t *testing.T) {
	g := NewWithT(t)
	const schedules = 20000
	switches := 0
	for seed := range uint64(schedules) {
		w := newSimulatedGroup(seed, 4)
		w.agentsStop = seed%2 == 1
		if seed%4 >= 2 {
			w.gate = &ranks.Gate{}
		}
		for leader := range int64(3) {
			if leader < 2 && w.rng.IntN(2) == 0 {
				w.leaderDeathCall = w.calls + w.rng.IntN(120)
			}
			w.runLeader(leader + 1)
			w.leaderDeathCall = -1
		}
		g.Expect(w.mixed).To(BeFalse(), "seed %d", seed)
		switches += w.switches
		expectProgress(g, w, seed)
	}
	t.Logf("%d schedules from seed 0, %d switches made", schedules, switches)
	g.Expect(switches).To(BeNumerically(">", schedules))
}

// turnScheduler lets several leaders use one simulated group, one call at a time, in
// an order that the seed determines.
type turnScheduler struct {
	*simulatedGroup
	requests chan *concurrentLeader
}

// concurrentLeader is one leader of a turnScheduler. It implements ranks.Group.
type concurrentLeader struct {
	t    *turnScheduler
	turn chan struct{}
	done chan struct{}
}

// awaitTurn blocks until it is this leader's turn.
func (c *concurrentLeader) awaitTurn() {
	c.t.requests <- c
	<-c.turn
}

// epoch reads the group's epoch when it is this leader's turn.
func (c *concurrentLeader) epoch() int64 {
	c.awaitTurn()
	defer func() { c.done <- struct{}{} }()
	return c.t.simulatedGroup.epoch
}

// Order implements ranks.Group.
func (c *concurrentLeader) Order(orders map[int]ranks.Order) map[int]ranks.Answer {
	answers := map[int]ranks.Answer{}
	for rank := range len(c.t.engines) {
		if o, ok := orders[rank]; ok {
			c.awaitTurn()
			answers[rank] = c.t.deliver(rank, o)
			c.t.advance()
			c.done <- struct{}{}
		}
	}
	return answers
}

// ReadStatuses implements ranks.Group.
func (c *concurrentLeader) ReadStatuses() map[int]ranks.Status {
	c.awaitTurn()
	defer func() { c.done <- struct{}{} }()
	return c.t.ReadStatuses()
}

// Pause implements ranks.Group.
func (c *concurrentLeader) Pause() bool {
	c.awaitTurn()
	defer func() { c.done <- struct{}{} }()
	return c.t.Pause()
}

// A resend of an order arrives at a rank before the order itself, which is then fenced. The
// leader goes on if the service confirms its lease, and ends when it isn't confirmed or
// the rank fences its next order too.
func TestOrderFencedByItsResendDoesntEndTheLeadership(t *testing.T) {
	for name, c := range map[string]struct {
		confirmed, otherLeader, switches bool
	}{
		"confirmed":                   {true, false, true},
		"not confirmed":               {false, false, false},
		"confirmed, but fenced again": {true, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := newSimulatedGroup(1, 4)
			w.faultRate = 0
			n, superseded := int64(0), false
			s := &ranks.Switcher{
				Group: w, Size: 4, IsLeader: func() bool { return true }, ConfirmLeader: func() bool { return c.confirmed },
				OnSuperseded: func() { superseded = true },
				Fence:        func() int64 { n += ranks.MaxSends; return 1<<20 + n },
			}
			w.engines[2].fence = 1<<20 + 4*ranks.MaxSends + 1 // above its Prepare, below any later order
			if c.otherLeader {
				w.engines[2].fence = 2 << 20
			}
			err := s.Switch(w.epoch, 1<<20+1, nil, 3)
			g.Expect(err == nil).To(Equal(c.switches))
			g.Expect(superseded).To(Equal(!c.switches))
		})
	}
}

// runConcurrentLeaders runs leaders concurrently, each with higher fences than the one
// before, until all have returned.
func runConcurrentLeaders(w *simulatedGroup, leaders int) {
	t := &turnScheduler{simulatedGroup: w, requests: make(chan *concurrentLeader)}
	ended := make(chan struct{})
	for i := range leaders {
		c := &concurrentLeader{t: t, turn: make(chan struct{}), done: make(chan struct{})}
		go func() {
			defer func() { ended <- struct{}{} }()
			fenceBase, n, superseded := int64(i+1), int64(0), false
			s := &ranks.Switcher{
				Group: c, Size: len(w.engines), HoldRanks: []int{i}, IsLeader: func() bool { return !superseded },
				Fence: func() int64 { n += ranks.MaxSends; return fenceBase<<20 + n },
				// A leader may think that it still leads: the ranks must not depend on it.
				ConfirmLeader: func() bool { return c.t.rng.IntN(2) == 0 },
				OnSuperseded:  func() { superseded = true },
			}
			for k := int64(1); k <= 3 && !superseded; k++ {
				if ranks.HasUnfinishedSwitch(c.ReadStatuses()) && s.Recover() != nil {
					continue
				}
				if s.Switch(c.epoch(), fenceBase<<20+k, nil, 3) != nil {
					_ = s.Recover()
				}
			}
		}()
	}
	var waiting []*concurrentLeader
	for running := leaders; running > 0; {
		for len(waiting) < running {
			select {
			case c := <-t.requests:
				waiting = append(waiting, c)
			case <-ended:
				running--
			}
		}
		if running == 0 {
			return
		}
		i := w.rng.IntN(len(waiting))
		c := waiting[i]
		waiting = append(waiting[:i], waiting[i+1:]...)
		c.turn <- struct{}{}
		<-c.done
	}
}

// TestSupersededLeadersMixNoMaps runs leaders concurrently that each act as the leader
// until an engine fences one of their orders. This happens when a leader was frozen
// or cut off from the key-value service while others were elected.
func TestSupersededLeadersMixNoMaps(t *testing.T) {
	g := NewWithT(t)
	const schedules = 4000
	for seed := range uint64(schedules) {
		w := newSimulatedGroup(seed, 4)
		w.agentsStop = seed%2 == 1
		runConcurrentLeaders(w, 3)
		g.Expect(w.mixed).To(BeFalse(), "seed %d", seed)
		expectProgress(g, w, seed)
	}
	t.Logf("%d schedules of three concurrent leaders from seed 0", schedules)
}

// roundCounter counts the rounds of orders sent to a group.
type roundCounter struct {
	ranks.Group
	n int
}

func (r *roundCounter) Order(orders map[int]ranks.Order) map[int]ranks.Answer {
	r.n++
	return r.Group.Order(orders)
}

// A group is held while Recover cleans up an unfinished switch. The number of rounds
// of orders must not grow with the size of the group.
func TestHoldOfALargeGroupIsEndedInAFewRounds(t *testing.T) {
	g := NewWithT(t)
	w := newSimulatedGroup(1, 64)
	w.faultRate = 0
	n := int64(0)
	r := &roundCounter{Group: w}
	s := &ranks.Switcher{
		Group: r, Size: 64, IsLeader: func() bool { return true },
		Fence: func() int64 { n += ranks.MaxSends; return 1<<20 + n },
	}
	w.Order(map[int]ranks.Order{5: {Op: ranks.Hold, Step: w.step + 50, Epoch: w.epoch, Fence: 1}})
	g.Expect(w.ReadStatuses()[5].Held).NotTo(Equal(ranks.None))
	g.Expect(s.Recover()).To(Succeed())
	g.Expect(w.ReadStatuses()[5].Held).To(Equal(ranks.None))
	g.Expect(r.n).To(BeNumerically("<=", 4))
}
