package entry

import (
	"net"
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
