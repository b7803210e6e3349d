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
	deadlyGateways = 3
	deadlyReplicas = 12
	// backAfter is how long a crashed replica is gone, entryEnds how long its entry stays.
	backAfter = 3 * time.Second
	entryEnds = 3600 * time.Millisecond
	// deadlyGap is the time between two attempts of the deadly request, deadlyTries their number.
	deadlyGap   = 1400 * time.Millisecond
	deadlyTries = 14
	// smallStable is the stable-window-ms of tac-dakar.
	smallStable = 3 * time.Second
)

// keptListener is the listener of one incarnation over a socket that outlives it, as that of a
// supervisor does which hands it to the next process: what connects meanwhile waits.
type keptListener struct {
	*net.TCPListener
	once  sync.Once
	ended chan struct{}
}

func (l *keptListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	select {
	case <-l.ended:
		if err == nil {
			c.Close()
		}
		return nil, net.ErrClosed
	default:
	}
	return c, err
}

// Close ends the incarnation's use of the socket.
func (l *keptListener) Close() error {
	l.once.Do(func() {
		close(l.ended)
		_ = l.SetDeadline(time.Unix(1, 0))
	})
	return nil
}

// crashing is a replica that a deadly request crashes.
type crashing struct {
	*replica
	number int
	socket *net.TCPListener
	crash  func(c *crashing, id string)
	once   sync.Once
}

// startCrashing starts an incarnation on a socket.
func startCrashing(number, incarnation int, socket *net.TCPListener, crash func(*crashing, string)) *crashing {
	c := &crashing{replica: &replica{id: fmt.Sprintf("i-%04x%04x", number, incarnation), service: "dele69a", born: time.Now().UnixMilli(), address: socket.Addr().String()}, number: number, socket: socket, crash: crash}
	c.server = &http.Server{Handler: c}
	_ = socket.SetDeadline(time.Time{})
	l := &keptListener{TCPListener: socket, ended: make(chan struct{})}
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
		_ = c.server.Close() // its connections end
	})
	panic(http.ErrAbortHandler)
}

func listen() *net.TCPListener {
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		fail2("%v", err)
	}
	return l
}

// listenerCase: a request that crashes each replica that begins to run it comes again and again;
// the replicas' listening sockets outlive their processes.
func listenerCase() {
	small = true
	closed := os.Getenv("LISTENER") == "closed" // for comparison: nothing listens while a replica is gone
	s := newStore(20 * time.Second)
	storeAddress := serve("127.0.0.1", s)
	var mu sync.Mutex
	var crashes []time.Time
	var crash func(c *crashing, id string)
	crash = func(c *crashing, id string) {
		mu.Lock()
		crashes = append(crashes, time.Now())
		next := len(crashes)
		record("replica %s runs %s and crashes: the %d. crash", c.id, id, next)
		mu.Unlock()
		socket := c.socket
		if closed {
			socket.Close()
		}
		go func() {
			time.Sleep(backAfter)
			if closed {
				l, err := net.Listen("tcp", c.address)
				if err != nil {
					fail2("%v", err)
				}
				socket = l.(*net.TCPListener)
			}
			n := startCrashing(c.number, next, socket, crash)
			s.put("servers/"+n.id, n.entry("ready"))
			record("replica %s starts at the address of %s", n.id, c.id)
			time.Sleep(entryEnds - backAfter)
			s.delete("servers/" + c.id)
		}()
	}
	for i := range deadlyReplicas {
		c := startCrashing(i, 0, listen(), crash)
		s.put("servers/"+c.id, c.entry("ready"))
	}
	route := plainRoute("r-deadly", "/deadly/", "dele69a", "streaming", 8000)
	route["sticky"], route["target-gap-ms"] = true, 120
	s.put("op/config", map[string]any{
		"version": 7, "routes": []any{route, plainRoute("r-order", "/order/", "dele69a", "unsafe", 8000)},
		"services": []any{map[string]any{"name": "dele69a", "health-path": "/health", "max-connections": 418, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  []any{map[string]any{"name": "hule930", "api-keys": []string{callerKey}, "priority": 1}},
	})
	var gateways []*gateway
	for i := range deadlyGateways {
		gateways = append(gateways, startGateway(fmt.Sprintf("edge-plateau-a-%d", i+1), network+strconv.Itoa(i+1), storeAddress))
	}
	awaitReady(gateways...)
	time.Sleep(8 * time.Second)
	body := strings.Repeat("clerk ", 100)
	stop := make(chan struct{})
	var sent orders
	for _, g := range gateways {
		for c := range 2 {
			go sent.send(g, c, stop)
		}
	}
	for n := range deadlyTries {
		g := gateways[n%len(gateways)]
		id := fmt.Sprintf("deadly%02d", n)
		req, err := http.NewRequest(http.MethodPost, "http://"+g.callers+"/deadly/2f", strings.NewReader(body))
		if err != nil {
			fail2("%v", err)
		}
		req.Host = "ficu95.example"
		for name, value := range map[string]string{"Request-Id": id, "Deadline-Ms": "8000", "Authorization": "Bearer " + callerKey, "Model": "m", "Token-Count": "714,80", "Prefix-Hash": "5c1e07a2:40,e4402b7d:674"} {
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
	all := len(sent.list)
	sent.mu.Unlock()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for i, at := range crashes {
		if i >= 3 && at.Sub(crashes[2]) > smallStable {
			late++
		}
	}
	verdict(late > 3, "%d tries, %d crashes, %d of them by retries that were sent later than %v after the third; %d of %d orders of others weren't served", deadlyTries, len(crashes), late, smallStable, failed, all)
}
