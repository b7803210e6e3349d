package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/standin/raw"
)

const (
	oddReplicas, oddCallers = 6, 18
	// oddShare is the share of the requests that a replica answers oddly; the last replica is
	// sound.
	oddShare = 1.0 / 6
	// oddFaultTime is the time for which callers send requests.
	oddFaultTime = 6 * time.Second
	// longBody is the size of an upload, in bytes. It doesn't fit into the buffers of a
	// connection.
	longBody = 4<<20 - 1
	// maxProcessMemory is the memory of a gateway's VM, in bytes.
	maxProcessMemory = 284 << 20
)

// oddReplica is a replica that gives an odd answer now and then.
type oddReplica struct {
	d     *deployment
	id    string
	sound bool

	mu   sync.Mutex
	rand *rand.Rand
	// odd counts the odd answers by kind.
	odd map[string]int
}

// startOddReplica starts and registers the replica number i.
func (d *deployment) startOddReplica(i int) *oddReplica {
	v := &oddReplica{d: d, id: fmt.Sprint("i-odd-", i), sound: i == oddReplicas-1, rand: rand.New(rand.NewPCG(d.seed, uint64(300+i))), odd: map[string]int{}}
	s, err := raw.Serve(v.answer)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(s.Close)
	d.putRecord("servers/"+v.id, map[string]any{"service": "s", "address": s.Address(), "zone": "a", "slots": 8, "state": "ready", "born": 17})
	return v
}

func (v *oddReplica) draw(n int) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.rand.IntN(n)
}

// answer answers a request or a liveness call, for which oddShare holds too.
func (v *oddReplica) answer(r *http.Request) raw.Answer {
	id := r.Header.Get("Request-Id")
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nServer-Stamp: stamp\r\n", id, v.id)
	body := ""
	if r.Method == http.MethodPost {
		v.d.recorder.recordRun(id)
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 without the header
		head += "Content-Type: text/event-stream\r\n"
		body = strings.Join(events(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:], last), "")
	}
	if !v.sound && float64(v.draw(1000)) < 1000*oddShare {
		return v.oddAnswer(head, body)
	}
	early := v.draw(4) == 0
	a := raw.Answer{ReadFirst: !early, ReadLast: early}
	switch framing(v.draw(int(framings))) {
	case withLength:
		a.Text = fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	case inChunks:
		a.Text = head + "Transfer-Encoding: chunked\r\n\r\n" + asChunks(body)
	default:
		a.Text, a.End = head+"\r\n"+body, raw.Close
	}
	return a
}

func asChunks(body string) string {
	if body == "" {
		return "0\r\n\r\n"
	}
	return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
}

// oddAnswer returns an answer that must not reach a caller as a whole one.
func (v *oddReplica) oddAnswer(head, body string) raw.Answer {
	kinds := raw.OddAnswers(head, body)
	k := kinds[v.draw(len(kinds))]
	a := k.Answers[v.draw(len(k.Answers))]
	if a.ReadFirst && !strings.Contains(a.Text, " chunked") {
		a.End = []raw.End{raw.Keep, raw.Close, raw.Reset}[v.draw(3)]
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.odd[k.Kind]++
	return a
}

// TestOddAnswers guards against answers that are cut, invalid or without end and reach callers as
// whole ones, and against gateways that end with them, beside restarts and changes.
func TestOddAnswers(t *testing.T) {
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			soakOddAnswers(t, seed)
		})
	}
}

func soakOddAnswers(t *testing.T, seed uint64) {
	g := NewWithT(t)
	d := newReplicaDeployment(t, seed, 180)
	var replicas []*oddReplica
	for i := range oddReplicas {
		replicas = append(replicas, d.startOddReplica(i))
	}
	upload, memory := strings.Repeat("u", longBody), uint64(0)
	body := func(caller int) string {
		if caller%3 == 0 {
			return upload
		}
		return "body"
	}
	expected, results := d.callReplicas(g, oddCallers, oddFaultTime, body, func(until time.Time) { memory = d.disturbGateways(until) })
	expected.check(d.recorder)
	odd, whole := map[string]int{}, 0
	for _, v := range replicas {
		v.mu.Lock()
		for kind, n := range v.odd {
			odd[kind] += n
		}
		v.mu.Unlock()
	}
	for _, complete := range results.complete {
		if complete {
			whole++
		}
	}
	t.Logf("odd answers %v; of %d attempts %d got a whole answer; parts taken for whole %d; statuses %v; a gateway had up to %d MB", odd, len(results.complete), whole, len(results.truncated), results.statuses, memory>>20)
	for status := range results.statuses {
		g.Expect([]int{0, http.StatusOK, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout, http.StatusTooManyRequests}).To(ContainElement(status))
	}
	g.Expect(d.recorder.violations).To(BeEmpty())
	g.Expect(whole).To(BeNumerically(">", 20), "the callers were served")
	g.Expect(memory).To(BeNumerically("<", maxProcessMemory))
}

// disturbGateways stops, kills, restarts and reloads gateways and changes the configuration, in
// series that overlap. It returns the largest memory of a gateway, in bytes.
func (d *deployment) disturbGateways(until time.Time) (memory uint64) {
	rng := rand.New(rand.NewPCG(d.seed, 11))
	locks := make([]sync.Mutex, gateways)
	var faults sync.WaitGroup
	for time.Now().Before(until) {
		i, kind, duration := rng.IntN(gateways), rng.IntN(6), time.Duration(100+rng.IntN(600))*time.Millisecond
		faults.Go(func() {
			locks[i].Lock()
			defer locks[i].Unlock()
			if kind < 4 {
				d.injectFault(kind, d.processes[i], nil, duration)
				return
			}
			d.recorder.mu.Lock()
			defer d.recorder.mu.Unlock()
			d.writeConfiguration()
		})
		time.Sleep(time.Duration(100+rng.IntN(500)) * time.Millisecond)
		for _, p := range d.processes {
			memory = max(memory, p.memory())
		}
	}
	faults.Wait()
	for _, p := range d.processes {
		p.signal(syscall.SIGCONT)
	}
	return memory
}

// memory returns the largest memory that the process had, in bytes; 0 if it doesn't run.
func (p *process) memory() uint64 {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	var kilobytes uint64
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			_, _ = fmt.Sscan(value, &kilobytes) // 0 if it can't be read
		}
	}
	return kilobytes << 10
}
