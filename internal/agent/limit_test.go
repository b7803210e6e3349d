package agent

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// A limit ends with an answer without one, but not with a late one to an earlier call.
func TestAnAnswerToAnEarlierCallDoesntEndALimit(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t)
	a := r.agent
	earlier := r.clock.Now()
	r.clock.Advance(time.Second)
	a.applyLimit(http.Header{"X-Request-Limit": {"2.5"}}, r.clock.Now())
	g.Expect(a.limit.rate).To(Equal(2.5))
	a.applyLimit(http.Header{}, earlier)
	g.Expect(a.limit.rate).To(Equal(2.5))
	r.clock.Advance(time.Second)
	a.applyLimit(http.Header{"X-Request-Limit": {"many"}}, r.clock.Now())
	g.Expect(a.limit.rate).To(Equal(2.5), "a limit that can't be read changes nothing")
	a.applyLimit(http.Header{"X-Request-Limit": {"2.6"}}, r.clock.Now())
	g.Expect(a.limit.rate).To(Equal(2.5), "the entries aren't told of small changes")
	r.clock.Advance(time.Second)
	a.applyLimit(http.Header{}, r.clock.Now())
	g.Expect(a.limit.rate).To(BeZero())
}

// The entries' shares add up to the limit, whichever entries are connected.
func TestConnectedEntriesShareALimit(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t)
	first, second := r.connect("e1"), r.connect("e2")
	limits := func(p *peer) func() float64 {
		latest := -1.0
		return func() float64 {
			for {
				select {
				case m := <-p.in:
					if l, ok := m.(*wire.RequestLimit); ok {
						latest = l.Rate
					}
				default:
					return latest
				}
			}
		}
	}
	ofFirst, ofSecond := limits(first), limits(second)
	g.Eventually(func() int {
		r.agent.mu.Lock()
		defer r.agent.mu.Unlock()
		return len(r.agent.conns)
	}).Should(Equal(2))
	r.agent.applyLimit(http.Header{"X-Request-Limit": {"3"}}, r.clock.Now().Add(time.Second))
	g.Eventually(ofFirst).Should(Equal(1.5))
	g.Eventually(ofSecond).Should(Equal(1.5))
	g.Eventually(limits(r.connect("e3"))).Should(Equal(1.0), "an entry that connects is told")
	g.Eventually(ofFirst).Should(Equal(1.0))
	second.conn.Close()
	g.Eventually(ofFirst).Should(Equal(1.5))
	r.agent.applyLimit(http.Header{}, r.clock.Now().Add(2*time.Second))
	g.Eventually(ofFirst).Should(BeZero())
}
