package quarantine_test

import (
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/quarantine"
)

var _ = Describe("Table", func() {
	var (
		clock    *clockwork.FakeClock
		table    *quarantine.Table
		poison   = quarantine.Suspect{Fingerprint: quarantine.FingerprintOf("a", "/p", []byte("poison")), Account: "a"}
		innocent = quarantine.Suspect{Fingerprint: quarantine.FingerprintOf("a", "/p", []byte("innocent")), Account: "a"}
	)
	crash := func(id, upstream string, suspects ...quarantine.Suspect) quarantine.Report {
		return quarantine.Report{ID: id, Upstream: upstream, AtMS: clock.Now().UnixMilli(), Suspects: suspects}
	}
	state := func(s quarantine.Suspect) quarantine.State { return table.Lookup(s).State }
	BeforeEach(func() {
		clock = clockwork.NewFakeClockAt(time.UnixMilli(0))
		table = quarantine.NewTable(clock)
	})

	It("suspects all requests in flight at a crash and convicts them at a second one", func() {
		Expect(table.Empty()).To(BeTrue())
		Expect(table.Add(crash("1", "e1", poison, innocent))).To(BeTrue())
		Expect(state(poison)).To(Equal(quarantine.Suspected))
		Expect(table.Check(poison)).To(Succeed())
		Expect(table.Add(crash("2", "e2", poison))).To(BeTrue())
		Expect(state(poison)).To(Equal(quarantine.Convicted))
		Expect(state(innocent)).To(Equal(quarantine.Suspected))
		e := fault.As(table.Check(poison))
		Expect(e.Kind).To(Equal(fault.Quarantined))
		Expect(e.RetryAfter).To(Equal(quarantine.Expiry))
		Expect(table.List()[0].CrashedUpstreams).To(Equal([]string{"e1", "e2"}))
	})

	It("counts a report once, however often it is added", func() {
		Expect(table.Add(crash("1", "e1", poison))).To(BeTrue())
		Expect(table.Add(crash("1", "e1", poison))).To(BeFalse())
		Expect(state(poison)).To(Equal(quarantine.Suspected))
	})

	It("clears a suspect that succeeds but keeps convictions", func() {
		table.Add(crash("1", "e1", poison, innocent))
		table.Add(crash("2", "e2", poison))
		cleared := crash("3", "", poison, innocent)
		cleared.Cleared = true
		Expect(table.Add(cleared)).To(BeTrue())
		Expect(state(innocent)).To(Equal(quarantine.Clear))
		Expect(state(poison)).To(Equal(quarantine.Convicted))
		table.Add(crash("4", "e3", innocent))
		Expect(state(innocent)).To(Equal(quarantine.Suspected))
	})

	It("lets a conviction and its reports expire", func() {
		table.Add(crash("1", "e1", poison))
		old := crash("2", "e2", poison)
		table.Add(old)
		Expect(table.Reports()).To(HaveLen(2))
		clock.Advance(quarantine.Expiry)
		Expect(state(poison)).To(Equal(quarantine.Clear))
		Expect(table.Reports()).To(BeEmpty())
		old.ID = "late"
		Expect(table.Add(old)).To(BeFalse())
	})

	It("gives the calls of different accounts different fingerprints", func() {
		Expect(quarantine.FingerprintOf("b", "/p", []byte("poison"))).NotTo(Equal(poison.Fingerprint))
	})
})

var _ = Describe("InFlight", func() {
	suspect := func(name string) quarantine.Suspect {
		return quarantine.Suspect{Fingerprint: quarantine.Fingerprint(name)}
	}
	notStarted := func() bool { return false }
	It("attributes a crash once to the requests that were in flight", func() {
		f := quarantine.NewInFlight()
		var reports [][]quarantine.Suspect
		report := func(s []quarantine.Suspect) { reports = append(reports, s) }
		before := f.Start(suspect("before"), notStarted)
		f.End(before)
		a, b := f.Start(suspect("a"), notStarted), f.Start(suspect("b"), notStarted)
		f.Crashed(b, report)
		after := f.Start(suspect("after"), notStarted)
		f.Crashed(a, report)
		Expect(reports).To(HaveLen(1))
		Expect(reports[0]).To(ConsistOf(suspect("a"), suspect("b")))
		f.End(a)
		f.End(b)
		f.Crashed(after, report)
		Expect(reports[1:]).To(Equal([][]quarantine.Suspect{{suspect("after")}}))
	})
})
