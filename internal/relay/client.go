package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/fleet"
	"github.com/kingcupreel/kingcupreel/internal/kvstore"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

const (
	// passOverTime is how long a watcher that failed is passed over.
	passOverTime = 10 * time.Second
	// notReadTime is how long an entry is passed over that doesn't read the service
	// itself: it may soon, if another entry's failure makes it a watcher.
	notReadTime = 1 * time.Second
	// maxWatchersTried bounds the watchers that one call tries before it goes to the
	// service.
	maxWatchersTried = 3
	// answerTimeout bounds the answer to a query beyond the time that it waits.
	answerTimeout = 500 * time.Millisecond
	// catchUpWait is the wait of a watch that only fetches changes known to exist.
	catchUpWait = 1 * time.Millisecond
	// catchUpTime is how long a watcher may take to pass on a change that another
	// entry knows already.
	catchUpTime = 300 * time.Millisecond
)

// Client is the key-value service as one process sees it: it lists and watches through a
// watcher, and makes all other calls to the service itself. It is safe for concurrent use.
type Client struct {
	kvstore.KV
	self  fleet.Member
	view  *fleet.View
	clock clockwork.Clock
	log   *zap.Logger
	ctx   context.Context

	mu sync.Mutex // leaf
	// passedOver holds the time until which each entry is passed over.
	passedOver map[string]time.Time
	// watchers holds the connections by address.
	watchers map[string]*fleet.Caller[*wire.StoreReply]
	// reads holds the read in progress of each prefix.
	reads map[string]read
	// readsChanged is closed and replaced when a read begins.
	readsChanged chan struct{}
}

// read is a read of a prefix.
type read struct {
	// watcher is the watcher that the read goes through, "" for the service itself.
	watcher string
	// interrupt ends a watch, or a listing through a watcher.
	interrupt context.CancelCauseFunc
}

// errStale means that a watcher doesn't have all changes after a position.
var errStale = fault.New(fault.Stale, "no action needed; the keys are listed again", "the watcher doesn't have all changes since then")

// errInterrupted ends a read that has to go elsewhere or over another connection.
var errInterrupted = errors.New("read interrupted")

// NewClient returns a client of the process self. Its connections end with ctx.
func NewClient(ctx context.Context, kv kvstore.KV, self fleet.Member, view *fleet.View, clock clockwork.Clock, log *zap.Logger) *Client {
	return &Client{KV: kv, self: self, view: view, clock: clock, log: log, ctx: ctx, passedOver: map[string]time.Time{}, watchers: map[string]*fleet.Caller[*wire.StoreReply]{}, reads: map[string]read{}, readsChanged: make(chan struct{})}
}

// IsWatcher reports whether this process is to read the service itself.
func (c *Client) IsWatcher() bool {
	_, ok := c.source()
	return !ok
}

// readsDirectly reports whether the latest read of a prefix went to the service itself. It
// returns a channel that is closed when the next read begins.
func (c *Client) readsDirectly(prefix string) (bool, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, known := c.reads[prefix]
	return known && r.watcher == "", c.readsChanged
}

// beginRead records the beginning of a read of a prefix.
func (c *Client) beginRead(prefix string, r read) {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous, known := c.reads[prefix]
	c.reads[prefix] = r
	if !known || previous.watcher != r.watcher {
		close(c.readsChanged)
		c.readsChanged = make(chan struct{})
	}
}

// interrupt ends the read of a prefix in progress; the next one may go elsewhere.
func (c *Client) interrupt(prefix string) {
	c.mu.Lock()
	r := c.reads[prefix]
	c.mu.Unlock()
	if r.interrupt != nil {
		r.interrupt(errInterrupted)
	}
}

// source returns the watcher to read from, false if this process reads the service itself.
func (c *Client) source() (fleet.Member, bool) {
	name, ok := choose(c.self, c.view.Members(fleet.RoleEntry), c.isPassedOver)
	if !ok {
		return fleet.Member{}, false
	}
	return c.view.Get(name)
}

func (c *Client) isPassedOver(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clock.Now().Before(c.passedOver[name])
}

// passOver passes a watcher over for a while.
func (c *Client) passOver(m fleet.Member, d time.Duration, reason string) {
	c.log.Info("watcher passed over", zap.String("watcher", m.Name), zap.String("reason", reason), zap.Duration("for", d))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.passedOver[m.Name] = c.clock.Now().Add(d)
}

// hasSteppedDown reports whether this process has got no answer from the service lately.
func (c *Client) hasSteppedDown() bool { return c.isPassedOver(c.self.Name) }

// List implements kvstore.KV.
func (c *Client) List(ctx context.Context, prefix string) (kvstore.Listing, error) {
	return c.list(ctx, prefix, c.KV.List)
}

// ListStale implements kvstore.KV.
func (c *Client) ListStale(ctx context.Context, prefix string) (kvstore.Listing, error) {
	return c.list(ctx, prefix, c.KV.ListStale)
}

