package entry

import (
	"context"
	"errors"
	"net"
	"slices"
	"strconv"
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

// redialBackoff bounds the wait between two dials of an agent.
var redialBackoff = wire.Backoff{Min: 50 * time.Millisecond, Max: 2 * time.Second}

// maxUnconfirmedCancels bounds the cancelled attempts that a link keeps until
// the agent confirms them. An agent runs and queues fewer attempts by default.
const maxUnconfirmedCancels = 1024

// link is the connection to one upstream's agent. It is dialled again when it
// ends.
type link struct {
	entry    *Entry
	upstream *config.Upstream
	stop     context.CancelFunc
	member   *member

	mu   sync.Mutex
	conn *wire.Conn
	// hello and load are the agent's last Hello and its last report of load.
	hello wire.Hello
	load  wire.Load
	// leaving is set once the agent has announced that it takes no new work.
	leaving bool
	// vmLeaving is set while the VM list shows the upstream's VM as leaving.
	vmLeaving bool
	// drained is set while the upstream's configuration record drains it or its data centre is
	// evacuated.
	drained bool
	// retired means that the link takes no new work and closes with its last
	// attempt.
	retired   bool
	inFlight  int
	mailboxes map[wire.AttemptID]*mailbox
	// unconfirmedCancels holds the cancelled attempts, the oldest first, of which
	// the agent has not sent a Verdict since.
	unconfirmedCancels []wire.AttemptID
}

func newLink(e *Entry, u *config.Upstream, stop context.CancelFunc) *link {
	return &link{entry: e, upstream: u, stop: stop, mailboxes: map[wire.AttemptID]*mailbox{}}
}

// run keeps the link connected until ctx is done.
func (l *link) run(ctx context.Context) { wire.Redial(ctx, redialBackoff, l.connect) }

// connect dials and serves one connection. It reports whether the agent sent a
// valid Hello.
func (l *link) connect(ctx context.Context) bool {
	d := net.Dialer{Timeout: dialTimeout}
	nc, err := d.DialContext(ctx, "tcp", l.upstream.Address)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			l.broadcast(&linkRefused{})
		}
		return false
	}
	c := wire.NewConn(nc, l, l.entry.agentWireOptions())
	_ = c.Send(l.entry.Hello())
	err = c.Run(ctx)
	return l.handleDisconnect(c, err)
}

// Receive implements wire.Handler.
func (l *link) Receive(c *wire.Conn, m wire.Message) {
	switch m := m.(type) {
	case *wire.Hello:
		l.handleHello(c, *m)
	case *wire.Load:
		l.mu.Lock()
		l.load = *m
		l.mu.Unlock()
		l.member.updateLoad(m)
		l.entry.updateAdmissionCapacity(l.member.pool)
	case *wire.Leaving:
		l.mu.Lock()
		l.leaving = true
		l.updateUsable()
		l.mu.Unlock()
		l.entry.event(timeline.Event{Kind: timeline.UpstreamLeaving, Object: l.upstream.Name})
	case *wire.RequestLimit:
		l.member.setLimit(m.Rate)
		l.entry.event(timeline.Event{Kind: timeline.UpstreamLimit, Object: l.upstream.Name, Detail: strconv.FormatFloat(m.Rate, 'g', -1, 64)})
	case *wire.ConfigDigest:
		l.mu.Lock()
		l.hello.Revision = m.Revision
		l.mu.Unlock()
	case *wire.EventsReply:
		l.entry.handleReply(m.Nonce, m)
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

// attemptOf returns the ID of the attempt that a message belongs to, or the zero
// ID if it belongs to none.
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

// deliver puts a message into its attempt's mailbox. Messages of an earlier
// connection and of unknown attempts are dropped and counted.
func (l *link) deliver(c *wire.Conn, m wire.Message) {
	l.mu.Lock()
	box := l.mailboxes[attemptOf(m)]
	current := l.conn == c
	if verdict, ok := m.(*wire.Verdict); ok && current {
		l.confirmCancel(verdict.ID)
	}
	l.mu.Unlock()
	switch {
	case !current:
		l.entry.count("frames.late")
	case box == nil:
		l.entry.count("frames.foreign")
	default:
		l.member.recordProgress(m)
		box.put(m)
	}
}

// handleHello makes c the link's connection, or closes it if another upstream's
// agent answers at the address.
func (l *link) handleHello(c *wire.Conn, hello wire.Hello) {
	if hello.Upstream != l.upstream.Name {
		l.entry.count("links.wrong_upstream")
		c.Close()
		return
	}
	l.mu.Lock()
	l.conn = c
	// An agent that leaves announces it on each connection, but after its Hello.
	l.leaving = l.leaving && hello.Incarnation == l.hello.Incarnation
	l.hello = hello
	l.member.setLimit(0) // the agent names a limit after its Hello
	l.updateUsable()
	l.resendCancels()
	l.mu.Unlock()
	l.entry.updateAdmissionCapacity(l.member.pool)
	l.entry.event(timeline.Event{Kind: timeline.Connected, Object: l.upstream.Name})
	l.broadcast(&linkRestored{incarnation: hello.Incarnation})
}

// revisionBelow reports whether the connected agent's configuration has a lower
// revision.
func (l *link) revisionBelow(revision int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn != nil && l.hello.Revision < revision
}

// broadcast puts a message into every attempt's mailbox.
func (l *link) broadcast(m wire.Message) {
	l.mu.Lock()
	mailboxes := make([]*mailbox, 0, len(l.mailboxes))
	for _, b := range l.mailboxes {
		mailboxes = append(mailboxes, b)
	}
	l.mu.Unlock()
	for _, b := range mailboxes {
		b.put(m)
	}
}

// handleDisconnect handles the end of a connection and reports whether its
// agent had sent a valid Hello.
func (l *link) handleDisconnect(c *wire.Conn, err error) bool {
	l.mu.Lock()
	established := l.conn == c
	if established {
		l.conn = nil
		l.updateUsable()
	}
	l.mu.Unlock()
	if established {
		l.broadcast(&linkLost{})
		l.entry.event(timeline.Event{Kind: timeline.Disconnected, Object: l.upstream.Name, Detail: err.Error()})
	}
	return established
}

// linkLost tells an attempt that its connection ended. It is never sent to
// another process.
type linkLost struct{}

// Kind implements wire.Message.
func (*linkLost) Kind() wire.Kind { return 0 }

// linkRefused tells an attempt that connections to the agent's address are
// refused. It is never sent to another process.
type linkRefused struct{}

// Kind implements wire.Message.
func (*linkRefused) Kind() wire.Kind { return 0 }

// linkRestored tells an attempt that the agent's address is connected again, and
// which incarnation of the agent answers there. It is never sent to another
// process.
type linkRestored struct{ incarnation string }

// Kind implements wire.Message.
func (*linkRestored) Kind() wire.Kind { return 0 }

// open registers an attempt's mailbox and sends the dispatch. An error means
// that no dispatch was written.
func (l *link) open(d *wire.Dispatch) (*mailbox, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.acceptsWork() {
		return nil, fault.New(fault.Unavailable, "use another upstream", "upstream %s accepts no new work", l.upstream.Name)
	}
	d.ID.Incarnation = l.hello.Incarnation
	d.ID.DispatchNumber = l.entry.dispatchCount.Add(1)
	box := newMailbox()
	l.mailboxes[d.ID] = box
	l.inFlight++
	if err := l.conn.Send(d); err != nil {
		delete(l.mailboxes, d.ID)
		l.inFlight--
		return nil, err
	}
	l.member.markSent()
	return box, nil
}

// close removes an attempt and stops a retired link that has no other attempt.
func (l *link) close(id wire.AttemptID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.mailboxes, id)
	l.inFlight--
	l.member.finishAttempt(id)
	if l.retired && l.inFlight == 0 {
		l.stop()
	}
}

// send sends a message to the agent if it is connected.
func (l *link) send(m wire.Message) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return fault.New(fault.Unavailable, "use another upstream", "upstream %s is not connected", l.upstream.Name)
	}
	return l.conn.Send(m)
}

