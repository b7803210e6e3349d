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
		clock  *clockwork.FakeClock
		ledger *claim.Ledger
		a      = claim.ID{Account: "acc", Key: "a"}
		b      = claim.ID{Account: "acc", Key: "b"}
		done   = claim.Answer{Outcome: outcome.Completed, Status: 200, Body: []byte("0123456789")}
	)
	now := func(generation uint32) claim.Ticket {
		return claim.Ticket{Generation: generation, Incarnation: incarnation, ClaimedMS: clock.Now().UnixMilli()}
	}
	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		ledger = claim.NewLedger(incarnation, clock, 1, 15)
	})

	It("tells those who wait for a running call how it ended", func() {
		Expect(ledger.Begin(a, now(1))).To(Succeed())
		var told []claim.Status
		wait := func(s claim.Status) { told = append(told, s) }
		Expect(ledger.Query(a, now(1), true, wait).State).To(Equal(claim.Running))
		Expect(fault.KindOf(ledger.Begin(a, now(2)))).To(Equal(fault.Conflict))
		ledger.End(a, 1, done)
		Expect(told).To(Equal([]claim.Status{{State: claim.Ended, Answer: done}}))
		Expect(ledger.Query(a, now(1), true, nil).Answer).To(Equal(done))
	})

	It("lets a fenced call run only under a later generation", func() {
		Expect(ledger.Query(a, now(2), true, nil).State).To(Equal(claim.NeverRun))
		Expect(fault.KindOf(ledger.Begin(a, now(1)))).To(Equal(fault.Stale))
		Expect(fault.KindOf(ledger.Begin(a, now(2)))).To(Equal(fault.Stale))
		Expect(ledger.Begin(a, now(3))).To(Succeed())
	})

	It("keeps a later generation's run when an earlier one is withdrawn twice", func() {
		Expect(ledger.Begin(a, now(1))).To(Succeed())
		ledger.Withdraw(a, 1)
		Expect(ledger.Begin(a, now(2))).To(Succeed())
		ledger.Withdraw(a, 1)
		Expect(ledger.Query(a, now(2), true, nil).State).To(Equal(claim.Running))
	})

	It("vouches for no call claimed before the newest one that it forgot", func() {
		old := now(1)
		Expect(ledger.Query(a, now(1), true, nil).State).To(Equal(claim.NeverRun))
		clock.Advance(time.Hour)
		late := now(2)
		Expect(ledger.Begin(a, late)).To(Succeed())
		ledger.End(a, 2, done)
		Expect(ledger.Begin(b, now(1))).To(Succeed())
		Expect(ledger.Query(a, old, true, nil).State).To(Equal(claim.Forgotten))
		Expect(ledger.Query(a, late, true, nil).State).To(Equal(claim.Forgotten))
		Expect(fault.KindOf(ledger.Begin(a, late))).To(Equal(fault.Stale))
	})

	It("covers a fence from its last time, not its first", func() {
		Expect(ledger.Query(a, now(1), true, nil).State).To(Equal(claim.NeverRun))
		clock.Advance(time.Hour)
		frozen := now(2)
		Expect(ledger.Query(a, frozen, true, nil).State).To(Equal(claim.NeverRun))
		ledger.Query(b, now(1), true, nil)
		Expect(fault.KindOf(ledger.Begin(a, frozen))).To(Equal(fault.Stale))
	})

	It("drops the oldest bodies over its limit and remembers that the call ran", func() {
		big := claim.NewLedger(incarnation, clock, 10, 15)
		for _, id := range []claim.ID{a, b} {
			Expect(big.Begin(id, now(1))).To(Succeed())
			big.End(id, 1, done)
		}
		first := big.Query(a, now(1), true, nil)
		Expect(first.State).To(Equal(claim.Ended))
		Expect(first.Answer.BodyDropped).To(BeTrue())
		Expect(big.Query(b, now(1), true, nil).Answer).To(Equal(done))
	})

	It("refuses a claim on another incarnation", func() {
		t := now(1)
		t.Incarnation = "other"
		Expect(fault.KindOf(ledger.Begin(a, t))).To(Equal(fault.Stale))
		Expect(ledger.Query(a, t, true, nil).State).To(Equal(claim.Forgotten))
	})
})
