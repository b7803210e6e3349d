package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/timeline"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

const (
	dialTimeout = 1 * time.Second
	minBackoff  = 50 * time.Millisecond
	maxBackoff  = 2 * time.Second
)

// link is the connection to one upstream's agent, redialled when it ends.
type link struct {
	entry    *Entry
	upstream *config.Upstream
	stop     context.CancelFunc
	member   *member

	mu       sync.Mutex
	conn     *wire.Conn
	hello    wire.Hello
	load     wire.Load
	leaving  bool
	inFlight int
	boxes    map[wire.AttemptID]*mailbox
}

func newLink(e *Entry, u *config.Upstream, stop context.CancelFunc) *link {
	return &link{entry: e, upstream: u, stop: stop, boxes: map[wire.AttemptID]*mailbox{}}
}

// run keeps the link connected until ctx is done.
func (l *link) run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		if l.connect(ctx) {
			backoff = minBackoff
		}
		jittered := backoff/2 + rand.N(backoff)
		select {
		case <-ctx.Done():
		case <-time.After(jittered):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// connect dials and serves one connection; it says whether the agent was
// reached.
func (l *link) connect(ctx context.Context) bool {
	d := net.Dialer{Timeout: dialTimeout}
	nc, err := d.DialContext(ctx, "tcp", l.upstream.Address)
	if err != nil {
		return false
	}
	c := wire.NewConn(nc, l, l.entry.opts.Wire)
	_ = c.Send(l.entry.Hello())
	err = c.Run(ctx)
	l.disconnected(c, err)
	return true
}

// Receive implements wire.Handler.
func (l *link) Receive(c *wire.Conn, m wire.Message) {
	switch m := m.(type) {
	case *wire.Hello:
		l.connected(c, *m)
	case *wire.Load:
		l.mu.Lock()
		l.load = *m
		l.mu.Unlock()
		l.member.reported(m)
		l.entry.passCapacity(l.member.pool)
	case *wire.Leaving:
		l.mu.Lock()
		l.leaving = true
		l.update()
		l.mu.Unlock()
		l.entry.event(timeline.Event{Kind: timeline.UpstreamLeaving, Object: l.upstream.Name})
	case *wire.ConfigDigest:
		l.mu.Lock()
		l.hello.Revision = m.Revision
		l.mu.Unlock()
	case *wire.EventsReply:
		l.entry.gathered(m)
	default:
		if l.entry.agentMux.Funcs[m.Kind()] != nil {
			l.entry.agentMux.Receive(c, m)
			return
		}
		l.deliver(m)
	}
}

// attemptOf returns the attempt that a message belongs to.
func attemptOf(m wire.Message) (wire.AttemptID, bool) {
	switch m := m.(type) {
	case *wire.Accepted:
		return m.ID, true
	case *wire.Refused:
		return m.ID, true
	case *wire.Head:
		return m.ID, true
	case *wire.Chunk:
		return m.ID, true
	case *wire.Done:
		return m.ID, true
	case *wire.Verdict:
		return m.ID, true
	}
	return wire.AttemptID{}, false
}

// deliver puts a message into its attempt's mailbox; late and foreign ones are
// dropped and counted.
func (l *link) deliver(m wire.Message) {
	id, ok := attemptOf(m)
	l.mu.Lock()
	box := l.boxes[id]
	l.mu.Unlock()
	if !ok || box == nil {
		l.entry.count("frames.foreign")
		return
	}
	l.member.received(m)
	box.put(m)
}

func (l *link) connected(c *wire.Conn, hello wire.Hello) {
	if hello.Upstream != l.upstream.Name {
		l.entry.count("links.wrong_upstream")
		c.Close()
		return
	}
	l.mu.Lock()
	l.conn = c
	l.hello = hello
	l.leaving = false
	l.update()
	l.mu.Unlock()
	l.entry.event(timeline.Event{Kind: timeline.Connected, Object: l.upstream.Name})
	_ = c.Send(l.entry.snapshotMessage())
}

func (l *link) disconnected(c *wire.Conn, err error) {
	l.mu.Lock()
	known := l.conn == c
	if known {
		l.conn = nil
		l.update()
	}
	boxes := make([]*mailbox, 0, len(l.boxes))
	for _, b := range l.boxes {
		boxes = append(boxes, b)
	}
	l.mu.Unlock()
	for _, b := range boxes {
		b.put(&linkLost{})
	}
	if known {
		l.entry.event(timeline.Event{Kind: timeline.Disconnected, Object: l.upstream.Name, Detail: err.Error()})
	}
}

// linkLost tells an attempt that its connection ended. It never travels.
type linkLost struct{}

// Kind implements wire.Message.
func (*linkLost) Kind() wire.Kind { return 0 }

// open starts an attempt: it registers a mailbox and sends the dispatch. An
// error means that no dispatch was written.
func (l *link) open(d *wire.Dispatch) (*mailbox, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil || l.leaving {
		return nil, fault.New(fault.Unavailable, "use another upstream", "upstream %s is not connected", l.upstream.Name)
	}
	d.ID.Incarnation = l.hello.Incarnation
	box := newMailbox()
	l.boxes[d.ID] = box
	l.inFlight++
	if err := l.conn.Send(d); err != nil {
		delete(l.boxes, d.ID)
		l.inFlight--
		return nil, err
	}
	l.member.dispatched()
	return box, nil
}

// close ends an attempt's bookkeeping.
func (l *link) close(id wire.AttemptID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.boxes, id)
	l.inFlight--
	l.member.finished(id)
}

// send passes a message to the agent, if it is connected.
func (l *link) send(m wire.Message) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return fault.New(fault.Unavailable, "use another upstream", "upstream %s is not connected", l.upstream.Name)
	}
	return l.conn.Send(m)
}

// update tells the balance state whether the upstream can take work. The caller
// holds mu.
func (l *link) update() { l.member.setUsable(l.conn != nil && !l.leaving) }