// list lists a prefix through a watcher, or with direct from the service itself.
func (c *Client) list(ctx context.Context, prefix string, direct func(context.Context, string) (kvstore.Listing, error)) (kvstore.Listing, error) {
	q := &wire.StoreQuery{Prefix: prefix, List: true}
	reply := c.ask(ctx, q)
	if reply == nil {
		c.beginRead(prefix, read{})
		l, err := direct(ctx, prefix)
		if !c.stepDown(ctx, err) {
			return l, err
		}
		if reply = c.ask(ctx, q); reply == nil {
			return l, err
		}
	}
	l := kvstore.Listing{Revision: reply.Revision, Era: reply.Era}
	for _, i := range reply.Items {
		l.Items = append(l.Items, decodeItem(i))
	}
	return l, nil
}

// Watch implements kvstore.KV.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (kvstore.Batch, error) {
	era, _ := c.KV.Eras().Current()
	q := &wire.StoreQuery{Prefix: prefix, Era: era, After: after, WaitMS: wait.Milliseconds()}
	reply := c.ask(ctx, q)
	if reply == nil {
		direct, interrupt := context.WithCancelCause(ctx)
		c.beginRead(prefix, read{interrupt: interrupt})
		b, err := c.KV.Watch(direct, prefix, after, wait)
		interrupted := errors.Is(context.Cause(direct), errInterrupted)
		interrupt(nil)
		if interrupted {
			return c.KV.Watch(ctx, prefix, after, catchUpWait)
		}
		if !c.stepDown(ctx, err) {
			return b, err
		}
		if reply = c.ask(ctx, q); reply == nil {
			return b, err
		}
	}
	if reply.Status == wire.StoreStale {
		return kvstore.Batch{}, errStale
	}
	b := kvstore.Batch{Revision: reply.Revision, Era: reply.Era}
	for _, i := range reply.Items {
		b.Events = append(b.Events, kvstore.Event{Item: decodeItem(i), Deleted: i.Deleted})
	}
	return b, nil
}

// stepDown makes this process read through another entry for a while if the service has
// not answered it, and reports whether it does: the service may turn only some processes
// away.
func (c *Client) stepDown(ctx context.Context, err error) bool {
	if err == nil || ctx.Err() != nil || fault.KindOf(err) == fault.Stale || c.hasSteppedDown() {
		return false
	}
	c.passOver(c.self, passOverTime, "the key-value service doesn't answer this process")
	return true
}

// ask sends a query to a watcher, and to others if it doesn't answer it. It returns nil if
// the call has to be made to the service itself.
func (c *Client) ask(ctx context.Context, q *wire.StoreQuery) *wire.StoreReply {
	for range maxWatchersTried {
		m, ok := c.source()
		if !ok || ctx.Err() != nil {
			return nil
		}
		reply, err := c.askWatcher(ctx, m, q)
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, errInterrupted):
		case err != nil:
			c.passOver(m, passOverTime, "no answer: "+err.Error())
		case reply.Status == wire.StoreUnreachable:
			c.passOver(m, passOverTime, "it can't reach the key-value service, or lies behind")
		case reply.Status == wire.StoreNotRead:
			c.passOver(m, notReadTime, "it doesn't read the key-value service itself")
		case c.isPast(reply.Era):
			c.passOver(m, notReadTime, "it hasn't seen the service's new era")
		default:
			c.KV.Eras().Observe(reply.Era)
			return reply
		}
	}
	return nil
}

// isPast reports whether the service has begun a later era.
func (c *Client) isPast(era int64) bool {
	current, _ := c.KV.Eras().Current()
	return era < current
}

// askWatcher sends a query to one watcher and waits for the answer.
func (c *Client) askWatcher(ctx context.Context, m fleet.Member, q *wire.StoreQuery) (*wire.StoreReply, error) {
	ctx, interrupt := context.WithCancelCause(ctx)
	defer interrupt(nil)
	ctx, cancel := context.WithTimeoutCause(ctx, time.Duration(q.WaitMS)*time.Millisecond+answerTimeout, context.DeadlineExceeded)
	defer cancel()
	c.beginRead(q.Prefix, read{m.Name, interrupt})
	watcher := c.watcher(m.Address)
	conn, err := watcher.Connect(c.ctx)
	if err != nil {
		return nil, err
	}
	return watcher.Call(ctx, conn, func(nonce uint64) wire.Message {
		query := *q
		query.Nonce = nonce
		return &query
	})
}

// watcher returns the caller of the watcher at an address.
func (c *Client) watcher(address string) *fleet.Caller[*wire.StoreReply] {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.watchers[address]
	if w == nil {
		w = fleet.NewCaller[*wire.StoreReply](address)
		c.watchers[address] = w
	}
	return w
}

// ObserveChange tells the client the position of a change that another entry knows. If the
// mirror of this process doesn't have it within catchUpTime, the watcher that it reads
// from lies behind and is passed over, or its own connection to the service has gone
// silent and is replaced.
func (c *Client) ObserveChange(prefix string, mirror *Mirror, change kvstore.Position) {
	if !change.After(mirror.Position()) {
		return
	}
	go func() {
		select {
		case <-c.ctx.Done():
			return
		case <-c.clock.After(catchUpTime):
		}
		c.mu.Lock()
		r := c.reads[prefix]
		c.mu.Unlock()
		if !change.After(mirror.Position()) {
			return
		}
		if m, known := c.view.Get(r.watcher); known {
			c.passOver(m, passOverTime, "it lies behind another entry")
		}
		c.interrupt(prefix)
	}()
}
