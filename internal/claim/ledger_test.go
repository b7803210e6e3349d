package claim_test

import (
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/claim"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
)

var _ = Describe("Ledger", func() {
	const incarnation = "i"
	var (
		clock     *clockwork.FakeClock
		ledger    *claim.Ledger
		a         = claim.ID{Account: "acc", Key: "a"}
		b         = claim.ID{Account: "acc", Key: "b"}
		completed = claim.Answer{Outcome: outcome.Completed, Status: 200, Body: []byte("0123456789")}
	)
	ticketNow := func(generation uint32) claim.Ticket {
		return claim.Ticket{Generation: generation, Incarnation: incarnation, ClaimedMS: clock.Now().UnixMilli()}
	}
	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		ledger = claim.NewLedger(incarnation, clock, 1, 15)
	})

	It("notifies the waiters of a running call when it ends", func() {
		Expect(ledger.Begin(a, ticketNow(1))).To(Succeed())
		var notified []claim.Status
		onEnd := func(s claim.Status) { notified = append(notified, s) }
		Expect(ledger.Query(a, ticketNow(1), true, onEnd).State).To(Equal(claim.Running))
		Expect(fault.KindOf(ledger.Begin(a, ticketNow(2)))).To(Equal(fault.Conflict))
		ledger.End(a, 1, completed)
		Expect(notified).To(Equal([]claim.Status{{State: claim.Ended, Answer: completed}}))
		Expect(ledger.Query(a, ticketNow(1), true, nil).Answer).To(Equal(completed))
	})

	It("lets a fenced call run only under a later generation", func() {
		Expect(ledger.Query(a, ticketNow(2), true, nil).State).To(Equal(claim.NeverRun))
		Expect(fault.KindOf(ledger.Begin(a, ticketNow(1)))).To(Equal(fault.Stale))
		Expect(fault.KindOf(ledger.Begin(a, ticketNow(2)))).To(Equal(fault.Stale))
		Expect(ledger.Begin(a, ticketNow(3))).To(Succeed())
	})

	It("keeps a later generation running when an earlier one is withdrawn again", func() {
		Expect(ledger.Begin(a, ticketNow(1))).To(Succeed())
		ledger.Withdraw(a, 1)
		Expect(ledger.Begin(a, ticketNow(2))).To(Succeed())
		ledger.Withdraw(a, 1)
		Expect(ledger.Query(a, ticketNow(2), true, nil).State).To(Equal(claim.Running))
	})

	It("reports a call as forgotten if it was claimed before the newest evicted one", func() {
		earlyTicket := ticketNow(1)
		Expect(ledger.Query(a, ticketNow(1), true, nil).State).To(Equal(claim.NeverRun))
		clock.Advance(time.Hour)
		lateTicket := ticketNow(2)
		Expect(ledger.Begin(a, lateTicket)).To(Succeed())
		ledger.End(a, 2, completed)
		Expect(ledger.Begin(b, ticketNow(1))).To(Succeed())
		Expect(ledger.Query(a, earlyTicket, true, nil).State).To(Equal(claim.Forgotten))
		Expect(ledger.Query(a, lateTicket, true, nil).State).To(Equal(claim.Forgotten))
		Expect(fault.KindOf(ledger.Begin(a, lateTicket))).To(Equal(fault.Stale))
	})

	It("counts the age of a fence from its last update, not its first", func() {
		Expect(ledger.Query(a, ticketNow(1), true, nil).State).To(Equal(claim.NeverRun))
		clock.Advance(time.Hour)
		fencedTicket := ticketNow(2)
		Expect(ledger.Query(a, fencedTicket, true, nil).State).To(Equal(claim.NeverRun))
		ledger.Query(b, ticketNow(1), true, nil)
		Expect(fault.KindOf(ledger.Begin(a, fencedTicket))).To(Equal(fault.Stale))
	})

	It("drops the oldest bodies over its limit but not the fact that the call ran", func() {
		largerLedger := claim.NewLedger(incarnation, clock, 10, 15)
		for _, id := range []claim.ID{a, b} {
			Expect(largerLedger.Begin(id, ticketNow(1))).To(Succeed())
			largerLedger.End(id, 1, completed)
		}
		first := largerLedger.Query(a, ticketNow(1), true, nil)
		Expect(first.State).To(Equal(claim.Ended))
		Expect(first.Answer.BodyDropped).To(BeTrue())
		Expect(largerLedger.Query(b, ticketNow(1), true, nil).Answer).To(Equal(completed))
	})

	It("refuses a claim on another incarnation", func() {
		t := ticketNow(1)
		t.Incarnation = "other"
		Expect(fault.KindOf(ledger.Begin(a, t))).To(Equal(fault.Stale))
		Expect(ledger.Query(a, t, true, nil).State).To(Equal(claim.Forgotten))
	})
})
