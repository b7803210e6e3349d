package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Times and sizes, inside the limits of the pages (see the claim).
const (
	storms          = 13
	versionsInStorm = 50
	stormPause      = 1500 * time.Millisecond
	// orderWork is how long a replica works on an order.
	orderWork = 400 * time.Millisecond
	// orderClients is the number of clients at each gateway.
	orderClients = 8
)

// rss returns the resident memory of a process in bytes.
func (p *process) rss() int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			var kb int64
			_, _ = fmt.Sscanf(rest, "%d", &kb)
			return kb << 10
		}
	}
	return 0
}

// order is a request that was sent and what came of it.
type order struct {
	id, gateway string
	status      int
	err         error
	endedAt     time.Time
}

// orders holds the orders that have ended.
type orders struct {
	mu   sync.Mutex
	list []order
}

// send sends orders to a gateway one after the other, on a kept connection, until stop is closed.
func (o *orders) send(g *gateway, client int, stop <-chan struct{}) {
	c := http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		id := fmt.Sprintf("o-%s-%d-%04d", g.ip[strings.LastIndex(g.ip, ".")+1:], client, n)
		x := order{id: id, gateway: g.name}
		resp, err := c.Do(newCall(g, http.MethodPost, "/order/"+id, id, "8000"))
		x.err = err
		if err == nil {
			x.status = resp.StatusCode
			_, x.err = io.ReadAll(resp.Body)
			resp.Body.Close()
		}
		x.endedAt = time.Now()
		record("client: %s to %s: status %d, error %v", id, g.name, x.status, x.err)
		o.mu.Lock()
		o.list = append(o.list, x)
		o.mu.Unlock()
		if x.err != nil || x.status != 200 {
			time.Sleep(500 * time.Millisecond)
		}
	}
}

// memoryCase: versions of a large configuration follow one another.
func memoryCase() {
	s := newStore(20 * time.Second)
	storeAddress := serve("127.0.0.1", s)
	var replicas []*replica
	for i := range 4 {
		r := startReplica(fmt.Sprintf("i-%d", i), "huvo11a")
		replicas = append(replicas, r)
		s.put("servers/"+r.id, r.entry("ready"))
	}
	version := 7
	s.put("op/config", configuration(version, "huvo11a"))
	record("the configuration takes %d bytes in base64", s.size("op/config"))
	gateways := []*gateway{startGateway("edge-plateau-a-1", network+"1", storeAddress), startGateway("edge-plateau-a-2", network+"2", storeAddress)}
	awaitReady(gateways...)
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var sent orders
	for _, g := range gateways {
		for client := range orderClients {
			go sent.send(g, client, stop)
		}
	}
	// The platform kills a process that exceeds its memory.
	var mu sync.Mutex
	killed, peak := map[string]time.Time{}, map[string]int64{}
	for _, g := range gateways {
		go func() {
			for {
				n := g.rss()
				mu.Lock()
				peak[g.name] = max(peak[g.name], n)
				mu.Unlock()
				if n > memoryMB<<20 {
					record("%s takes %d MB, more than memory-mb: the platform kills it", g.name, n>>20)
					g.signal(syscall.SIGKILL)
					mu.Lock()
					killed[g.name] = time.Now()
					mu.Unlock()
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
	time.Sleep(6 * time.Second)
	record("the quiet time ends; %d orders have ended", len(sent.list))
	allKilled := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(killed) == len(gateways)
	}
	var lastAck time.Time
	for storm := range storms {
		for range versionsInStorm {
			if troubled && !allKilled() {
				version += 3
				lastAck = s.put("op/config", configuration(version, "huvo11a"))
			}
			time.Sleep(stormGap)
		}
		for _, g := range gateways {
			record("after storm %d, version %d: %s takes %d MB", storm+1, version, g.name, g.rss()>>20)
		}
		if allKilled() {
			break
		}
		time.Sleep(stormPause)
	}
	close(stop)
	time.Sleep(2 * time.Second)
	cut := 0
	sent.mu.Lock()
	for _, x := range sent.list {
		if x.err == nil {
			continue
		}
		for _, r := range replicas {
			if run, ran := r.ran(x.id); ran {
				cut++
				record("order %s was run by %s at %.3f, and its connection ended without an answer: %v", x.id, r.id, run.at.Sub(startedAt).Seconds(), x.err)
			}
		}
	}
	all := len(sent.list)
	sent.mu.Unlock()
	mu.Lock()
	defer mu.Unlock()
	record("the last ack was at %.3f; peaks %v MB", lastAck.Sub(startedAt).Seconds(), peak)
	verdict(len(killed) > 0 && cut > 0, "%d of %d gateways exceeded memory-mb and were killed; of %d orders, %d were run and their connection ended without an answer", len(killed), len(gateways), all, cut)
}
