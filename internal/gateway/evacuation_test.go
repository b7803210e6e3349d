package gateway_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/dispatch"
)

// place puts the upstreams into data centres, one for each.
func (f *fixture) place(dataCentres ...string) {
	for i, name := range dataCentres {
		f.upstreams[i].DataCentre = name
	}
	f.gateway.Pools.Reconcile(nil)
	f.gateway.Pools.Reconcile(f.upstreams)
}

// evacuate evacuates exactly the given data centres.
func (f *fixture) evacuate(dataCentres ...string) {
	in := map[string]bool{}
	for _, name := range dataCentres {
		in[name] = true
	}
	f.gateway.Pools.SetEvacuated(func(name string) bool { return in[name] })
}

// Retries and resumed streams don't go to a data centre that was evacuated after the first
// attempt had been sent.
func TestNoFurtherAttemptAfterAnEvacuation(t *testing.T) {
	for path, fail := range map[string]http.HandlerFunc{
		"/safe/x":   abort,
		"/unsafe/x": refuse,
		"/stream/x": func(w http.ResponseWriter, r *http.Request) { events(w, r, 1, 2, true) },
	} {
		t.Run(path, func(t *testing.T) {
			g := NewWithT(t)
			var f *fixture
			first := func(w http.ResponseWriter, r *http.Request) {
				f.evacuate("b")
				fail(w, r)
			}
			f = newFixture(t, first, func(w http.ResponseWriter, r *http.Request) { stamped(w, r, http.StatusOK, "done") })
			f.place("a", "b")
			f.gateway.Pools.SetReachable(func(name string) bool { return name == "a" }) // the first pick
			_, _, _, _ = f.send(f.request(http.MethodGet, path, ""))
			g.Expect(f.arrived()).To(HaveLen(1))
			g.Expect(f.arrived()[0].upstream).To(Equal("u0"))
		})
	}
}

// What was sent before an evacuation goes on. With all data centres evacuated a request is
// refused at once and told when to come again; it is served after the end.
func TestEvacuationOfAllDataCentres(t *testing.T) {
	g := NewWithT(t)
	begun, release := make(chan struct{}), make(chan struct{})
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/safe/before" {
			close(begun)
			<-release
		}
		stamped(w, r, http.StatusOK, "done")
	})
	f.place("a")
	before := make(chan int, 1)
	go func() {
		status, _, _, _ := f.send(f.request(http.MethodGet, "/safe/before", ""))
		before <- status
	}()
	<-begun
	f.evacuate("a")
	start := time.Now()
	status, header, body, _ := f.send(f.request(http.MethodGet, "/safe/x", ""))
	g.Expect(time.Since(start)).To(BeNumerically("<", 250*time.Millisecond))
	g.Expect(status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(body).To(ContainSubstring("evacuated"))
	delay, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(delay).To(And(BeNumerically(">", 0), BeNumerically("<", 1)), "a fraction of the 2 s that the route allows")
	close(release)
	g.Expect(<-before).To(Equal(http.StatusOK))
	f.evacuate()
	status, _, _, _ = f.send(f.request(http.MethodGet, "/safe/x", ""))
	g.Expect(status).To(Equal(http.StatusOK))
}

// Load: requests wait for a group that is forming again when the last data centre with its
// ranks is evacuated. They are refused then, not at the end of their wait.
func TestWaitingRequestsAreRefusedAtAnEvacuation(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) { stamped(w, r, http.StatusOK, "done") })
	f.gateway.MinOutage = -1
	f.routes.Apply(groupConfiguration(), time.Now())
	f.place("a")
	f.report(dispatch.Load{Group: "g", GroupSize: 1})
	answered := make(chan int, 1)
	go func() {
		status, _, _, _ := f.send(f.request(http.MethodGet, "/stream/x", ""))
		answered <- status
	}()
	g.Eventually(func() int { return f.gateway.Pools.Waiting("s") }, "5s").Should(Equal(1))
	f.evacuate("a")
	g.Eventually(answered, "1s").Should(Receive(Equal(http.StatusServiceUnavailable)))
	g.Expect(f.arrived()).To(BeEmpty())
}
