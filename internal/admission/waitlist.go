package admission

// Waitlist holds requests that wait for a pool whose upstreams can't serve for
// now: the most urgent first, then by the accounts' shares, then by age. Nothing
// in it has been sent. It is not safe for concurrent use.
type Waitlist struct{ queue queue }

// NewWaitlist returns an empty list.
func NewWaitlist() *Waitlist { return &Waitlist{queue: newQueue()} }

// Len returns the number of waiting requests.
func (w *Waitlist) Len() int { return w.queue.len() }

// Add makes a request wait. Over the bound, the least urgent one of the account
// with the longest backlog is refused at once, which may be the new one.
func (w *Waitlist) Add(r Request, bound int) *Ticket {
	t := &Ticket{Request: r}
	w.queue.push(t)
	for w.queue.len() > max(bound, 1) {
		out := w.queue.evict()
		out.state = over
		out.OnDecision(Decision{Reason: QueueFull})
	}
	return t
}

// Start starts up to n requests and returns how many.
func (w *Waitlist) Start(n int) (started int) {
	for started < n && w.queue.len() > 0 {
		t := w.queue.first()
		w.queue.take(t)
		t.state = over
		started++
		t.OnDecision(Decision{Start: true})
	}
	return started
}

// Remove ends the wait of a request; false means that it had been decided on.
func (w *Waitlist) Remove(t *Ticket) bool {
	if t.state != waiting {
		return false
	}
	w.queue.remove(t)
	t.state = over
	return true
}
