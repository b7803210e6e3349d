package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/directory"
	"github.com/kingcupreel/kingcupreel/internal/dispatch"
	"github.com/kingcupreel/kingcupreel/internal/quarantine"
	"github.com/kingcupreel/kingcupreel/internal/routing"
)

const (
	// crashPart is the part of a prompt that crashes upstreams, crashPath the path of a
	// request without a prompt that does.
	crashPart = "bad1"
	crashPath = "/safe/crash"
	// lateCrashPath is the path of a stream that crashes upstreams after its next event.
	lateCrashPath = "/stream/late"
)

// crashingFleet is a fixture whose upstreams crash at prompts with crashPart. The head of
// the answer is sent first. A crashed upstream comes back at another address.
type crashingFleet struct {
	*fixture
	mu      sync.Mutex // guards the fields below
	started int
	crashes int
}

func newCrashingFleet(t *testing.T, upstreams int) *crashingFleet {
	t.Helper()
	c := &crashingFleet{fixture: newFixture(t)}
	c.mu.Lock()
	defer c.mu.Unlock()
	for range upstreams {
		c.start()
	}
	return c
}

// start adds an upstream. The caller holds mu.
func (c *crashingFleet) start() {
	c.started++
	id := fmt.Sprint("c", c.started)
	var srv *httptest.Server
	srv = httptest.NewServer(c.record(id, func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == crashPath:
		case r.URL.Path == lateCrashPath:
			last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 without the header
			events(w, r, last+1, last+1, false)
			time.Sleep(5 * time.Millisecond) // the event arrives before the connection ends
		case strings.Contains(r.Header.Get("Prefix-Hash"), crashPart+":"):
			events(w, r, 1, 0, false)
			_ = http.NewResponseController(w).Flush()
		case strings.HasPrefix(r.URL.Path, "/safe/"):
			stamped(w, r, http.StatusOK, "done")
			return
		default:
			events(w, r, 1, 3, false)
			return
		}
		_ = srv.Listener.Close() // a second crash of the same upstream finds it closed
		c.countCrash()           // before the caller can learn of it
		srv.CloseClientConnections()
		c.replace(id)
		panic(http.ErrAbortHandler)
	}))
	c.t.Cleanup(srv.Close)
	c.upstreams = append(c.upstreams, directory.Upstream{ID: id, Service: "s", Address: srv.Listener.Addr().String(), Slots: 4})
	c.gateway.Pools.Reconcile(c.upstreams)
}

func (c *crashingFleet) countCrash() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes++
}

// replace removes a crashed upstream and adds another one.
func (c *crashingFleet) replace(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, u := range c.upstreams {
		if u.ID == id {
			c.upstreams = append(c.upstreams[:i:i], c.upstreams[i+1:]...)
			break
		}
	}
	c.start()
}

func (c *crashingFleet) crashCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashes
}

// stream sends a request with the given prompt and returns the status and the body.
func (c *crashingFleet) stream(prompt string) (int, string) {
	r := c.request(http.MethodPost, "/stream/x", prompt)
	r.Header.Set("Prefix-Hash", prompt)
	status, _, body, _ := c.send(r)
	return status, body
}

// Guards against a part of a prompt that crashes one upstream after the other: requests
// with it differ in all else, come again and again, and share a part with sound ones.
func TestPromptPartThatCrashesUpstreamsIsRefused(t *testing.T) {
	g := NewWithT(t)
	c := newCrashingFleet(t, 4)
	const rounds, enoughCrashes = 12, 5
	refused := 0
	for i := range rounds {
		status, _ := c.stream(fmt.Sprintf("aa:40,%s:30,own%d:500", crashPart, i))
		if status == http.StatusServiceUnavailable {
			refused++
		}
		for j := range 3 {
			status, body := c.stream(fmt.Sprintf("aa:40,sound%d-%d:500", i, j))
			g.Expect(status).To(Equal(http.StatusOK), "a sound request that shares the first part")
			g.Expect(body).To(Equal(threeEventsBody))
		}
		time.Sleep(400 * time.Millisecond) // crashes at one moment may have another cause
	}
	g.Expect(c.crashCount()).To(BeNumerically("<=", enoughCrashes))
	g.Expect(refused).To(BeNumerically(">=", rounds-enoughCrashes))
}

// get sends a plain request of a client account and returns the status.
func (c *crashingFleet) get(account int, target string) int {
	r := c.request(http.MethodGet, target, "")
	r.Header.Set("Authorization", fmt.Sprint("Bearer key", account))
	status, _, _, _ := c.send(r)
	return status
}

