package entry

import (
	"net"
	"sync"
	"testing"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/balance"
	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/timeline"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

func TestARetiredLinkClosesWithItsLastAttempt(t *testing.T) {
	g := NewWithT(t)
	stopped := false
	l := newLink(&Entry{}, &config.Upstream{Name: "u"}, func() { stopped = true })
	first, second := wire.AttemptID{Request: "a"}, wire.AttemptID{Request: "b"}
	l.mailboxes[first], l.mailboxes[second] = newMailbox(), newMailbox()
	l.inFlight = 2
	l.retire()
	_, err := l.open(&wire.Dispatch{})
	g.Expect(err).To(HaveOccurred(), "a retired link takes no new work")
	l.close(first)
	g.Expect(stopped).To(BeFalse(), "an attempt is still in flight")
	l.close(second)
	g.Expect(stopped).To(BeTrue())

	pool := newUpstreamPool("p", "dc1")
	l.member = pool.addMember(l)
	l.retire()
	l.member.updateLoad(&wire.Load{Running: 1, Capacity: 8})
	l.member.setUsable(true)
	g.Expect(pool.pool.Len()).To(BeZero())
	g.Expect(pool.pool.Capacity()).To(BeZero(), "a load report after leaving the pool has no effect")
	g.Expect(pool.pick(balance.LeastWork{}, "", nil)).To(BeNil())

	stopped = false
	idle := newLink(&Entry{}, &config.Upstream{Name: "v"}, func() { stopped = true })
	idle.retire()
	g.Expect(stopped).To(BeTrue(), "nothing is in flight")
}

// Guards against attempts that are sent to a leaving upstream when its agent is connected
// again: the agent greets first and announces its departure after that.
func TestALeavingAgentStaysUnusableOverAReconnection(t *testing.T) {
	g := NewWithT(t)
	l := newTestLink()
	connect(t, l, "first")
	g.Expect(l.usable()).To(BeTrue())
	l.Receive(l.conn, &wire.Leaving{})
	connect(t, l, "first")
	g.Expect(l.usable()).To(BeFalse())
	connect(t, l, "second")
	g.Expect(l.usable()).To(BeTrue(), "another incarnation of the agent isn't leaving")
}

// Guards against requests beyond a limit after an operator has drained the upstream and put it
// back into use: its agent names the limit once on a connection.
func TestALimitOutlastsADrain(t *testing.T) {
	g := NewWithT(t)
	l := newTestLink()
	limited := func() bool {
		_, limited := l.member.pool.atLimit(nil)
		return limited
	}
	connect(t, l, "first")
	l.Receive(l.conn, &wire.RequestLimit{Rate: 1})
	g.Expect(limited()).To(BeTrue())
	l.setDrained(true)
	l.setDrained(false)
	g.Expect(limited()).To(BeTrue())
	connect(t, l, "first")
	g.Expect(limited()).To(BeFalse(), "the agent names it again, if there still is one")
	l.Receive(l.conn, &wire.RequestLimit{Rate: 1})
	l.Receive(l.conn, &wire.RequestLimit{})
	g.Expect(limited()).To(BeFalse())
}

// TestCancelsOutlastAConnection guards against runs that go on for callers that left while the
// agent wasn't connected, or whose Cancel the agent hadn't read when the connection ended.
func TestCancelsOutlastAConnection(t *testing.T) {
	g := NewWithT(t)
	l := newTestLink()
	agent := connectAgent(t, l, "first")
	var ids []wire.AttemptID
	for _, request := range []string{"confirmed", "unread", "disconnected", "attached"} {
		d := &wire.Dispatch{ID: wire.AttemptID{Request: request, Attempt: 1}}
		_, err := l.open(d)
		g.Expect(err).NotTo(HaveOccurred())
		ids = append(ids, d.ID)
	}
	first := l.conn
	l.cancel(ids[0])
	l.cancel(ids[1])
	g.Eventually(agent.cancels).Should(Equal(ids[:2]))
	l.Receive(first, &wire.Verdict{ID: ids[0], State: wire.Running})
	g.Expect(l.handleDisconnect(first, net.ErrClosed)).To(BeTrue())
	l.cancel(ids[2])
	l.Receive(first, &wire.Verdict{ID: ids[1], State: wire.Running})

	agent = connectAgent(t, l, "first")
	_ = l.send(&wire.Attach{ID: ids[3]})
	g.Eventually(agent.kinds).Should(Equal([]wire.Kind{(&wire.Cancel{}).Kind(), (&wire.Cancel{}).Kind(), (&wire.Attach{}).Kind()}),
		"Cancels precede Attaches")
	g.Expect(agent.cancels()).To(Equal(ids[1:3]), "without the one that was confirmed on its own connection")

	agent = connectAgent(t, l, "second")
	_ = l.send(&wire.Attach{})
	g.Eventually(agent.kinds).Should(HaveLen(1), "another incarnation of the agent gets none")
	g.Expect(agent.cancels()).To(BeEmpty())
	g.Expect(l.unconfirmedCancels).To(BeEmpty())
}

func TestUnconfirmedCancelsAreBounded(t *testing.T) {
	g := NewWithT(t)
	l := newTestLink()
	for i := range uint64(maxUnconfirmedCancels + 2) {
		l.cancel(wire.AttemptID{DispatchNumber: i})
	}
	g.Expect(l.unconfirmedCancels).To(HaveLen(maxUnconfirmedCancels))
	g.Expect(l.unconfirmedCancels[0].DispatchNumber).To(BeEquivalentTo(2), "the oldest are dropped")
}

// recordingAgent records the messages that an entry sends it.
type recordingAgent struct {
	mu       sync.Mutex
	received []wire.Message
}

func (r *recordingAgent) Receive(_ *wire.Conn, m wire.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received = append(r.received, m)
}

func (r *recordingAgent) kinds() []wire.Kind {
	r.mu.Lock()
	defer r.mu.Unlock()
	var kinds []wire.Kind
	for _, m := range r.received {
		kinds = append(kinds, m.Kind())
	}
	return kinds
}

func (r *recordingAgent) cancels() []wire.AttemptID {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []wire.AttemptID
	for _, m := range r.received {
		if c, ok := m.(*wire.Cancel); ok && !c.OnlyIfWaiting {
			ids = append(ids, c.ID)
		}
	}
	return ids
}

// connectAgent gives the link a new connection to an incarnation of its agent, and returns the
// agent.
func connectAgent(t *testing.T, l *link, incarnation string) *recordingAgent {
	near, far := net.Pipe()
	agent := &recordingAgent{}
	conn, peer := wire.NewConn(near, l, wire.Options{}), wire.NewConn(far, agent, wire.Options{})
	var wg sync.WaitGroup
	wg.Go(func() { _ = conn.Run(t.Context()) })
	wg.Go(func() { _ = peer.Run(t.Context()) })
	t.Cleanup(func() { conn.Close(); peer.Close(); wg.Wait() })
	l.handleHello(conn, wire.Hello{Upstream: "u", Incarnation: incarnation})
	return agent
}

func newTestLink() *link {
	e := &Entry{admitter: newAdmitter(), opts: Options{Events: timeline.NewRing("entry", 8, clockwork.NewFakeClock())}}
	l := newLink(e, &config.Upstream{Name: "u", DataCentre: "dc1"}, func() {})
	l.member = newUpstreamPool("p", "dc1").addMember(l)
	return l
}

// connect gives the link a new connection to an incarnation of its agent.
func connect(t *testing.T, l *link, incarnation string) {
	near, far := net.Pipe()
	t.Cleanup(func() { near.Close(); far.Close() })
	l.handleHello(wire.NewConn(near, l, wire.Options{}), wire.Hello{Upstream: "u", Incarnation: incarnation})
}
