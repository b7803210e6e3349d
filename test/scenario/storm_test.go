package scenario

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/standin/kv"
	"github.com/kingcupreel/kingcupreel/internal/standin/plain"
)

const (
	stormFaultCount = 16
	stormMaxSends   = 6
	stormTimeout    = 2 * time.Second
)

// storm sends non-idempotent calls while it injects faults, in an order that
// its seed determines.
type storm struct {
	ts      *testscript.TestScript
	rand    *rand.Rand
	entries []string
	plains  int

	mu sync.Mutex
	// answers holds the outcomes of each key's sends, in their order; "" stands
	// for a lost answer.
	answers map[string][]outcome.Outcome
}

// cmdStorm implements "storm SEED CALLS ENTRIES PLAINS": it sends each call
// again through a random entry until the answer is final. It checks that no key
// ran twice, that a completed call ran, and that a call whose every answer was
// not-run did not run.
func cmdStorm(ts *testscript.TestScript, neg bool, args []string) {
	var n [4]int
	for i := range n {
		var err error
		n[i], err = strconv.Atoi(args[i])
		ts.Check(err)
	}
	s := &storm{ts: ts, rand: rand.New(rand.NewPCG(uint64(n[0]), 1)), plains: n[3], answers: map[string][]outcome.Outcome{}}
	for i := range n[2] {
		s.entries = append(s.entries, ts.Getenv(fmt.Sprintf("entry%d_caller", i+1)))
	}
	var calls sync.WaitGroup
	for i := range n[1] {
		r := rand.New(rand.NewPCG(uint64(n[0]), uint64(i)+2))
		calls.Go(func() { s.call(r, fmt.Sprintf("key-%d", i)) })
	}
	for range stormFaultCount {
		s.injectFault()
	}
	s.setFaults(kv.Faults{})
	calls.Wait()
	s.verify()
}

// call sends a key until its answer is final, at most stormMaxSends times.
func (s *storm) call(r *rand.Rand, key string) {
	time.Sleep(time.Duration(r.IntN(3000)) * time.Millisecond)
	for range stormMaxSends {
		o, retry := s.send(s.entries[r.IntN(len(s.entries))], key)
		s.mu.Lock()
		s.answers[key] = append(s.answers[key], o)
		s.mu.Unlock()
		if !retry {
			return
		}
		time.Sleep(time.Duration(r.IntN(400)) * time.Millisecond)
	}
}

// send sends the key once. It returns the outcome and whether the call is to be
// sent again.
func (s *storm) send(entry, key string) (outcome.Outcome, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*stormTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/v1/services/s/once", strings.NewReader(key))
	if err != nil {
		return "", false
	}
	req.Header.Set("Authorization", "Bearer account-1")
	req.Header.Set("Idempotency-Key", key)
	req.Header.Set("Request-Timeout", strconv.Itoa(int(stormTimeout/time.Second)))
	req.GetBody = nil
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", true
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return outcome.Outcome(resp.Header.Get(outcome.Header)), resp.Header.Get("Retry-After") != ""
}

// injectFault injects one random fault, waits and ends it.
func (s *storm) injectFault() {
	pause := func() { time.Sleep(time.Duration(100+s.rand.IntN(400)) * time.Millisecond) }
	agent := fmt.Sprintf("agent-plain%d", 1+s.rand.IntN(s.plains))
	entry := fmt.Sprintf("entry%d", 1+s.rand.IntN(len(s.entries)))
	switch s.rand.IntN(6) {
	case 0, 1:
		s.freeze(entry, pause)
	case 2:
		s.freeze(agent, pause)
	case 3:
		cmdSignal(s.ts, false, []string{agent, "KILL"})
		pause()
		cmdRestart(s.ts, false, []string{agent})
	case 4:
		s.setFaults(kv.Faults{LoseAnswers: 1 + s.rand.IntN(5)})
		pause()
	case 5:
		s.setFaults([]kv.Faults{{Outage: true}, {DelayMS: 300}, {DelayMS: 1500}}[s.rand.IntN(3)])
		pause()
		s.setFaults(kv.Faults{})
	}
	pause()
}

func (s *storm) freeze(name string, pause func()) {
	cmdSignal(s.ts, false, []string{name, "STOP"})
	pause()
	cmdSignal(s.ts, false, []string{name, "CONT"})
}

func (s *storm) setFaults(f kv.Faults) {
	(&fleet{}).postJSON(s.ts, "http://"+s.ts.Getenv("kv_http")+"/admin/faults", f)
}

// verify compares the answers that callers got with what the plain services
// ran.
func (s *storm) verify() {
	runs := map[string]int{}
	for i := range s.plains {
		var calls []plain.Call
		s.ts.Check(fetch("http://"+s.ts.Getenv(fmt.Sprintf("plain%d_http", i+1))+"/admin/calls", &calls))
		for _, c := range calls {
			runs[c.Key]++
		}
	}
	lastOutcomes := map[outcome.Outcome]int{}
	for key, answers := range s.answers {
		last := answers[len(answers)-1]
		lastOutcomes[last]++
		if runs[key] > 1 || last == outcome.Completed && runs[key] != 1 || allNotRun(answers) && runs[key] > 0 {
			s.ts.Fatalf("%s ran %d times; its callers were told %q", key, runs[key], answers)
		}
	}
	s.ts.Logf("%d calls, %d ran; last answers: %v", len(s.answers), len(runs), lastOutcomes)
}

// allNotRun reports whether every answer is not-run.
func allNotRun(answers []outcome.Outcome) bool {
	for _, o := range answers {
		if o != outcome.NotRun {
			return false
		}
	}
	return true
}
