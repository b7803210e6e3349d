package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// testController offers requests to a controller and records the decisions.
type testController struct {
	*Controller
	clock   *clockwork.FakeClock
	started []*Ticket
	refused map[*Ticket]Decision
}

func newTestController(capacity int, opts Options) *testController {
	clock := clockwork.NewFakeClock()
	d := &testController{clock: clock, refused: map[*Ticket]Decision{}}
	d.Controller = NewController(clock, rand.New(rand.NewPCG(1, 2)), NewUsage(), opts)
	d.SetCapacity("p", capacity)
	return d
}

func (d *testController) offer(r Request) *Ticket {
	var t *Ticket
	var early *Decision
	record := func(dec Decision) {
		if dec.Start {
			d.started = append(d.started, t)
		} else {
			d.refused[t] = dec
		}
	}
	r.Pool = "p"
	r.OnDecision = func(dec Decision) {
		if t == nil {
			early = &dec
			return
		}
		record(dec)
	}
	t = d.Offer(r)
	if early != nil {
		record(*early)
	}
	return t
}

// serve ends the request started first, after the given time.
func (d *testController) serve(after time.Duration) {
	d.clock.Advance(after)
	t := d.started[0]
	d.started = d.started[1:]
	d.Finish(t, true)
}

var _ = Describe("Controller", func() {
	It("starts the highest priority first", func() {
		d := newTestController(1, Options{})
		d.offer(Request{Account: "a"})
		low := d.offer(Request{Account: "a", Priority: 1})
		high := d.offer(Request{Account: "b", Priority: 9})
		d.serve(time.Second)
		Expect(d.started).To(Equal([]*Ticket{high}))
		d.serve(time.Second)
		Expect(d.started).To(Equal([]*Ticket{low}))
	})

	It("starts requests in proportion to the accounts' shares, however many wait", func() {
		d := newTestController(1, Options{MinQueue: 1000})
		d.offer(Request{Account: "x"})
		for range 300 {
			d.offer(Request{Account: "large", Share: 1})
		}
		for range 60 {
			d.offer(Request{Account: "small", Share: 3})
		}
		turns := map[string]int{}
		for range 80 {
			d.serve(time.Millisecond)
			turns[d.started[0].Account]++
		}
		Expect(turns["small"]).To(BeNumerically("~", 60, 1))
	})

	It("refuses the lowest priority of the account with the longest backlog", func() {
		d := newTestController(1, Options{MinQueue: 3, MaxQueue: 3})
		d.offer(Request{Account: "x"})
		d.offer(Request{Account: "large", Priority: 1})
		large := d.offer(Request{Account: "large", Priority: 1})
		small := d.offer(Request{Account: "small", Priority: 1})
		high := d.offer(Request{Account: "large", Priority: 5})
		Expect(d.refused).To(HaveLen(1))
		Expect(d.refused[large].Reason).To(Equal(QueueFull))
		Expect(d.refused).NotTo(HaveKey(small))
		Expect(d.refused).NotTo(HaveKey(high))
	})

	It("spreads the retries of refused callers at the drain rate", func() {
		d := newTestController(1, Options{MinQueue: 1, MaxQueue: 1})
		d.offer(Request{Account: "x"})
		for range 100 {
			d.serve(100 * time.Millisecond)
			d.offer(Request{Account: "x"})
		}
		d.offer(Request{Account: "x"})
		first := d.refused[d.offer(Request{Account: "x"})].RetryAfter
		for range 48 {
			d.offer(Request{Account: "x"})
		}
		last := d.refused[d.offer(Request{Account: "x"})].RetryAfter
		Expect(first).To(BeNumerically("<=", 300*time.Millisecond))
		Expect(last).To(BeNumerically("~", 5100*time.Millisecond, 1500*time.Millisecond))
	})

	It("refuses at once a request that can't meet its deadline", func() {
		d := newTestController(1, Options{})
		d.offer(Request{Account: "x"})
		d.serve(time.Second)
		d.offer(Request{Account: "x"})
		t := d.offer(Request{Account: "x", Deadline: d.clock.Now().Add(1500 * time.Millisecond)})
		Expect(d.refused[t].Reason).To(Equal(Deadline))
	})

	It("refuses a waiting request as soon as it can't meet its deadline", func() {
		d := newTestController(1, Options{})
		d.offer(Request{Account: "x"})
		t := d.offer(Request{Account: "x", Deadline: d.clock.Now().Add(time.Second)})
		d.Tick()
		Expect(d.refused).To(BeEmpty())
		d.clock.Advance(1100 * time.Millisecond)
		d.Tick()
		Expect(d.refused[t].Reason).To(Equal(Deadline))
		Expect(d.Waiting("p")).To(Equal(0))
	})

	It("refuses a waiting request that is overtaken for too long", func() {
		d := newTestController(1, Options{})
		d.offer(Request{Account: "x"})
		t := d.offer(Request{Account: "x"})
		d.clock.Advance(DefaultMaxWait + time.Millisecond)
		d.Tick()
		Expect(d.refused[t].Reason).To(Equal(QueueFull))
	})

	It("enforces an account's limit", func() {
		d := newTestController(0, Options{})
		first := d.offer(Request{Account: "x", MaxInFlight: 1})
		second := d.offer(Request{Account: "x", MaxInFlight: 1})
		Expect(d.refused[second].Reason).To(Equal(Limit))
		d.Finish(first, true)
		d.offer(Request{Account: "x", MaxInFlight: 1})
		Expect(d.refused).To(HaveLen(1))
	})

	It("starts with an equal share of a pool that is in demand", func() {
		d := newTestController(12, Options{})
		d.usage.SetEntries(3, 3)
		for range 20 {
			d.offer(Request{Account: "x"})
		}
		Expect(d.InFlight("p")).To(Equal(5))
	})

	It("uses the part of a limit that the other entries leave", func() {
		d := newTestController(0, Options{})
		d.usage.SetEntries(4, 4)
		d.usage.SetLimit(AccountKey("x"), 40)
		fill := func() int {
			for range 40 {
				d.offer(Request{Account: "x", MaxInFlight: 40})
			}
			return d.usage.Local(AccountKey("x"))
		}
		Expect(fill()).To(Equal(10))
		d.usage.Receive("p", []Item{{Key: AccountKey("x"), Flow: -7.5, Mean: 2.5}})
		for range 40 {
			d.Tick()
			fill()
		}
		Expect(d.usage.Total(AccountKey("x"))).To(BeNumerically("~", 40, 4))
		Expect(fill()).To(BeNumerically("~", 17, 2))
	})

	It("removes a caller that leaves the queue", func() {
		d := newTestController(1, Options{})
		d.offer(Request{Account: "x"})
		t := d.offer(Request{Account: "x"})
		Expect(d.Withdraw(t)).To(BeTrue())
		Expect(d.Withdraw(t)).To(BeFalse())
		Expect(d.usage.Local(AccountKey("x"))).To(Equal(1))
	})
})

