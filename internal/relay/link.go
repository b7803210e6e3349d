package relay

import (
	"context"
	"sync"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/fleet"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// errStale means that a watcher doesn't have all changes after a position.
var errStale = fault.New(fault.Stale, "no action needed; the keys are listed again", "the watcher doesn't have all changes since then")

var errLinkClosed = fault.New(fault.Unavailable, "no action needed; another watcher is asked", "the connection to the watcher was closed")

// link is the connection to one watcher. It implements wire.Handler.
type link struct {
	address string
	dialMu  sync.Mutex // serialises dialling; acquired before mu

	mu      sync.Mutex // leaf
	conn    *wire.Conn
	waiters map[uint64]chan *wire.StoreReply
}

// call sends a query and waits for the answer until ctx is done. A new connection ends with
// connCtx.
func (l *link) call(ctx, connCtx context.Context, q *wire.StoreQuery) (*wire.StoreReply, error) {
	c, err := l.connect(connCtx)
	if err != nil {
		return nil, err
	}
	reply := make(chan *wire.StoreReply, 1)
	l.mu.Lock()
	l.waiters[q.Nonce] = reply
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.waiters, q.Nonce)
	}()
	if err := c.Send(q); err != nil {
		return nil, err
	}
	select {
	case r := <-reply:
		return r, nil
	case <-c.Closed():
		return nil, errLinkClosed
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// connect returns an open connection.
func (l *link) connect(ctx context.Context) (*wire.Conn, error) {
	l.dialMu.Lock()
	defer l.dialMu.Unlock()
	l.mu.Lock()
	c := l.conn
	l.mu.Unlock()
	if c != nil {
		select {
		case <-c.Closed():
		default:
			return c, nil
		}
	}
	c, err := fleet.Dial(ctx, l.address, l)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = c
	return c, nil
}

// Receive implements wire.Handler.
func (l *link) Receive(_ *wire.Conn, m wire.Message) {
	r, ok := m.(*wire.StoreReply)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if reply := l.waiters[r.Nonce]; reply != nil {
		delete(l.waiters, r.Nonce)
		reply <- r
	}
}
