package scenario

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/kingcupreel/kingcupreel/internal/engineapi"
	"github.com/kingcupreel/kingcupreel/internal/standin/engine"
)

const (
	// flowTokens is the length of a flow's answers.
	flowTokens = 40
	// flowStagger is the time between the starts of two callers.
	flowStagger = 130 * time.Millisecond
	// disturbPause is the mean time between two disturbances.
	disturbPause = 700 * time.Millisecond
)

// flowCounts are what a flow's callers were told.
type flowCounts struct {
	// timeout is the requests' Request-Timeout, in seconds.
	timeout string

	mu       sync.Mutex
	outcomes map[string]int
	notRun   []string
	wrong    []string
}

// checkFlow is "check flow CALLERS REQUESTS TIMEOUT CALLER=OPS...": each caller
// sends its streaming requests one after the other to an entry whose readiness
// is positive, as the platform's balancer does. It prints the outcomes and what
// was called not-run, and fails when an answer is wrong.
func checkFlow(args []string) error {
	callers, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	requests, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	f := &flowCounts{timeout: args[2], outcomes: map[string]int{}}
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			time.Sleep(time.Duration(c) * flowStagger)
			for n := range requests {
				f.request(args[3:], fmt.Sprintf("flow-%d-%d", c, n), c+n)
			}
		})
	}
	wg.Wait()
	fmt.Printf("requests=%d outcomes=%v wrong=%v\n", callers*requests, f.outcomes, f.wrong)
	fmt.Printf("not-run: %s\n", strings.Join(f.notRun, " "))
	if len(f.wrong) > 0 {
		return fmt.Errorf("%d wrong answers", len(f.wrong))
	}
	return nil
}

// request sends one request and judges its answer.
func (f *flowCounts) request(entries []string, prompt string, first int) {
	body, _ := json.Marshal(engineapi.Call{Model: "m", Prompt: prompt, Stream: true, MaxTokens: flowTokens})
	req, err := http.NewRequest(http.MethodPost, "http://"+readyEntry(entries, first)+engineapi.PathCompletions, strings.NewReader(string(body)))
	if err != nil {
		f.count(prompt, "none", err.Error())
		return
	}
	req.Header.Set("Authorization", "Bearer account-1")
	req.Header.Set("Request-Timeout", f.timeout)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		f.count(prompt, "none", err.Error())
		return
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	outcome := resp.Header.Get("Kingcupreel-Outcome") + resp.Trailer.Get("Kingcupreel-Outcome")
	if err != nil {
		f.count(prompt, "none", err.Error())
		return
	}
	f.count(prompt, outcome, faultOf(prompt, outcome, string(data)))
}

// readyEntry returns the caller address of an entry that is ready, from the
// given one on.
func readyEntry(entries []string, first int) string {
	for i := first; ; i++ {
		caller, ops, _ := strings.Cut(entries[i%len(entries)], "=")
		resp, err := http.Get("http://" + ops + "/readyz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return caller
		}
	}
}

// faultOf says what is wrong with an answer, if anything.
func faultOf(prompt, outcome, data string) string {
	stream, _, _ := strings.Cut(data, "event: error")
	text, ends, err := streamText(stream)
	want := engine.Text(prompt, flowTokens)
	switch {
	case outcome == "completed" && (err != nil || text != want || ends != 1):
		return fmt.Sprintf("completed with %d of %d bytes and %d ends", len(text), len(want), ends)
	case outcome != "completed" && !strings.HasPrefix(want, text):
		return "another text"
	}
	return ""
}

func (f *flowCounts) count(prompt, outcome, fault string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outcomes[outcome]++
	if outcome == "not-run" {
		f.notRun = append(f.notRun, prompt)
	}
	if fault != "" {
		f.wrong = append(f.wrong, prompt+": "+fault)
	}
}

// checkNeverRan is "check never-ran FILE ENGINE...": it fails when an engine ran
// a prompt that a flow, whose output is in the file, was told was not run.
func checkNeverRan(args []string) error {
	data, err := os.ReadFile(args[0])
	if err != nil {
		return err
	}
	_, list, _ := strings.Cut(string(data), "not-run: ")
	notRun := strings.Fields(list)
	for _, url := range args[1:] {
		var runs []engine.Run
		if err := fetch(url+"/admin/runs", &runs); err != nil {
			return err
		}
		for _, r := range runs {
			if slices.Contains(notRun, r.Prompt) {
				return fmt.Errorf("%s was called not-run and ran", r.Prompt)
			}
		}
	}
	fmt.Printf("never-ran=%d\n", len(notRun))
	return nil
}

// cmdDisturb is "disturb SEED STEPS NAME...": it disturbs one process after the
// other, in an order and with pauses that the seed gives. A link drops, goes
// silent, or silences what is open; any other process freezes and continues.
// At the end all are well again.
func cmdDisturb(ts *testscript.TestScript, neg bool, args []string) {
	seed, err := strconv.ParseUint(args[0], 10, 64)
	ts.Check(err)
	steps, err := strconv.Atoi(args[1])
	ts.Check(err)
	random := rand.New(rand.NewPCG(seed, seed))
	for range steps {
		name := args[2+random.IntN(len(args)-2)]
		mend := disturb(ts, random, name)
		time.Sleep(disturbPause/2 + time.Duration(random.Int64N(int64(disturbPause))))
		if random.IntN(4) == 0 {
			time.Sleep(5 * disturbPause)
		}
		mend()
	}
}

// disturb begins a disturbance and returns the function that ends it.
func disturb(ts *testscript.TestScript, random *rand.Rand, name string) func() {
	if !strings.HasPrefix(name, "link-") {
		proc := table(ts).get(ts, name).cmd.Process
		ts.Logf("disturb: freeze %s", name)
		ts.Check(proc.Signal(syscall.SIGSTOP))
		return func() { ts.Check(proc.Signal(syscall.SIGCONT)) }
	}
	mode := []string{"drop", "silence", "silence-open"}[random.IntN(3)]
	ts.Logf("disturb: %s %s", mode, name)
	setLink(ts, name, mode)
	return func() { setLink(ts, name, "pass") }
}

func setLink(ts *testscript.TestScript, name, mode string) {
	resp, err := http.Post("http://"+ts.Getenv(name+"_http")+"/admin/mode", "application/json", strings.NewReader(`{"mode":"`+mode+`"}`))
	ts.Check(err)
	resp.Body.Close()
}

// checkStamp prints the time.
func checkStamp([]string) error {
	fmt.Println(time.Now().Format(time.RFC3339Nano))
	return nil
}

// checkNewest is "check newest FILE ENGINE": it prints how long after the stamp
// in the file the engine's newest run started.
func checkNewest(args []string) error {
	data, err := os.ReadFile(args[0])
	if err != nil {
		return err
	}
	stamp, err := time.Parse(time.RFC3339Nano, strings.TrimSpace(string(data)))
	if err != nil {
		return err
	}
	var runs []engine.Run
	if err := fetch(args[1]+"/admin/runs", &runs); err != nil {
		return err
	}
	newest := time.Time{}
	for _, r := range runs {
		if r.Started.After(newest) {
			newest = r.Started
		}
	}
	fmt.Printf("newest=%v\n", newest.Sub(stamp).Round(time.Millisecond))
	return nil
}
