package relay

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupreel/kingcupreel/internal/kvstore"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// Server answers the queries of other processes from the mirrors of this one.
type Server struct {
	// Client tells whether this process reads the service itself.
	Client *Client
	Clock  clockwork.Clock

	mu      sync.Mutex // leaf
	mirrors map[string]*Mirror
}

// Add makes the server answer queries for a prefix from a mirror.
func (s *Server) Add(prefix string, m *Mirror) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mirrors == nil {
		s.mirrors = map[string]*Mirror{}
	}
	s.mirrors[prefix] = m
}

// Mirror returns the mirror of a prefix, nil if there is none.
func (s *Server) Mirror(prefix string) *Mirror {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mirrors[prefix]
}

// Handle answers a query in the background. It ends with the connection or ctx.
func (s *Server) Handle(ctx context.Context, c *wire.Conn, q *wire.StoreQuery) {
	go func() {
		reply := s.answer(ctx, c, q)
		reply.Nonce = q.Nonce
		_ = c.Send(reply) // the client asks another watcher if the connection has ended
	}()
}

func (s *Server) answer(ctx context.Context, c *wire.Conn, q *wire.StoreQuery) *wire.StoreReply {
	m := s.Mirror(q.Prefix)
	if m == nil || !s.Client.IsWatcher() || !s.awaitDirectRead(ctx, q.Prefix) {
		return s.notRead()
	}
	if q.List {
		return s.list(ctx, m)
	}
	return s.watch(ctx, c, m, q)
}

// notRead answers a query while this process doesn't read the service itself.
func (s *Server) notRead() *wire.StoreReply {
	if s.Client.hasSteppedDown() {
		return &wire.StoreReply{Status: wire.StoreUnreachable}
	}
	return &wire.StoreReply{Status: wire.StoreNotRead}
}

// list returns all keys of a mirror, which may have to be read first.
func (s *Server) list(ctx context.Context, m *Mirror) *wire.StoreReply {
	timeout := s.Clock.After(becomeWatcherTime)
	for {
		l, ok, changed := m.list()
		if ok {
			reply := &wire.StoreReply{Era: l.Era, Revision: l.Revision}
			for _, item := range l.Items {
				reply.Items = append(reply.Items, encodeItem(item, false))
			}
			return reply
		}
		select {
		case <-changed:
		case <-timeout:
			return &wire.StoreReply{Status: wire.StoreUnreachable}
		case <-ctx.Done():
			return &wire.StoreReply{Status: wire.StoreUnreachable}
		}
	}
}

// becomeWatcherTime is how long a process that has just become a watcher may take to read
// the service itself.
const becomeWatcherTime = 300 * time.Millisecond

// awaitDirectRead reports whether this process reads a prefix from the service itself. If
// it still reads through another watcher, the read is interrupted.
func (s *Server) awaitDirectRead(ctx context.Context, prefix string) bool {
	timeout := s.Clock.After(becomeWatcherTime)
	for {
		direct, changed := s.Client.readsDirectly(prefix)
		if direct {
			return true
		}
		s.Client.interrupt(prefix)
		select {
		case <-changed:
		case <-timeout:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// watch waits for a change after the query's position.
func (s *Server) watch(ctx context.Context, c *wire.Conn, m *Mirror, q *wire.StoreQuery) *wire.StoreReply {
	timeout := s.Clock.After(time.Duration(q.WaitMS) * time.Millisecond)
	for {
		direct, readsChanged := s.Client.readsDirectly(q.Prefix)
		if !direct {
			return s.notRead()
		}
		found := m.after(kvstore.Position{Era: q.Era, Revision: q.After})
		reply := &wire.StoreReply{Era: found.batch.Era, Revision: found.batch.Revision}
		switch {
		case !found.reachable:
			reply.Status = wire.StoreUnreachable
			return reply
		case found.stale:
			reply.Status = wire.StoreStale
			return reply
		case len(found.batch.Events) > 0:
			for _, e := range found.batch.Events {
				reply.Items = append(reply.Items, encodeItem(e.Item, e.Deleted))
			}
			return reply
		}
		select {
		case <-found.changed:
		case <-readsChanged:
		case <-timeout:
			return reply
		case <-c.Closed():
			return reply
		case <-ctx.Done():
			return reply
		}
	}
}

func encodeItem(item kvstore.Item, deleted bool) wire.StoreItem {
	return wire.StoreItem{Key: item.Key, Value: item.Value, CreateRevision: item.CreateRevision, ModRevision: item.ModRevision, Deleted: deleted}
}

func decodeItem(i wire.StoreItem) kvstore.Item {
	return kvstore.Item{Key: i.Key, Value: i.Value, CreateRevision: i.CreateRevision, ModRevision: i.ModRevision}
}
