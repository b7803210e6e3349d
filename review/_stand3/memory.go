package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// caseMemory lets the operator write configurations in quick succession, with many routes if there
// is trouble. The platform ends a gateway that exceeds memory-mb. Callers send requests on kept
// connections; those that a sound replica ran and whose connection closed without an answer count.
func caseMemory(record string) {
	const (
		// The smallest edge machines, the idle routes and the largest doses of the site
		// nilwagen-dispatch-grown.
		memoryMB   = 136
		idleRoutes = 240
		bigRoutes  = 1400
		stormGap   = 60 * time.Millisecond
		stormCount = 25
		storms     = 38
		stormPause = 500 * time.Millisecond
		callers    = 6
		maxLost    = 3
	)
	e := newEnv(record, settings{memoryMB: memoryMB, configApplyMS: 3000})
	r := &soundReplica{ran: map[string]bool{}}
	ln := e.listen(e.ip(100) + ":0")
	go func() { _ = http.Serve(ln, r) }()
	e.put("servers/i-1", map[string]any{"service": service, "address": ln.Addr().String(), "zone": zone, "version": "v1", "slots": 60, "state": "ready", "warmup-left-ms": 0, "sequence": 1, "born": time.Now().UnixMilli()})

	extra := idleRoutes
	if e.trouble {
		extra += bigRoutes
	}
	routes := []any{route("main", "/main/", "unsafe", 2000, 1, false)}
	for i := range extra {
		routes = append(routes, route(fmt.Sprintf("r-%07d", i), fmt.Sprintf("/idle%07d/", i), "safe", 2000, 2, false))
	}
	version := 1
	e.put("op/config", configuration(version, routes))
	e.startGateways(3)
	e.awaitReady(10 * time.Second)

	stop := make(chan struct{})
	var working sync.WaitGroup
	var ended atomic.Int64
	peak := make([]float64, len(e.procs))
	for i, p := range e.procs {
		working.Go(func() {
			for !stopped(stop, 20*time.Millisecond) {
				mb := p.rssMB()
				peak[i] = max(peak[i], mb)
				if mb <= memoryMB {
					continue
				}
				e.log("%s has %.1f MB, more than memory-mb = %d: the platform ends it", p.name, mb, memoryMB)
				p.kill()
				ended.Add(1)
				time.Sleep(300 * time.Millisecond)
				e.startProc(p)
			}
		})
	}
	var sent, answered atomic.Int64
	var mu sync.Mutex
	var lost []string
	for i, p := range e.procs {
		for k := range callers {
			working.Go(func() {
				c := &keptCaller{address: p.ip + ":8227"}
				for n := 0; !stopped(stop, 20*time.Millisecond); n++ {
					id := fmt.Sprintf("%d-%d-%d", i+1, k+1, n)
					sent.Add(1)
					kept, status := c.ask(id)
					ran := r.hasRun(id)
					e.log("request %s to %s kept=%v ran=%v answer=%s", id, p.name, kept, ran, status)
					if status != "none" {
						answered.Add(1)
					} else if kept && ran {
						e.log("LOST: request %s", id)
						mu.Lock()
						lost = append(lost, id)
						mu.Unlock()
					}
				}
			})
		}
	}
	for s := 0; s < storms && ended.Load() < int64(len(e.procs)); s++ {
		for range stormCount {
			version++
			e.put("op/config", configuration(version, routes))
			time.Sleep(stormGap)
		}
		e.log("version %d, %d routes; memory MB %s; requests sent %d, answered %d", version, len(routes), memories(e), sent.Load(), answered.Load())
		time.Sleep(stormPause)
	}
	time.Sleep(time.Second)
	close(stop)
	working.Wait()
	e.finish(len(lost) > maxLost, "%d ends over memory-mb = %d, peak MB %.0f, %d versions of %d routes; requests sent %d, answered %d, run on kept connections that closed without an answer %d (at most %d)",
		ended.Load(), memoryMB, peak, version, len(routes), sent.Load(), answered.Load(), len(lost), maxLost)
}

// stopped waits for d and reports whether the channel has been closed.
func stopped(stop <-chan struct{}, d time.Duration) bool {
	select {
	case <-stop:
		return true
	case <-time.After(d):
		return false
	}
}

func memories(e *env) string {
	var list []string
	for _, p := range e.procs {
		list = append(list, fmt.Sprintf("%.0f", p.rssMB()))
	}
	return strings.Join(list, " ")
}

// soundReplica is a sound replica of a plain service.
type soundReplica struct {
	mu  sync.Mutex
	ran map[string]bool
}

func (r *soundReplica) hasRun(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ran[id]
}

// ServeHTTP implements http.Handler.
func (r *soundReplica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("Instance-Id", "i-1")
	if req.URL.Path == "/health" {
		return
	}
	id := req.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if req.Header.Get("Expect-Instance") != "i-1" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	r.mu.Lock()
	r.ran[id] = true
	r.mu.Unlock()
	time.Sleep(60 * time.Millisecond)
	w.Header().Set("Server-Stamp", "stamp.i-1")
	fmt.Fprint(w, "body of ", id)
}

// keptCaller sends its requests one after the other on one connection while that is open.
type keptCaller struct {
	address string
	conn    net.Conn
	br      *bufio.Reader
	used    bool
}

// ask sends a request that must not run twice. kept reports whether the connection had carried an
// earlier request; status is that of the whole answer, or none.
func (c *keptCaller) ask(id string) (kept bool, status string) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return false, "none"
		}
		c.conn, c.br, c.used = conn, bufio.NewReader(conn), false
	}
	kept = c.used
	c.used = true
	_ = c.conn.SetDeadline(time.Now().Add(4 * time.Second))
	_, err := fmt.Fprintf(c.conn, "POST /main/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 4000\r\nAuthorization: Bearer %s\r\nContent-Length: 5\r\n\r\norder", host, id, apiKey)
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(c.br, nil)
	}
	if err == nil {
		_, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	if err != nil || resp.Close {
		c.conn.Close()
		c.conn = nil
	}
	if err != nil {
		return kept, "none"
	}
	return kept, strconv.Itoa(resp.StatusCode)
}
