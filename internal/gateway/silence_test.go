package gateway_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/directory"
	"github.com/kingcupreel/kingcupreel/internal/dispatch"
	"github.com/kingcupreel/kingcupreel/internal/kvstore"
)

// silentRank is a group of three ranks. Rank 0 has the least load, so that it gets the
// first request, and stops reporting once silent is set.
type silentRank struct {
	*fixture
	silent atomic.Bool
}

// newSilentRank starts the group. othersActive is the reported number of running requests at
// each of the other ranks.
func newSilentRank(t *testing.T, othersActive int, rank0, others http.HandlerFunc) *silentRank {
	t.Helper()
	s := &silentRank{fixture: newFixture(t, rank0, others, others)}
	c := groupConfiguration()
	for i := range c.Routes {
		c.Routes[i].TargetLatency = 400 * time.Millisecond
	}
	s.routes.Apply(c, time.Now())
	list, positions := map[string]directory.Upstream{}, map[string]kvstore.Position{}
	for _, u := range s.upstreams {
		list[u.ID], positions[u.ID] = u, kvstore.Position{Revision: 1}
	}
	s.gateway.Directory.Replace(list, positions, kvstore.Position{Revision: 1})
	s.reportLoads(othersActive)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go s.gateway.Run(ctx)
	go func() {
		ticker := time.NewTicker(50 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				s.reportLoads(othersActive)
			}
		}
	}()
	return s
}

func (s *silentRank) reportLoads(othersActive int) {
	for i, u := range s.upstreams {
		load := dispatch.Load{GroupServing: true, Slowness: 1, Group: "g", GroupSize: 3}
		if i > 0 {
			load.Active = othersActive
		} else if s.silent.Load() {
			continue
		}
		s.gateway.Pools.UpdateLoad(u.Address, u.Started, load)
	}
}

// answer is what a caller got.
type answer struct {
	Status int
	Body   string
}

// sendAsync sends a request in the background.
func (f *fixture) sendAsync(r *http.Request) <-chan answer {
	answers := make(chan answer, 1)
	go func() {
		status, _, body, _ := f.send(r)
		answers <- answer{status, body}
	}()
	return answers
}

// sendLong sends a request whose caller waits long, and lets rank 0 fall silent once it
// has the request.
func (s *silentRank) sendLong(g *WithT, path string) <-chan answer {
	r := s.request(http.MethodPost, path, "")
	r.Header.Set("Deadline-Ms", "20000")
	before := len(s.arrived())
	answers := s.sendAsync(r)
	g.Eventually(s.arrived, "10s").Should(HaveLen(before + 1))
	g.Expect(s.arrived()[before].upstream).To(Equal("u0"))
	s.silent.Store(true)
	return answers
}

func block(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func threeEvents(w http.ResponseWriter, r *http.Request) {
	first := 1
	if r.Header.Get("Last-Event-Id") == "2" {
		first = 3
	}
	events(w, r, first, 3, false)
}

const threeEventsBody = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n"

// Guards against runs without callers: requests stay at an upstream whose VM stands still
// until their callers leave, and nothing can end them there any more.
func TestRequestsLeaveASilentUpstream(t *testing.T) {
	for name, rank0 := range map[string]http.HandlerFunc{
		"not begun": block,
		"begun": func(w http.ResponseWriter, r *http.Request) {
			events(w, r, 1, 2, false)
			block(w, r)
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newSilentRank(t, 2, rank0, threeEvents)
			g.Eventually(s.sendLong(g, "/stream/x"), "10s").Should(Receive(Equal(answer{http.StatusOK, threeEventsBody})))
			g.Expect(s.arrived()).To(HaveLen(2))
		})
	}
}

