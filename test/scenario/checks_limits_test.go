package scenario

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/standin"
	"github.com/kingcupreel/kingcupreel/internal/standin/engine"
	"github.com/kingcupreel/kingcupreel/internal/standin/plain"
)

const (
	// limitLoadTime is how long requests are sent, by limitCallers callers for each entry.
	limitLoadTime = 6 * time.Second
	limitCallers  = 4
	// limitKnownTime is how long the entries may take to learn of a limit.
	limitKnownTime = 1 * time.Second
)

// checkLimit implements "check limit RATE UPSTREAM PATH ENTRY...": it sends requests to the
// path through the entries and fails if the upstream, which has just named the limit, gets
// more than that allows.
func checkLimit(args []string) error {
	rate, err := strconv.ParseFloat(args[0], 64)
	if err != nil {
		return fault.Wrap(fault.Invalid, err, "give a rate", "parsing the rate")
	}
	upstream, path, entries := args[1], args[2], args[3:]
	known := time.Now().Add(limitKnownTime)
	served, refused := sendToLimited(path, entries)
	moments, err := arrivals(upstream, path, known)
	if err != nil {
		return err
	}
	most, allowed := standin.MostInLimitWindow(moments, rate)
	fmt.Printf("served=%d refused=%d most=%d allowed=%.1f\n", served, refused, most, allowed)
	if float64(most) > allowed {
		return fault.New(fault.Internal, "see the timeline", "%d requests reached %s within a window", most, upstream)
	}
	return nil
}

// sendToLimited sends requests for limitLoadTime and counts the answers.
func sendToLimited(path string, entries []string) (served, refused int) {
	var mu sync.Mutex
	var running sync.WaitGroup
	for _, entry := range entries {
		for range limitCallers {
			running.Go(func() {
				for start := time.Now(); time.Since(start) < limitLoadTime; time.Sleep(20 * time.Millisecond) {
					req, err := http.NewRequest(http.MethodPost, entry+path, strings.NewReader(`{"model":"m","prompt":"p","max_tokens":2}`))
					exitOn(err)
					req.Header.Set("Authorization", "Bearer account-1")
					req.Header.Set("Content-Type", "application/json")
					req.Header.Set("Request-Timeout", "4")
					resp, err := http.DefaultClient.Do(req)
					exitOn(err)
					resp.Body.Close()
					mu.Lock()
					if resp.StatusCode == http.StatusOK {
						served++
					} else {
						refused++
					}
					mu.Unlock()
				}
			})
		}
	}
	running.Wait()
	return served, refused
}

// arrivals returns when requests to the path began at an upstream after the given time.
func arrivals(upstream, path string, after time.Time) ([]time.Time, error) {
	var moments []time.Time
	if strings.Contains(path, "completions") {
		var runs []engine.Run
		if err := fetch(upstream+"/admin/runs", &runs); err != nil {
			return nil, err
		}
		for _, r := range runs {
			moments = append(moments, r.Started)
		}
	} else {
		var calls []plain.Call
		if err := fetch(upstream+"/admin/calls", &calls); err != nil {
			return nil, err
		}
		for _, c := range calls {
			moments = append(moments, c.At)
		}
	}
	var late []time.Time
	for _, at := range moments {
		if at.After(after) {
			late = append(late, at)
		}
	}
	return late, nil
}
