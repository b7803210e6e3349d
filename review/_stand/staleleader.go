package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/standin/link"
)

// staleLeader: the machines that lead two rank groups are cut off from the store for some
// seconds, so that others take over. The process on a third machine of the group is killed
// meanwhile and starts again.
func staleLeader(d *deployment, trouble bool) (int, error) {
	const (
		groups  = 2
		playFor = 94 * time.Second
	)
	if err := d.serveStore(nil); err != nil {
		return cannotRun, err
	}
	d.configure([]object{{"name": "huvo11a", "health-path": "/health", "max-connections": 418, "protocol": "h1", "tls": false, "engine": engine}},
		[]object{route("r-gen", "/gen/", "streaming", "huvo11a", 8*time.Second, 2)})
	var all []*rankGroup
	for n := range groups {
		g, err := newRankGroup(d, n)
		if err != nil {
			return cannotRun, err
		}
		all = append(all, g)
	}
	time.Sleep(8 * time.Second)
	end := time.Now().Add(playFor)
	done := func() bool { return time.Now().After(end) || all[0].mixedPasses()+all[1].mixedPasses() > 0 }
	errs := make(chan error, groups)
	for _, g := range all {
		go func() {
			var err error
			for !done() && err == nil {
				time.Sleep(time.Duration(rand.IntN(1500)) * time.Millisecond)
				if trouble {
					err = g.replaceLeader()
				}
			}
			errs <- err
		}()
	}
	var err error
	for range all {
		err = errors.Join(err, <-errs)
	}
	code := held
	for _, g := range all {
		g.mu.Lock()
		d.record.add("%s: %d switches of the map, %d times another process took over, %d passes began while ranks had different maps", g.name(), g.switches, g.takeovers, g.mixed)
		if g.switches == 0 {
			err = errors.Join(err, fmt.Errorf("no map of %s was switched", g.name()))
		}
		if g.mixed > 0 {
			code = broken
		}
		g.mu.Unlock()
	}
	return code, err
}

// replaceLeader cuts the group's leader off from the store for some seconds, and kills the
// process on the machine of one other rank meanwhile.
func (g *rankGroup) replaceLeader() error {
	const (
		// killedAfter is the time from the cut to the kill, downFor the time until the
		// process that was killed starts again.
		killedAfter = 1100 * time.Millisecond
		downFor     = 3 * time.Second
		// A cut lasts from shortestCut to longestCut.
		shortestCut = 4500 * time.Millisecond
		longestCut  = 5500 * time.Millisecond
	)
	leading := g.leader()
	if leading < 0 {
		return nil
	}
	killed := (leading + 2) % groupRanks
	if killed == 0 { // a leader other than its own holds the group at rank 0
		killed = 3
	}
	cutOff, agent := g.agents[leading], g.agents[killed]
	_ = cutOff.store.SetMode(link.Drop)
	cutAt := time.Now()
	g.d.record.add("%s, which leads %s, is cut off from the store", cutOff.name, g.name())
	time.Sleep(killedAfter)
	g.setAgentDown(killed, true)
	agent.kill()
	killedAt := time.Now()
	g.d.record.add("the process %s is killed", agent.name)
	cutFor := shortestCut + rand.N(longestCut-shortestCut)
	tookOver, restarted := false, false
	for ; !restarted || time.Since(cutAt) < cutFor; time.Sleep(5 * time.Millisecond) {
		if now := g.leader(); now >= 0 && now != leading && !tookOver {
			tookOver = true
			g.takeovers++
			g.d.record.add("%s leads %s now", g.agents[now].name, g.name())
		}
		if !restarted && time.Since(killedAt) >= downFor {
			restarted = true
			g.setAgentDown(killed, false)
			if err := agent.start(g.d.root); err != nil {
				return err
			}
			g.d.record.add("the process %s starts again", agent.name)
		}
	}
	_ = cutOff.store.SetMode(link.Pass)
	g.d.record.add("%s reaches the store again after %s", cutOff.name, time.Since(cutAt).Round(time.Millisecond))
	return nil
}

// leader returns the rank whose agent the store shows as the group's leader, -1 for none.
func (g *rankGroup) leader() int {
	item, err := g.d.store.Get("kingcupreel/leaders/" + g.name())
	if err != nil {
		return none
	}
	return slices.IndexFunc(g.agents, func(p *process) bool { return p.name == string(item.Value) })
}
