package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// resumeRefused: a replica crashes in the middle of streams, and one of the replicas at which
// they are resumed is grey: it fails part of its requests.
func resumeRefused(d *deployment, trouble bool) (int, error) {
	const (
		service  = "huvo11a"
		events   = 26
		gap      = 60 * time.Millisecond
		replicas = 8
		greyRate = 0.45
		rounds   = 12
		downFor  = 3 * time.Second
	)
	var mu sync.Mutex
	failed := 0
	grey := false
	run := func(r *replica, w http.ResponseWriter, q *http.Request, id string) {
		mu.Lock()
		fails := grey && r == d.replicas[1] && rand.Float64() < greyRate
		if fails {
			failed++
		}
		mu.Unlock()
		if fails {
			d.record.add("replica %s (%s) fails request %s, Last-Event-Id %q, with 404", r.name, id, q.Header.Get("Request-Id"), q.Header.Get("Last-Event-Id"))
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusNotFound)
			_, _ = io.WriteString(w, `{"error":"the model is not loaded"}`)
			return
		}
		streamEvents(w, q, events, 0, gap)
	}
	if err := d.serveStore(nil); err != nil {
		return cannotRun, err
	}
	d.configure([]object{{"name": service, "health-path": "/health", "max-connections": 418, "protocol": "h1", "tls": false}},
		[]object{route("r-gen", "/gen/", "streaming", service, 8*time.Second, 2)})
	for range replicas {
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
	mu.Lock()
	grey = trouble
	mu.Unlock()

	var wg sync.WaitGroup
	var sent, whole, refused, cut, wrong int
	stop := make(chan struct{})
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(25 * time.Millisecond):
			}
			wg.Go(func() {
				a := d.send(d.processes[n%2], http.MethodPost, "/gen/1", fmt.Sprint("prompt ", n), 8*time.Second)
				fault := checkStream(a, events)
				mu.Lock()
				defer mu.Unlock()
				sent++
				switch {
				case a.status == http.StatusOK && a.complete && fault == "":
					whole++
				case a.status == http.StatusOK && a.complete:
					wrong++
					d.record.add("BROKEN: request %s got status 200, receipt %s and an answer that looks complete, but %s; its end: %q", a.id, a.stamp, fault, a.body[max(0, len(a.body)-140):])
				case a.status == http.StatusOK:
					cut++ // doesn't look complete
				default:
					refused++
				}
			})
		}
	})
	for range rounds {
		time.Sleep(2 * time.Second)
		if trouble {
			d.replicas[0].crash()
			time.Sleep(downFor)
			d.replicas[0].start()
		}
	}
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	d.record.add("%d streams sent: %d whole, %d cut (they don't look complete), %d failed or refused, %d look complete and aren't; the grey replica failed %d requests", sent, whole, cut, refused, wrong, failed)
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}

// checkStream returns what is wrong with a stream that looks complete, "" for nothing.
func checkStream(a answer, total int) string {
	next := 1
	for _, event := range strings.SplitAfter(a.body, "\n\n") {
		if event == "" {
			continue
		}
		if event != fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", next, next, a.id) {
			return fmt.Sprintf("after piece %d of %d come bytes that are no piece", next-1, total)
		}
		next++
	}
	if next <= total {
		return fmt.Sprintf("it ends after piece %d of %d", next-1, total)
	}
	return ""
}
