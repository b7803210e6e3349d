package soak

import (
	"bufio"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/standin/link"
)

const (
	modelCallers = 90
	// modelDeadline is the time limit of requests to the ranks. It is short enough for an
	// entry to finish them after SIGTERM.
	modelDeadline = 4 * time.Second
	// eventPatience is how long callers of a stream wait for an event.
	eventPatience = 2 * time.Second
	// leaverFraction is the fraction of the requests whose callers leave early.
	leaverFraction = 0.35
	// rankFaultTime is the time for which faults are injected.
	rankFaultTime = 22 * time.Second

	// goneDelay is the time after a caller has left from which work for it counts.
	goneDelay = 500 * time.Millisecond
	// maxGoneFraction is the largest fraction of the runs that would have lasted longer
	// which may go on, maxGoneArrivals the number of requests that may reach a rank so late.
	maxGoneFraction = 0.25
	maxGoneArrivals = 3

	// stallCheckInterval is how often the test checks that it runs and that its own
	// connections deliver. After a gap of maxStall the whole machine was slow, and no process
	// counts as in touch.
	stallCheckInterval = 50 * time.Millisecond
	maxStall           = goneDelay / 2
)

// departures tracks the callers that leave before their answers are complete, and what ranks
// do for them.
type departures struct {
	mu sync.Mutex
	// left holds when callers left entries in touch, by request.
	left map[string]time.Time
	runs []finishedRun
	// stalls are the times for which the test stood still.
	stalls []interval
	// arrivals are the times at which requests reached ranks, by request.
	arrivals map[string][]time.Time
}

type interval struct{ from, to time.Time }

// finishedRun is a run that has ended.
type finishedRun struct {
	request, rank string
	start, end    time.Time
	// planned is when the run would have ended by itself.
	planned time.Time
}

func newDepartures() *departures {
	return &departures{left: map[string]time.Time{}, arrivals: map[string][]time.Time{}}
}

// leave records that a caller has left. It counts if the process is in touch until goneDelay
// later.
func (l *departures) leave(id string, p *process) {
	now := time.Now()
	if !p.inTouch() {
		return
	}
	time.AfterFunc(goneDelay, func() {
		if !p.inTouch() {
			return
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.left[id] = now
	})
}

// arrive records that a request has reached a rank. A request whose way was harmed isn't late.
func (l *departures) arrive(id string, heldUp bool) {
	if heldUp {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals[id] = append(l.arrivals[id], time.Now())
}

func (l *departures) ended(r finishedRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

// stall records that the test stood still. Callers that left within goneDelay before don't
// count; those that leave later find no process in touch.
func (l *departures) stall(s interval) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stalls = append(l.stalls, s)
}

// dropStalled forgets callers that left within goneDelay before a stall or in it. The caller
// holds mu.
func (l *departures) dropStalled() {
	for _, s := range l.stalls {
		maps.DeleteFunc(l.left, func(_ string, at time.Time) bool {
			return at.After(s.from.Add(-goneDelay)) && at.Before(s.to)
		})
	}
}

// counts returns the number of requests that would have run for longer than goneDelay after
// their callers left, of those that did, of those that also began after their callers left, and
// of those that reached a rank later.
func (l *departures) counts(t *testing.T) (lasting, wentOn, begunLater, late int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropStalled()
	lastingIDs, wentOnIDs, begunLaterIDs := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, r := range l.runs {
		at, left := l.left[r.request]
		limit := at.Add(goneDelay)
		switch {
		case !left:
		case r.end.After(limit):
			t.Logf("%s went on at %s: left %s, started %s, ended %s", r.request, r.rank, clock(at), clock(r.start), clock(r.end))
			lastingIDs[r.request], wentOnIDs[r.request] = true, true
			if r.start.After(at) {
				begunLaterIDs[r.request] = true
			}
		case r.end.After(at) && r.planned.After(limit):
			lastingIDs[r.request] = true
		}
	}
	for id, times := range l.arrivals {
		for _, at := range times {
			if left, ok := l.left[id]; ok && at.After(left.Add(goneDelay)) {
				t.Logf("%s arrived late: left %s, arrived %s", id, clock(left), clock(at))
				late++
			}
		}
	}
	return len(lastingIDs), len(wentOnIDs), len(begunLaterIDs), late
}

func clock(t time.Time) string { return t.Format("05.000") }

func (l *departures) check(t *testing.T, r *recorder) {
	lasting, wentOn, begunLater, late := l.counts(t)
	t.Logf("%d of %d requests went on after their callers had left, %d of them began then; %d callers left entries in touch, %d requests reached a rank later", wentOn, lasting, begunLater, len(l.left), late)
	if float64(wentOn) > maxGoneFraction*float64(lasting) {
		r.recordViolation("%d of %d requests went on for over %v after their callers had left, a fraction of %v is allowed", wentOn, lasting, goneDelay, maxGoneFraction)
	}
	if late > maxGoneArrivals {
		r.recordViolation("%d requests reached a rank over %v after their callers had left, %d are allowed", late, goneDelay, maxGoneArrivals)
	}
}

// newRankDeployment returns a deployment of one model service whose upstreams are the ranks
// of a group.
func newRankDeployment(t *testing.T, seed uint64) *deployment {
	t.Helper()
	d := newStore(t, seed)
	d.firstHost = 50
	d.services = func() []any {
		ms := float64(rankStep.Milliseconds())
		return []any{map[string]any{"name": "s", "engine": map[string]any{"slots": rankSlots, "step_ms": ms}}}
	}
	d.routes = func() []any {
		resumed, once := route("/stream/", "streaming", true), route("/once/", "streaming", false)
		resumed["timeout-ms"], once["timeout-ms"] = modelDeadline.Milliseconds(), modelDeadline.Milliseconds()
		return []any{resumed, once}
	}
	for i := range rankCount {
		d.addRank(i)
	}
	d.writeConfiguration()
	d.startGateways()
	return d
}

// TestNoWorkForCallersThatLeft guards against runs that go on at ranks after their callers
// have left, while VMs of ranks stand still.
func TestNoWorkForCallersThatLeft(t *testing.T) {
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			soakRanks(t, seed)
		})
	}
}

