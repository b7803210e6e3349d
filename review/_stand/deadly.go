package main

import (
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// deadlyStream: a request crashes each replica that begins to run it, after the first event
// of its answer. It comes again and again, at any machine. With CRASH=before the replicas
// crash before that event, for comparison.
func deadlyStream(d *deployment, trouble bool) (int, error) {
	const (
		service    = "huvo11a"
		deadlyBody = "a prompt that crashes every replica"
		deadlyPath = "/gen/7"
		downFor    = 3 * time.Second
		interval   = 1500 * time.Millisecond
		deadlyFor  = 20 * time.Second
		soundEvery = 40 * time.Millisecond
		playFor    = 24 * time.Second
		events     = 12
		gap        = 20 * time.Millisecond
	)
	var mu sync.Mutex
	var crashes []time.Duration
	type arrival struct {
		at          time.Duration
		id, replica string
	}
	var arrivals []arrival
	run := func(r *replica, w http.ResponseWriter, q *http.Request, id string) {
		deadly := q.URL.Path == deadlyPath
		if !deadly {
			streamEvents(w, q, events, 0, gap)
			return
		}
		mu.Lock()
		arrivals = append(arrivals, arrival{d.record.add("replica %s (%s) gets the deadly request, attempt %s, Last-Event-Id %q", r.name, id, q.Header.Get("Request-Id"), q.Header.Get("Last-Event-Id")), q.Header.Get("Request-Id"), r.name})
		mu.Unlock()
		if !trouble {
			streamEvents(w, q, events, 0, gap)
			return
		}
		// It begins to run: its first event is made, and then the replica crashes.
		if os.Getenv("CRASH") != "before" {
			streamEvents(w, q, events, 1+lastEventID(q), gap)
		}
		time.Sleep(gap)
		mu.Lock()
		crashes = append(crashes, d.record.add("replica %s (%s) crashes with the deadly request", r.name, id))
		mu.Unlock()
		r.crash()
		time.AfterFunc(downFor, func() {
			select {
			case <-d.done:
			default:
				r.start()
			}
		})
	}
	if err := d.serveStore(nil); err != nil {
		return cannotRun, err
	}
	d.configure([]object{{"name": service, "health-path": "/health", "max-connections": 418, "protocol": "h1", "tls": false}},
		[]object{route("r-gen", "/gen/", "streaming", service, 8*time.Second, 2)})
	for range 8 {
		d.addReplica(service, run)
	}
	for n := range 2 {
		if _, err := d.startGateway(n, zones[0]); err != nil {
			return cannotRun, err
		}
	}
	if err := d.awaitReady(); err != nil {
		return cannotRun, err
	}
	time.Sleep(stableWindow + time.Second)

	var wg sync.WaitGroup
	var sound, soundWhole int
	end, deadlyEnd := time.Now().Add(playFor), time.Now().Add(deadlyFor)
	wg.Go(func() { // other callers
		for n := 0; time.Now().Before(end); n++ {
			wg.Go(func() {
				a := d.send(d.processes[n%2], http.MethodPost, "/gen/1", strings.Repeat("x", n%50+1), 8*time.Second)
				whole := a.status == http.StatusOK && a.complete && strings.Count(a.body, "data: piece") == events
				mu.Lock()
				defer mu.Unlock()
				sound++
				if whole {
					soundWhole++
				} else {
					d.record.add("a sound request (attempt %s) ends with status %d, complete %v, %d of %d events", a.id, a.status, a.complete, strings.Count(a.body, "data: piece"), events)
				}
			})
			time.Sleep(soundEvery)
		}
	})
	for n := 0; time.Now().Before(deadlyEnd); n++ { // the caller of the deadly request
		a := d.send(d.processes[n%2], http.MethodPost, deadlyPath, deadlyBody, 8*time.Second)
		d.record.add("deadly request sent at %.3f s to %s, attempt %s: status %d, complete %v, %d events, error %v", a.sentAt.Seconds(), d.processes[n%2].name, a.id, a.status, a.complete, strings.Count(a.body, "data: piece"), a.err)
		time.Sleep(interval)
	}
	wg.Wait()

	mu.Lock()
	defer mu.Unlock()
	d.record.add("sound requests: %d sent, %d answered whole", sound, soundWhole)
	d.record.add("the deadly request: %d arrivals at replicas, %d crashes", len(arrivals), len(crashes))
	if !trouble {
		if len(crashes) > 0 || soundWhole < sound {
			return cannotRun, nil
		}
		return held, nil
	}
	if len(crashes) < 3 {
		d.record.add("fewer than three crashes: the rule holds")
		return held, nil
	}
	bound := crashes[2] + stableWindow
	late := map[string]bool{}
	for _, a := range arrivals {
		if a.at > bound {
			late[a.id] = true
		}
	}
	d.record.add("the third crash was at %.3f s; %d retries sent later than stable-window-ms after it reached replicas (the rule allows 3)", crashes[2].Seconds(), len(late))
	if len(late) > 3 {
		return broken, nil
	}
	return held, nil
}
