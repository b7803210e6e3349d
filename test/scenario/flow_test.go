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
	// flowTokens is the number of tokens of a flow's answers.
	flowTokens = 40
	// flowStagger is the time between the starts of two callers.
	flowStagger = 130 * time.Millisecond
	// meanDisturbPause is the mean time between two disturbances.
	meanDisturbPause = 700 * time.Millisecond
)

// flowResults collects the answers that a flow's callers got.
type flowResults struct {
	// timeout is the Request-Timeout of the requests, in seconds.
	timeout string

	mu       sync.Mutex
	outcomes map[string]int
	notRun   []string
	wrong    []string
}

// checkFlow implements "check flow CALLERS REQUESTS TIMEOUT CALLER=OPS...":
// each caller sends its streaming requests one after another to an entry that
// reports itself ready, as the platform's balancer does. It prints the outcomes
// and the prompts with the outcome not-run, and fails if an answer is wrong.
func checkFlow(args []string) error {
	callers, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	requests, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	f := &flowResults{timeout: args[2], outcomes: map[string]int{}}
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

// request sends one request and checks its answer.
func (f *flowResults) request(entries []string, prompt string, firstEntry int) {
	body, _ := json.Marshal(engineapi.Call{Model: "m", Prompt: prompt, Stream: true, MaxTokens: flowTokens})
	req, err := http.NewRequest(http.MethodPost, "http://"+readyEntry(entries, firstEntry)+engineapi.PathCompletions, strings.NewReader(string(body)))
	if err != nil {
		f.recordAnswer(prompt, "none", err.Error())
		return
	}
	req.Header.Set("Authorization", "Bearer account-1")
	req.Header.Set("Request-Timeout", f.timeout)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		f.recordAnswer(prompt, "none", err.Error())
		return
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	outcome := resp.Header.Get("Kingcupreel-Outcome") + resp.Trailer.Get("Kingcupreel-Outcome")
	if err != nil {
		f.recordAnswer(prompt, "none", err.Error())
		return
	}
	f.recordAnswer(prompt, outcome, describeWrongAnswer(prompt, outcome, string(data)))
}

// readyEntry returns the caller address of the first entry that is ready,
// searched round robin from the index start.
func readyEntry(entries []string, start int) string {
	for i := start; ; i++ {
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

// describeWrongAnswer says what is wrong with an answer, or returns "" if it is
// right. An answer that is not completed may hold any prefix of the text.
func describeWrongAnswer(prompt, outcome, data string) string {
	stream, _, _ := strings.Cut(data, "event: error")
	text, endEvents, err := streamText(stream)
	want := engine.Text(prompt, flowTokens)
	switch {
	case outcome == "completed" && (err != nil || text != want || endEvents != 1):
		return fmt.Sprintf("completed with %d of %d bytes and %d end events", len(text), len(want), endEvents)
	case outcome != "completed" && !strings.HasPrefix(want, text):
		return "text differs from the expected answer"
	}
	return ""
}

// recordAnswer counts an answer. problem says what is wrong with it, or is
// empty.
func (f *flowResults) recordAnswer(prompt, outcome, problem string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outcomes[outcome]++
	if outcome == "not-run" {
		f.notRun = append(f.notRun, prompt)
	}
	if problem != "" {
		f.wrong = append(f.wrong, prompt+": "+problem)
	}
}

// checkNeverRan implements "check never-ran FILE ENGINE...": it fails if an
// engine ran a prompt that has the outcome not-run in the output of a flow,
// which the file holds.
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
				return fmt.Errorf("%s has the outcome not-run but ran", r.Prompt)
			}
		}
	}
	fmt.Printf("never-ran=%d\n", len(notRun))
	return nil
}

// cmdDisturb implements "disturb SEED STEPS NAME...": it disturbs one process
// at a time, in an order and with pauses that the seed determines. A link drops
// all traffic, silences all of it, or silences the open connections; any other
// process freezes and continues. All disturbances have ended when it returns.
func cmdDisturb(ts *testscript.TestScript, neg bool, args []string) {
	seed, err := strconv.ParseUint(args[0], 10, 64)
	ts.Check(err)
	steps, err := strconv.Atoi(args[1])
	ts.Check(err)
	rng := rand.New(rand.NewPCG(seed, seed))
	for range steps {
		name := args[2+rng.IntN(len(args)-2)]
		endDisturbance := disturb(ts, rng, name)
		time.Sleep(meanDisturbPause/2 + time.Duration(rng.Int64N(int64(meanDisturbPause))))
		if rng.IntN(4) == 0 {
			time.Sleep(5 * meanDisturbPause)
		}
		endDisturbance()
	}
}

// disturb starts a disturbance and returns the function that ends it.
func disturb(ts *testscript.TestScript, rng *rand.Rand, name string) func() {
	if !strings.HasPrefix(name, "link-") {
		proc := processesOf(ts).get(ts, name).cmd.Process
		ts.Logf("disturb: freeze %s", name)
		ts.Check(proc.Signal(syscall.SIGSTOP))
		return func() { ts.Check(proc.Signal(syscall.SIGCONT)) }
	}
	mode := []string{"drop", "silence", "silence-open"}[rng.IntN(3)]
	ts.Logf("disturb: %s %s", mode, name)
	setLink(ts, name, mode)
	return func() { setLink(ts, name, "pass") }
}

func setLink(ts *testscript.TestScript, name, mode string) {
	resp, err := http.Post("http://"+ts.Getenv(name+"_http")+"/admin/mode", "application/json", strings.NewReader(`{"mode":"`+mode+`"}`))
	ts.Check(err)
	resp.Body.Close()
}

// checkStamp prints the current time.
func checkStamp([]string) error {
	fmt.Println(time.Now().Format(time.RFC3339Nano))
	return nil
}

// checkNewest implements "check newest FILE ENGINE": it prints how long after
// the time in the file (from "check stamp") the engine's newest run started.
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