// Guards against runs without callers at an upstream that has announced its departure and
// falls silent before it has answered what it still had.
func TestRequestsLeaveASilentUpstreamThatIsLeaving(t *testing.T) {
	g := NewWithT(t)
	s := newSilentRank(t, 2, block, threeEvents)
	r := s.request(http.MethodPost, "/stream/x", "")
	r.Header.Set("Deadline-Ms", "20000")
	answers := s.sendAsync(r)
	g.Eventually(s.arrived, "10s").Should(HaveLen(1))
	leaving := s.upstreams[0]
	g.Expect(s.gateway.Directory.Depart(leaving.Incarnation())).To(BeTrue())
	g.Eventually(func() any { return s.gateway.Pools.Get(leaving.Address, leaving.Started) }, "5s").Should(BeNil())
	s.silent.Store(true)
	g.Eventually(answers, "10s").Should(Receive(Equal(answer{http.StatusOK, threeEventsBody})))
}

// Guards against runs without callers where no other upstream has a free slot: the caller
// gets the final answer before it leaves, and no queue of a full upstream gets the request.
func TestRequestAtASilentUpstreamIsAnsweredWhenTheOthersAreFull(t *testing.T) {
	g := NewWithT(t)
	s := newSilentRank(t, 4, block, threeEvents)
	var a answer
	g.Eventually(s.sendLong(g, "/stream/x"), "10s").Should(Receive(&a))
	g.Expect(a.Status).To(Equal(http.StatusBadGateway))
	g.Expect(s.arrived()).To(HaveLen(1))
}

// Guards against runs without callers while all upstreams are slow: another one would answer
// only after the caller has left, so the caller gets the final answer at once.
func TestRequestAtASilentUpstreamIsAnsweredWhenTheOthersAreTooSlow(t *testing.T) {
	g := NewWithT(t)
	var requests atomic.Int64
	s := newSilentRank(t, 2, func(w http.ResponseWriter, r *http.Request) {
		if requests.Add(1) > 1 {
			block(w, r)
			return
		}
		time.Sleep(1500 * time.Millisecond) // most of the 2 s that callers wait for an event
		threeEvents(w, r)
	}, threeEvents)
	r := s.request(http.MethodPost, "/stream/x", "")
	r.Header.Set("Deadline-Ms", "20000")
	status, _, _, _ := s.send(r)
	g.Expect(status).To(Equal(http.StatusOK))
	var a answer
	g.Eventually(s.sendLong(g, "/stream/x"), "10s").Should(Receive(&a))
	g.Expect(a.Status).To(Equal(http.StatusBadGateway))
	g.Expect(s.arrived()).To(HaveLen(2))
}

// A request that isn't a stream waits until its deadline, not until an event is due: it goes
// to another upstream however late the silence is noticed.
func TestWholeAnswerIsFetchedElsewhereAfterALateSilence(t *testing.T) {
	g := NewWithT(t)
	s := newSilentRank(t, 2, block, func(w http.ResponseWriter, r *http.Request) { stamped(w, r, http.StatusOK, "done") })
	r := s.request(http.MethodPost, "/safe/x", "")
	r.Header.Set("Deadline-Ms", "20000")
	answers := s.sendAsync(r)
	g.Eventually(s.arrived, "10s").Should(HaveLen(1))
	time.Sleep(1800 * time.Millisecond) // little of the time is left that callers wait for an event
	s.silent.Store(true)
	g.Eventually(answers, "10s").Should(Receive(Equal(answer{http.StatusOK, "done"})))
}

// A request that may not run twice stays at a silent upstream, whose answer is delivered
// when it is heard again.
func TestRequestThatMayRunOnceStaysAtASilentUpstream(t *testing.T) {
	g := NewWithT(t)
	wake := make(chan struct{})
	s := newSilentRank(t, 2, func(w http.ResponseWriter, r *http.Request) {
		<-wake
		events(w, r, 1, 3, false)
	}, threeEvents)
	answers := s.sendLong(g, "/once/x")
	g.Consistently(answers, 2*dispatch.AliveTTL).ShouldNot(Receive())
	close(wake)
	g.Eventually(answers, "10s").Should(Receive(Equal(answer{http.StatusOK, threeEventsBody})))
	g.Expect(s.arrived()).To(HaveLen(1))
}
