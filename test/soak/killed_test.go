package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	replicaCount, replicaCallers = 12, 24
	// replicaFaultTime is the time for which callers send requests.
	replicaFaultTime = 7 * time.Second
	// maxTries is the number of times that a caller sends a request that may run again.
	maxTries = 6
	// retryDelay is the pause after an answer other than 200 or none.
	retryDelay = 50 * time.Millisecond
)

// replicaRecord is what all replicas wrote.
type replicaRecord struct {
	mu sync.Mutex
	// framing is how the last answer to a request is framed, began and finished count the
	// answers to it.
	framing         map[string]string
	began, finished map[string]int
	// last holds the answers after which processes exited.
	last         map[string]bool
	kills, exits int
}

// read records what a replica wrote until it was killed or exited.
func (c *replicaRecord) read(r *recorder, text string, killed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := ""
	for line := range strings.Lines(text) {
		var what, id, how string
		_, _ = fmt.Sscan(line, &what, &id, &how) // "run" has no framing
		switch what {
		case "run":
			r.recordRun(id)
		case "begin":
			c.began[id]++
			c.framing[id] = how
		case "whole":
			c.finished[id]++
			last = id
		}
	}
	if killed {
		c.kills++
		return
	}
	c.exits++
	c.last[last] = true
}

// runReplicas runs the replicas of one address, one after the other, until ctx is done.
func (d *deployment) runReplicas(ctx context.Context, i int, record *replicaRecord) {
	rng := rand.New(rand.NewPCG(d.seed, uint64(200+i)))
	ln, err := net.Listen("tcp", net.JoinHostPort(d.loopback(101+i), "0"))
	if err != nil {
		d.t.Error(err)
		return
	}
	address := ln.Addr().String()
	ln.Close()
	kills := i%3 != 0
	for n := 0; ctx.Err() == nil; {
		id, born := fmt.Sprintf("i-%d-%d", i, n), time.Now().UnixMilli()
		register := func(state string) {
			d.putRecord("servers/"+id, map[string]any{"service": "s", "address": address, "zone": "a", "slots": 8, "state": state, "born": born})
		}
		var out bytes.Buffer
		cmd := exec.CommandContext(ctx, os.Args[0])
		cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%s %s %d %d %t", replicaVariable, address, id, born, d.seed, kills))
		cmd.Stdout, cmd.Stderr = &out, os.Stderr
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no process outlives the test
		if err := cmd.Start(); err != nil {
			d.t.Error(err)
			return
		}
		register("ready")
		leave := time.AfterFunc(time.Duration(500+rng.IntN(2500))*time.Millisecond, func() {
			register("draining")
			time.Sleep(100 * time.Millisecond)      // the gateways learn of it
			_ = cmd.Process.Signal(syscall.SIGTERM) // an error means that the process has exited
		})
		err := cmd.Wait()
		leave.Stop()
		record.read(d.recorder, out.String(), err != nil)
		away := time.Duration(500+rng.IntN(2000)) * time.Millisecond
		if rng.IntN(2) == 0 {
			away = 0
		}
		select {
		case <-ctx.Done():
		case <-time.After(away):
		}
		if err == nil || rng.IntN(2) == 0 { // else it starts again under the same ID
			n++
			if item, err := d.kvStore.Get("servers/" + id); err == nil {
				_, _ = d.kvStore.Delete(item.Key, item.ModRevision) // only this test removes records
			}
		}
	}
}

// TestKilledReplicas guards against answers of killed replicas that end in order with their
// connection and reach callers as if they were whole.
func TestKilledReplicas(t *testing.T) {
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			soakKilledReplicas(t, seed)
		})
	}
}

