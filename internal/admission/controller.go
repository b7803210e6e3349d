package admission

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
)

// Reason is why a request was refused.
type Reason string

// The reasons.
const (
	// QueueFull means that the pool's queue is full of requests that take
	// precedence, or that the request waited for too long.
	QueueFull Reason = "queue-full"
	// Deadline means that the request can't complete before its deadline.
	Deadline Reason = "deadline"
	// Limit means that the client account has reached its limit of requests in
	// flight.
	Limit Reason = "limit"
	// Evacuated means that all upstreams of the pool are in evacuated data centres.
	Evacuated Reason = "evacuated"
)

// Decision is the result of asking for admission.
type Decision struct {
	// Start is set if the request may be dispatched.
	Start bool
	// Reason is set if the request is refused.
	Reason Reason
	// RetryAfter is the delay after which a refused caller may retry.
	RetryAfter time.Duration
}

// Request is a request for admission to a pool.
type Request struct {
	Pool    string
	Account string
	// Priority is from 0, the lowest, to 9, the highest: the reverse of the
	// priorities of package routing.
	Priority int
	// Share is the account's weight among the accounts of one priority. Zero
	// means 1.
	Share int
	// MaxInFlight limits the account's requests in flight at all entries
	// together. Zero means no limit.
	MaxInFlight int
	// Deadline is when the caller stops waiting. Zero means no deadline.
	Deadline time.Time
	// OnTimeUntil is until when a request on a Waitlist can start and still be on time, zero
	// if it is late or that isn't known. BeginBy is the latest start for which its caller
	// waits, zero if that isn't known.
	OnTimeUntil, BeginBy time.Time
	// TryStart, if not nil, is asked by a Waitlist before the request starts. If it returns
	// false, the request goes on waiting.
	TryStart func() bool
	// OnDecision is called at most once with the decision, possibly before
	// Offer returns.
	OnDecision func(Decision)
}

// Ticket is a request that was offered.
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
	finished
)