func soakRanks(t *testing.T, seed uint64) {
	g := NewWithT(t)
	d := newRankDeployment(t, seed)
	t.Cleanup(func() {
		if t.Failed() {
			d.logProcessOutput()
		}
	})
	for _, p := range d.processes {
		g.Eventually(p.ready, recoveryTimeout).Should(BeTrue(), p.name)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var running sync.WaitGroup
	expected := &expectations{notRun: map[string]int{}}
	caller := func(i int) *modelCaller {
		return &modelCaller{d: d, id: i, rand: rand.New(rand.NewPCG(seed, uint64(i))), expected: expected, client: &http.Client{Transport: &http.Transport{}}}
	}
	stopWatch := d.watchForStalls()
	defer stopWatch()
	for i := range modelCallers {
		running.Go(func() { caller(i).run(ctx) })
	}
	time.Sleep(inTouchTime)
	d.injectRankFaults(rand.New(rand.NewPCG(seed, 7)))
	stop()
	running.Wait()
	probe, n := caller(1000), 0
	for _, p := range d.processes {
		g.Eventually(func() int {
			n++
			status, _ := probe.send(p, "/stream/", fmt.Sprint("probe-", n), 1, modelDeadline)
			return status
		}, recoveryTimeout).Should(Equal(http.StatusOK), "%s serves again", p.name)
	}
	g.Eventually(d.runsInProgress, recoveryTimeout).Should(BeZero())
	time.Sleep(goneDelay) // for callers that left last
	expected.check(d.recorder)
	d.departures.check(t, d.recorder)
	d.logRanks()
	d.recorder.mu.Lock()
	defer d.recorder.mu.Unlock()
	t.Logf("%d requests ran, %d were reported as not run", len(d.recorder.runs), len(expected.notRun))
	g.Expect(d.recorder.violations).To(BeEmpty())
	g.Expect(len(d.recorder.runs)).To(BeNumerically(">", 20), "the callers were served")
}

// watchForStalls marks all processes as disturbed whenever this one, and so probably all of
// the machine, was held up, until the returned function is called.
func (d *deployment) watchForStalls() (stop func()) {
	echo := httptest.NewServer(http.NotFoundHandler())
	done := make(chan struct{})
	var watching sync.WaitGroup
	watching.Go(func() {
		for last := time.Now(); ; last = time.Now() {
			select {
			case <-done:
				return
			case <-time.After(stallCheckInterval):
			}
			resp, err := echo.Client().Get(echo.URL)
			if err != nil {
				d.recorder.recordViolation("harness: %v", err)
				return
			}
			resp.Body.Close()
			if gap := time.Since(last); gap > maxStall {
				d.departures.stall(interval{last, last.Add(gap)})
				d.t.Logf("the test stood still for %v until %s", gap, clock(time.Now()))
				for _, p := range d.processes {
					p.disturb()()
				}
			}
		}
	})
	return func() {
		close(done)
		watching.Wait()
		echo.Close()
	}
}

func (d *deployment) runsInProgress() int {
	n := 0
	for _, v := range d.ranks {
		v.mu.Lock()
		n += len(v.active) + len(v.queue)
		v.mu.Unlock()
	}
	return n
}

func (d *deployment) logRanks() {
	for _, v := range d.ranks {
		v.mu.Lock()
		d.t.Logf("%s: %d requests served, up to %d waited, stood still %s", v.name, v.served, v.longestQueue, strings.Join(v.freezes, ", "))
		v.mu.Unlock()
	}
}

// injectRankFaults injects faults for rankFaultTime: VMs of ranks stand still, one after the
// other, while steps are slow for a time, the gateways get SIGTERM in turn and the store is
// away once.
func (d *deployment) injectRankFaults(rng *rand.Rand) {
	ctx, cancel := context.WithTimeout(context.Background(), rankFaultTime)
	defer cancel()
	var running sync.WaitGroup
	draw := func(least, span int) time.Duration {
		return time.Duration(least+rng.IntN(span)) * time.Millisecond
	}
	freezes := rand.New(rand.NewPCG(d.seed, 9))
	running.Go(func() { d.freezeInSeries(ctx, freezes) })
	slowAt, slowFor := draw(500, 3000), draw(9000, 5000)
	running.Go(func() {
		time.Sleep(slowAt)
		for _, v := range d.ranks {
			v.setSlow(true)
			defer v.setSlow(false)
		}
		time.Sleep(slowFor)
	})
	stopAt, gap := draw(0, 4000), draw(300, 1500)
	running.Go(func() {
		time.Sleep(stopAt)
		for _, p := range d.processes {
			d.injectFault(2, p, nil, 0)
			time.Sleep(gap)
		}
	})
	storeAt, storeFor := draw(3000, 15000), draw(500, 1500)
	running.Go(func() {
		time.Sleep(storeAt)
		d.silenceStore(storeFor)
	})
	running.Wait()
}

// silenceStore cuts all processes off from the store for a while.
func (d *deployment) silenceStore(duration time.Duration) {
	links := []*link.Link{}
	for _, p := range d.processes {
		defer p.disturb()()
		links = append(links, p.store)
	}
	for _, v := range d.ranks {
		links = append(links, v.agent.store)
	}
	for _, l := range links {
		_ = l.SetMode(link.Silence) // every mode used is valid
		defer func() { _ = l.SetMode(link.Pass) }()
	}
	time.Sleep(duration)
}

// modelCaller sends streams over persistent connections, one at a time, and leaves some of
// them early.
type modelCaller struct {
	d        *deployment
	id       int
	rand     *rand.Rand
	client   *http.Client
	expected *expectations
}

func (c *modelCaller) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		c.call(n)
		time.Sleep(time.Duration(c.rand.IntN(3000)) * time.Millisecond)
	}
}

