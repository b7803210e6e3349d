package admission

import (
	"slices"
	"time"
)

// Waitlist holds requests for a pool whose upstreams can't serve them at
// present. Those that can still be on time come first. Within both parts they are
// ordered by priority, then by the accounts' shares, then by their latest begin, then by
// age. None of them has been dispatched. A Waitlist is not safe for concurrent use.
type Waitlist struct{ onTime, late queue }

// NewWaitlist returns an empty list.
func NewWaitlist() *Waitlist { return &Waitlist{onTime: newQueue(), late: newQueue()} }

// Len returns the number of waiting requests.
func (w *Waitlist) Len() int { return w.onTime.len() + w.late.len() }

// Add adds a request. If the list is then longer than maxLength, the last
// request of the account with the longest backlog, at the lowest priority among those that
// are late already, if there are any, is refused at once; that may be the new one.
func (w *Waitlist) Add(r Request, maxLength int) *Ticket {
	t := &Ticket{Request: r}
	w.queueOf(t).push(t)
	for w.Len() > max(maxLength, 1) {
		from := &w.late
		if from.len() == 0 {
			from = &w.onTime
		}
		refuse(from.evict(), QueueFull)
	}
	return t
}

func (w *Waitlist) queueOf(t *Ticket) *queue {
	if t.OnTimeUntil.IsZero() {
		return &w.late
	}
	return &w.onTime
}

func refuse(t *Ticket, reason Reason) {
	t.state = finished
	t.OnDecision(Decision{Reason: reason})
}

// MarkLate puts the requests that can no longer be on time behind those that can.
func (w *Waitlist) MarkLate(now time.Time) {
	for _, t := range w.onTime.all() {
		if now.After(t.OnTimeUntil) {
			w.onTime.remove(t)
			t.OnTimeUntil = time.Time{}
			w.late.push(t)
		}
	}
}

// Start starts up to n requests and returns how many it started. Requests that can't start keep
// their places.
func (w *Waitlist) Start(n int) (started int) {
	started = start(&w.onTime, n)
	return started + start(&w.late, n-started)
}

func start(q *queue, n int) (started int) {
	var kept []*Ticket
	for started < n && q.len() > 0 {
		t := q.peek()
		q.dequeue(t)
		if t.TryStart != nil && !t.TryStart() {
			kept = append(kept, t)
			continue
		}
		t.state = finished
		started++
		t.OnDecision(Decision{Start: true})
	}
	for _, t := range slices.Backward(kept) {
		q.putBack(t)
	}
	return started
}

// RefuseAll refuses all waiting requests.
func (w *Waitlist) RefuseAll(reason Reason) {
	for _, q := range []*queue{&w.onTime, &w.late} {
		for _, t := range q.all() {
			q.remove(t)
			refuse(t, reason)
		}
	}
}

// RefuseHopeless refuses the requests whose callers will have left before their turn, and
// returns how many it refused. turn returns how long it takes until a request starts that has
// the given number of others before it.
func (w *Waitlist) RefuseHopeless(now time.Time, turn func(ahead int) time.Duration) (refused int) {
	ahead := 0
	for _, q := range []*queue{&w.onTime, &w.late} {
		for _, t := range q.order() {
			if t.BeginBy.IsZero() || !now.Add(turn(ahead)).After(t.BeginBy) {
				ahead++
				continue
			}
			q.remove(t)
			refuse(t, Deadline)
			refused++
		}
	}
	return refused
}

// Remove removes a waiting request. It returns false if the request was decided
// before.
func (w *Waitlist) Remove(t *Ticket) bool {
	if t.state != waiting {
		return false
	}
	w.queueOf(t).remove(t)
	t.state = finished
	return true
}
