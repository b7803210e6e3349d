package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/quarantine"
)

// prompt returns a request with a content of its own and the given shared parts.
func prompt(own string, parts ...string) quarantine.Suspect {
	return quarantine.Suspect{Fingerprint: quarantine.FingerprintOf("a", "/p", []byte(own)), Account: "a", Parts: quarantine.PartFingerprints(parts)}
}

var _ = Describe("parts of prompts", func() {
	var (
		clock *clockwork.FakeClock
		table *quarantine.Table
		count int
	)
	crashed := func(crash string, suspects ...quarantine.Suspect) {
		count++
		table.Add(quarantine.Report{ID: fmt.Sprint(count), Crash: crash, Upstream: crash, AtMS: clock.Now().UnixMilli(), Suspects: suspects})
	}
	succeeded := func(s quarantine.Suspect) {
		count++
		table.Add(quarantine.Report{ID: fmt.Sprint(count), AtMS: clock.Now().UnixMilli(), Suspects: []quarantine.Suspect{s}, Cleared: true})
	}
	BeforeEach(func() {
		clock = clockwork.NewFakeClockAt(time.UnixMilli(0))
		table = quarantine.NewTable(clock)
	})

	It("convicts a part at the third crash, and not the part that shares its requests", func() {
		for i := range 3 {
			Expect(table.Check(prompt("next", "first", "bad"))).To(Succeed())
			crashed(fmt.Sprint("crash", i), prompt(fmt.Sprint("own", i), "first", "bad"))
			clock.Advance(time.Second)
		}
		Expect(table.Check(prompt("next", "first", "bad"))).NotTo(Succeed())
		Expect(table.Check(prompt("sound", "first"))).To(Succeed(), "the other part explains the crashes")
		succeeded(prompt("sound", "first"))
		Expect(table.Check(prompt("other", "second", "bad"))).NotTo(Succeed())
		Expect(table.Lookup(prompt("other", "second", "bad")).Part).To(BeTrue())
	})

	// Guards against a process that starts later and refuses a sound part for good: it learns of
	// the crashes that the others repeat, and not of the successes since.
	It("doesn't report parts that were cleared since to a process that starts later", func() {
		for i := range 2 {
			crashed(fmt.Sprint("crash", i), prompt(fmt.Sprint("own", i), "first", "bad"))
			clock.Advance(time.Second)
			crashed(fmt.Sprint("other", i), prompt(fmt.Sprint("another", i), "first", "worse"))
			succeeded(prompt("sound", "first"))
			clock.Advance(time.Second)
		}
		clock.Advance(5 * time.Second)
		late := quarantine.NewTable(clock)
		relevant := table.Relevant()
		Expect(relevant).To(HaveLen(4))
		for _, r := range relevant {
			late.Add(r)
			Expect(late.Check(prompt("sound", "first"))).To(Succeed())
		}
		Expect(late.Recurring(prompt("next", "bad"))).To(BeTrue())
		Expect(late.Recurring(prompt("next", "worse"))).To(BeTrue())
	})

	// Guards against a part that all streams share being refused for minutes: upstreams crash at
	// another request's part, and by chance once more, while no stream succeeds.
	It("doesn't blame a part that has succeeded for crashes at a part that never has", func() {
		crashed("before", prompt("own", "first"))
		clock.Advance(time.Second)
		succeeded(prompt("sound", "first"))
		for i := range 3 {
			clock.Advance(time.Second)
			crashed(fmt.Sprint("crash", i), prompt(fmt.Sprint("own", i), "first"), prompt(fmt.Sprint("plain", i), "bad"))
		}
		clock.Advance(time.Second)
		crashed("chance", prompt("another", "first"))
		Expect(table.Check(prompt("sound", "first"))).To(Succeed())
		Expect(table.Check(prompt("next", "bad"))).NotTo(Succeed())

		By("a process that starts later and finds the evidence in the store")
		late := quarantine.NewTable(clock)
		for _, part := range []string{"first", "bad"} {
			for _, r := range table.Evidence(quarantine.PartFingerprints([]string{part})[0]) {
				late.Add(r)
			}
		}
		Expect(late.Check(prompt("sound", "first"))).To(Succeed())
		Expect(late.Check(prompt("next", "bad"))).NotTo(Succeed())

		By("crashes without another explanation")
		for i := range 3 {
			clock.Advance(time.Second)
			crashed(fmt.Sprint("more", i), prompt(fmt.Sprint("again", i), "first"))
		}
		Expect(table.Check(prompt("sound", "first"))).NotTo(Succeed())
	})

	It("counts one crash that several processes report once", func() {
		for i := range 5 {
			crashed("one", prompt(fmt.Sprint("own", i), "bad"))
			clock.Advance(time.Second)
		}
		Expect(table.Check(prompt("next", "bad"))).To(Succeed())
		Expect(table.Recurring(prompt("next", "bad"))).To(BeFalse())
		crashed("two", prompt("own5", "bad"))
		Expect(table.Recurring(prompt("next", "bad"))).To(BeTrue())
	})

	It("doesn't convict for upstreams that crash at the same moment", func() {
		for i := range 10 {
			crashed(fmt.Sprint("crash", i), prompt(fmt.Sprint("own", i), "popular"))
		}
		Expect(table.Check(prompt("next", "popular"))).To(Succeed())
	})

	// whole returns a request whose whole content is one of its parts.
	whole := func(own string) quarantine.Suspect {
		s := prompt(own, "part")
		s.Parts, s.Whole, s.Fingerprint = append(s.Parts, s.Fingerprint), s.Fingerprint, ""
		return s
	}
	It("convicts a whole request at its second crash, at a moment of its own", func() {
		crashed("one", whole("bad"), whole("sound"))
		crashed("two", whole("bad"), whole("sound"))
		Expect(table.Check(whole("bad"))).To(Succeed(), "both upstreams may have crashed for another reason")
		succeeded(whole("sound"))
		clock.Advance(time.Second)
		crashed("three", whole("bad"), whole("sound"))
		Expect(table.Check(whole("bad"))).NotTo(Succeed())
		Expect(table.Check(whole("sound"))).To(Succeed())
		Expect(table.Check(whole("with the same part"))).To(Succeed())

		elsewhere := quarantine.NewTable(clock)
		for _, r := range table.Evidence(whole("bad").Whole) {
			elsewhere.Add(r)
		}
		Expect(elsewhere.Check(whole("bad"))).NotTo(Succeed())
		succeeded(whole("bad"))
		Expect(table.Check(whole("bad"))).To(Succeed())
	})

	It("holds a whole request after a crash that asks for it, and no other with its parts", func() {
		held := whole("bad")
		held.Hold = true
		crashed("one", whole("bad"))
		crashed("one", held, whole("sound"))
		clock.Advance(10 * time.Second)
		Expect(fault.As(table.Check(whole("bad"))).RetryAfter).To(Equal(quarantine.HoldTime - 10*time.Second))
		Expect(table.Check(whole("sound"))).To(Succeed())
		Expect(table.Check(whole("with the same part"))).To(Succeed())
		Expect(table.Relevant()).NotTo(BeEmpty(), "an entry that starts learns of the hold")
		elsewhere := quarantine.NewTable(clock)
		for _, r := range table.Evidence(held.Whole) {
			elsewhere.Add(r)
		}
		Expect(elsewhere.Check(whole("bad"))).NotTo(Succeed())
		Expect(table.QuarantinedParts(whole("bad"))).To(Equal([]quarantine.Fingerprint{held.Whole}))
		clock.Advance(quarantine.HoldTime - 10*time.Second)
		Expect(table.Check(whole("bad"))).To(Succeed())
		Expect(table.Relevant()).To(BeEmpty())
		crashed("two", held)
		Expect(fault.As(table.Check(whole("bad"))).RetryAfter).To(Equal(quarantine.Expiry))
	})

	It("ends a hold at a success, also if the crash is reported later", func() {
		held := whole("unlucky")
		held.Hold = true
		at := clock.Now()
		crashed("one", held)
		Expect(table.Check(held)).NotTo(Succeed())
		clock.Advance(time.Second)
		succeeded(whole("unlucky"))
		Expect(table.Check(held)).To(Succeed())
		Expect(table.Quarantined(held.Whole)).To(BeFalse())
		table.Add(quarantine.Report{ID: "late", Crash: "one", AtMS: at.UnixMilli(), Suspects: []quarantine.Suspect{held}})
		Expect(table.Check(held)).To(Succeed())
	})

	It("clears a part that succeeds, also a convicted one", func() {
		for i := range 4 {
			crashed(fmt.Sprint("crash", i), prompt(fmt.Sprint("own", i), "unlucky"))
			clock.Advance(time.Second)
		}
		Expect(table.Check(prompt("next", "unlucky"))).NotTo(Succeed())
		succeeded(prompt("sent before the conviction", "unlucky"))
		Expect(table.Check(prompt("next", "unlucky"))).To(Succeed())
		Expect(table.CrashedWith(prompt("next", "unlucky"))).To(BeEmpty())
	})

	It("blames one query and not its path if that query is in flight at all crashes", func() {
		get := func(account, target string) quarantine.Suspect {
			own := quarantine.FingerprintOf(account, target, nil)
			return quarantine.Suspect{Account: account, Parts: append(quarantine.ContentFingerprints(account, target, nil), own)}
		}
		for i := range 3 {
			crashed(fmt.Sprint("crash", i), get("a", "/p?n=bad"))
			clock.Advance(time.Second)
		}
		Expect(table.Check(get("a", "/p?n=bad"))).NotTo(Succeed())
		Expect(table.Check(get("a", "/p?n=sound"))).To(Succeed())
		Expect(table.Check(get("b", "/p?n=bad"))).To(Succeed(), "only the account a has crashed upstreams")
		crashed("crash of b", get("b", "/p?n=bad"))
		Expect(table.Check(get("b", "/p?n=bad"))).NotTo(Succeed(), "the content crashes upstreams for any account")
		Expect(table.Check(get("c", "/p?n=bad"))).NotTo(Succeed())
		Expect(table.Check(get("b", "/p?n=sound"))).To(Succeed())
	})

	It("doesn't count a crash from before a success that is reported after it", func() {
		at := clock.Now()
		clock.Advance(time.Second)
		crashed("first", prompt("own1", "unlucky"))
		clock.Advance(time.Second)
		succeeded(prompt("own2", "unlucky"))
		for i := range 4 {
			count++
			table.Add(quarantine.Report{ID: fmt.Sprint(count), Crash: fmt.Sprint("late", i), Upstream: "u", AtMS: at.Add(time.Duration(i) * 300 * time.Millisecond).UnixMilli(), Suspects: []quarantine.Suspect{prompt("own", "unlucky")}})
		}
		Expect(table.Check(prompt("next", "unlucky"))).To(Succeed())
		Expect(table.CrashedWith(prompt("next", "unlucky"))).To(BeEmpty())
	})

	// Requests with one bad part come beside sound ones that share their other parts, and
	// at each crash sound requests are in flight too.
	It("refuses the bad part and no sound request on random schedules", func() {
		for seed := range uint64(500) {
			rng := rand.New(rand.NewPCG(seed, 1))
			table = quarantine.NewTable(clock)
			shared := func() string { return fmt.Sprint("shared", rng.IntN(1+rng.IntN(20))) }
			crashes := 0
			for i := range 30 {
				bad := prompt(fmt.Sprint(seed, "bad", i), shared(), "bad")
				if table.Check(bad) == nil {
					suspects := []quarantine.Suspect{bad}
					for j := range rng.IntN(4) {
						suspects = append(suspects, prompt(fmt.Sprint(seed, "suspect", i, j), shared()))
					}
					crashes++
					crashed(fmt.Sprint(seed, "crash", i), suspects...)
				}
				for j := range rng.IntN(6) {
					sound := prompt(fmt.Sprint(seed, "sound", i, j), shared())
					Expect(table.Check(sound)).To(Succeed(), "seed %d, request %d", seed, i)
					succeeded(sound)
				}
				clock.Advance(time.Duration(rng.IntN(4000)) * time.Millisecond)
			}
			Expect(crashes).To(BeNumerically("<=", 5), "seed %d", seed)
		}
	})
})

var _ = Describe("InFlight", func() {
	It("reports no parts of a request whose answer has begun", func() {
		f := quarantine.NewInFlight()
		begun := f.Start(prompt("begun", "part"), func() bool { return true })
		f.Start(prompt("waiting", "part"), func() bool { return false })
		var got []quarantine.Suspect
		f.Crashed(begun, func(s []quarantine.Suspect) { got = s })
		begunSuspect := prompt("begun", "part")
		begunSuspect.Parts = nil
		Expect(got).To(ConsistOf(begunSuspect, prompt("waiting", "part")))
	})
})
