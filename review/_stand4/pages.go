package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Times and sizes of the case, inside the limits of the pages (see the claim).
const (
	// rounds is how often the gateways are killed; each time a replica leaves killAfter before.
	rounds       = 11
	killAfter    = 500 * time.Millisecond
	restartAfter = time.Second
	// grownDrain is the drain-ms of tac-dakar-grown.
	grownDrain = 3 * time.Second
	watched    = 1500 * time.Millisecond
	// others is the number of replicas of the other service.
	others = 63
)

// pagesCase: the gateways are killed and start again while a replica leaves without notice. Each page
// of the listing that they read at their start may be seconds old.
func pagesCase() {
	s := newStore(20 * time.Second)
	s.pageItems, s.maxAge = 50, 3*time.Second
	storeAddress := serve("127.0.0.1", s)
	for n := range others {
		r := startReplica(fmt.Sprintf("i-%08x", n), "wuno96b")
		s.put("servers/"+r.id, r.entry("ready"))
	}
	var current []*replica
	begin := func(n int) {
		// The ids of the service are drawn so that they come behind the first page.
		r := startReplica(fmt.Sprintf("i-%08x", 0xf0000000+rand.Uint32N(0x0fff0000)), "huvo11a")
		current = append(current, r)
		s.put("servers/"+r.id, r.entry("ready"))
		record("replica %s (the %d.) has started", r.id, n)
	}
	for n := range 7 {
		begin(n)
	}
	s.put("op/config", configuration(7, "huvo11a"))
	time.Sleep(3 * time.Second)
	var gateways []*gateway
	startAll := func() {
		gateways = []*gateway{
			startGatewayIn("plateau-a", "edge-plateau-a-1", network+"1", storeAddress),
			startGatewayIn("thies-b", "edge-thies-b-1", network+"2", storeAddress),
		}
		awaitReady(gateways...)
	}
	startAll()
	time.Sleep(4 * time.Second)
	late, lateRounds := 0, 0
	for n := range rounds {
		begin(7 + n) // the new one starts first
		time.Sleep(time.Second)
		r := current[0]
		current = current[1:]
		ack := s.delete("servers/" + r.id)
		record("the entry of replica %s is removed; it goes on serving", r.id)
		time.Sleep(killAfter)
		if troubled {
			for _, g := range gateways {
				g.signal(syscall.SIGKILL)
			}
			for _, g := range gateways {
				<-g.done
			}
			time.Sleep(restartAfter)
			startAll()
		}
		inTouch := time.Now().Add(stableWindow)
		if drained := ack.Add(grownDrain); drained.After(inTouch) {
			inTouch = drained
		}
		time.Sleep(time.Until(inTouch))
		record("every machine is in touch, and drain-ms have passed since the ack")
		var clients sync.WaitGroup
		for c := range 2 {
			clients.Go(func() {
				client := http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
				for i := 0; time.Since(inTouch) < watched; i++ {
					id := fmt.Sprintf("c%d-%d-%04d", n, c, i)
					resp, err := client.Do(newCall(gateways[c], http.MethodGet, "/moved/2f", id, "4000"))
					if err != nil {
						record("client: %s to %s: %v", id, gateways[c].name, err)
						continue
					}
					_, _ = io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
					record("client: %s to %s: %d stamp %q", id, gateways[c].name, resp.StatusCode, resp.Header.Get("Server-Stamp"))
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
		clients.Wait()
		r.mu.Lock()
		count := 0
		for _, x := range r.runs {
			if x.at.After(inTouch) {
				count++
			}
		}
		r.mu.Unlock()
		record("%d requests reached replica %s after that", count, r.id)
		if late += count; count > 0 {
			lateRounds++
		}
	}
	verdict(late > 0, "%d requests reached replicas that had left longer than %v ago, in %d of %d rounds", late, grownDrain, lateRounds, rounds)
}
