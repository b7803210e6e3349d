package wire

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/fault"
)

// Defaults for Options.
const (
	DefaultHeartbeatInterval = 1 * time.Second
	DefaultSilenceTimeout    = 3 * time.Second
	DefaultMaxQueued         = 4096
)

// bufferSize is the size of each of a connection's read and write buffers, in
// bytes.
const bufferSize = 4 << 10

// errClosed is returned by Send on a closed connection, and by Run after Close.
var errClosed = fault.New(fault.Unavailable, "retry on another connection", "connection closed")

// Options configure a connection. Zero values mean the defaults.
type Options struct {
	// HeartbeatInterval is the longest time without a sent frame: a side that has
	// nothing else to send sends a Ping.
	HeartbeatInterval time.Duration
	// SilenceTimeout is how long the peer may send nothing before the connection
	// is closed. It also bounds a write.
	SilenceTimeout time.Duration
	// IdleFactor multiplies HeartbeatInterval and SilenceTimeout while no request
	// uses the connection. Both sides must have the same factor. 0 means 1.
	IdleFactor int
	// MaxQueued is the number of messages that may wait to be sent. A connection
	// whose queue is full is closed.
	MaxQueued int
	// Meter counts the connection's traffic. It may be nil.
	Meter *Meter
	// Clock stamps sent messages and observes the stamps of received ones. With a
	// nil Clock, messages have no stamp.
	Clock Clock
}

func (o Options) withDefaults() Options {
	if o.HeartbeatInterval == 0 {
		o.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if o.SilenceTimeout == 0 {
		o.SilenceTimeout = DefaultSilenceTimeout
	}
	if o.MaxQueued == 0 {
		o.MaxQueued = DefaultMaxQueued
	}
	return o
}

// Handler receives a connection's messages. Receive is called from one
// goroutine per connection, in order, and must not block.
type Handler interface {
	Receive(c *Conn, m Message)
}

// Mux is a Handler that calls the function registered in Funcs for a message's
// kind, or else Default. With a nil Default, other messages are dropped.
type Mux struct {
	Funcs   map[Kind]func(c *Conn, m Message)
	Default func(c *Conn, m Message)
}

// Receive implements Handler.
func (x *Mux) Receive(c *Conn, m Message) {
	f := x.Funcs[m.Kind()]
	if f == nil {
		f = x.Default
	}
	if f != nil {
		f(c, m)
	}
}

// Conn is one connection between two processes. Its methods may be called from
// any goroutine; Run is called once.
type Conn struct {
	nc       net.Conn
	opts     Options
	handler  Handler
	queue    *sendQueue
	closed   chan struct{}
	once     sync.Once
	cause    error
	peer     atomic.Pointer[Hello]
	liveness *activity
}

// NewConn returns a connection over an established network connection. It does
// nothing until Run is called, except that Send queues messages.
func NewConn(nc net.Conn, handler Handler, opts Options) *Conn {
	opts = opts.withDefaults()
	return &Conn{
		nc:       nc,
		opts:     opts,
		handler:  handler,
		queue:    newSendQueue(opts.MaxQueued),
		closed:   make(chan struct{}),
		liveness: newActivity(opts, time.Now()),
	}
}

// RemoteAddr returns the peer's address.
func (c *Conn) RemoteAddr() string { return c.nc.RemoteAddr().String() }

// Peer returns the peer's last Hello, or the zero value before one is received.
func (c *Conn) Peer() Hello {
	if h := c.peer.Load(); h != nil {
		return *h
	}
	return Hello{}
}

// Closed returns a channel that is closed when the connection ends.
func (c *Conn) Closed() <-chan struct{} { return c.closed }

// Send queues a message. It never blocks. If the queue is full, it closes the
// connection, because the peer has stopped reading, and returns an error.
func (c *Conn) Send(m Message) error {
	select {
	case <-c.closed:
		return errClosed
	default:
	}
	stampOut(c.opts.Clock, m)
	if c.queue.put(m) {
		return nil
	}
	err := fault.New(fault.Overloaded, "retry on another connection", "send queue of %d messages is full", c.opts.MaxQueued)
	c.close(err)
	return err
}

// AwaitRoom waits until the peer has taken enough of the chunks sent before, the connection ends
// or ctx is done. Senders of long answers call it before each chunk, so that an answer that comes
// faster than the peer reads fills neither the memory nor the queue, which others share.
func (c *Conn) AwaitRoom(ctx context.Context) {
	for {
		room := c.queue.awaited()
		if room == nil {
			return
		}
		select {
		case <-room:
		case <-c.closed:
			return
		case <-ctx.Done():
			return
		}
	}
}

// Close closes the connection. Messages still queued are dropped.
func (c *Conn) Close() { c.close(errClosed) }

func (c *Conn) close(err error) {
	c.once.Do(func() {
		c.cause = err
		close(c.closed)
		c.nc.Close()
	})
}

// Run reads and writes until the connection ends or ctx is done, and returns why
// it ended.
func (c *Conn) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	var wg sync.WaitGroup
	wg.Go(c.writeLoop)
	c.close(c.readLoop())
	wg.Wait()
	return c.cause
}

