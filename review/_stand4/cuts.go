package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"time"
)

// Times and sizes of the case, inside the limits of the pages (see the claim).
const (
	// cutEvery is the time between two cuts of the watches, each of which is followed by another
	// after cutAgain.
	cutEvery = 800 * time.Millisecond
	cutAgain = 200 * time.Millisecond
	// replicasLeave is how many replicas leave, leaveEvery the time between two.
	replicasLeave = 14
	leaveEvery    = 3 * time.Second
	drainTime     = 2 * time.Second
	// exitAfter is when a replica that has left exits: orders that reach it within drainTime have
	// been answered then.
	exitAfter = drainTime + orderWork + 100*time.Millisecond
	// orderers is the number of clients at each gateway.
	orderers = 10
)

// cutsCase: replicas leave without notice while watches that wait are cut.
func cutsCase() {
	small = true
	cut := 2
	if text := os.Getenv("CUTS"); text != "" {
		cut, _ = strconv.Atoi(text)
	}
	s := newStore(20 * time.Second)
	storeAddress := serve("127.0.0.1", s)
	replicas := map[string]*replica{}
	var current []*replica
	begin := func(n int) {
		r := startReplica(fmt.Sprintf("i-%08x", 0x7f3a0000+n), "huvo11a")
		replicas[r.id] = r
		current = append(current, r)
		s.put("servers/"+r.id, r.entry("ready"))
		record("replica %s has started", r.id)
	}
	for n := range 3 {
		begin(n)
	}
	s.put("op/config", configuration(7, "huvo11a"))
	gateways := []*gateway{startGateway("edge-plateau-a-1", network+"1", storeAddress), startGateway("edge-plateau-a-2", network+"2", storeAddress)}
	awaitReady(gateways...)
	time.Sleep(8 * time.Second)
	stop := make(chan struct{})
	var sent orders
	for _, g := range gateways {
		for n := range orderers {
			go sent.send(g, n, stop)
		}
	}
	time.Sleep(2 * time.Second)
	if troubled {
		go func() {
			for {
				time.Sleep(cutEvery)
				for range cut {
					s.cutWatches()
					record("the watches that wait are cut")
					time.Sleep(cutAgain)
				}
			}
		}()
	}
	left := map[string]time.Time{}
	for n := range replicasLeave {
		time.Sleep(leaveEvery - time.Second + time.Duration(rand.Int64N(int64(time.Second))))
		begin(3 + n) // the new one starts first
		time.Sleep(time.Second)
		r := current[0]
		current = current[1:]
		left[r.id] = s.delete("servers/" + r.id)
		record("the entry of replica %s is removed; it goes on serving", r.id)
		time.AfterFunc(exitAfter, r.exit)
	}
	time.Sleep(exitAfter + time.Second)
	close(stop)
	time.Sleep(orderWork + 200*time.Millisecond)
	answered := map[string]bool{}
	sent.mu.Lock()
	for _, x := range sent.list {
		answered[x.id] = x.status == 200
	}
	sent.mu.Unlock()
	late, lost, longest := 0, 0, time.Duration(0)
	for id, at := range left {
		r := replicas[id]
		r.mu.Lock()
		n := 0
		for _, x := range r.runs {
			if after := x.at.Sub(at); after > drainTime {
				n++
				longest = max(longest, after)
				if !answered[x.id] {
					lost++
					record("order %s reached replica %s %v after the ack of its leaving and is lost", x.id, id, after)
				}
			}
		}
		r.mu.Unlock()
		if n > 0 {
			record("%d requests reached replica %s later than %v after the ack of its leaving", n, id, drainTime)
		}
		late += n
	}
	verdict(late > 0, "%d orders reached replicas later than %v after the ack of their leaving, up to %v; %d of them were lost when these exited", late, drainTime, longest.Round(time.Millisecond), lost)
}
