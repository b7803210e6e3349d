package scenario

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/standin/engine"
)

const (
	// floodTimeout is the Request-Timeout of a flood's requests, in seconds.
	floodTimeout = "6"
	// resendDelay is the time after which a refused request is sent again.
	resendDelay = 100 * time.Millisecond
	// floodTokens is the number of tokens of an answer.
	floodTokens = 10
)

// floodGroup is the callers of one client account. They send a refused request
// again after resendDelay. If requests is set, the group ends after that many
// completed requests; the flood ends when all such groups have ended.
type floodGroup struct {
	account           string
	callers, requests int

	mu                                           sync.Mutex
	sent, completed, refused, late, noRetryAfter int
	refusedIDs                                   map[string]bool
	// otherStatuses are the statuses of the late answers: those that are
	// neither a complete answer nor a refusal.
	otherStatuses []int
}

func parseGroup(s string) (*floodGroup, error) {
	parts := strings.Split(s, ":")
	g := &floodGroup{account: parts[0], refusedIDs: map[string]bool{}}
	var err error
	if g.callers, err = strconv.Atoi(parts[1]); err == nil && len(parts) > 2 {
		g.requests, err = strconv.Atoi(parts[2])
	}
	return g, err
}

// checkFlood implements "check flood ENTRIES ENGINES
// ACCOUNT:CALLERS[:REQUESTS]...", where ENTRIES and ENGINES are comma-separated
// base URLs. The callers are spread over the entries. It prints what answers
// each account got and what the engines recorded of it.
func checkFlood(args []string) error {
	entries, engines := strings.Split(args[0], ","), strings.Split(args[1], ",")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var all, bounded sync.WaitGroup
	var groups []*floodGroup
	for _, arg := range args[2:] {
		g, err := parseGroup(arg)
		if err != nil {
			return err
		}
		groups = append(groups, g)
		for n := range g.callers {
			run := func() { g.call(ctx, entries[n%len(entries)], n) }
			all.Go(run)
			if g.requests > 0 {
				bounded.Go(func() { g.waitCompleted(ctx) })
			}
		}
	}
	bounded.Wait()
	cancel()
	all.Wait()
	return reportFlood(groups, engines)
}

// waitCompleted waits until the group has completed its requests.
func (g *floodGroup) waitCompleted(ctx context.Context) {
	for ctx.Err() == nil {
		g.mu.Lock()
		done := g.completed >= g.requests
		g.mu.Unlock()
		if done {
			return
		}
		time.Sleep(conditionPollInterval)
	}
}

// call sends one caller's requests until ctx is done or the group is complete.
func (g *floodGroup) call(ctx context.Context, entry string, caller int) {
	for i := 0; ctx.Err() == nil; i++ {
		body := fmt.Sprintf(`{"model":"m","prompt":"%s %d %d","max_tokens":%d}`, g.account, caller, i, floodTokens)
		for ctx.Err() == nil && !g.send(entry, body) {
			time.Sleep(resendDelay)
		}
		g.mu.Lock()
		done := g.requests > 0 && g.completed >= g.requests
		g.mu.Unlock()
		if done {
			return
		}
	}
}

// send sends one request and reports whether it completed. It doesn't use the
// flood's context, so that the last requests run to their end and no caller
// abandons one.
func (g *floodGroup) send(entry, body string) bool {
	req, err := http.NewRequest(http.MethodPost, entry+"/v1/completions", strings.NewReader(body))
	exitOn(err)
	req.Header.Set("Authorization", "Bearer "+g.account)
	req.Header.Set("Request-Timeout", floodTimeout)
	resp, err := http.DefaultClient.Do(req)
	exitOn(err)
	resp.Body.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sent++
	switch resp.StatusCode {
	case http.StatusOK:
		g.completed++
		return true
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		g.refused++
		g.refusedIDs[resp.Header.Get("Kingcupreel-Request")] = true
		if resp.Header.Get("Retry-After") == "" {
			g.noRetryAfter++
		}
	default:
		g.late++
		g.otherStatuses = append(g.otherStatuses, resp.StatusCode)
	}
	return false
}

// reportFlood prints a line per account and the engines' totals.
func reportFlood(groups []*floodGroup, engines []string) error {
	var runs []engine.Run
	for _, url := range engines {
		var engineRuns []engine.Run
		if err := fetch(url+"/admin/runs", &engineRuns); err != nil {
			return err
		}
		runs = append(runs, engineRuns...)
	}
	wasted, ranRefused, attempts := 0, 0, map[string]int{}
	for _, r := range runs {
		attempts[r.Request]++
		if !r.Completed {
			wasted++
		}
		for _, g := range groups {
			if g.refusedIDs[r.Request] {
				ranRefused++
			}
		}
	}
	for n, g := range groups {
		ended, maxConcurrent := accountRuns(g.account, runs)
		fmt.Printf("account=%s completed=%d refused=%d late=%d without-retry-after=%d ended=%d at-once=%d share-percent=%d\n",
			g.account, g.completed, g.refused, g.late, g.noRetryAfter, ended, maxConcurrent, sharePercent(groups[n:], runs))
	}
	late := 0
	for _, g := range groups {
		late += g.late
		if len(g.otherStatuses) > 0 {
			fmt.Printf("late-statuses=%v\n", g.otherStatuses)
		}
	}
	fmt.Printf("runs=%d wasted=%d late=%d lost-percent=%d refused-but-ran=%d extra-attempts-percent=%d\n",
		len(runs), wasted, late, 100*max(wasted, late)/max(len(runs), 1), ranRefused, 100*(len(runs)-len(attempts))/max(len(attempts), 1))
	return nil
}

// accountRuns returns how many runs of an account ended, and the highest number
// of them in a batch at the same time.
func accountRuns(account string, runs []engine.Run) (ended, maxConcurrent int) {
	for _, r := range runs {
		if !strings.HasPrefix(r.Prompt, account+" ") {
			continue
		}
		if r.Completed {
			ended++
		}
		concurrent := 0
		for _, o := range runs {
			if strings.HasPrefix(o.Prompt, account+" ") && !o.Started.After(r.Started) && o.ReleasedAt.After(r.Started) {
				concurrent++
			}
		}
		maxConcurrent = max(maxConcurrent, concurrent)
	}
	return ended, maxConcurrent
}

// sharePercent returns the first account's share, in percent, of the runs of
// all these accounts that started between its first and its last one.
func sharePercent(groups []*floodGroup, runs []engine.Run) int {
	var first, last time.Time
	for _, r := range runs {
		if !strings.HasPrefix(r.Prompt, groups[0].account+" ") {
			continue
		}
		if first.IsZero() || r.Started.Before(first) {
			first = r.Started
		}
		if r.Started.After(last) {
			last = r.Started
		}
	}
	own, all := 0, 0
	for _, r := range runs {
		for n, g := range groups {
			if !strings.HasPrefix(r.Prompt, g.account+" ") || r.Started.Before(first) || r.Started.After(last) {
				continue
			}
			all++
			if n == 0 {
				own++
			}
		}
	}
	return 100 * own / max(all, 1)
}
