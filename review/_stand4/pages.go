package main

import (
	"fmt"
	"math/rand/v2"
	"os"
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

// pagesCase: the gateways are killed and start again while a replica leaves without notice. Any of
// two copies of the store answers each page of the listing that they read at their start, and one lags.
func pagesCase() {
	s := newStore(20 * time.Second)
	s.pageItems, s.lags = 50, []time.Duration{100 * time.Millisecond, 3 * time.Second}
	if os.Getenv("STALE") == "0" {
		s.lags = nil // for comparison: stale reads are fresh
	}
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
	late, lateRounds, lost := 0, 0, 0
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
		var sent orders
		stop := make(chan struct{})
		for _, g := range gateways {
			for c := range 8 {
				go sent.send(g, 10*n+c, stop)
			}
		}
		time.Sleep(watched)
		r.exit()
		close(stop)
		time.Sleep(orderWork + 200*time.Millisecond)
		count := 0
		sent.mu.Lock()
		for _, x := range sent.list {
			if run, ran := r.ran(x.id); ran && run.at.After(inTouch) {
				count++
				if x.status != 200 {
					lost++
					record("order %s ran at %s and is lost: status %d, error %v", x.id, r.id, x.status, x.err)
				}
			}
		}
		sent.mu.Unlock()
		record("%d requests reached replica %s after that", count, r.id)
		if late += count; count > 0 {
			lateRounds++
		}
	}
	verdict(late > 0, "%d orders reached replicas that had left longer than %v ago, in %d of %d rounds; %d of them were lost when these exited", late, grownDrain, lateRounds, rounds, lost)
}
