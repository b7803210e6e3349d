package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/admission"
	"github.com/kingcupreel/kingcupreel/internal/directory"
	"github.com/kingcupreel/kingcupreel/internal/dispatch"
	"github.com/kingcupreel/kingcupreel/internal/outage"
	"github.com/kingcupreel/kingcupreel/internal/routing"
)

// The wave at the return of a group of four: what waits starts once half of the ranks say that it
// is open, and a caller that is late queues behind those who can be on time. Before that, the
// caller of a moment is told to retry at the end that the declared times tell.
func TestReturnOfAGroup(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	p := NewPools(clock, rand.New(rand.NewPCG(1, 1)))
	p.SetEntryShare(1)
	p.configureOutages(&routing.Table{Configuration: routing.Configuration{Services: []routing.Service{{Name: "s", Engine: &routing.Engine{FormTime: 600 * time.Millisecond}}}}})
	var list []directory.Upstream
	for i := range 4 {
		list = append(list, directory.Upstream{ID: fmt.Sprint(i), Address: fmt.Sprint(i), Service: "s", Slots: 10})
	}
	p.Reconcile(list)
	report := func(serving bool, after time.Duration, upstreams ...directory.Upstream) {
		clock.Advance(after)
		for _, u := range upstreams {
			p.UpdateLoad(u.Address, 0, dispatch.Load{GroupServing: serving, Group: "g", GroupSize: 4, Slowness: 1})
		}
	}
	report(true, 0, list...)
	g.Expect(p.recovering("s", true)).To(BeFalse(), "there was no outage")
	report(false, 100*time.Millisecond, list[1:]...)
	report(false, 3*time.Second, list[1:]...)
	caller := outage.Caller{Remaining: 8 * time.Second, WaitLimit: time.Second, NextWaitLimit: 1400 * time.Millisecond, MayReturn: true}
	_, plan := p.planOutage("s", 6*time.Second, caller)
	g.Expect(plan.Action).To(Equal(outage.Return))
	g.Expect(plan.ReturnFrom).To(BeNumerically("~", 2200*time.Millisecond, 10*time.Millisecond))

	decided := make(chan waitResult, 1)
	p.enqueue("s", admission.Request{Pool: "s"}, dispatch.Demand{BeginBy: clock.Now().Add(time.Hour)}, decided)
	report(false, 2*time.Second, list[1:]...)
	report(true, 50*time.Millisecond, list[1])
	g.Expect(p.Waiting("s")).To(Equal(1))
	g.Expect(p.recovering("s", false)).To(BeTrue())
	report(true, 50*time.Millisecond, list[2])
	g.Expect(p.Waiting("s")).To(BeZero())
	g.Expect((<-decided).member).NotTo(BeNil())
	g.Expect(p.recovering("s", false)).To(BeFalse())
	g.Expect(p.recovering("s", true)).To(BeTrue())
	report(true, 2*time.Second, list...)
	g.Expect(p.recovering("s", true)).To(BeFalse())
}
