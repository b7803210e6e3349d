package ranks_test

import (
	"errors"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/ranks"
)

// engine is a rank that follows the published rules for orders.
type engine struct {
	sequence, highest, fence    int64
	active, prepared, armed, at int64
	held                        int64
	copying                     int
	copied                      int64
}

func newEngine() engine {
	return engine{prepared: ranks.None, armed: ranks.None, held: ranks.None}
}

// late is an order whose answer was lost and that is carried out later.
type late struct {
	rank  int
	order ranks.Order
	in    int
}

// world is a group under a random schedule of faults.
type world struct {
	rng     *rand.Rand
	engines []engine
	step    int64
	epoch   int64
	late    []late
	calls   int
	// dieAt is the call at which the leader dies, or -1.
	dieAt int
	// faults is the part of the orders that go wrong.
	faults   float64
	mixed    bool
	switches int
}

var errDead = errors.New("the leader died")

func newWorld(seed uint64, size int) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), epoch: 1, dieAt: -1, faults: 0.15}
	for range size {
		w.engines = append(w.engines, newEngine())
	}
	return w
}

// carryOut applies an order to a rank, as its engine would.
func (w *world) carryOut(rank int, o ranks.Order) ranks.Verdict {
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
		if o.Version <= e.highest || e.armed != ranks.None {
			return ranks.Refused
		}
		e.highest, e.copied, e.copying = o.Version, o.Version, w.rng.IntN(4)
	case ranks.Arm:
		if e.armed == o.Version && e.at == o.Step {
			return ranks.Accepted
		}
		if e.prepared != o.Version || o.Step <= w.step {
			return ranks.Refused
		}
		e.armed, e.at = o.Version, o.Step
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

// advance lets time pass: late orders, copies, steps, new epochs.
func (w *world) advance() {
	w.calls++
	for i := 0; i < len(w.late); {
		w.late[i].in--
		if w.late[i].in > 0 {
			i++
			continue
		}
		l := w.late[i]
		w.late = append(w.late[:i], w.late[i+1:]...)
		w.carryOut(l.rank, l.order)
	}
	for i := range w.engines {
		e := &w.engines[i]
		if e.copied > 0 {
			if e.copying--; e.copying <= 0 {
				e.prepared, e.copied = e.copied, 0
			}
		}
	}
	if w.rng.IntN(400) == 0 {
		w.reform()
	}
	for range w.rng.IntN(3) {
		w.begin()
	}
}

func (w *world) reform() {
	w.epoch++
	lost := w.rng.IntN(len(w.engines))
	for i := range w.engines {
		e := &w.engines[i]
		e.active, e.prepared, e.armed, e.held, e.copied = 0, ranks.None, ranks.None, ranks.None, 0
		if i == lost {
			*e = newEngine()
		}
	}
}

// begin begins the next step unless a rank holds it.
func (w *world) begin() {
	next := w.step + 1
	for i := range w.engines {
		if w.engines[i].held == next {
			return
		}
	}
	w.step = next
	for i := range w.engines {
		if e := &w.engines[i]; e.armed != ranks.None && e.at == next {
			e.active, e.armed = e.armed, ranks.None
		}
	}
	for i := range w.engines {
		if w.engines[i].active != w.engines[0].active {
			w.mixed = true
		}
	}
}

func (w *world) status(rank int) ranks.Status {
	e := w.engines[rank]
	return ranks.Status{
		Group: "g", Epoch: w.epoch, Rank: rank, Size: len(w.engines), Open: true, Step: w.step, Sequence: e.sequence,
		Map: e.active, Prepared: e.prepared, Armed: e.armed, Held: e.held,
	}
}

// Order implements ranks.Group.
func (w *world) Order(orders map[int]ranks.Order) map[int]ranks.Answer {
	answers := map[int]ranks.Answer{}
	for rank := range len(w.engines) {
		o, ok := orders[rank]
		if !ok {
			continue
		}
		w.die()
		answers[rank] = w.deliver(rank, o)
		w.advance()
	}
	return answers
}

func (w *world) deliver(rank int, o ranks.Order) ranks.Answer {
	if w.rng.Float64() < w.faults {
		switch w.rng.IntN(3) {
		case 0: // lost
		case 1:
			w.carryOut(rank, o)
		case 2:
			w.late = append(w.late, late{rank, o, 1 + w.rng.IntN(60)})
		}
		return ranks.Answer{}
	}
	v := w.carryOut(rank, o)
	return ranks.Answer{Verdict: v, Status: w.status(rank), OK: true}
}

func (w *world) die() {
	if w.dieAt >= 0 && w.calls >= w.dieAt {
		w.dieAt = -1
		panic(errDead)
	}
}

// ReadStatuses implements ranks.Group.
func (w *world) ReadStatuses() map[int]ranks.Status {
	w.die()
	w.advance()
	all := map[int]ranks.Status{}
	for r := range w.engines {
		if w.rng.Float64() >= w.faults/4 {
			all[r] = w.status(r)
		}
	}
	return all
}

// Pause implements ranks.Group.
func (w *world) Pause() bool {
	w.die()
	w.advance()
	return true
}

// lead runs a leader with a fence base of its own for some switches, and says
// whether it died.
func (w *world) lead(base int64) (died bool) {
	defer func() {
		if r := recover(); r != nil {
			if r != errDead {
				panic(r)
			}
			died = true
		}
	}()
	n := int64(0)
	s := &ranks.Switcher{
		Group: w, Size: len(w.engines), HoldRank: int(base) % len(w.engines), IsLeader: func() bool { return true },
		Fence: func() int64 { n += ranks.MaxSends; return base<<20 + n },
	}
	for range 5 {
		if s.Recover() == nil {
			break
		}
	}
	for i := range int64(3) {
		if s.Switch(w.epoch, base<<20+i+1, nil, 3) == nil {
			w.switches++
		} else {
			_ = s.Recover()
		}
	}
	return false
}

// goesOn expects that a last leader lets the group go on, with one map. The late
// orders still on their way are void; it ends a hold that one of them may have set
// before it was.
func goesOn(g *WithT, w *world, seed uint64) {
	w.faults = 0
	for len(w.late) > 0 {
		w.advance()
	}
	w.lead(9)
	before := w.step
	for range 20 {
		w.begin()
	}
	g.Expect(w.step).To(Equal(before+20), "seed %d: the group is held", seed)
	g.Expect(w.mixed).To(BeFalse(), "seed %d", seed)
}

// TestSwitchNeverMixesMaps runs random schedules: orders that are lost, whose
// answers are lost, or that are carried out later, after newer ones; leaders
// that die at any call; ranks that restart; new epochs. No step may begin with
// two maps, and after the last leader nothing may hold the group.
func TestSwitchNeverMixesMaps(t *testing.T) {
	g := NewWithT(t)
	const schedules = 20000
	switches := 0
	for seed := range uint64(schedules) {
		w := newWorld(seed, 4)
		for leader := range int64(3) {
			if leader < 2 && w.rng.IntN(2) == 0 {
				w.dieAt = w.calls + w.rng.IntN(120)
			}
			w.lead(leader + 1)
			w.dieAt = -1
		}
		g.Expect(w.mixed).To(BeFalse(), "seed %d", seed)
		switches += w.switches
		goesOn(g, w, seed)
	}
	t.Logf("%d schedules from seed 0, %d switches made", schedules, switches)
	g.Expect(switches).To(BeNumerically(">", schedules))
}

// turns lets several leaders use one world, one call at a time, in an order
// that the seed decides.
type turns struct {
	*world
	asked chan *contender
}

// contender is one of the leaders.
type contender struct {
	t    *turns
	turn chan struct{}
	done chan struct{}
}

// wait blocks until it is the contender's turn.
func (c *contender) wait() {
	c.t.asked <- c
	<-c.turn
}

// epoch reads the group's epoch in turn.
func (c *contender) epoch() int64 {
	c.wait()
	defer func() { c.done <- struct{}{} }()
	return c.t.world.epoch
}

// Order implements ranks.Group.
func (c *contender) Order(orders map[int]ranks.Order) map[int]ranks.Answer {
	answers := map[int]ranks.Answer{}
	for rank := range len(c.t.engines) {
		if o, ok := orders[rank]; ok {
			c.wait()
			answers[rank] = c.t.deliver(rank, o)
			c.t.advance()
			c.done <- struct{}{}
		}
	}
	return answers
}

// ReadStatuses implements ranks.Group.
func (c *contender) ReadStatuses() map[int]ranks.Status {
	c.wait()
	defer func() { c.done <- struct{}{} }()
	return c.t.ReadStatuses()
}

// Pause implements ranks.Group.
func (c *contender) Pause() bool {
	c.wait()
	defer func() { c.done <- struct{}{} }()
	return c.t.Pause()
}

// contend runs leaders side by side, each with a higher fence than the one
// before, until all have ended.
func contend(w *world, leaders int) {
	t := &turns{world: w, asked: make(chan *contender)}
	ended := make(chan struct{})
	for i := range leaders {
		c := &contender{t: t, turn: make(chan struct{}), done: make(chan struct{})}
		go func() {
			defer func() { ended <- struct{}{} }()
			base, n, deposed := int64(i+1), int64(0), false
			s := &ranks.Switcher{
				Group: c, Size: len(w.engines), HoldRank: i, IsLeader: func() bool { return !deposed },
				Fence: func() int64 { n += ranks.MaxSends; return base<<20 + n },
				OnAnswer: func(_ int, _ ranks.Order, a ranks.Answer) {
					deposed = deposed || a.Verdict == ranks.Fenced
				},
			}
			for k := int64(1); k <= 3 && !deposed; k++ {
				if ranks.HasUnfinishedSwitch(c.ReadStatuses()) && s.Recover() != nil {
					continue
				}
				if s.Switch(c.epoch(), base<<20+k, nil, 3) != nil {
					_ = s.Recover()
				}
			}
		}()
	}
	var waiting []*contender
	for running := leaders; running > 0; {
		for len(waiting) < running {
			select {
			case c := <-t.asked:
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

// TestDeposedLeadersMixNoMaps runs leaders side by side that each believe to
// lead until an engine refuses them: one that was frozen, or cut off from the
// key-value service, and those who came after it.
func TestDeposedLeadersMixNoMaps(t *testing.T) {
	g := NewWithT(t)
	const schedules = 4000
	for seed := range uint64(schedules) {
		w := newWorld(seed, 4)
		contend(w, 3)
		g.Expect(w.mixed).To(BeFalse(), "seed %d", seed)
		goesOn(g, w, seed)
	}
	t.Logf("%d schedules of three leaders side by side from seed 0", schedules)
}

// rounds counts the rounds of orders to a group.
type rounds struct {
	ranks.Group
	n int
}

func (r *rounds) Order(orders map[int]ranks.Order) map[int]ranks.Answer {
	r.n++
	return r.Group.Order(orders)
}

// A large group waits while what a leader left behind is ended: the rounds of orders
// must not grow with its size.
func TestHoldOfALargeGroupIsEndedInAFewRounds(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(1, 64)
	w.faults = 0
	n := int64(0)
	r := &rounds{Group: w}
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
