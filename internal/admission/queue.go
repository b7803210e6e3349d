package admission

import (
	"cmp"
	"slices"
)

// priorityCount is the number of priorities.
const priorityCount = 10

// queue holds waiting tickets, ordered by priority, then by the accounts'
// shares, then by their latest begin, then by age.
type queue struct {
	levels [priorityCount]level
	size   int
}

// level holds the tickets of one priority and schedules its accounts by
// start-time fair queueing. virtualTime is the start tag of the ticket dequeued
// last.
type level struct {
	accounts    map[string]*backlog
	active      []*backlog
	virtualTime float64
	size        int
}

// backlog holds the waiting tickets of one account. next is the start tag of
// its first ticket.
type backlog struct {
	share   float64
	next    float64
	tickets []*Ticket
}

func newQueue() queue {
	var q queue
	for i := range q.levels {
		q.levels[i].accounts = map[string]*backlog{}
	}
	return q
}

func (q *queue) len() int { return q.size }

func (q *queue) level(t *Ticket) *level {
	return &q.levels[min(max(t.Priority, 0), priorityCount-1)]
}

func (q *queue) push(t *Ticket) {
	l := q.level(t)
	b := l.accounts[t.Account]
	if b == nil {
		b = &backlog{}
		l.accounts[t.Account] = b
	}
	b.share = float64(max(t.Share, 1))
	if len(b.tickets) == 0 {
		b.next = max(b.next, l.virtualTime)
		l.active = append(l.active, b)
	}
	b.insert(t)
	l.size++
	q.size++
}

// insert adds a ticket behind those that have to begin no later. One without such a time goes
// to the end.
func (b *backlog) insert(t *Ticket) {
	at := len(b.tickets)
	for !t.BeginBy.IsZero() && at > 0 && (b.tickets[at-1].BeginBy.IsZero() || b.tickets[at-1].BeginBy.After(t.BeginBy)) {
		at--
	}
	b.tickets = slices.Insert(b.tickets, at, t)
}

// peek returns the ticket to start next, or nil.
func (q *queue) peek() *Ticket {
	for i := priorityCount - 1; i >= 0; i-- {
		if b := q.levels[i].next(); b != nil {
			return b.tickets[0]
		}
	}
	return nil
}

// next returns the backlog with the smallest start tag, or nil.
func (l *level) next() *backlog {
	if l.size == 0 {
		return nil
	}
	return slices.MinFunc(l.active, func(a, b *backlog) int { return cmp.Compare(a.next, b.next) })
}

// dequeue removes the ticket that peek returned and advances its account's
// start tag.
func (q *queue) dequeue(t *Ticket) {
	l := q.level(t)
	b := l.accounts[t.Account]
	l.virtualTime = b.next
	b.next += 1 / b.share
	q.removeAt(l, b, 0)
}

// putBack undoes a dequeue of the ticket that was dequeued last.
func (q *queue) putBack(t *Ticket) {
	l := q.level(t)
	b := l.accounts[t.Account]
	if b == nil {
		b = &backlog{share: float64(max(t.Share, 1)), next: l.virtualTime}
		l.accounts[t.Account] = b
	} else {
		b.next -= 1 / b.share
	}
	if len(b.tickets) == 0 {
		l.active = append(l.active, b)
	}
	b.tickets = slices.Insert(b.tickets, 0, t)
	l.size++
	q.size++
}

// evict removes and returns the ticket to refuse: the newest one of the account
// with the longest backlog relative to its share, at the lowest priority with
// waiting tickets.
func (q *queue) evict() *Ticket {
	for i := range q.levels {
		l := &q.levels[i]
		if l.size == 0 {
			continue
		}
		b := slices.MaxFunc(l.active, func(a, b *backlog) int { return cmp.Compare(a.lengthPerShare(), b.lengthPerShare()) })
		last := len(b.tickets) - 1
		t := b.tickets[last]
		q.removeAt(l, b, last)
		return t
	}
	return nil
}

func (b *backlog) lengthPerShare() float64 { return float64(len(b.tickets)) / b.share }

func (q *queue) remove(t *Ticket) {
	l := q.level(t)
	b := l.accounts[t.Account]
	if b == nil {
		return
	}
	if i := slices.Index(b.tickets, t); i >= 0 {
		q.removeAt(l, b, i)
	}
}

func (q *queue) removeAt(l *level, b *backlog, i int) {
	b.tickets = slices.Delete(b.tickets, i, i+1)
	l.size--
	q.size--
	if len(b.tickets) > 0 {
		return
	}
	if at := slices.Index(l.active, b); at >= 0 {
		l.active = slices.Delete(l.active, at, at+1)
	}
	if len(l.active) == 0 {
		l.accounts = map[string]*backlog{}
	}
}

// countAhead returns the number of tickets that would be dequeued before t: all
// of higher priorities, and those of its own priority that the accounts' shares
// put before it.
func (q *queue) countAhead(t *Ticket) int {
	n := 0
	for i := min(max(t.Priority, 0), priorityCount-1) + 1; i < priorityCount; i++ {
		n += q.levels[i].size
	}
	l := q.level(t)
	own := 0
	if b := l.accounts[t.Account]; b != nil {
		own = len(b.tickets)
	}
	share := float64(max(t.Share, 1))
	before := float64(own)
	for _, b := range l.active {
		if b != l.accounts[t.Account] {
			before += min(float64(len(b.tickets)), float64(own+1)*b.share/share)
		}
	}
	return n + int(before)
}

// order returns the waiting tickets in the order in which they would be dequeued.
func (q *queue) order() []*Ticket {
	c := queue{size: q.size}
	for i, l := range q.levels {
		c.levels[i] = level{accounts: map[string]*backlog{}, virtualTime: l.virtualTime, size: l.size}
		for account, b := range l.accounts {
			copied := *b
			copied.tickets = slices.Clone(b.tickets)
			c.levels[i].accounts[account] = &copied
		}
		for _, b := range l.active {
			c.levels[i].active = append(c.levels[i].active, c.levels[i].accounts[b.tickets[0].Account])
		}
	}
	out := make([]*Ticket, 0, q.size)
	for c.size > 0 {
		t := c.peek()
		c.dequeue(t)
		out = append(out, t)
	}
	return out
}

// all returns the waiting tickets in no particular order.
func (q *queue) all() []*Ticket {
	out := make([]*Ticket, 0, q.size)
	for i := range q.levels {
		for _, b := range q.levels[i].active {
			out = append(out, b.tickets...)
		}
	}
	return out
}
