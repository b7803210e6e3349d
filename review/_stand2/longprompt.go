package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// longPrompt: requests crash each replica that begins to run them, and come again. Their prompts
// have many parts.
func longPrompt(d *deployment, trouble bool) (int, error) {
	const (
		service  = "huvo11a"
		gateways = 9
		replicas = 12
		limit    = 8 * time.Second
		downFor  = 3 * time.Second
		// In each of the spells, deadly requests of its own come again after perRequest each, all
		// together 0.77 a second.
		spells     = 4
		spellFor   = 20 * time.Second
		pause      = 5 * time.Second
		deadly     = 3
		perRequest = 3900 * time.Millisecond
		allowed    = 3
		events     = 6
		gap        = 40 * time.Millisecond
	)
	// PARTS changes the number of a prompt's parts, for a comparison.
	parts := 91
	if n, err := strconv.Atoi(os.Getenv("PARTS")); err == nil {
		parts = n
	}
	type deadlyRequest struct {
		crashes []time.Duration
		// late counts the tries that reached a replica later than the stable window after the
		// third crash, and attempts holds the attempts of the client that they belong to.
		late     int
		attempts map[string]bool
	}
	var mu sync.Mutex
	state := map[string]*deadlyRequest{}
	for k := range spells * deadly {
		state[deadlyName(k)] = &deadlyRequest{attempts: map[string]bool{}}
	}
	respond := func(i *incarnation, c net.Conn, q *http.Request) bool {
		id := q.Header.Get("Request-Id")
		if name := q.Header.Get("X-Deadly"); name != "" && trouble {
			if !i.end() {
				return false // another one has just crashed it
			}
			now := d.record.now()
			mu.Lock()
			s := state[name]
			if len(s.crashes) >= 3 && now > s.crashes[2]+stableWindow {
				s.attempts[id] = true
				s.late++
			}
			s.crashes = append(s.crashes, now)
			n := len(s.crashes)
			mu.Unlock()
			d.record.add("%s (attempt %s) began to run at %s, crash %d of it", name, id, i.name, n)
			time.AfterFunc(downFor, func() {
				select {
				case <-d.done:
				default:
					if err := i.restartAnew(); err != nil {
						d.record.add("error: %v", err)
					}
				}
			})
			return false
		}
		d.record.add("%s runs at %s", id, i.name)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, i.stamp(q))
		after, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
		for n := after + 1; n <= events; n++ {
			if !i.wait(gap) {
				return false
			}
			event := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
				return false
			}
		}
		_, err := fmt.Fprint(c, "0\r\n\r\n")
		return err == nil
	}
	d.configure([]object{{"name": service, "health-path": "/health", "max-connections": 418, "protocol": "h1", "tls": false}},
		[]object{route("r-gen", "/lohu930/", "streaming", service, limit, 2)})
	for n := range replicas {
		if _, err := d.addReplica(n, service, false, respond); err != nil {
			return cannotRun, err
		}
	}
	if err := d.startGateways(gateways); err != nil {
		return cannotRun, err
	}
	// prompt returns the headers that describe a prompt.
	prompt := func(name string) map[string]string {
		const partTokens = 16
		var list []string
		for n := range parts {
			list = append(list, fmt.Sprintf("%08x:%d", hash(fmt.Sprint(name, n)), partTokens))
		}
		return map[string]string{"Model": "m", "Token-Count": fmt.Sprint(parts*partTokens, ",80"), "Prefix-Hash": strings.Join(list, ",")}
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var sent, whole int
	wg.Go(func() { // sound requests
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(40 * time.Millisecond):
			}
			wg.Go(func() {
				a := d.send(d.processes[rand.IntN(gateways)], http.MethodPost, "/lohu930/2f", fmt.Sprint("prompt ", n), prompt(fmt.Sprint("sound", n)), limit)
				d.record.add("%s, sent at %.3f s: status %d, %d bytes, complete %v", a.id, a.sentAt.Seconds(), a.status, len(a.body), a.complete)
				mu.Lock()
				defer mu.Unlock()
				sent++
				if a.status == http.StatusOK && a.complete {
					whole++
				}
			})
		}
	})
	come := func(name string, next time.Duration, over <-chan struct{}) {
		for {
			select {
			case <-over:
				return
			case <-time.After(next):
			}
			next = perRequest
			header := prompt(name)
			header["X-Deadly"] = name
			a := d.send(d.processes[rand.IntN(gateways)], http.MethodPost, "/lohu930/2f", name, header, limit)
			d.record.add("%s (attempt %s): status %d, %v", name, a.id, a.status, a.err)
		}
	}
	for n := range spells {
		d.record.add("spell %d", n)
		over := make(chan struct{})
		for k := range deadly {
			wg.Go(func() { come(deadlyName(n*deadly+k), time.Duration(k)*perRequest/deadly, over) })
		}
		time.Sleep(spellFor)
		close(over)
		time.Sleep(pause)
	}
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	code := held
	for k := range spells * deadly {
		name := deadlyName(k)
		s := state[name]
		verdict := "held"
		if s.late > allowed {
			verdict, code = "BROKEN", broken
		}
		d.record.add("%s: %s: %d crashes; %d tries, of %d attempts of its client, reached replicas later than %s after the third crash, %d tries are allowed", verdict, name, len(s.crashes), s.late, len(s.attempts), stableWindow, allowed)
	}
	d.record.add("%d other streams sent, %d whole", sent, whole)
	if whole == 0 {
		return cannotRun, fmt.Errorf("no stream was served")
	}
	return code, nil
}

func deadlyName(k int) string { return fmt.Sprint("deadly-", k) }
