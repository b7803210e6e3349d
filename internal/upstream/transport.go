package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/socket"
)

// Transport keeps the connections to all upstreams. It is safe for concurrent
// use; mu is a leaf lock.
type Transport struct {
	opts   Options
	dialer *net.Dialer

	mu    sync.Mutex
	peers map[string]*peer
	// opened counts the handshakes.
	opened int64
}

// peer holds the connections to one address.
type peer struct {
	idle []*conn
	open int
}

// NewTransport returns a transport without connections.
func NewTransport(opts Options) *Transport {
	opts = opts.withDefaults()
	return &Transport{opts: opts, dialer: socket.Dialer(opts.ConnectTimeout, opts.AckTimeout), peers: map[string]*peer{}}
}

// ConnectionsOpened returns the number of connections opened so far.
func (t *Transport) ConnectionsOpened() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.opened
}

// CloseIdleExcept closes the idle connections to all addresses but those given.
func (t *Transport) CloseIdleExcept(addresses map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, p := range t.peers {
		if addresses[address] {
			continue
		}
		for _, c := range p.idle {
			c.nc.Close()
			p.open--
		}
		p.idle = nil
		if p.open == 0 {
			delete(t.peers, address)
		}
	}
}

// Do sends a request to an upstream, over at most limit connections (0 for no
// limit), and returns the head of its answer. The error is an *Error. The
// caller closes the reply.
func (t *Transport) Do(ctx context.Context, address string, limit int, call *Call) (*Reply, error) {
	c, err := t.acquire(ctx, address, limit, call.NewConnection)
	if err != nil {
		return nil, &Error{Stage: NotSent, Address: address, Cause: contextError(ctx, err)}
	}
	reused := c.used
	c.used = true
	stop := c.interruptible(ctx)
	fail := func(stage Stage, err error) (*Reply, error) {
		stop()
		t.abandon(address, c)
		return nil, &Error{Stage: stage, Address: address, Reused: reused, Cause: contextError(ctx, err)}
	}
	if err := c.write(call); err != nil {
		return fail(Sent, err)
	}
	for range maxForeign + 1 {
		resp, err := c.readHead(call.Method)
		if err != nil {
			return fail(Sent, err)
		}
		v := t.opts.Codec.Verdict(resp.StatusCode, resp.Header)
		if v.ID == call.ID {
			r := &Reply{Status: resp.StatusCode, Header: resp.Header, Verdict: v, Reused: reused, transport: t, conn: c, address: address, resp: resp, stop: stop, ctx: ctx}
			if v.Encoded {
				r.Close()
				return nil, &Error{Stage: ResponseStarted, Address: address, Reused: reused, Cause: errEncoded}
			}
			return r, nil
		}
		c.foreign = true
		if err := skipBody(resp, t.opts.MaxBufferedBody); err != nil {
			return fail(Sent, err)
		}
	}
	return fail(Sent, errForeign)
}

// acquire returns an idle connection that is still good, or a new one.
func (t *Transport) acquire(ctx context.Context, address string, limit int, fresh bool) (*conn, error) {
	if !fresh {
		if c := t.takeIdle(address); c != nil {
			return c, nil
		}
	}
	t.mu.Lock()
	p := t.peer(address)
	if limit > 0 && p.open >= limit {
		t.mu.Unlock()
		if c := t.takeIdle(address); c != nil {
			return c, nil
		}
		return nil, errFull
	}
	p.open++
	t.opened++
	t.mu.Unlock()
	nc, err := t.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		t.released(address)
		return nil, err
	}
	return newConn(nc), nil
}

// peer returns the state of an address. The caller holds mu.
func (t *Transport) peer(address string) *peer {
	p := t.peers[address]
	if p == nil {
		p = &peer{}
		t.peers[address] = p
	}
	return p
}

func (t *Transport) takeIdle(address string) *conn {
	for {
		t.mu.Lock()
		p := t.peer(address)
		if len(p.idle) == 0 {
			t.mu.Unlock()
			return nil
		}
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		t.mu.Unlock()
		if time.Now().Before(c.reusableUntil) && c.br.Buffered() == 0 && socket.Idle(c.nc) {
			return c
		}
		t.discard(address, c)
	}
}

// discard closes a connection that is in use.
func (t *Transport) discard(address string, c *conn) {
	c.nc.Close()
	t.released(address)
}

// abandon closes a connection whose request has no whole answer. It is reset,
// so that what the upstream's host has not taken yet never arrives.
func (t *Transport) abandon(address string, c *conn) {
	if tc, ok := c.nc.(*net.TCPConn); ok {
		_ = tc.SetLinger(0) // an error means that the connection is gone already
	}
	t.discard(address, c)
}

// released counts the end of a connection.
func (t *Transport) released(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[address]
	if p == nil {
		return
	}
	p.open--
	if p.open <= 0 && len(p.idle) == 0 {
		delete(t.peers, address)
	}
}

// keep puts a connection back for reuse.
func (t *Transport) keep(address string, c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peer(address)
	p.idle = append(p.idle, c)
}

// Reply is the answer to one request. Its body is read through it.
type Reply struct {
	Status int
	Header http.Header
	Verdict
	// Reused says that the connection had served other requests.
	Reused bool

	transport *Transport
	conn      *conn
	address   string
	resp      *http.Response
	stop      func() bool
	ctx       context.Context
	whole     bool
	closed    bool
}

// Read reads the body. At its end, io.EOF means that it is whole; any other
// error is an *Error.
func (r *Reply) Read(p []byte) (int, error) {
	n, err := r.resp.Body.Read(p)
	if err == io.EOF {
		r.whole = true
		return n, err
	}
	if err != nil {
		err = &Error{Stage: ResponseStarted, Address: r.address, Reused: r.Reused, Cause: contextError(r.ctx, err)}
	}
	return n, err
}

// ReadAll reads the whole body.
func (r *Reply) ReadAll() ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, r.transport.opts.MaxBufferedBody+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > r.transport.opts.MaxBufferedBody {
		return nil, &Error{Stage: ResponseStarted, Address: r.address, Reused: r.Reused, Cause: errTooLarge}
	}
	return body, nil
}

// Close ends the use of the reply. The connection is kept only if the request
// went out whole, the answer came whole, and nothing follows it.
func (r *Reply) Close() {
	if r.closed {
		return
	}
	r.closed = true
	interrupted := !r.stop()
	c := r.conn
	if interrupted || !r.whole {
		r.transport.abandon(r.address, c)
		return
	}
	if r.resp.Close || !c.written() || c.br.Buffered() > 0 || c.foreign {
		r.transport.discard(r.address, c)
		return
	}
	c.noteIdle(r.Header, r.transport.opts.IdleTimeout)
	r.transport.keep(r.address, c)
}

// IsNotSent says whether an error means that nothing of the request was sent.
func IsNotSent(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Stage == NotSent
}
