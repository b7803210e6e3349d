package admission

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
)

// Reason says why a request was refused.
type Reason string

// The reasons.
const (
	// QueueFull means that the pool's queue holds more urgent requests.
	QueueFull Reason = "queue-full"
	// Deadline means that the request can't end before its deadline.
	Deadline Reason = "deadline"
	// Limit means that the client account has reached its limit.
	Limit Reason = "limit"
)

// Decision is what happens to a request.
type Decision struct {
	// Start says that the request may be dispatched.
	Start bool
	// Reason is set for a refusal.
	Reason Reason
	// RetryAfter is when a refused caller may come back.
	RetryAfter time.Duration
}

// Request asks for admission to a pool.
type Request struct {
	Pool    string
	Account string
	// Priority orders requests, 0 is the lowest.
	Priority int
	// Share weighs the accounts of one priority; 0 means 1.
	Share int
	// MaxInFlight bounds the account over all entries; 0 means no bound.
	MaxInFlight int
	// Deadline is when the caller gives up.
	Deadline time.Time
	// OnDecision is called once with the decision, maybe before Offer returns.
	OnDecision func(Decision)
}

// Ticket is a request that was offered. It is waiting, started or over.
type Ticket struct {
	Request
	account Key
	state   ticketState
	offered time.Time
	started time.Time
}

type ticketState uint8

const (
	waiting ticketState = iota
	running
	over
)

// Options set a controller's limits. Zero values mean the defaults.
type Options struct {
	// MaxWait bounds a queue by the time that it takes to drain, and how long
	// a request waits that more urgent ones keep overtaking.
	MaxWait time.Duration
	// Headroom is what may be in flight over the capacity, as a factor, so that
	// no upstream runs dry while another has a queue.
	Headroom float64
	// MinQueue and MaxQueue bound a queue's length.
	MinQueue, MaxQueue int
}

// Defaults of Options.
const (
	DefaultMaxWait  = 2 * time.Second
	DefaultHeadroom = 1.25
	DefaultMinQueue = 16
	DefaultMaxQueue = 4096
)

func (o Options) withDefaults() Options {
	if o.MaxWait == 0 {
		o.MaxWait = DefaultMaxWait
	}
	if o.Headroom == 0 {
		o.Headroom = DefaultHeadroom
	}
	if o.MinQueue == 0 {
		o.MinQueue = DefaultMinQueue
	}
	if o.MaxQueue == 0 {
		o.MaxQueue = DefaultMaxQueue
	}
	return o
}

// Controller admits the requests of one entry.
type Controller struct {
	opts  Options
	clock clockwork.Clock
	rand  *rand.Rand
	usage *Usage
	pools map[string]*pool
	parts map[Key]*part
}

// NewController returns a controller that counts into usage.
func NewController(clock clockwork.Clock, rng *rand.Rand, usage *Usage, opts Options) *Controller {
	return &Controller{opts: opts.withDefaults(), clock: clock, rand: rng, usage: usage, pools: map[string]*pool{}, parts: map[Key]*part{}}
}

func (c *Controller) pool(name string) *pool {
	p := c.pools[name]
	if p == nil {
		p = newPool(name, c.clock.Now())
		c.pools[name] = p
	}
	return p
}

// SetCapacity sets what all entries together may have in flight at a pool; 0
// means no bound.
func (c *Controller) SetCapacity(name string, capacity int) {
	p := c.pool(name)
	if p.capacity == capacity {
		return
	}
	p.capacity = capacity
	c.usage.SetLimit(p.key, capacity)
	c.fill(p)
}

// Limit returns this entry's part of a pool's capacity: the capacity divided
// in proportion to the entries' demand.
func (c *Controller) limit(p *pool) int {
	if p.capacity == 0 {
		return math.MaxInt
	}
	own := float64(c.usage.Local(p.key))
	total := max(c.usage.ReachableTotal(p.key), 1)
	capacity := float64(p.capacity) * c.opts.Headroom
	return max(1, int(math.Round(capacity*min(1, own/total))))
}

// Offer decides on a new request. A refusal has been told through OnDecision when
// Offer returns; a waiting request is told later.
func (c *Controller) Offer(r Request) *Ticket {
	t := &Ticket{Request: r, account: AccountKey(r.Account), offered: c.clock.Now()}
	p := c.pool(r.Pool)
	p.rate.advance(c.clock.Now())
	if r.MaxInFlight > 0 && !c.takes(t.account, r.MaxInFlight) {
		c.refuse(p, t, Limit)
		return t
	}
	c.usage.Add(p.key, 1)
	c.usage.Add(t.account, 1)
	if p.queue.len() == 0 && p.inFlight < c.limit(p) {
		c.start(p, t)
		return t
	}
	if c.tooLate(p, t) {
		c.drop(p, t, Deadline)
		return t
	}
	p.queue.push(t)
	c.bound(p)
	c.fill(p)
	return t
}

// tooLate says whether a request that has to wait would miss its deadline.
func (c *Controller) tooLate(p *pool, t *Ticket) bool {
	if t.Deadline.IsZero() {
		return false
	}
	wait := p.rate.timeFor(p.queue.ahead(t))
	return c.clock.Now().Add(wait + p.service.bound()).After(t.Deadline)
}

