package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// crashingReplica is a replica of a plain service whose process crashes when it has begun to
// answer a request with the mark. It is back after some seconds as a new incarnation.
type crashingReplica struct {
	e       *env
	name    string
	address string
	crashes bool
	arrive  func(r *crashingReplica, request string, deadly bool)

	mu    sync.Mutex
	id    string
	ln    net.Listener
	conns map[net.Conn]bool
	count int
}

const (
	mark = "crashes-its-replica"
	// crashAfter is the number of events after which the process crashes.
	crashAfter = 2
	backAfter  = 3 * time.Second
)

func (r *crashingReplica) start() {
	ln, err := net.Listen("tcp", r.address)
	if err != nil {
		r.e.fail("replica %s: %v", r.name, err)
	}
	r.mu.Lock()
	r.count++
	previous := r.id
	r.id = fmt.Sprintf("i-%s-%d", r.name, r.count)
	r.ln, r.address, r.conns = ln, ln.Addr().String(), map[net.Conn]bool{}
	id := r.id
	r.mu.Unlock()
	r.e.put("servers/"+id, map[string]any{"service": service, "address": r.address, "zone": zone, "version": "v1", "slots": 8, "state": "ready", "warmup-left-ms": 0, "sequence": 1, "born": time.Now().UnixMilli()})
	if previous != "" {
		_, _ = r.e.store.Delete("servers/"+previous, -1)
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			r.mu.Lock()
			r.conns[c] = true
			r.mu.Unlock()
			go r.serve(c, id)
		}
	}()
}

// crash ends the process: its connections are reset, and nothing listens until it is back.
func (r *crashingReplica) crash() {
	r.mu.Lock()
	if r.ln == nil {
		r.mu.Unlock()
		return
	}
	r.ln.Close()
	r.ln = nil
	for c := range r.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	r.mu.Unlock()
	time.AfterFunc(backAfter, r.start)
}

func (r *crashingReplica) serve(c net.Conn, id string) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if req.URL.Path == "/health" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		request := req.Header.Get("Request-Id")
		if req.Header.Get("Expect-Instance") != id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", request, id)
			continue
		}
		deadly := strings.Contains(string(body), mark)
		r.arrive(r, request, deadly)
		time.Sleep(30 * time.Millisecond)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: stamp.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", request, id)
		for i := 1; i <= 5; i++ {
			event := fmt.Sprintf("id: %d\ndata: %s %d\n\n", i, request, i)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
				return
			}
			time.Sleep(40 * time.Millisecond)
			if deadly && r.crashes && i == crashAfter {
				r.crash()
				return
			}
		}
		fmt.Fprint(c, "0\r\n\r\n")
	}
}

// caseQuery sends a request that crashes its replicas, if there is trouble, again and again: with the
// same path, caller and body, and another query each time. The retries that reach replicas although
// the third crash is long past count.
func caseQuery(record string) {
	const (
		gateways   = 3
		replicas   = 12
		comesEvery = 1500 * time.Millisecond
		spell      = 20 * time.Second
		maxRetries = 3
		inTouch    = 3 * time.Second
	)
	sameQuery := os.Getenv("QUERY") == "same"
	e := newEnv(record, settings{memoryMB: 284, configApplyMS: 2000})
	var mu sync.Mutex
	var thirdCrash time.Time
	crashes, late := 0, map[string]bool{}
	arrive := func(r *crashingReplica, request string, deadly bool) {
		mu.Lock()
		defer mu.Unlock()
		e.log("%s reaches %s", request, r.id)
		if !deadly || !r.crashes {
			return
		}
		crashes++
		if crashes == 3 {
			thirdCrash = time.Now()
		}
		if crashes > 3 && time.Since(thirdCrash) > inTouch {
			late[request] = true
		}
	}
	for i := range replicas {
		r := &crashingReplica{e: e, name: fmt.Sprintf("r%d", i+1), address: e.ip(100+i) + ":0", crashes: e.trouble, arrive: arrive}
		r.start()
	}
	e.put("op/config", configuration(1, []any{route("stream", "/stream/", "streaming", 8000, 2, true)}))
	e.startGateways(gateways)
	e.awaitReady(10 * time.Second)
	time.Sleep(4 * time.Second) // the gateways know each other

	stop := make(chan struct{})
	var others sync.WaitGroup
	whole, cut := 0, 0
	for i := range 8 {
		others.Go(func() {
			for n := 0; !stopped(stop, 200*time.Millisecond); n++ {
				p := e.procs[(i+n)%gateways]
				request := fmt.Sprintf("sound-%d-%d", i, n)
				answer := e.stream(p, request, "/stream/sound", fmt.Sprintf("5c1e07a2:40,%08x:400", i<<16|n), "a sound prompt "+request)
				e.log("%s to %s: %s", request, p.name, answer)
				mu.Lock()
				if answer == "200 whole" {
					whole++
				} else {
					cut++
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(time.Second)
	for n, begin := 0, time.Now(); time.Since(begin) < spell; n++ {
		next := time.Now().Add(comesEvery)
		p, request, path := e.procs[n%gateways], fmt.Sprintf("deadly-%d", n+1), "/stream/deadly?try=1"
		if !sameQuery {
			path = fmt.Sprint("/stream/deadly?try=", n+1)
		}
		e.log("%s, %s, is sent to %s", request, path, p.name)
		others.Go(func() {
			e.log("%s: %s", request, e.stream(p, request, path, "5c1e07a2:40,0badc0de:600", "a prompt that "+mark))
		})
		time.Sleep(time.Until(next))
	}
	close(stop)
	others.Wait()
	mu.Lock()
	defer mu.Unlock()
	e.finish(len(late) > maxRetries, "%d crashes; retries that reached replicas later than %v after the third crash: %d (at most %d); sound streams: %d whole, %d not", crashes, inTouch, len(late), maxRetries, whole, cut)
}

// stream sends a streaming request and returns its status and whether the answer is whole.
func (e *env) stream(p *proc, request, path, prefix, body string) string {
	req, _ := http.NewRequest(http.MethodPost, "http://"+p.ip+":8227"+path, strings.NewReader(body))
	req.Host = host
	for name, value := range map[string]string{"Request-Id": request, "Deadline-Ms": "8000", "Authorization": "Bearer " + apiKey, "Model": "m", "Token-Count": "640,60", "Prefix-Hash": prefix} {
		req.Header.Set(name, value)
	}
	c := http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(req)
	if err != nil {
		return "no answer"
	}
	defer resp.Body.Close()
	if _, err := io.ReadAll(resp.Body); err != nil {
		return fmt.Sprint(resp.StatusCode, " broken off")
	}
	return fmt.Sprint(resp.StatusCode, " whole")
}