// Options are the settings of a Controller. Zero values mean the defaults.
type Options struct {
	// MaxWait limits the length of a queue to the requests that drain in this
	// time. A request that has waited for longer, because more urgent ones keep
	// overtaking it, is refused.
	MaxWait time.Duration
	// Headroom is the factor by which the requests in flight may exceed the
	// capacity, so that no upstream runs idle while another one has a queue.
	Headroom float64
	// MinQueue and MaxQueue are the smallest and the largest limit of a queue's
	// length, in requests.
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

// Controller decides on the requests of one entry.
type Controller struct {
	opts        Options
	clock       clockwork.Clock
	rand        *rand.Rand
	usage       *Usage
	pools       map[string]*pool
	entryShares map[Key]*entryShare
}

// NewController returns a controller that counts its requests in usage.
func NewController(clock clockwork.Clock, rng *rand.Rand, usage *Usage, opts Options) *Controller {
	return &Controller{opts: opts.withDefaults(), clock: clock, rand: rng, usage: usage, pools: map[string]*pool{}, entryShares: map[Key]*entryShare{}}
}

func (c *Controller) pool(name string) *pool {
	p := c.pools[name]
	if p == nil {
		p = newPool(name, c.clock.Now())
		c.pools[name] = p
	}
	return p
}

// SetCapacity sets the number of requests that all entries together may have in
// flight at a pool. Zero means no limit.
func (c *Controller) SetCapacity(name string, capacity int) {
	p := c.pool(name)
	if p.capacity == capacity {
		return
	}
	p.capacity = capacity
	c.usage.SetLimit(p.key, capacity)
	c.startWaiting(p)
}

// poolLimit returns how many requests this entry may have in flight at a pool:
// the pool's capacity times the headroom, divided among the entries in
// proportion to their demand.
func (c *Controller) poolLimit(p *pool) int {
	if p.capacity == 0 {
		return math.MaxInt
	}
	own := float64(c.usage.Local(p.key))
	total := max(c.usage.ReachableTotal(p.key), 1)
	capacity := float64(p.capacity) * c.opts.Headroom
	return max(1, int(math.Round(capacity*min(1, own/total))))
}

// Offer decides on a new request. If the request is refused, OnDecision has
// been called when Offer returns; if it waits, OnDecision is called later.
func (c *Controller) Offer(r Request) *Ticket {
	t := &Ticket{Request: r, account: AccountKey(r.Account), offered: c.clock.Now()}
	p := c.pool(r.Pool)
	p.rate.advance(c.clock.Now())
	if r.MaxInFlight > 0 && !c.withinAllowance(t.account, r.MaxInFlight) {
		c.refuse(p, t, Limit)
		return t
	}
	c.usage.Add(p.key, 1)
	c.usage.Add(t.account, 1)
	if p.queue.len() == 0 && p.inFlight < c.poolLimit(p) {
		c.start(p, t)
		return t
	}
	if c.missesDeadline(p, t) {
		c.refuseCounted(p, t, Deadline)
		return t
	}
	p.queue.push(t)
	c.trimQueue(p)
	c.startWaiting(p)
	return t
}

// missesDeadline reports whether a request that has to wait is expected to miss
// its deadline.
func (c *Controller) missesDeadline(p *pool, t *Ticket) bool {
	if t.Deadline.IsZero() {
		return false
	}
	wait := p.rate.drainTime(p.queue.countAhead(t))
	return c.clock.Now().Add(wait + p.service.upperBound()).After(t.Deadline)
}

// trimQueue refuses the least urgent requests over the queue's maximum length.
func (c *Controller) trimQueue(p *pool) {
	for p.queue.len() > c.maxQueueLength(p) {
		c.refuseCounted(p, p.queue.evict(), QueueFull)
	}
}

func (c *Controller) maxQueueLength(p *pool) int {
	byTime := int(p.rate.perSecond() * c.opts.MaxWait.Seconds())
	return min(max(byTime, c.opts.MinQueue), c.opts.MaxQueue)
}

func (c *Controller) start(p *pool, t *Ticket) {
	t.state = running
	t.started = c.clock.Now()
	p.inFlight++
	t.OnDecision(Decision{Start: true})
}

// refuseCounted removes a request from the usage counts and refuses it.
func (c *Controller) refuseCounted(p *pool, t *Ticket, reason Reason) {
	c.removeFromUsage(p, t)
	c.refuse(p, t, reason)
}

func (c *Controller) removeFromUsage(p *pool, t *Ticket) {
	c.usage.Add(p.key, -1)
	c.usage.Add(t.account, -1)
}

func (c *Controller) refuse(p *pool, t *Ticket, reason Reason) {
	t.state = finished
	t.OnDecision(Decision{Reason: reason, RetryAfter: c.retryAfter(p)})
}

// startWaiting starts waiting requests while the pool's limit allows it. A
// request that can no longer meet its deadline is refused and not charged to
// its account's share.
func (c *Controller) startWaiting(p *pool) {
	latest := c.clock.Now().Add(p.service.upperBound())
	for p.queue.len() > 0 && p.inFlight < c.poolLimit(p) {
		t := p.queue.peek()
		if t.deadlineBefore(latest) {
			p.queue.remove(t)
			c.refuseCounted(p, t, Deadline)
			continue
		}
		p.queue.dequeue(t)
		c.start(p, t)
	}
}

// deadlineBefore reports whether the ticket has a deadline before the given
// time.
func (t *Ticket) deadlineBefore(latest time.Time) bool {
	return !t.Deadline.IsZero() && t.Deadline.Before(latest)
}

// Finish ends a started request. A request that was served counts for the drain
// rate and the service time.
func (c *Controller) Finish(t *Ticket, served bool) {
	if t.state != running {
		return
	}
	t.state = finished
	p := c.pool(t.Pool)
	p.inFlight--
	c.removeFromUsage(p, t)
	now := c.clock.Now()
	p.rate.advance(now)
	if served {
		p.rate.add()
		p.service.add(now.Sub(t.started))
	}
	c.startWaiting(p)
}

// Withdraw ends a waiting request whose caller has disconnected or timed out.
// It returns false if the request was not waiting. OnDecision is not called.
func (c *Controller) Withdraw(t *Ticket) bool {
	if t.state != waiting {
		return false
	}
	p := c.pool(t.Pool)
	p.queue.remove(t)
	t.state = finished
	c.removeFromUsage(p, t)
	return true
}

// Tick updates the limits after an exchange of usage and refuses waiting
// requests that can no longer meet their deadlines. The caller must call it at
// the interval of the exchange.
func (c *Controller) Tick() {
	now := c.clock.Now()
	c.adjustEntryShares()
	for _, p := range c.pools {
		p.rate.advance(now)
		c.expire(p, now)
		c.trimQueue(p)
		c.startWaiting(p)
	}
}

// expire refuses the requests that can no longer meet their deadlines or have
// waited for longer than MaxWait.
func (c *Controller) expire(p *pool, now time.Time) {
	latest := now.Add(p.service.upperBound())
	oldest := now.Add(-c.opts.MaxWait)
	for _, t := range p.queue.all() {
		switch {
		case t.deadlineBefore(latest):
			p.queue.remove(t)
			c.refuseCounted(p, t, Deadline)
		case t.offered.Before(oldest):
			p.queue.remove(t)
			c.refuseCounted(p, t, QueueFull)
		}
	}
}

// Waiting returns the number of waiting requests of a pool.
func (c *Controller) Waiting(name string) int { return c.pool(name).queue.len() }

// InFlight returns the number of started requests of a pool.
func (c *Controller) InFlight(name string) int { return c.pool(name).inFlight }

// RetryAfter returns the delay after which a caller that the pool could not
// serve may retry.
func (c *Controller) RetryAfter(name string) time.Duration {
	p := c.pool(name)
	p.rate.advance(c.clock.Now())
	return c.retryAfter(p)
}

const (
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// retryJitter is the largest fraction by which a Retry-After is randomly
	// shortened or extended.
	retryJitter = 0.25
)

// retryAfter returns a delay with jitter. Successive refused callers get
// successive times at the pool's drain rate, after the requests in the queue,
// so that they don't all retry at once.
func (c *Controller) retryAfter(p *pool) time.Duration {
	now := c.clock.Now()
	interval := p.rate.drainTime(1)
	earliest := now.Add(p.rate.drainTime(p.queue.len()))
	if p.lastRetryAt.Before(earliest) {
		p.lastRetryAt = earliest
	}
	p.lastRetryAt = p.lastRetryAt.Add(interval)
	if latest := now.Add(maxRetryAfter); p.lastRetryAt.After(latest) {
		p.lastRetryAt = latest
	}
	jitter := 1 + retryJitter*(2*c.rand.Float64()-1)
	delay := time.Duration(float64(p.lastRetryAt.Sub(now)) * jitter)
	return min(max(delay, minRetryAfter), maxRetryAfter)
}