// bound drops the least urgent requests over the queue's bound.
func (c *Controller) bound(p *pool) {
	for p.queue.len() > c.queueBound(p) {
		c.drop(p, p.queue.evict(), QueueFull)
	}
}

func (c *Controller) queueBound(p *pool) int {
	byTime := int(p.rate.perSecond() * c.opts.MaxWait.Seconds())
	return min(max(byTime, c.opts.MinQueue), c.opts.MaxQueue)
}

// start dispatches a ticket.
func (c *Controller) start(p *pool, t *Ticket) {
	t.state = running
	t.started = c.clock.Now()
	p.inFlight++
	t.OnDecision(Decision{Start: true})
}

// drop refuses a ticket that was counted.
func (c *Controller) drop(p *pool, t *Ticket, reason Reason) {
	c.uncount(p, t)
	c.refuse(p, t, reason)
}

func (c *Controller) uncount(p *pool, t *Ticket) {
	c.usage.Add(p.key, -1)
	c.usage.Add(t.account, -1)
}

func (c *Controller) refuse(p *pool, t *Ticket, reason Reason) {
	t.state = over
	t.OnDecision(Decision{Reason: reason, RetryAfter: c.retryAfter(p)})
}

// fill starts waiting requests while there is room. One that is too late is
// refused and costs its account no turn.
func (c *Controller) fill(p *pool) {
	latest := c.clock.Now().Add(p.service.bound())
	for p.queue.len() > 0 && p.inFlight < c.limit(p) {
		t := p.queue.first()
		if t.endsBefore(latest) {
			p.queue.remove(t)
			c.drop(p, t, Deadline)
			continue
		}
		p.queue.take(t)
		c.start(p, t)
	}
}

// endsBefore says whether the deadline is before the given time.
func (t *Ticket) endsBefore(latest time.Time) bool {
	return !t.Deadline.IsZero() && t.Deadline.Before(latest)
}

// Finish ends a started request. Served says that it got its answer, which
// counts for the drain rate.
func (c *Controller) Finish(t *Ticket, served bool) {
	if t.state != running {
		return
	}
	t.state = over
	p := c.pool(t.Pool)
	p.inFlight--
	c.uncount(p, t)
	now := c.clock.Now()
	p.rate.advance(now)
	if served {
		p.rate.add()
		p.service.add(now.Sub(t.started))
	}
	c.fill(p)
}

// Withdraw ends a waiting request whose caller left or ran out of time; false
// means that it was not waiting. OnDecision is not called.
func (c *Controller) Withdraw(t *Ticket) bool {
	if t.state != waiting {
		return false
	}
	p := c.pool(t.Pool)
	p.queue.remove(t)
	t.state = over
	c.uncount(p, t)
	return true
}

// Tick corrects the limits after an exchange of usage and refuses at once the
// waiting requests that can no longer make their deadlines. It is called at the
// interval of the exchange.
func (c *Controller) Tick() {
	now := c.clock.Now()
	c.tickParts()
	for _, p := range c.pools {
		p.rate.advance(now)
		c.expire(p, now)
		c.bound(p)
		c.fill(p)
	}
}

// expire refuses the requests that can no longer make their deadline or have
// waited for too long.
func (c *Controller) expire(p *pool, now time.Time) {
	latest := now.Add(p.service.bound())
	oldest := now.Add(-c.opts.MaxWait)
	for _, t := range p.queue.all() {
		switch {
		case t.endsBefore(latest):
			p.queue.remove(t)
			c.drop(p, t, Deadline)
		case t.offered.Before(oldest):
			p.queue.remove(t)
			c.drop(p, t, QueueFull)
		}
	}
}

// Waiting returns the waiting requests of a pool.
func (c *Controller) Waiting(name string) int { return c.pool(name).queue.len() }

// InFlight returns the started requests of a pool.
func (c *Controller) InFlight(name string) int { return c.pool(name).inFlight }

// RetryAfter returns when a caller that the pool could not serve may come
// back.
func (c *Controller) RetryAfter(name string) time.Duration {
	p := c.pool(name)
	p.rate.advance(c.clock.Now())
	return c.retryAfter(p)
}

const (
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// retryJitter spreads Retry-After by up to this share on both sides.
	retryJitter = 0.25
)

// retryAfter gives each refused caller the next free turn at the pool's drain
// rate, behind the queue and those refused before it, with jitter.
func (c *Controller) retryAfter(p *pool) time.Duration {
	now := c.clock.Now()
	turn := p.rate.timeFor(1)
	earliest := now.Add(p.rate.timeFor(p.queue.len()))
	if p.nextTurn.Before(earliest) {
		p.nextTurn = earliest
	}
	p.nextTurn = p.nextTurn.Add(turn)
	if latest := now.Add(maxRetryAfter); p.nextTurn.After(latest) {
		p.nextTurn = latest
	}
	spread := 1 + retryJitter*(2*c.rand.Float64()-1)
	after := time.Duration(float64(p.nextTurn.Sub(now)) * spread)
	return min(max(after, minRetryAfter), maxRetryAfter)
}