func (c *modelCaller) call(n int) {
	p, prefix, id := c.d.processes[c.rand.IntN(gateways)], "/stream/", fmt.Sprintf("resumable-%d-%d", c.id, n)
	events, patience := 8+c.rand.IntN(16), modelDeadline
	if c.rand.IntN(4) == 0 {
		prefix, id = "/once/", fmt.Sprintf("once-%d-%d", c.id, n)
	}
	if c.rand.Float64() < leaverFraction {
		patience = time.Duration(300+c.rand.IntN(600)) * time.Millisecond
	}
	status, retryAfter := c.send(p, prefix, id, events, patience)
	c.expected.mu.Lock()
	if prefix == "/once/" {
		c.expected.nonIdempotent = append(c.expected.nonIdempotent, id)
	}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		c.expected.notRun[id] = status
	}
	c.expected.mu.Unlock()
	time.Sleep(retryAfter)
}

// send sends a stream and leaves it after patience, or eventPatience after the last event. It
// returns the status, 0 without a complete answer, and the time to wait before another request.
func (c *modelCaller) send(p *process, prefix, id string, events int, patience time.Duration) (int, time.Duration) {
	ctx, leave := context.WithTimeout(context.Background(), patience)
	defer leave()
	waiting := time.AfterFunc(eventPatience, leave)
	defer waiting.Stop()
	defer func() {
		if ctx.Err() != nil {
			c.d.departures.leave(id, p)
		}
	}()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.ip+":8227"+prefix+"x", strings.NewReader("body of "+id))
	if err != nil {
		c.d.t.Error(err)
		return 0, 0
	}
	r.Host = "h"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(modelDeadline.Milliseconds(), 10))
	r.Header.Set("Authorization", "Bearer "+apiKey)
	r.Header.Set("Model", "m")
	r.Header.Set("Token-Count", fmt.Sprintf("500,%d", events))
	r.Header.Set("Prefix-Hash", soundPart+","+id+":500")
	resp, err := c.client.Do(r)
	if err != nil && ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond) // a process that has exited refuses connections at once
	}
	if err != nil {
		return 0, 0
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64) // 0 without the header
		return resp.StatusCode, time.Duration(seconds * float64(time.Second))
	}
	var body strings.Builder
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		waiting.Reset(eventPatience)
		body.WriteString(lines.Text() + "\n")
	}
	if lines.Err() != nil {
		return 0, 0
	}
	if body.String() != stream(id, events) {
		c.d.recorder.recordViolation("stream %s completed with the wrong content %q", id, body.String())
	}
	return http.StatusOK, 0
}
