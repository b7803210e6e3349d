package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// halfPause is the time between the two halves of an answer.
const halfPause = 300 * time.Millisecond

// halves returns the two halves of the answer to a request.
func halves(id string) [2]string {
	return [2]string{"receipt of " + id + ": the order was placed, " + strings.Repeat("-", 300), " and the sum was booked. End of receipt " + id + "\n"}
}

// runReplica is a replica of a plain service as a process: it answers without a length, so that its
// answers end with their connections.
func runReplica(address, id string) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	for {
		c, err := ln.Accept()
		if err != nil {
			os.Exit(notRun)
		}
		go serveUnframed(c, id)
	}
}

func serveUnframed(c net.Conn, id string) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(req.Body); err != nil {
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
		h := halves(request)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: stamp.%s\r\n\r\n%s", request, id, h[0])
		time.Sleep(halfPause)
		_, _ = io.WriteString(c, h[1])
		return
	}
}

// path is the network path to a replica. While it is cut, what either side sends, and new
// connections, wait.
type path struct {
	target string
	mu     sync.Mutex
	open   *sync.Cond
	cut    bool
	// passed is called with the number of bytes that went to the gateway.
	passed func(n int)
}

func newPath(target string, ln net.Listener, passed func(n int)) *path {
	p := &path{target: target, passed: passed}
	p.open = sync.NewCond(&p.mu)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.forward(c)
		}
	}()
	return p
}

func (p *path) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	p.open.Broadcast()
}

// await waits until the path isn't cut.
func (p *path) await() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.cut {
		p.open.Wait()
	}
}

func (p *path) forward(near net.Conn) {
	p.await()
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = near.(*net.TCPConn).SetLinger(0) // nothing listens: a reset
		near.Close()
		return
	}
	go p.copy(far, near, func(int) {})
	p.copy(near, far, p.passed)
}

// copy copies one direction. An end in order is passed on as such, a reset as a reset.
func (p *path) copy(dst, src net.Conn, passed func(n int)) {
	buf := make([]byte, 64<<10)
	for {
		n, err := src.Read(buf)
		p.await()
		if n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				src.Close()
				return
			}
			passed(n)
		}
		if err == io.EOF {
			_ = dst.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			_ = dst.(*net.TCPConn).SetLinger(0)
			dst.Close()
			src.Close()
			return
		}
	}
}

// caseReborn cuts the path to a replica in the middle of an answer that has no length. The replica
// crashes behind the cut and starts again under its id before the cut heals.
func caseReborn(record string) {
	const (
		rounds      = 6
		id          = "i-7f3a91c2"
		killAfter   = 100 * time.Millisecond
		bornAfter   = 400 * time.Millisecond
		healAfter   = 1000 * time.Millisecond
		roundPause  = 3 * time.Second
		timeoutMS   = 2000
		callerLimit = 4000
	)
	e := newEnv(record, settings{memoryMB: 284, configApplyMS: 2000})
	replicaAddress := e.freeAddress(e.ip(100))
	ln := e.listen(e.ip(101) + ":0")
	half := make(chan struct{}, 100)
	p := newPath(replicaAddress, ln, func(n int) {
		if n > 100 {
			half <- struct{}{}
		}
	})
	var replica *exec.Cmd
	start := func() {
		replica = exec.Command(os.Args[0], "replica", replicaAddress, id)
		replica.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := replica.Start(); err != nil {
			e.fail("starting a replica: %v", err)
		}
		e.put("servers/"+id, map[string]any{"service": service, "address": ln.Addr().String(), "zone": zone, "version": "v1", "slots": 6, "state": "ready", "warmup-left-ms": 0, "sequence": 1, "born": time.Now().UnixMilli()})
		e.log("replica %s started, pid %d", id, replica.Process.Pid)
	}
	start()
	defer func() { _ = replica.Process.Kill() }()
	e.put("op/config", configuration(1, []any{route("orders", "/main/", "unsafe", timeoutMS, 1, false)}))
	e.startGateways(2)
	e.awaitReady(10 * time.Second)
	time.Sleep(time.Second)
	cutAnswers, wholeAnswers := 0, 0
	for n := range rounds {
		request := fmt.Sprintf("order-%d", n+1)
		gateway := e.procs[n%len(e.procs)]
		for len(half) > 0 {
			<-half
		}
		answer := make(chan string, 1)
		go func() { answer <- e.order(gateway, request, callerLimit*time.Millisecond) }()
		e.log("%s sent to %s", request, gateway.name)
		select {
		case <-half:
		case <-time.After(3 * time.Second):
			e.log("%s: no half of an answer", request)
		}
		if e.trouble {
			p.setCut(true)
			cutAt := time.Now()
			at := func(d time.Duration) { time.Sleep(time.Until(cutAt.Add(d))) }
			e.log("cut")
			at(killAfter)
			_ = replica.Process.Kill()
			_ = replica.Wait()
			e.log("replica %s crashed behind the cut", id)
			at(bornAfter)
			start()
			at(healAfter)
			p.setCut(false)
			e.log("healed")
		}
		got := <-answer
		h := halves(request)
		switch {
		case got == "200 "+h[0]+h[1]:
			wholeAnswers++
			e.log("%s: 200 with the whole body", request)
		case strings.HasPrefix(got, "200 "):
			cutAnswers++
			e.log("%s: 200, complete, with %d of %d bytes of the replica's body", request, len(got)-4, len(h[0]+h[1]))
		default:
			e.log("%s: %.80s", request, got)
		}
		time.Sleep(roundPause)
	}
	_ = replica.Process.Kill()
	e.finish(cutAnswers > 0, "%d of %d orders answered 200, complete, with a part of the replica's body; %d with the whole body", cutAnswers, rounds, wholeAnswers)
}

// freeAddress returns an address with a free port.
func (e *env) freeAddress(ip string) string {
	ln := e.listen(ip + ":0")
	defer ln.Close()
	return ln.Addr().String()
}

// order sends a request that must not run twice and returns the status and body of the answer.
func (e *env) order(p *proc, request string, limit time.Duration) string {
	req, _ := http.NewRequest(http.MethodPost, "http://"+p.ip+":8227/main/order", strings.NewReader("order"))
	req.Host = host
	for name, value := range map[string]string{"Request-Id": request, "Deadline-Ms": fmt.Sprint(limit.Milliseconds()), "Authorization": "Bearer " + apiKey} {
		req.Header.Set(name, value)
	}
	c := http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(req)
	if err != nil {
		return "no answer: " + err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Sprint("cut: ", resp.StatusCode)
	}
	return fmt.Sprint(resp.StatusCode, " ", string(body))
}
