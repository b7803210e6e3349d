package bench

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
)

// loop runs events in order of time on a fake clock, for experiments with the
// decision packages alone.
type loop struct {
	clock  *clockwork.FakeClock
	start  time.Time
	rand   *rand.Rand
	events eventHeap
	seq    int
}

type loopEvent struct {
	at  time.Duration
	seq int
	run func()
}

type eventHeap []loopEvent

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h *eventHeap) Push(x any) { *h = append(*h, x.(loopEvent)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

func newLoop(seed uint64) *loop {
	clock := clockwork.NewFakeClock()
	return &loop{clock: clock, start: clock.Now(), rand: rand.New(rand.NewPCG(seed, 1))}
}

// now returns the time since the start.
func (l *loop) now() time.Duration { return l.clock.Since(l.start) }

// after runs f once d has passed.
func (l *loop) after(d time.Duration, f func()) {
	l.seq++
	heap.Push(&l.events, loopEvent{l.now() + max(d, 0), l.seq, f})
}

// every runs f at intervals, the first time after a random part of one.
func (l *loop) every(interval time.Duration, f func()) {
	var again func()
	again = func() {
		f()
		l.after(interval, again)
	}
	l.after(time.Duration(l.rand.Int64N(int64(interval))), again)
}

// arrivals runs f as a Poisson process of a rate per second.
func (l *loop) arrivals(rate float64, f func()) {
	var again func()
	again = func() {
		f()
		l.after(l.exponential(rate), again)
	}
	l.after(l.exponential(rate), again)
}

func (l *loop) exponential(rate float64) time.Duration {
	return time.Duration(l.rand.ExpFloat64() / rate * float64(time.Second))
}

// runUntil runs the events up to a time.
func (l *loop) runUntil(end time.Duration) {
	for len(l.events) > 0 && l.events[0].at <= end {
		e := heap.Pop(&l.events).(loopEvent)
		l.clock.Advance(e.at - l.now())
		e.run()
	}
	l.clock.Advance(end - l.now())
}
