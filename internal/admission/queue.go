package admission

import (
	"cmp"
	"slices"
)

// priorities is the number of priorities.
const priorities = 10

// queue holds waiting tickets: by priority, then by the accounts' shares, then
// by age.
type queue struct {
	levels [priorities]level
	size   int
}

// level is one priority: start-time fair queueing over its accounts. virtual
// is the start tag of the last ticket taken.
type level struct {
	accounts map[string]*backlog
	active   []*backlog
	virtual  float64
	size     int
}

// backlog is one account's waiting tickets. next is the start tag of its first
// ticket.
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
	return &q.levels[min(max(t.Priority, 0), priorities-1)]
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
		b.next = max(b.next, l.virtual)
		l.active = append(l.active, b)
	}
	b.tickets = append(b.tickets, t)
	l.size++
	q.size++
}

// first returns the most urgent ticket, or nil.
func (q *queue) first() *Ticket {
	for i := priorities - 1; i >= 0; i-- {
		if b := q.levels[i].next(); b != nil {
			return b.tickets[0]
		}
	}
	return nil
}

// next returns the backlog whose turn it is, or nil.
func (l *level) next() *backlog {
	if l.size == 0 {
		return nil
	}
	return slices.MinFunc(l.active, func(a, b *backlog) int { return cmp.Compare(a.next, b.next) })
}

// take removes the first ticket and charges its account for the turn.
func (q *queue) take(t *Ticket) {
	l := q.level(t)
	b := l.accounts[t.Account]
	l.virtual = b.next
	b.next += 1 / b.share
	q.removeAt(l, b, 0)
}

// evict takes the ticket to refuse: of the lowest priority, from the account
// with the longest backlog for its share, the newest.
func (q *queue) evict() *Ticket {
	for i := range q.levels {
		l := &q.levels[i]
		if l.size == 0 {
			continue
		}
		b := slices.MaxFunc(l.active, func(a, b *backlog) int { return cmp.Compare(a.weight(), b.weight()) })
		last := len(b.tickets) - 1
		t := b.tickets[last]
		q.removeAt(l, b, last)
		return t
	}
	return nil
}

func (b *backlog) weight() float64 { return float64(len(b.tickets)) / b.share }

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

// ahead returns how many tickets are taken before t would be: those of higher
// priorities, and of its own priority what the shares put before it.
func (q *queue) ahead(t *Ticket) int {
	n := 0
	for i := min(max(t.Priority, 0), priorities-1) + 1; i < priorities; i++ {
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

// all returns the waiting tickets.
func (q *queue) all() []*Ticket {
	out := make([]*Ticket, 0, q.size)
	for i := range q.levels {
		for _, b := range q.levels[i].active {
			out = append(out, b.tickets...)
		}
	}
	return out
}
