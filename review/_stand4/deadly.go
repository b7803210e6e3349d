package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times and sizes of the case (see the claim).
const (
	deadlyGateways = 8
	deadlyReplicas = 10
	// backAfter is how long a crashed replica is gone, entryEnds how long its entry stays.
	backAfter = 3 * time.Second
	entryEnds = 3600 * time.Millisecond
	// deadlyGap is the time between two attempts of the deadly request.
	deadlyGap    = 2500 * time.Millisecond
	deadlyRounds = 14
)

// promptParts is the number of shared parts of the deadly request's prompt.
var promptParts = 100

// crashing is a replica that a deadly request crashes.
type crashing struct {
	*replica
	number int
	listen net.Listener
	server *http.Server
	crash  func(c *crashing, id string)
	once   sync.Once
}

// startCrashing starts an incarnation at an address, "" for a new one.
func startCrashing(number, incarnation int, address string, crash func(*crashing, string)) *crashing {
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		fail2("%v", err)
	}
	c := &crashing{replica: &replica{id: fmt.Sprintf("i-%04x%04x", number, incarnation), service: "dele69a", born: time.Now().UnixMilli(), address: l.Addr().String()}, number: number, listen: l, crash: crash}
	c.server = &http.Server{Handler: c}
	go func() { _ = c.server.Serve(l) }()
	return c
}

func (c *crashing) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	if want := r.Header.Get("Expect-Instance"); want != "" && want != c.id || r.URL.Path != "/deadly/2f" || !troubled {
		c.replica.ServeHTTP(w, r)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	c.once.Do(func() {
		c.crash(c, id)
		_ = c.server.Close() // its listener and its connections
	})
	panic(http.ErrAbortHandler)
}

// deadlyCase: a request that crashes each replica that begins to run it comes again and again,
// each time at another machine.
func deadlyCase() {
	if text := os.Getenv("PARTS"); text != "" {
		promptParts, _ = strconv.Atoi(text)
	}
	s := newStore(20 * time.Second)
	storeAddress := serve("127.0.0.1", s)
	var mu sync.Mutex
	var crashes []time.Time
	incarnation := 0
	var crash func(c *crashing, id string)
	crash = func(c *crashing, id string) {
		mu.Lock()
		crashes = append(crashes, time.Now())
		incarnation++
		next := incarnation
		record("replica %s runs %s and crashes: the %d. crash", c.id, id, len(crashes))
		mu.Unlock()
		go func() {
			time.Sleep(backAfter)
			n := startCrashing(c.number, next, c.address, crash)
			s.put("servers/"+n.id, n.entry("ready"))
			record("replica %s starts at the address of %s", n.id, c.id)
			time.Sleep(entryEnds - backAfter)
			s.delete("servers/" + c.id)
		}()
	}
	for i := range deadlyReplicas {
		c := startCrashing(i, 0, "", crash)
		s.put("servers/"+c.id, c.entry("ready"))
	}
	route := plainRoute("r-deadly", "/deadly/", "dele69a", "streaming", 8000)
	route["sticky"], route["target-gap-ms"] = true, 120
	s.put("op/config", map[string]any{
		"version": 7, "routes": []any{route, plainRoute("r-order", "/order/", "dele69a", "unsafe", 8000)},
		"services": []any{map[string]any{"name": "dele69a", "health-path": "/health", "max-connections": 630, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  []any{map[string]any{"name": "hule930", "api-keys": []string{callerKey}, "priority": 1}},
	})
	var gateways []*gateway
	for i := range deadlyGateways {
		gateways = append(gateways, startGateway(fmt.Sprintf("edge-plateau-a-%d", i+1), network+strconv.Itoa(i+1), storeAddress))
	}
	awaitReady(gateways...)
	time.Sleep(8 * time.Second)
	var parts []string
	for i := range promptParts {
		parts = append(parts, fmt.Sprintf("%08x:%d", 0x5c1e07a2+i*7919, 40))
	}
	prefix := strings.Join(append(parts, "e4402b7d:250"), ",")
	record("the prompt has %d shared parts; its header takes %d bytes", promptParts, len(prefix))
	body := strings.Repeat("clerk ", 100)
	stop := make(chan struct{})
	var sent orders
	for _, g := range gateways {
		go sent.send(g, 0, stop)
	}
	for n := range deadlyRounds {
		g := gateways[n%len(gateways)]
		id := fmt.Sprintf("deadly%02d", n)
		req, err := http.NewRequest(http.MethodPost, "http://"+g.callers+"/deadly/2f", strings.NewReader(body))
		if err != nil {
			fail2("%v", err)
		}
		req.Host = "ficu95.example"
		for name, value := range map[string]string{"Request-Id": id, "Deadline-Ms": "8000", "Authorization": "Bearer " + callerKey, "Model": "m", "Token-Count": fmt.Sprintf("%d,80", 40*promptParts+250), "Prefix-Hash": prefix} {
			req.Header.Set(name, value)
		}
		start := time.Now()
		c := http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := c.Do(req)
		if err != nil {
			record("client: %s to %s: %v", id, g.name, err)
		} else {
			text, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			record("client: %s to %s: %d %.200q", id, g.name, resp.StatusCode, text)
		}
		time.Sleep(time.Until(start.Add(deadlyGap)))
	}
	close(stop)
	time.Sleep(time.Second)
	sent.mu.Lock()
	failed := 0
	for _, x := range sent.list {
		if x.err != nil || x.status != 200 {
			failed++
			record("order %s wasn't served: status %d, error %v", x.id, x.status, x.err)
		}
	}
	record("%d of %d orders beside it weren't served", failed, len(sent.list))
	sent.mu.Unlock()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for i, at := range crashes {
		if i >= 3 && at.Sub(crashes[2]) > stableWindow {
			late++
		}
	}
	verdict(late > 3, "%d crashes, %d of them by retries that were sent later than %v after the third", len(crashes), late, stableWindow)
}