// Guards against a request without a prompt that crashes one upstream after the other while
// its client account, or its query, is another one each time. Sound requests of the same
// accounts and to other paths are served.
func TestPlainRequestThatCrashesUpstreamsIsRefused(t *testing.T) {
	const accounts, rounds, enoughCrashes = 6, 24, 8
	for name, send := range map[string]func(c *crashingFleet, i int) int{
		"of one account":        func(c *crashingFleet, _ int) int { return c.get(0, crashPath) },
		"of several accounts":   func(c *crashingFleet, i int) int { return c.get(i%accounts, crashPath) },
		"with changing queries": func(c *crashingFleet, i int) int { return c.get(0, fmt.Sprint(crashPath, "?n=", i)) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			c := newCrashingFleet(t, 4)
			conf := configuration()
			conf.Version, conf.Accounts = 2, nil
			for i := range accounts {
				conf.Accounts = append(conf.Accounts, routing.Account{Name: fmt.Sprint("account", i), Keys: []string{fmt.Sprint("key", i)}})
			}
			c.routes.Apply(conf, time.Now())
			for i := range rounds {
				send(c, i)
				g.Expect(c.get(i%accounts, fmt.Sprint("/safe/sound?n=", i))).To(Equal(http.StatusOK), "a sound request")
				time.Sleep(200 * time.Millisecond) // crashes at one moment may have another cause
			}
			g.Expect(c.crashCount()).To(BeNumerically("<=", enoughCrashes))
			g.Expect(send(c, rounds)).To(Equal(http.StatusServiceUnavailable))
		})
	}
}

// Guards against a request that crashes one upstream after the other once its answer has
// begun, and is never refused. Sound streams that were at the same upstreams are served.
func TestRequestThatCrashesUpstreamsAfterItsFirstEventIsRefused(t *testing.T) {
	g := NewWithT(t)
	c := newCrashingFleet(t, 4)
	// At most allowedLate tries may reach upstreams later than window after the third crash.
	const rounds, window, allowedLate = 12, 3 * time.Second, 3
	late := 0
	var thirdCrash time.Time
	for i := range rounds {
		start := time.Now()
		status, _, _, _ := c.send(c.request(http.MethodPost, lateCrashPath, "deadly"))
		if status != http.StatusServiceUnavailable && !thirdCrash.IsZero() && start.After(thirdCrash.Add(window)) {
			late++
		}
		if thirdCrash.IsZero() && c.crashCount() >= 3 {
			thirdCrash = time.Now()
		}
		for j := range 3 {
			status, body := c.stream(fmt.Sprintf("aa:40,sound%d-%d:500", i, j))
			g.Expect(status).To(Equal(http.StatusOK))
			g.Expect(body).To(Equal(threeEventsBody))
		}
		time.Sleep(700 * time.Millisecond) // crashes at one moment may have another cause
	}
	g.Expect(thirdCrash).NotTo(BeZero())
	g.Expect(late).To(BeNumerically("<=", allowedLate))
}

// newCrashingGroup returns a fleet whose upstreams are ranks of one group.
func newCrashingGroup(t *testing.T, ranks int) *crashingFleet {
	t.Helper()
	c := newCrashingFleet(t, ranks)
	c.gateway.MinOutage = time.Hour // nobody waits for the group
	c.routes.Apply(groupConfiguration(), time.Now())
	c.reopen()
	return c
}

// reopen reports that all ranks serve.
func (c *crashingFleet) reopen() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report(dispatch.Load{GroupServing: true, Slowness: 1, Group: "g", GroupSize: len(c.upstreams)})
}

// Guards against a request that stops its group again and again: each time the group is open
// it crashes one more rank. A request is refused after its second crash, as on the product's own
// interface, and sound ones are served.
func TestRequestThatCrashesRanksIsRefusedAfterTwoCrashes(t *testing.T) {
	g := NewWithT(t)
	c := newCrashingGroup(t, 3)
	send := func(target string) int {
		status, _, _, _ := c.send(c.request(http.MethodGet, target, ""))
		return status
	}
	const rounds, enoughCrashes = 5, 2
	for i := range rounds {
		g.Expect(send(fmt.Sprint("/safe/sound", i))).To(Equal(http.StatusOK))
		send(crashPath)
		time.Sleep(1100 * time.Millisecond) // crashes at one moment may have another cause
		c.reopen()
	}
	g.Expect(c.crashCount()).To(Equal(enoughCrashes))
	g.Expect(send(crashPath)).To(Equal(http.StatusServiceUnavailable))
}

// Guards against a second outage for the request that caused the first: once the group is open
// again, a request whose answer had begun at the crash isn't sent for a while. Others with
// one of its parts are served.
func TestRequestThatStopsItsGroupIsHeld(t *testing.T) {
	g := NewWithT(t)
	c := newCrashingGroup(t, 3)
	var quarantined []quarantine.Fingerprint
	c.gateway.OnQuarantine = func(list []quarantine.Fingerprint) { quarantined = append(quarantined, list...) }
	bad := func() (int, http.Header) {
		r := c.request(http.MethodPost, "/stream/x", "prompt")
		r.Header.Set("Prefix-Hash", "aa:40,"+crashPart+":30,own:500")
		status, header, _, _ := c.send(r)
		return status, header
	}
	status, _ := bad()
	g.Expect(status).To(Equal(http.StatusBadGateway))
	g.Eventually(func() string {
		c.reopen()
		_, body := c.stream("aa:40,sound:500")
		return body
	}, "10s", "100ms").Should(Equal(threeEventsBody))
	for range 3 {
		status, header := bad()
		g.Expect(status).To(Equal(http.StatusServiceUnavailable))
		delay, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(delay).To(BeNumerically("~", quarantine.HoldTime.Seconds(), 5))
	}
	g.Expect(c.crashCount()).To(Equal(1))
	g.Expect(quarantined).To(HaveLen(1), "entries that start later read that the request is held")
	g.Expect(c.gateway.Quarantine.Quarantined(quarantined[0])).To(BeTrue())
}