// cancel cancels an attempt at the agent, once it is connected again if it isn't
// now. Without the Cancel, the attempt would run until the agent's OrphanTimeout.
func (l *link) cancel(id wire.AttemptID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.unconfirmedCancels) >= maxUnconfirmedCancels {
		l.unconfirmedCancels = slices.Delete(l.unconfirmedCancels, 0, 1)
	}
	l.unconfirmedCancels = append(l.unconfirmedCancels, id)
	if l.conn != nil {
		_ = l.conn.Send(&wire.Cancel{ID: id})
	}
}

// confirmCancel drops a cancelled attempt after its Verdict. The caller holds mu.
func (l *link) confirmCancel(id wire.AttemptID) {
	if i := slices.Index(l.unconfirmedCancels, id); i >= 0 {
		l.unconfirmedCancels = slices.Delete(l.unconfirmedCancels, i, i+1)
	}
}

// resendCancels sends the unconfirmed Cancels on a new connection, except those
// of attempts at another incarnation of the agent, which no longer run. The
// caller holds mu.
func (l *link) resendCancels() {
	l.unconfirmedCancels = slices.DeleteFunc(l.unconfirmedCancels, func(id wire.AttemptID) bool {
		return id.Incarnation != l.hello.Incarnation
	})
	for _, id := range l.unconfirmedCancels {
		_ = l.conn.Send(&wire.Cancel{ID: id})
	}
}

// acceptsWork reports whether the upstream can be given an attempt. The caller
// holds mu.
func (l *link) acceptsWork() bool {
	return l.conn != nil && !l.leaving && !l.vmLeaving && !l.drained && !l.retired
}

// usable reports whether the upstream can be given an attempt.
func (l *link) usable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.acceptsWork()
}

// updateUsable sets whether the balancer may choose the upstream. The caller holds
// mu.
func (l *link) updateUsable() { l.member.setUsable(l.acceptsWork()) }

// retire removes the link from its pool. The link takes no new work and closes
// when its last attempt has ended, so that no attempt is cut short.
func (l *link) retire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retired = true
	l.member.leave()
	if l.inFlight == 0 {
		l.stop()
	}
}

// setDrained sets whether the configuration gives the upstream no new work.
func (l *link) setDrained(drained bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drained = drained
	l.updateUsable()
}

// setVMLeaving sets whether the VM list shows the upstream's VM as leaving.
func (l *link) setVMLeaving(leaving bool) {
	l.mu.Lock()
	changed := l.vmLeaving != leaving
	l.vmLeaving = leaving
	l.updateUsable()
	l.mu.Unlock()
	if changed && leaving {
		l.entry.event(timeline.Event{Kind: timeline.UpstreamLeaving, Object: l.upstream.Name, Detail: "VM list"})
	}
}
