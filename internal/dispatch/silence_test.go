package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/dispatch"
)

// silenceSchedule drives a pool's reports and checks in steps of 100 ms.
type silenceSchedule struct {
	pool  *dispatch.Pool
	nodes []*dispatch.Node
	now   time.Time
}

func newSilenceSchedule() *silenceSchedule {
	s := &silenceSchedule{now: start}
	s.pool, s.nodes = group(4)
	s.advance(3*time.Second, 0, 1, 2, 3)
	return s
}

// advance lets the given nodes report every 100 ms and returns the last change of node 0.
func (s *silenceSchedule) advance(d time.Duration, reporting ...int) (last *dispatch.SilenceChange) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(100 * time.Millisecond)
		for _, i := range reporting {
			s.nodes[i].UpdateLoad(dispatch.Load{GroupServing: true, Active: 3}, s.now)
		}
		for _, c := range s.pool.CheckSilence(s.now) {
			if c.Node == s.nodes[0] {
				last = &c
			}
		}
	}
	return last
}

func TestUpstreamThatStopsReportingFallsSilent(t *testing.T) {
	g := NewWithT(t)
	s := newSilenceSchedule()
	g.Expect(s.advance(dispatch.AliveTTL, 1, 2, 3)).To(BeNil())
	c := s.advance(200*time.Millisecond, 1, 2, 3)
	g.Expect(c).NotTo(BeNil())
	g.Expect(c.Silent).To(BeTrue())
	g.Expect(pick(s.pool, s.now, []string{"rank-1", "rank-2", "rank-3"})).To(Equal(s.nodes[0]), "the last choice")
	for range 20 {
		g.Expect(pick(s.pool, s.now, nil)).NotTo(Equal(s.nodes[0]))
	}
	g.Expect(s.advance(100*time.Millisecond, 0, 1, 2, 3).Silent).To(BeFalse())
}

// The fault may be on this side: most upstreams stop at once, or the checks themselves.
func TestSilenceOfThisProcessIsNotTheUpstreams(t *testing.T) {
	g := NewWithT(t)
	s := newSilenceSchedule()
	g.Expect(s.advance(2*time.Second, 3)).To(BeNil(), "three of four stop")
	s = newSilenceSchedule()
	s.now = s.now.Add(5 * time.Second) // this process stands still
	g.Expect(s.advance(500*time.Millisecond, 1, 2, 3)).To(BeNil())
	g.Expect(s.advance(500*time.Millisecond, 1, 2, 3).Silent).To(BeTrue())
}

// Parts of answers are signs of life too, and one that reports rarely isn't silent sooner
// than after three of its intervals.
func TestSignsOfLifeThatArentFrequentReports(t *testing.T) {
	g := NewWithT(t)
	s := newSilenceSchedule()
	for range 10 {
		s.nodes[0].Hear(s.now)
		g.Expect(s.advance(400*time.Millisecond, 1, 2, 3)).To(BeNil())
	}
	s = newSilenceSchedule()
	for range 12 {
		s.advance(100*time.Millisecond, 0, 1, 2, 3)
		g.Expect(s.advance(400*time.Millisecond, 1, 2, 3)).To(BeNil())
	}
	g.Expect(s.advance(700*time.Millisecond, 1, 2, 3)).To(BeNil())
	g.Expect(s.advance(600*time.Millisecond, 1, 2, 3).Silent).To(BeTrue())
}

// Guards against runs without callers after a restart: an entry that starts while one VM
// stands still has no report of that upstream, which looks idle, and sends it everything.
func TestUpstreamThatHasNotReportedIsTheLastChoiceBesideThoseThatHave(t *testing.T) {
	g := NewWithT(t)
	p, nodes := group(3)
	unknown := p.Add(dispatch.Replica{ID: "unknown", Slots: 12})
	for _, n := range nodes {
		n.UpdateLoad(dispatch.Load{GroupServing: true, Active: 11}, start)
	}
	p.CheckSilence(start)
	for range 20 {
		g.Expect(pick(p, start, nil)).NotTo(Equal(unknown))
	}
	g.Expect(pick(p, start, []string{"rank-0", "rank-1", "rank-2"})).To(Equal(unknown))
	later := start.Add(11 * time.Second)
	for _, n := range nodes {
		n.UpdateLoad(dispatch.Load{GroupServing: true, Active: 11}, later)
	}
	g.Expect(pick(p, later, nil)).To(Equal(unknown), "its agent is gone, but it serves")
}