// TestControllerInvariants checks, over random calls, that each request gets
// one decision, that the limit holds and that no request remains counted.
func TestControllerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 5).Draw(t, "capacity")
		d := newTestController(capacity, Options{MinQueue: 3, MaxQueue: 6})
		limit := max(1, int(math.Round(DefaultHeadroom*float64(capacity))))
		var offered []*Ticket
		for range rapid.IntRange(1, 80).Draw(t, "calls") {
			switch rapid.IntRange(0, 3).Draw(t, "call") {
			case 0, 1:
				offered = append(offered, d.offer(Request{
					Account:  fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "account")),
					Priority: rapid.IntRange(0, 9).Draw(t, "priority"),
					Deadline: d.clock.Now().Add(time.Duration(rapid.IntRange(1, 5).Draw(t, "seconds")) * time.Second),
				}))
			case 2:
				if len(d.started) > 0 {
					d.serve(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
				}
			case 3:
				d.clock.Advance(300 * time.Millisecond)
				d.Tick()
			}
			if d.InFlight("p") > limit || d.Waiting("p") > 6 {
				t.Fatalf("in flight %d of %d, waiting %d", d.InFlight("p"), limit, d.Waiting("p"))
			}
			if d.Waiting("p") > 0 && d.InFlight("p") < limit {
				t.Fatal("a request waits although the limit allows it to start")
			}
		}
		for len(d.started) > 0 {
			d.serve(0)
		}
		if n := d.usage.Local(PoolKey("p")); n != 0 {
			t.Fatalf("%d requests remain counted", n)
		}
		for _, o := range offered {
			if o.state != finished {
				t.Fatal("a request is neither finished nor refused")
			}
		}
	})
}
