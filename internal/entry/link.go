package entry

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/timeline"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// dialTimeout bounds a dial of an agent.
const dialTimeout = 1 * time.Second

// linkBackoff bounds the wait between two dials of an agent.
var linkBackoff = wire.Backoff{Min: 50 * time.Millisecond, Max: 2 * time.Second}

// link is the connection to one upstream's agent, redialled when it ends.
type link struct {
	entry    *Entry
	upstream *config.Upstream
	stop     context.CancelFunc
	member   *member

	mu      sync.Mutex
	conn    *wire.Conn
	hello   wire.Hello
	load    wire.Load
	leaving bool
	// listLeaving says that the VM list shows the upstream's VM as leaving.
	listLeaving bool
	drained     bool
	// retired says that the link closes with its last attempt.
	retired  bool
	inFlight int
	boxes    map[wire.AttemptID]*mailbox
}

func newLink(e *Entry, u *config.Upstream, stop context.CancelFunc) *link {
	return &link{entry: e, upstream: u, stop: stop, boxes: map[wire.AttemptID]*mailbox{}}
}

// run keeps the link connected until ctx is done.
func (l *link) run(ctx context.Context) { wire.Redial(ctx, linkBackoff, l.connect) }

// connect dials and serves one connection; it says whether the agent was
// reached.
func (l *link) connect(ctx context.Context) bool {
	d := net.Dialer{Timeout: dialTimeout}
	nc, err := d.DialContext(ctx, "tcp", l.upstream.Address)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			l.tell(&linkDown{})
		}
		return false
	}
	c := wire.NewConn(nc, l, l.entry.agentWire())
	_ = c.Send(l.entry.Hello())
	err = c.Run(ctx)
	return l.disconnected(c, err)
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
		l.entry.gathered(m.Nonce, m)
	case *wire.Verdict, *wire.Accepted, *wire.Refused, *wire.Head, *wire.Chunk, *wire.Done:
		l.deliver(c, m)
	default:
		if l.entry.agentMux.Funcs[m.Kind()] != nil {
			l.entry.agentMux.Receive(c, m)
			return
		}
		l.entry.count("frames.unexpected")
	}
}

// attemptOf returns the attempt that a message belongs to.
func attemptOf(m wire.Message) wire.AttemptID {
	switch m := m.(type) {
	case *wire.Accepted:
		return m.ID
	case *wire.Refused:
		return m.ID
	case *wire.Head:
		return m.ID
	case *wire.Chunk:
		return m.ID
	case *wire.Done:
		return m.ID
	case *wire.Verdict:
		return m.ID
	}
	return wire.AttemptID{}
}

// deliver puts a message into its attempt's mailbox; late and foreign ones are
// dropped and counted.
func (l *link) deliver(c *wire.Conn, m wire.Message) {
	l.mu.Lock()
	box := l.boxes[attemptOf(m)]
	current := l.conn == c
	l.mu.Unlock()
	switch {
	case !current:
		l.entry.count("frames.late")
	case box == nil:
		l.entry.count("frames.foreign")
	default:
		l.member.received(m)
		box.put(m)
	}
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
	l.entry.passCapacity(l.member.pool)
	l.entry.event(timeline.Event{Kind: timeline.Connected, Object: l.upstream.Name})
	l.tell(&linkBack{incarnation: hello.Incarnation})
}

// behind says whether the connected agent has a lower revision in force.
func (l *link) behind(revision int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn != nil && l.hello.Revision < revision
}

// tell puts a message into every attempt's mailbox.
func (l *link) tell(m wire.Message) {
	l.mu.Lock()
	boxes := make([]*mailbox, 0, len(l.boxes))
	for _, b := range l.boxes {
		boxes = append(boxes, b)
	}
	l.mu.Unlock()
	for _, b := range boxes {
		b.put(m)
	}
}

// disconnected ends a connection; false means that its agent had not said
// Hello.
func (l *link) disconnected(c *wire.Conn, err error) bool {
	l.mu.Lock()
	known := l.conn == c
	if known {
		l.conn = nil
		l.update()
	}
	l.mu.Unlock()
	if known {
		l.tell(&linkLost{})
		l.entry.event(timeline.Event{Kind: timeline.Disconnected, Object: l.upstream.Name, Detail: err.Error()})
	}
	return known
}

// linkLost tells an attempt that its connection ended. It never travels.
type linkLost struct{}

// Kind implements wire.Message.
func (*linkLost) Kind() wire.Kind { return 0 }

// linkDown tells an attempt that the agent's VM refuses connections. It never
// travels.
type linkDown struct{}

// Kind implements wire.Message.
func (*linkDown) Kind() wire.Kind { return 0 }

// linkBack tells an attempt that its agent's VM is connected again. It never
// travels.
type linkBack struct{ incarnation string }

// Kind implements wire.Message.
func (*linkBack) Kind() wire.Kind { return 0 }

// open starts an attempt: it registers a mailbox and sends the dispatch. An
// error means that no dispatch was written.
func (l *link) open(d *wire.Dispatch) (*mailbox, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.takesWork() {
		return nil, fault.New(fault.Unavailable, "use another upstream", "upstream %s takes no work", l.upstream.Name)
	}
	d.ID.Incarnation = l.hello.Incarnation
	d.ID.Number = l.entry.dispatches.Add(1)
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
	if l.retired && l.inFlight == 0 {
		l.stop()
	}
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

// takesWork says whether the upstream can be given an attempt. The caller holds
// mu.
func (l *link) takesWork() bool {
	return l.conn != nil && !l.leaving && !l.listLeaving && !l.drained && !l.retired
}

// usable says whether the upstream can be given an attempt now.
func (l *link) usable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.takesWork()
}

// update tells the balance state whether the upstream can take work. The caller
// holds mu.
func (l *link) update() { l.member.setUsable(l.takesWork()) }

// retire ends a link that the entry no longer wants: it takes no new work and
// closes when its last attempt has ended, so that none is cut short.
func (l *link) retire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retired = true
	l.member.leave()
	if l.inFlight == 0 {
		l.stop()
	}
}

// setDrained notes whether the operators' record drains the upstream.
func (l *link) setDrained(drained bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drained = drained
	l.update()
}

// listed notes what the VM list says of the upstream's VM.
func (l *link) listed(leaving bool) {
	l.mu.Lock()
	changed := l.listLeaving != leaving
	l.listLeaving = leaving
	l.update()
	l.mu.Unlock()
	if changed && leaving {
		l.entry.event(timeline.Event{Kind: timeline.UpstreamLeaving, Object: l.upstream.Name, Detail: "VM list"})
	}
}
