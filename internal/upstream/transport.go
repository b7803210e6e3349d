package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/socket"
)

// Transport sends requests to upstreams and pools its connections by address.
// It is safe for concurrent use; mu is a leaf lock.
type Transport struct {
	opts   Options
	dialer *socket.Dialer

	mu        sync.Mutex
	connPools map[string]*connPool
	// handshakes counts the connections that the transport has started to open.
	handshakes int64
}

// connPool holds the connections to one address. openCount includes the
// connections in use and those being opened.
type connPool struct {
	idle      []*conn
	openCount int
}

// NewTransport returns a transport without open connections.
func NewTransport(opts Options) *Transport {
	opts = opts.withDefaults()
	return &Transport{opts: opts, dialer: socket.NewDialer(opts.ConnectTimeout, opts.AckTimeout), connPools: map[string]*connPool{}}
}

// ConnectionsOpened returns the number of connections that the transport has
// started to open.
func (t *Transport) ConnectionsOpened() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.handshakes
}

// CloseIdleExcept closes the idle connections to all addresses except the given
// ones.
func (t *Transport) CloseIdleExcept(addresses map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, p := range t.connPools {
		if addresses[address] {
			continue
		}
		for _, c := range p.idle {
			c.nc.Close()
			p.openCount--
		}
		p.idle = nil
		if p.openCount == 0 {
			delete(t.connPools, address)
		}
	}
}

// Do sends a request to an upstream and returns the head of its response. It
// opens at most limit connections to the address (0 for no limit). An error is
// an *Error. The caller closes the reply.
func (t *Transport) Do(ctx context.Context, address string, limit int, call *Call) (*Reply, error) {
	c, err := t.acquire(ctx, address, limit, call.NewConnection)
	if err != nil {
		return nil, &Error{Stage: NotSent, Address: address, Cause: contextError(ctx, err)}
	}
	reused := c.used
	c.used = true
	if err := call.maySend(); err != nil {
		t.closeConn(address, c)
		return nil, &Error{Stage: NotSent, Address: address, Reused: reused, Cause: err}
	}
	stop := c.abortOnDone(ctx)
	fail := func(stage Stage, err error) (*Reply, error) {
		stop()
		t.resetConn(address, c)
		return nil, &Error{Stage: stage, Address: address, Reused: reused, Cause: contextError(ctx, err)}
	}
	if err := c.write(call); err != nil {
		return fail(Sent, err)
	}
	for range maxMismatched + 1 {
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
		c.mismatched = true
		if err := discardBody(resp, maxDiscardedBody); err != nil {
			return fail(Sent, err)
		}
	}
	return fail(Sent, errMismatched)
}

// Ask sends a call that has no ID and returns the answer's head and body. It prefers a kept
// connection that was opened before the given time, and otherwise opens one, beyond the limit
// of Do if need be. An answer to an earlier request is an error.
func (t *Transport) Ask(ctx context.Context, address string, before time.Time, call *Call) (*Answer, error) {
	c := t.popIdle(address, before)
	if c == nil {
		var err error
		if c, err = t.open(ctx, address, 0); err != nil {
			return nil, &Error{Stage: NotSent, Address: address, Cause: contextError(ctx, err)}
		}
	}
	reused := c.used
	c.used = true
	stop := c.abortOnDone(ctx)
	fail := func(stage Stage, err error) (*Answer, error) {
		stop()
		t.closeConn(address, c)
		return nil, &Error{Stage: stage, Address: address, Reused: reused, Cause: contextError(ctx, err)}
	}
	if err := c.write(call); err != nil {
		return fail(Sent, err)
	}
	resp, err := c.readHead(call.Method)
	if err != nil {
		return fail(Sent, err)
	}
	if t.opts.Codec.Verdict(resp.StatusCode, resp.Header).ID != "" {
		return fail(Sent, errMismatched)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxDiscardedBody))
	if err != nil {
		return fail(ResponseStarted, err)
	}
	if !stop() || resp.Close || !delimited(resp) || len(body) == maxDiscardedBody || c.br.Buffered() > 0 {
		t.closeConn(address, c)
	} else {
		c.setReuseDeadline(resp.Header, t.opts.IdleTimeout)
		t.putIdle(address, c)
	}
	return &Answer{Status: resp.StatusCode, Header: resp.Header, Body: body, OpenedBefore: c.openedAt.Before(before)}, nil
}

// Refuses reports whether the host at an address is there but nothing listens.
func (t *Transport) Refuses(ctx context.Context, address string) bool {
	nc, err := t.dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		nc.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// acquire returns a usable idle connection, unless forceNew is set, or opens a
// new one. At the connection limit it falls back to an idle connection even if
// forceNew is set.
func (t *Transport) acquire(ctx context.Context, address string, limit int, forceNew bool) (*conn, error) {
	if !forceNew {
		if c := t.popIdle(address, time.Now()); c != nil {
			return c, nil
		}
	}
	c, err := t.open(ctx, address, limit)
	if errors.Is(err, errConnectionLimit) {
		if c := t.popIdle(address, time.Now()); c != nil {
			return c, nil
		}
	}
	return c, err
}

// open opens a connection, unless limit connections to the address are open (0 for no limit).
func (t *Transport) open(ctx context.Context, address string, limit int) (*conn, error) {
	t.mu.Lock()
	p := t.connPool(address)
	if limit > 0 && p.openCount >= limit {
		t.mu.Unlock()
		return nil, errConnectionLimit
	}
	p.openCount++
	t.handshakes++
	t.mu.Unlock()
	nc, err := t.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		t.connClosed(address)
		return nil, err
	}
	return newConn(nc), nil
}