func (c *Conn) readLoop() error {
	r := bufio.NewReaderSize(silenceReader{c}, bufferSize)
	for {
		m, size, err := readFrame(r)
		if errors.Is(err, errUnknownKind) {
			continue
		}
		if err != nil {
			return silenceError(err, c.opts.SilenceTimeout)
		}
		c.opts.Meter.countReceived(m.Kind(), size)
		c.markUsed(m)
		stampIn(c.opts.Clock, m)
		switch m := m.(type) {
		case *Ping:
		case *Hello:
			c.peer.Store(m)
			c.handler.Receive(c, m)
		default:
			c.handler.Receive(c, m)
		}
	}
}

// markUsed records a frame of a request or of a map switch, which makes an idle
// connection active. A read in progress then gets the earlier deadline of an
// active connection, since the peer now sends heartbeats at the shorter interval.
func (c *Conn) markUsed(m Message) {
	if !isRequest(m.Kind()) && !isMapSwitch(m.Kind()) {
		return
	}
	if now := time.Now(); c.liveness.markUsed(now) {
		_ = c.nc.SetReadDeadline(c.liveness.deadline(now))
	}
}

// silenceReader applies SilenceTimeout to each read of bytes rather than to each
// frame, so that a large frame may take longer as long as bytes arrive.
type silenceReader struct{ c *Conn }

// Read implements io.Reader.
func (r silenceReader) Read(p []byte) (int, error) {
	for {
		deadline := r.c.liveness.deadline(time.Now())
		if err := r.c.nc.SetReadDeadline(deadline); err != nil {
			return 0, err
		}
		n, err := r.c.nc.Read(p)
		now := time.Now()
		if n > 0 {
			r.c.liveness.markReceived(now)
		}
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !now.Before(r.c.liveness.deadline(now)) {
			return n, err
		}
	}
}

// silenceError converts a read timeout to a fault of kind Timeout.
func silenceError(err error, silence time.Duration) error {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return fault.Wrap(fault.Timeout, err, "no action needed: the connection is replaced", "peer silent for %v", silence)
	}
	return err
}

// writeLoop writes queued messages. It sends a Ping when nothing else was sent for
// a heartbeat interval: any frame shows the peer that this side is alive.
func (c *Conn) writeLoop() {
	w := bufio.NewWriterSize(c.nc, bufferSize)
	ticker := time.NewTicker(c.opts.HeartbeatInterval)
	defer ticker.Stop()
	var batch []Message
	for {
		select {
		case <-c.closed:
			return
		case <-c.queue.wake:
			batch = c.queue.popAll(batch[:0])
		case <-ticker.C:
			batch = batch[:0]
			if c.liveness.pingDue(time.Now()) {
				batch = append(batch, &Ping{})
			}
		}
		if len(batch) == 0 {
			continue
		}
		if err := c.write(w, batch); err != nil {
			c.close(err)
			return
		}
		c.liveness.markSent(time.Now())
		clear(batch)
	}
}

// write encodes a batch of messages and flushes once, which reduces the number of
// system calls under load.
func (c *Conn) write(w *bufio.Writer, batch []Message) error {
	var buf []byte
	for _, m := range batch {
		var err error
		buf, err = AppendFrame(buf[:0], m)
		if fault.KindOf(err) == fault.TooLarge {
			// An oversized message is dropped instead of closing the connection,
			// which other requests share. Its own request ends at its deadline.
			c.queue.sent(m)
			continue
		}
		if err != nil {
			return err
		}
		c.opts.Meter.countSent(m.Kind(), len(buf))
		c.markUsed(m)
		if err := c.nc.SetWriteDeadline(time.Now().Add(c.opts.SilenceTimeout)); err != nil {
			return err
		}
		if _, err := w.Write(buf); err != nil {
			return err
		}
		c.queue.sent(m)
	}
	return w.Flush()
}
