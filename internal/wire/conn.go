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

// bufferSize is the size of a connection's read and write buffers, in bytes.
const bufferSize = 4 << 10

// errClosed is returned by Send on a closed connection.
var errClosed = fault.New(fault.Unavailable, "retry on another connection", "connection closed")

// Options set a connection's limits. Zero values mean the defaults.
type Options struct {
	// HeartbeatInterval is the longest time without a frame: an idle side sends a ping.
	HeartbeatInterval time.Duration
	// SilenceTimeout is how long the peer may be silent before the connection is
	// closed.
	SilenceTimeout time.Duration
	// IdleFactor makes heartbeat and silence that many times longer while no
	// request uses the connection; both sides need the same. 0 means 1.
	IdleFactor int
	// MaxQueued is the number of messages that may wait to be sent.
	MaxQueued int
	// Meter counts the connection's traffic; nil counts nothing.
	Meter *Meter
	// Clock stamps messages; nil leaves them without a stamp.
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

// Mux routes messages by kind to functions. A message without a function goes
// to Default; a nil Default drops it.
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

// Conn is one connection between two processes. Send may be called from any
// goroutine.
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

// NewConn wraps an established network connection.
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

// Peer returns the peer's Hello, or the zero value before it has come.
func (c *Conn) Peer() Hello {
	if h := c.peer.Load(); h != nil {
		return *h
	}
	return Hello{}
}

// Closed is closed when the connection ends.
func (c *Conn) Closed() <-chan struct{} { return c.closed }

// Send queues a message. It never blocks: a full queue closes the connection,
// since the peer has stopped reading.
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

// Close ends the connection.
func (c *Conn) Close() { c.close(errClosed) }

func (c *Conn) close(err error) {
	c.once.Do(func() {
		c.cause = err
		close(c.closed)
		c.nc.Close()
	})
}

// Run reads and writes until the connection ends or ctx is done, and returns
// the reason.
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

// markUsed notes a frame of a request or of a map switch. It bounds a read that
// waits on an idle connection anew, since the peer now owes the quick heartbeat.
func (c *Conn) markUsed(m Message) {
	if !isRequest(m.Kind()) && !isMapSwitch(m.Kind()) {
		return
	}
	if now := time.Now(); c.liveness.markUsed(now) {
		_ = c.nc.SetReadDeadline(c.liveness.deadline(now))
	}
}

// silenceReader bounds the wait for the peer's next bytes, so that a large frame
// may take longer than the bound as long as it moves.
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

func silenceError(err error, silence time.Duration) error {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return fault.Wrap(fault.Timeout, err, "the connection is replaced", "peer silent for %v", silence)
	}
	return err
}

// writeLoop writes queued messages. It sends a ping when nothing else was sent
// for a heartbeat: any frame shows the peer that this side is alive.
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

// write encodes a batch and flushes once, so that messages under load share
// system calls.
func (c *Conn) write(w *bufio.Writer, batch []Message) error {
	var buf []byte
	for _, m := range batch {
		var err error
		buf, err = AppendFrame(buf[:0], m)
		if fault.KindOf(err) == fault.TooLarge {
			// The others on this connection don't pay for it; its own request
			// ends by its deadline.
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
	}
	return w.Flush()
}
