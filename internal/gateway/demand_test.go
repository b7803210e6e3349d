package gateway_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against requests that overtake more urgent ones since an engine has refused them: a
// refused request has lost nothing and keeps its priority.
func TestRefusedRequestKeepsItsPriority(t *testing.T) {
	g := NewWithT(t)
	refuse := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	f := newFixture(t, refuse, refuse)
	_, _, _, _ = f.send(f.request(http.MethodPost, "/stream/x", ""))
	g.Expect(f.arrived()).To(HaveLen(2))
	for _, a := range f.arrived() {
		g.Expect(a.Header.Get("Request-Priority")).To(Equal("3"))
	}
}

// Guards against streams that are broken off although they could go on: how long whole answers
// take says nothing of a stream that finds a free slot.
func TestBrokenStreamIsResumedBesideSlowWholeAnswers(t *testing.T) {
	g := NewWithT(t)
	var streams atomic.Int64
	serve := func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/safe/x":
			time.Sleep(2500 * time.Millisecond) // longer than callers wait for an event
			stamped(w, r, http.StatusOK, "done")
		case streams.Add(1) == 1:
			events(w, r, 1, 2, false)
			panic(http.ErrAbortHandler)
		default:
			threeEvents(w, r)
		}
	}
	f := newFixture(t, serve, serve)
	patient := groupConfiguration()
	for i := range patient.Routes {
		patient.Routes[i].TargetLatency = 400 * time.Millisecond
	}
	f.routes.Apply(patient, time.Now())
	for _, path := range []string{"/safe/x", "/stream/x"} {
		r := f.request(http.MethodPost, path, "")
		r.Header.Set("Deadline-Ms", "20000")
		status, _, body, err := f.send(r)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(status).To(Equal(http.StatusOK))
		if path == "/stream/x" {
			g.Expect(body).To(Equal(threeEventsBody))
		}
	}
}