// Guards against a hold without need: a crash at a plain service stops no other upstream, so
// that a request which was there is sent again.
func TestRequestAtACrashOfAPlainServiceIsNotHeld(t *testing.T) {
	g := NewWithT(t)
	c := newCrashingFleet(t, 4)
	_, _ = c.stream(crashPart + ":30,own:500")
	g.Expect(c.crashCount()).To(Equal(2))
}

// convict reports three crashes with requests that have the parts, as other entries would.
func (f *fixture) convict(parts ...string) {
	first := time.Now().Add(-time.Minute)
	for i := range 3 {
		f.gateway.Quarantine.Add(quarantine.Report{
			ID: fmt.Sprint("report", i), AtMS: first.Add(time.Duration(i) * time.Second).UnixMilli(),
			Suspects: []quarantine.Suspect{{Parts: quarantine.PartFingerprints(parts)}},
		})
	}
	f.gateway.EnforceQuarantine()
}

// Guards against a crash that is known to come: a request with a part that is convicted
// while the request waits in an upstream's queue is withdrawn, and not sent again.
func TestRequestInAnUpstreamsQueueIsWithdrawnAtAConviction(t *testing.T) {
	g := NewWithT(t)
	ended := make(chan struct{}, 2)
	queue := func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the server notices a closed connection after the body
		<-r.Context().Done()
		ended <- struct{}{}
	}
	f := newFixture(t, queue, queue)
	r := f.request(http.MethodPost, "/stream/x", "prompt")
	r.Header.Set("Deadline-Ms", "20000")
	r.Header.Set("Prefix-Hash", "aa:40,bad1:30,own:500")
	answers := f.sendAsync(r)
	g.Eventually(f.arrived, "10s").Should(HaveLen(1))
	f.convict("bad1")
	g.Eventually(answers, "10s").Should(Receive(HaveField("Status", http.StatusBadGateway)))
	g.Eventually(ended, "10s").Should(Receive())
	g.Expect(f.arrived()).To(HaveLen(1))
}

// Guards against a crash that is known to come, at the end of an outage: a request with a
// part that is convicted while the request waits for its group isn't sent.
func TestRequestThatWaitsForItsGroupIsRefusedAfterAConviction(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, abort)
	f.gateway.MinOutage = -1
	f.routes.Apply(groupConfiguration(), time.Now())
	f.report(dispatch.Load{GroupServing: false})
	r := f.request(http.MethodPost, "/stream/x", "prompt")
	r.Header.Set("Deadline-Ms", "100000")
	r.Header.Set("Prefix-Hash", "aa:40,bad1:30,own:500")
	answers := f.sendAsync(r)
	g.Eventually(func() int { return f.gateway.Pools.Waiting("s") }, "10s").Should(Equal(1))
	f.convict("bad1")
	f.report(dispatch.Load{GroupServing: true, Slowness: 1})
	g.Eventually(answers, "10s").Should(Receive(HaveField("Status", http.StatusServiceUnavailable)))
	g.Expect(f.arrived()).To(BeEmpty())
}

// Guards against a wait for a group that is known to have lost a rank: another rank would
// refuse the request only once the group has noticed, and counts as reached.
func TestRequestIsNotSentToTheGroupOfACrashedRank(t *testing.T) {
	g := NewWithT(t)
	c := newCrashingGroup(t, 3)
	status, _ := c.stream("aa:40," + crashPart + ":30,own:500")
	g.Expect(status).To(Equal(http.StatusBadGateway))
	g.Expect(c.arrived()).To(HaveLen(1))
}

// A part that was convicted beside the one to blame is acquitted by a request without that
// one, and those who store evidence are told.
func TestSuccessAcquitsAConvictedPart(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, threeEvents)
	var acquitted []quarantine.Fingerprint
	f.gateway.OnAcquittal = func(parts []quarantine.Fingerprint) { acquitted = parts }
	r := f.request(http.MethodPost, "/stream/x", "prompt")
	r.Header.Set("Prefix-Hash", "unlucky:30,own:500")
	f.convict("unlucky", "bad1")
	status, _, body, err := f.send(r)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status).To(Equal(http.StatusOK))
	g.Expect(body).To(Equal(threeEventsBody))
	g.Expect(acquitted).To(Equal(quarantine.PartFingerprints([]string{"unlucky"})))
	g.Expect(f.gateway.Quarantine.QuarantinedParts(quarantine.Suspect{Parts: acquitted})).To(BeEmpty())
}
