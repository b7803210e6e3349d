package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// rebornBehindCut: a replica of a plain service is cut off for a moment, crashes behind the cut
// and starts again under its id. Its answers have no length and end with their connections.
func rebornBehindCut(d *deployment, trouble bool) (int, error) {
	const (
		service  = "wuno96b"
		replicas = 9
		work     = 30 * time.Millisecond
		pieces   = 5
		gap      = 20 * time.Millisecond
		limit    = 4 * time.Second
		interval = 20 * time.Millisecond
		rounds   = 15
		// cutFor is shorter than the time after which the gateways give up a connection on
		// which nothing is acknowledged.
		cutFor    = 1200 * time.Millisecond
		crashedIn = 600 * time.Millisecond
		pause     = 5 * time.Second
	)
	respond := func(i *incarnation, c net.Conn, q *http.Request) bool {
		id := q.Header.Get("Request-Id")
		d.record.add("%s runs at %s", id, i.name)
		if !i.wait(work) {
			return false
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n", id, i.stamp(q))
		for n := range pieces {
			if !i.wait(gap) {
				return false
			}
			if _, err := c.Write([]byte(piece(id, n))); err != nil {
				return false
			}
		}
		return false
	}
	d.configure([]object{{"name": service, "health-path": "/health", "max-connections": 110, "protocol": "h1", "tls": false}},
		[]object{route("r-status", "/cufi504/", "safe", service, limit, 2), route("r-order", "/puxa403/", "unsafe", service, limit, 2)})
	var all []*replica
	for n := range replicas {
		r, err := d.addReplica(n, service, true, respond)
		if err != nil {
			return cannotRun, err
		}
		all = append(all, r)
	}
	if err := d.startGateways(3); err != nil {
		return cannotRun, err
	}

	var wg sync.WaitGroup
	var mu sync.Mutex
	var sent, whole, other, wrong int
	stop := make(chan struct{})
	check := func(kind string, a answer) {
		d.record.add("%s (%s), sent at %.3f s: status %d, %d bytes, complete %v", a.id, kind, a.sentAt.Seconds(), a.status, len(a.body), a.complete)
		want := ""
		for n := range pieces {
			want += piece(a.id, n)
		}
		mu.Lock()
		defer mu.Unlock()
		sent++
		switch {
		case a.status == http.StatusOK && a.complete && a.body == want:
			whole++
		case a.status == http.StatusOK && a.complete:
			wrong++
			d.record.add("BROKEN: %s request %s, sent at %.3f s, got status 200, receipt %s and an answer that looks complete, with %d of %d bytes", kind, a.id, a.sentAt.Seconds(), a.stamp, len(a.body), len(want))
		default:
			other++
		}
	}
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(rand.Float64() * 2 * float64(interval))):
			}
			wg.Go(func() {
				p := d.processes[n%len(d.processes)]
				if n%2 == 0 {
					check("unsafe", d.send(p, http.MethodPost, "/puxa403/2f", fmt.Sprint("order ", n), nil, limit))
					return
				}
				check("safe", d.send(p, http.MethodGet, "/cufi504/fi50/2f", "", nil, limit))
			})
		}
	})
	for n := range rounds {
		time.Sleep(pause)
		if !trouble {
			continue
		}
		r := all[n%replicas]
		d.record.add("replica %s is cut off", r.name)
		r.link.cut()
		r.crash()
		time.Sleep(crashedIn)
		if err := r.start(); err != nil {
			return cannotRun, err
		}
		time.Sleep(cutFor - crashedIn)
		r.link.heal()
		d.record.add("replica %s can be reached again", r.name)
	}
	close(stop)
	wg.Wait()
	d.record.add("%d requests sent: %d whole answers, %d failed or refused, %d look complete and aren't", sent, whole, other, wrong)
	if wrong > 0 {
		return broken, nil
	}
	if whole == 0 {
		return cannotRun, fmt.Errorf("no request was served")
	}
	return held, nil
}

// piece returns the piece n of the answer to a request, 160 bytes.
func piece(id string, n int) string {
	text := fmt.Sprintf("piece %d of the answer to %s ", n, id)
	return text + strings.Repeat(".", 160-len(text))
}
