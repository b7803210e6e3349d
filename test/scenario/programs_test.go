package scenario

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/ctl"
	"github.com/kingcupreel/kingcupreel/internal/standin/engine"
	"github.com/kingcupreel/kingcupreel/internal/standin/plain"
)

// callMain implements the program "call [flags] METHOD URL [BODY]". It prints
// the status, the outcome, Retry-After and the body, and exits with 0 if it got
// an answer, whatever the status.
func callMain() {
	token := flag.String("token", "account-1", "bearer token")
	key := flag.String("key", "", "idempotency key")
	timeout := flag.String("timeout", "", "request timeout in seconds")
	sendAfter := flag.Duration("send-after", 0, "time from the connection's opening to the request")
	flag.Parse()
	req, err := http.NewRequest(flag.Arg(0), flag.Arg(1), strings.NewReader(flag.Arg(2)))
	exitOn(err)
	req.Header.Set("Authorization", "Bearer "+*token)
	req.Header.Set("Content-Type", "application/json")
	for name, value := range map[string]string{"Idempotency-Key": *key, "Request-Timeout": *timeout} {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	if dial := transport.DialContext; *sendAfter > 0 {
		transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dial(ctx, network, address)
			time.Sleep(*sendAfter)
			return c, err
		}
	}
	resp, err := (&http.Client{Transport: transport}).Do(req)
	exitOn(err)
	body, err := io.ReadAll(resp.Body)
	outcome := resp.Header.Get("Kingcupreel-Outcome") + resp.Trailer.Get("Kingcupreel-Outcome")
	fmt.Printf("status=%d outcome=%s retry-after=%q\n%s\n", resp.StatusCode, outcome, resp.Header.Get("Retry-After"), body)
	exitOn(err)
}

func exitOn(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// check is one of the checks of the program "check".
type check struct {
	name string
	run  func(args []string) error
}

var checks = []check{
	{"connected", checkConnected},
	{"runs", checkRuns},
	{"limit", checkLimit},
	{"once", checkOnce},
	{"answer", checkAnswer},
	{"garbage", checkGarbage},
	{"odd", checkOdd},
	{"flow", checkFlow},
	{"never-ran", checkNeverRan},
	{"stamp", checkStamp},
	{"newest", checkNewest},
	{"tokens", checkTokens},
	{"prompt", checkPrompt},
	{"idle", checkIdle},
	{"calls", checkCalls},
	{"flood", checkFlood},
	{"agree", checkAgree},
	{"store", checkStore},
	{"stats", checkStats},
	{"config-calls", checkConfigCalls},
	{"replace", checkReplace},
	{"causal", checkCausal},
	{"race", checkRace},
	{"watchers", checkWatchers},
	{"maps", checkMaps},
	{"gap", checkGap},
	{"balance", checkBalance},
	{"forge", checkForge},
	{"drill", checkDrill},
	{"moving", checkMoving},
	{"loads", checkLoads},
	{"crashes", checkCrashes},
	{"claims", checkClaims},
}

// checkMain implements the program "check NAME ARGS...". The checks read what
// the entries and the stand-ins recorded.
func checkMain() {
	for _, c := range checks {
		if c.name == os.Args[1] {
			exitOn(c.run(os.Args[2:]))
			return
		}
	}
	exitOn(fmt.Errorf("no check %q", os.Args[1]))
}

// checkConnected implements "check connected OPS_URL [MIN]": it prints the
// number of upstreams that an entry is connected to, and fails if it is less
// than MIN.
func checkConnected(urls []string) error {
	client := ctl.Client{BaseURL: urls[0], Token: operatorToken}
	status, err := client.Status(context.Background())
	if err != nil {
		return err
	}
	n := status.Connected()
	fmt.Printf("connected=%d revision=%d\n", n, status.Revision)
	if len(urls) > 1 && n < mustAtoi(urls[1]) {
		return fmt.Errorf("fewer than %s upstreams are connected", urls[1])
	}
	return nil
}

func mustAtoi(s string) int {
	n, err := strconv.Atoi(s)
	exitOn(err)
	return n
}

func fetch(url string, out any) error {
	resp, err := http.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(out)
}

// checkRuns prints how many runs the engines recorded, and how many of them ran
// to their end.
func checkRuns(urls []string) error {
	total, ended := 0, 0
	for _, url := range urls {
		var runs []engine.Run
		if err := fetch(url+"/admin/runs", &runs); err != nil {
			return err
		}
		for _, r := range runs {
			total++
			if r.Completed {
				ended++
			}
		}
	}
	fmt.Printf("runs=%d ended=%d\n", total, ended)
	return nil
}

// checkOnce fails if any idempotency key ran twice over all the plain services.
// It ignores calls without a key: they are idempotent and may run again.
func checkOnce(urls []string) error {
	runsByKey := map[string]int{}
	for _, url := range urls {
		var calls []plain.Call
		if err := fetch(url+"/admin/calls", &calls); err != nil {
			return err
		}
		for _, c := range calls {
			if c.Key == "" {
				continue
			}
			runsByKey[c.Key]++
			if runsByKey[c.Key] > 1 {
				return fmt.Errorf("key %q ran twice", c.Key)
			}
		}
	}
	fmt.Printf("calls=%d\n", len(runsByKey))
	return nil
}