// newReplicaDeployment returns a deployment without processes, whose configuration has a route of
// each kind and a service with a health check.
func newReplicaDeployment(t *testing.T, seed uint64, firstHost int) *deployment {
	t.Helper()
	d := newStore(t, seed)
	t.Cleanup(func() {
		if t.Failed() {
			d.logProcessOutput()
		}
	})
	d.firstHost = firstHost
	d.services = func() []any { return []any{map[string]any{"name": "s", "health-path": healthPath}} }
	d.routes = func() []any {
		return []any{route("/safe/", "safe", false), route("/unsafe/", "unsafe", false), route("/stream/", "streaming", true), route("/once/", "streaming", false)}
	}
	return d
}

func soakKilledReplicas(t *testing.T, seed uint64) {
	g := NewWithT(t)
	d := newReplicaDeployment(t, seed, 20)
	record := &replicaRecord{framing: map[string]string{}, began: map[string]int{}, finished: map[string]int{}, last: map[string]bool{}}
	ctx, kill := context.WithCancel(context.Background())
	defer kill()
	var replicas sync.WaitGroup
	for i := range replicaCount {
		replicas.Go(func() { d.runReplicas(ctx, i, record) })
	}
	expected, results := d.callReplicas(g, replicaCallers, replicaFaultTime, func(int) string { return "body" }, d.freezeGateways)
	kill()
	replicas.Wait()
	expected.check(d.recorder)
	results.log(t, record)
	g.Expect(d.recorder.violations).To(BeEmpty())
	g.Expect(results.complete).NotTo(BeEmpty(), "the callers were served")
	g.Expect(record.kills).To(BeNumerically(">", replicaCount), "replicas were killed") // those at the end included
}

// callReplicas starts the gateways and sends requests through them for a while, beside what disturbs
// them until then. body returns the body of a caller's requests.
func (d *deployment) callReplicas(g *WithT, callers int, duration time.Duration, body func(caller int) string, disturb func(until time.Time)) (*expectations, *replicaResults) {
	d.writeConfiguration()
	d.startGateways()
	for _, p := range d.processes {
		g.Eventually(p.ready, recoveryTimeout).Should(BeTrue(), p.name)
	}
	expected := &expectations{notRun: map[string]int{}}
	results := &replicaResults{complete: map[string]bool{}, truncated: map[string]string{}, statuses: map[int]int{}}
	until := time.Now().Add(duration)
	var running sync.WaitGroup
	running.Go(func() { disturb(until) })
	for i := range callers {
		c := &replicaCaller{d: d, rand: rand.New(rand.NewPCG(d.seed, uint64(i))), expected: expected, results: results, client: &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{}}, body: body(i)}
		running.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				c.call(fmt.Sprintf("r-%d-%d", i, n))
			}
		})
	}
	running.Wait()
	return expected, results
}

// freezeGateways makes one gateway after the other stand still, so that they learn of the end
// of replicas when others run in their place.
func (d *deployment) freezeGateways(until time.Time) {
	rng := rand.New(rand.NewPCG(d.seed, 10))
	for time.Now().Before(until) {
		p := d.processes[rng.IntN(gateways)]
		p.signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(200+rng.IntN(400)) * time.Millisecond)
		p.signal(syscall.SIGCONT)
		time.Sleep(time.Duration(rng.IntN(700)) * time.Millisecond)
	}
}

// replicaResults is what the callers got.
type replicaResults struct {
	mu sync.Mutex
	// complete holds each attempt whose answer reached its caller and whether it was complete,
	// truncated the kinds of attempts whose complete answers lack a part.
	complete  map[string]bool
	truncated map[string]string
	statuses  map[int]int
	// disordered counts the streams with anything but their next event behind others.
	disordered int
}

