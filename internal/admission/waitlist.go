package admission

import "slices"

// Waitlist holds requests for a pool whose upstreams can't serve them at
// present, ordered by priority, then by the accounts' shares, then by age. None
// of them has been dispatched. A Waitlist is not safe for concurrent use.
type Waitlist struct{ queue queue }

// NewWaitlist returns an empty list.
func NewWaitlist() *Waitlist { return &Waitlist{queue: newQueue()} }

// Len returns the number of waiting requests.
func (w *Waitlist) Len() int { return w.queue.len() }

// Add adds a request. If the list is then longer than maxLength, the newest
// request of the account with the longest backlog, at the lowest priority, is
// refused at once; that may be the new one.
func (w *Waitlist) Add(r Request, maxLength int) *Ticket {
	t := &Ticket{Request: r}
	w.queue.push(t)
	for w.queue.len() > max(maxLength, 1) {
		evicted := w.queue.evict()
		evicted.state = finished
		evicted.OnDecision(Decision{Reason: QueueFull})
	}
	return t
}

// Start starts up to n requests and returns how many it started. Requests that can't start keep
// their places.
func (w *Waitlist) Start(n int) (started int) {
	var kept []*Ticket
	for started < n && w.queue.len() > 0 {
		t := w.queue.peek()
		w.queue.dequeue(t)
		if t.TryStart != nil && !t.TryStart() {
			kept = append(kept, t)
			continue
		}
		t.state = finished
		started++
		t.OnDecision(Decision{Start: true})
	}
	for _, t := range slices.Backward(kept) {
		w.queue.putBack(t)
	}
	return started
}

// RefuseAll refuses all waiting requests.
func (w *Waitlist) RefuseAll(reason Reason) {
	for _, t := range w.queue.all() {
		w.queue.remove(t)
		t.state = finished
		t.OnDecision(Decision{Reason: reason})
	}
}

// Remove removes a waiting request. It returns false if the request was decided
// before.
func (w *Waitlist) Remove(t *Ticket) bool {
	if t.state != waiting {
		return false
	}
	w.queue.remove(t)
	t.state = finished
	return true
}
