package admission_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/admission"
)

// TestWaitlistStartsByPriorityAndShare covers a model group that recovers from
// the loss of a data centre while its requests wait. As capacity returns,
// urgent requests must start first, and an account with many requests must not
// delay the others.
func TestWaitlistStartsByPriorityAndShare(t *testing.T) {
	g := NewWithT(t)
	w := admission.NewWaitlist()
	var started, refused []string
	add := func(name, account string, priority int) *admission.Ticket {
		return w.Add(admission.Request{Account: account, Priority: priority, OnDecision: func(d admission.Decision) {
			if d.Start {
				started = append(started, name)
				return
			}
			refused = append(refused, name)
		}}, 8)
	}
	for i := range 5 {
		add(fmt.Sprint("large", i), "large", 4)
	}
	small := add("small", "small", 4)
	add("urgent", "other", 7)
	w.Start(0)
	g.Expect(started).To(BeEmpty())
	w.Start(3)
	g.Expect(started).To(Equal([]string{"urgent", "large0", "small"}))
	g.Expect(w.Remove(small)).To(BeFalse(), "it has started")
	leaver := add("leaver", "small", 4)
	g.Expect(w.Remove(leaver)).To(BeTrue())
	g.Expect(w.Remove(leaver)).To(BeFalse())
	w.Start(10)
	g.Expect(started).To(HaveLen(7))
	g.Expect(started).NotTo(ContainElement("leaver"))
	g.Expect(refused).To(BeEmpty())
}

// TestWaitlistRefusesOverMaxLength checks that a request over the maximum
// length is refused at once, taken from the account with the longest backlog.
func TestWaitlistRefusesOverMaxLength(t *testing.T) {
	g := NewWithT(t)
	w := admission.NewWaitlist()
	refused := map[string]int{}
	for i := range 12 {
		account := "large"
		if i%4 == 3 {
			account = "small"
		}
		w.Add(admission.Request{Account: account, Priority: 4, OnDecision: func(d admission.Decision) {
			g.Expect(d.Start).To(BeFalse())
			refused[account]++
		}}, 8)
	}
	g.Expect(w.Len()).To(Equal(8))
	g.Expect(refused).To(Equal(map[string]int{"large": 4}))
}

// A request that can't start keeps its place, and others start before it.
func TestRequestThatCantStartKeepsItsPlace(t *testing.T) {
	g := NewWithT(t)
	w := admission.NewWaitlist()
	var started []string
	blocked := true
	for _, name := range []string{"first", "second", "third"} {
		w.Add(admission.Request{
			Account:    "a",
			TryStart:   func() bool { return name != "first" || !blocked },
			OnDecision: func(admission.Decision) { started = append(started, name) },
		}, 10)
	}
	g.Expect(w.Start(1)).To(Equal(1))
	g.Expect(started).To(Equal([]string{"second"}))
	blocked = false
	g.Expect(w.Start(2)).To(Equal(2))
	g.Expect(started).To(Equal([]string{"second", "first", "third"}))
	g.Expect(w.Len()).To(BeZero())
}

// The wave at the return of a group: callers that can still be on time go first, then those that
// have waited, by the time that they have left. Who can't be served before it leaves is told
// while the others wait.
func TestWaveAtTheReturnOfAGroup(t *testing.T) {
	g := NewWithT(t)
	w := admission.NewWaitlist()
	now := time.Unix(1000, 0)
	var started, refused []string
	add := func(name string, onTimeFor, beginWithin time.Duration) {
		r := admission.Request{Account: "a", Priority: 4, BeginBy: now.Add(beginWithin), OnDecision: func(d admission.Decision) {
			if d.Start {
				started = append(started, name)
				return
			}
			g.Expect(d.Reason).To(Equal(admission.Deadline))
			refused = append(refused, name)
		}}
		if onTimeFor > 0 {
			r.OnTimeUntil = now.Add(onTimeFor)
		}
		w.Add(r, 20)
	}
	add("patient", 0, 1500*time.Millisecond)
	add("nearly gone", 0, 250*time.Millisecond)
	add("was on time", 50*time.Millisecond, 900*time.Millisecond)
	add("on time", 300*time.Millisecond, 1400*time.Millisecond)
	add("last on time", 200*time.Millisecond, 1300*time.Millisecond)
	now = now.Add(100 * time.Millisecond)
	w.MarkLate(now)
	g.Expect(w.RefuseHopeless(now, func(ahead int) time.Duration { return time.Duration(ahead) * 100 * time.Millisecond })).To(Equal(1))
	g.Expect(refused).To(Equal([]string{"nearly gone"}), "its turn would come after 200 ms")
	g.Expect(w.Start(3)).To(Equal(3))
	g.Expect(started).To(Equal([]string{"last on time", "on time", "was on time"}))
	g.Expect(w.Len()).To(Equal(1))
}

// A large account's backlog waits beside one request of a small one: looking for those that
// can't be served changes nobody's turn.
func TestHopelessRequestsLeaveTheSharesAlone(t *testing.T) {
	g := NewWithT(t)
	w := admission.NewWaitlist()
	now := time.Unix(1000, 0)
	var started []string
	for _, account := range []string{"large", "large", "large", "small"} {
		w.Add(admission.Request{Account: account, BeginBy: now.Add(time.Minute), OnDecision: func(admission.Decision) { started = append(started, account) }}, 20)
	}
	for range 5 {
		g.Expect(w.RefuseHopeless(now, func(int) time.Duration { return time.Second })).To(BeZero())
	}
	w.Start(2)
	g.Expect(started).To(ConsistOf("large", "small"))
}
