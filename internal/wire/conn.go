package wire

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/fault"
)

// Defaults for Options.
const (
	DefaultHeartbeat = 1 * time.Second
	DefaultSilence   = 3 * time.Second
	DefaultQueue     = 4096
)

// errClosed is returned by Send on a closed connection.
var errClosed = fault.New(fault.Unavailable, "retry on another connection", "connection closed")

// Options set a connection's limits. Zero values mean the defaults.
type Options struct {
	// Heartbeat is the interval between pings.
	Heartbeat time.Duration
	// Silence is how long the peer may be silent before the connection is
	// closed.
	Silence time.Duration
	// Queue is the number of messages that may wait to be sent.
	Queue int
	// Meter counts the connection's traffic; nil counts nothing.
	Meter *Meter
	// Clock stamps messages; nil leaves them without a stamp.
	Clock Clock
}

func (o Options) withDefaults() Options {
	if o.Heartbeat == 0 {
		o.Heartbeat = DefaultHeartbeat
	}
	if o.Silence == 0 {
		o.Silence = DefaultSilence
	}
	if o.Queue == 0 {
		o.Queue = DefaultQueue
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
	nc      net.Conn
	opts    Options
	handler Handler
	queue   chan Message
	closed  chan struct{}
	once    sync.Once
	cause   error
	peer    atomic.Pointer[Hello]
}

// NewConn wraps an established network connection.
func NewConn(nc net.Conn, handler Handler, opts Options) *Conn {
	opts = opts.withDefaults()
	return &Conn{
		nc:      nc,
		opts:    opts,
		handler: handler,
		queue:   make(chan Message, opts.Queue),
		closed:  make(chan struct{}),
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
	select {
	case c.queue <- m:
		return nil
	default:
		err := fault.New(fault.Overloaded, "retry on another connection", "send queue of %d messages is full", c.opts.Queue)
		c.close(err)
		return err
	}
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
	r := bufio.NewReaderSize(c.nc, 64<<10)
	for {
		if err := c.nc.SetReadDeadline(time.Now().Add(c.opts.Silence)); err != nil {
			return err
		}
		m, size, err := readFrame(r)
		if err != nil {
			return silenceError(err, c.opts.Silence)
		}
		c.opts.Meter.in(m.Kind(), size)
		stampIn(c.opts.Clock, m)
		switch m := m.(type) {
		case *Ping:
			_ = c.Send(&Pong{Nonce: m.Nonce})
		case *Pong:
		case *Hello:
			c.peer.Store(m)
			c.handler.Receive(c, m)
		default:
			c.handler.Receive(c, m)
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

func (c *Conn) writeLoop() {
	w := bufio.NewWriterSize(c.nc, 64<<10)
	ticker := time.NewTicker(c.opts.Heartbeat)
	defer ticker.Stop()
	var nonce uint64
	var buf []byte
	for {
		var m Message
		select {
		case <-c.closed:
			return
		case m = <-c.queue:
		case <-ticker.C:
			nonce++
			m = &Ping{Nonce: nonce}
		}
		var err error
		if buf, err = c.write(w, buf[:0], m); err != nil {
			c.close(err)
			return
		}
	}
}

// write encodes m and flushes when no other message waits, so that messages
// under load share system calls.
func (c *Conn) write(w *bufio.Writer, buf []byte, m Message) ([]byte, error) {
	buf, err := AppendFrame(buf, m)
	if err != nil {
		return buf, err
	}
	c.opts.Meter.out(m.Kind(), len(buf))
	if err := c.nc.SetWriteDeadline(time.Now().Add(c.opts.Silence)); err != nil {
		return buf, err
	}
	if _, err := w.Write(buf); err != nil {
		return buf, err
	}
	if len(c.queue) > 0 {
		return buf, nil
	}
	return buf, w.Flush()
}