// log logs how many answers were cut, how many of them looked complete, and how many whole
// answers didn't reach their callers.
func (s *replicaResults) log(t *testing.T, record *replicaRecord) {
	cuts, truncated, whole, last, again, lost := map[string]int{}, map[string]int{}, 0, 0, 0, map[string]int{}
	for id, began := range record.began {
		how := record.framing[id]
		cuts[how] += began - record.finished[id]
		if how != byConnection.String() || record.finished[id] == 0 {
			continue
		}
		whole++
		when := "before others"
		if record.last[id] {
			last++
			when = "before an exit"
		}
		if complete, sent := s.complete[id]; sent && !complete {
			lost[when]++
		}
		if began > 1 && record.finished[id] == began {
			again++
		}
	}
	for id, prefix := range s.truncated {
		truncated[prefix+" "+record.framing[id]]++
	}
	t.Logf("%d answers by %d processes that were killed and %d that exited; cut by framing %v, taken for whole %d %v; %d in disorder; of %d whole answers without length and chunks, %d of them before an exit, %v were lost and %d repeated; statuses %v",
		len(record.began), record.kills, record.exits, cuts, len(s.truncated), truncated, s.disordered, whole, last, lost, again, s.statuses)
}

// replicaCaller sends requests of all kinds over persistent connections and resumes streams.
type replicaCaller struct {
	d        *deployment
	rand     *rand.Rand
	client   *http.Client
	expected *expectations
	results  *replicaResults
	// body is that of the requests.
	body string
}

// call sends a request until its answer is complete, if it may run again.
func (c *replicaCaller) call(id string) {
	prefix := []string{"/safe/", "/unsafe/", "/stream/", "/once/"}[c.rand.IntN(4)]
	once := prefix == "/unsafe/" || prefix == "/once/"
	first, got, want := c.rand.IntN(gateways), "", stream(id, streamEvents)
	for try := range maxTries {
		attempt := fmt.Sprintf("%s-%d", id, try)
		status, body, complete := c.send(c.d.processes[(first+try)%gateways], prefix+id, attempt, strings.Count(got, "\n\n"))
		c.record(attempt, status, complete, once)
		if status == http.StatusOK {
			got += body
		}
		if status != http.StatusOK {
			time.Sleep(retryDelay)
		}
		switch {
		case !strings.HasPrefix(want, got):
			c.d.recorder.recordViolation("%s%s got %q behind %q", prefix, attempt, body, strings.TrimSuffix(got, body))
			c.results.mu.Lock()
			c.results.disordered++
			c.results.mu.Unlock()
			return
		case status == http.StatusOK && complete && got != want:
			c.d.recorder.recordViolation("%s%s completed without %q", prefix, attempt, strings.TrimPrefix(want, got))
			c.results.mu.Lock()
			c.results.truncated[attempt] = prefix
			c.results.mu.Unlock()
			return
		case once || status == http.StatusOK && complete:
			return
		case prefix == "/stream/":
			got = got[:strings.LastIndex("\n\n"+got, "\n\n")] // whole events
		default:
			got = ""
		}
	}
}

// record records what an attempt led to.
func (c *replicaCaller) record(attempt string, status int, complete, once bool) {
	c.results.mu.Lock()
	defer c.results.mu.Unlock()
	c.results.statuses[status]++
	c.results.complete[attempt] = complete && status == http.StatusOK
	c.expected.mu.Lock()
	defer c.expected.mu.Unlock()
	if once {
		c.expected.nonIdempotent = append(c.expected.nonIdempotent, attempt)
	}
	if promisesNotRun(status) {
		c.expected.notRun[attempt] = status
	}
}

// send sends a request and returns the answer's status, 0 without an answer, what arrived of
// its body, and whether that is complete.
func (c *replicaCaller) send(p *process, path, id string, last int) (int, string, bool) {
	r, err := http.NewRequest(http.MethodPost, "http://"+p.ip+":8227"+path, strings.NewReader(c.body))
	if err != nil {
		c.d.t.Error(err)
		return 0, "", false
	}
	r.Host = "h"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", "3000")
	r.Header.Set("Authorization", "Bearer "+apiKey)
	if last > 0 {
		r.Header.Set("Last-Event-Id", strconv.Itoa(last))
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return 0, "", false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err == nil
}
