package fleet

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// Answer is a message that answers the one with the same nonce.
type Answer interface {
	wire.Message
	AnsweredNonce() uint64
}

// Caller sends messages to one process and receives its answers, of type R, over one
// connection that is opened when it is needed. It implements wire.Handler and is safe for
// concurrent use.
type Caller[R Answer] struct {
	address string
	nonce   atomic.Uint64
	dialMu  sync.Mutex // serialises dialling; acquired before mu

	mu      sync.Mutex // leaf
	conn    *wire.Conn
	waiters map[uint64]chan R
}

// NewCaller returns a caller of the process at an address, IP:port.
func NewCaller[R Answer](address string) *Caller[R] {
	return &Caller[R]{address: address, waiters: map[uint64]chan R{}}
}

// Expect returns a nonce for a message and the channel that receives its answer. Forget
// ends the wait for it.
func (c *Caller[R]) Expect() (nonce uint64, answer <-chan R) {
	nonce = c.nonce.Add(1)
	ch := make(chan R, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiters[nonce] = ch
	return nonce, ch
}

// Forget stops waiting for an answer.
func (c *Caller[R]) Forget(nonce uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiters, nonce)
}

// Connect returns the open connection, or opens one that lasts until ctx is done.
func (c *Caller[R]) Connect(ctx context.Context) (*wire.Conn, error) {
	c.dialMu.Lock()
	defer c.dialMu.Unlock()
	c.mu.Lock()
	conn := c.conn
	c.mu.Unlock()
	if conn != nil {
		select {
		case <-conn.Closed():
		default:
			return conn, nil
		}
	}
	conn, err := Dial(ctx, c.address, c)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = conn
	return conn, nil
}

var errConnectionClosed = fault.New(fault.Unavailable, "no action needed; the next call opens another one", "the connection to the process was closed")

// Call sends the message that build returns over a connection and waits for its answer.
// Without one, the error is the cause of ctx's end, or says that the connection failed.
func (c *Caller[R]) Call(ctx context.Context, conn *wire.Conn, build func(nonce uint64) wire.Message) (R, error) {
	nonce, answer := c.Expect()
	defer c.Forget(nonce)
	if err := conn.Send(build(nonce)); err != nil {
		var none R
		return none, err
	}
	return Await(ctx, conn, answer)
}

// Await waits for an answer that arrives over a connection, as Call does.
func Await[R Answer](ctx context.Context, conn *wire.Conn, answer <-chan R) (R, error) {
	var none R
	select {
	case r := <-answer:
		return r, nil
	case <-conn.Closed():
		return none, errConnectionClosed
	case <-ctx.Done():
		return none, context.Cause(ctx)
	}
}

// Receive implements wire.Handler. It ignores messages that nobody waits for.
func (c *Caller[R]) Receive(_ *wire.Conn, m wire.Message) {
	r, ok := m.(R)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if ch := c.waiters[r.AnsweredNonce()]; ch != nil {
		delete(c.waiters, r.AnsweredNonce())
		ch <- r
	}
}
