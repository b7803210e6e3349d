package bench

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
)

// eventLoop is a discrete-event simulator: it runs events in order of time on a
// fake clock. Experiments use it to run the decision packages alone.
type eventLoop struct {
	clock  *clockwork.FakeClock
	start  time.Time
	rand   *rand.Rand
	events eventHeap
	seq    int
}

// event is a function to run at a time since the start; seq orders events of the
// same time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

func newLoop(seed uint64) *eventLoop {
	clock := clockwork.NewFakeClock()
	return &eventLoop{clock: clock, start: clock.Now(), rand: rand.New(rand.NewPCG(seed, 1))}
}

// now returns the simulated time since the start.
func (l *eventLoop) now() time.Duration { return l.clock.Since(l.start) }

// after schedules f to run after d; a negative d counts as 0.
func (l *eventLoop) after(d time.Duration, f func()) {
	l.seq++
	heap.Push(&l.events, event{l.now() + max(d, 0), l.seq, f})
}

// scheduleEvery schedules f at every interval; the first run comes after a random
// fraction of an interval.
func (l *eventLoop) scheduleEvery(interval time.Duration, f func()) {
	var tick func()
	tick = func() {
		f()
		l.after(interval, tick)
	}
	l.after(time.Duration(l.rand.Int64N(int64(interval))), tick)
}

// scheduleArrivals schedules f as a Poisson process with the given rate per
// second.
func (l *eventLoop) scheduleArrivals(rate float64, f func()) {
	var arrive func()
	arrive = func() {
		f()
		l.after(l.exponentialDelay(rate), arrive)
	}
	l.after(l.exponentialDelay(rate), arrive)
}

// exponentialDelay draws the time until the next event of a Poisson process.
func (l *eventLoop) exponentialDelay(rate float64) time.Duration {
	return time.Duration(l.rand.ExpFloat64() / rate * float64(time.Second))
}

// runUntil runs the events up to end and advances the clock to end.
func (l *eventLoop) runUntil(end time.Duration) {
	for len(l.events) > 0 && l.events[0].at <= end {
		e := heap.Pop(&l.events).(event)
		l.clock.Advance(e.at - l.now())
		e.run()
	}
	l.clock.Advance(end - l.now())
}