// connPool returns the pool of an address and creates it if needed. The caller
// holds mu.
func (t *Transport) connPool(address string) *connPool {
	p := t.connPools[address]
	if p == nil {
		p = &connPool{}
		t.connPools[address] = p
	}
	return p
}

// popIdle returns the usable idle connection that was put back last, of those that were opened
// before the given time, or nil.
func (t *Transport) popIdle(address string, before time.Time) *conn {
	for {
		t.mu.Lock()
		p := t.connPool(address)
		i := len(p.idle) - 1
		for i >= 0 && !p.idle[i].openedAt.Before(before) {
			i--
		}
		if i < 0 {
			t.mu.Unlock()
			return nil
		}
		c := p.idle[i]
		p.idle = slices.Delete(p.idle, i, i+1)
		t.mu.Unlock()
		if time.Now().Before(c.reusableUntil) && c.br.Buffered() == 0 && socket.Idle(c.nc) {
			return c
		}
		t.closeConn(address, c)
	}
}

// closeConn closes a connection that is not idle in the pool.
func (t *Transport) closeConn(address string, c *conn) {
	c.nc.Close()
	t.connClosed(address)
}

// resetConn closes a connection whose response is incomplete. It resets the
// connection so that request data that the upstream's host has not yet accepted
// is never delivered.
func (t *Transport) resetConn(address string, c *conn) {
	if tc, ok := c.nc.(*socket.Conn); ok {
		_ = tc.SetLinger(0) // it fails only if the connection is already closed
	}
	t.closeConn(address, c)
}

// connClosed updates the address's connection count after a connection was
// closed or could not be opened.
func (t *Transport) connClosed(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.connPools[address]
	if p == nil {
		return
	}
	p.openCount--
	if p.openCount <= 0 && len(p.idle) == 0 {
		delete(t.connPools, address)
	}
}

// putIdle returns a connection to the pool for reuse.
func (t *Transport) putIdle(address string, c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.connPool(address)
	p.idle = append(p.idle, c)
}

// Reply is the response to one request. Its body is read with Read or ReadAll.
type Reply struct {
	Status int
	Header http.Header
	Verdict
	// Reused reports whether the connection had served other requests before.
	Reused bool

	transport *Transport
	conn      *conn
	address   string
	resp      *http.Response
	stop      func() bool
	ctx       context.Context
	complete  bool
	closed    bool
}

// Read reads the body. io.EOF means that the body is complete; any other error
// is an *Error.
func (r *Reply) Read(p []byte) (int, error) {
	n, err := r.resp.Body.Read(p)
	if err == io.EOF {
		r.complete = true
		return n, err
	}
	if err != nil {
		err = &Error{Stage: ResponseStarted, Address: r.address, Reused: r.Reused, Cause: contextError(r.ctx, err)}
	}
	return n, err
}

// ContentLength returns the length that the response states for its body, -1 if none.
func (r *Reply) ContentLength() int64 { return r.resp.ContentLength }

// Delimited reports whether the response states where its body ends. Without that, the end
// of the connection ends the body, whether or not the upstream had finished.
func (r *Reply) Delimited() bool { return delimited(r.resp) }

// Framing returns how the response marks the end of its body.
func (r *Reply) Framing() string {
	switch {
	case len(r.resp.TransferEncoding) > 0:
		return "chunks"
	case delimited(r.resp):
		return "length"
	}
	return "connection"
}

// Discard reads the rest of a short body, so that Close can keep the connection.
func (r *Reply) Discard() {
	// Without the end of the body, Close resets the connection.
	_, _ = io.Copy(io.Discard, io.LimitReader(r, maxDiscardedBody))
}

// Close releases the reply's connection. The connection is kept for reuse only
// if the request was written completely, the response was read completely, and
// no further bytes follow it. It is reset if the response is incomplete.
func (r *Reply) Close() {
	if r.closed {
		return
	}
	r.closed = true
	interrupted := !r.stop()
	c := r.conn
	if interrupted || !r.complete {
		r.transport.resetConn(r.address, c)
		return
	}
	if r.resp.Close || !c.requestWritten() || c.br.Buffered() > 0 || c.mismatched {
		r.transport.closeConn(r.address, c)
		return
	}
	c.setReuseDeadline(r.Header, r.transport.opts.IdleTimeout)
	r.transport.putIdle(r.address, c)
}

// IsNotSent reports whether err means that no byte of the request was sent.
func IsNotSent(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Stage == NotSent
}
