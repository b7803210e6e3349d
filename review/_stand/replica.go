package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// replica is a stand-in of a replica at one address. Each start is a new incarnation.
type replica struct {
	d       *deployment
	name    string
	address string
	service string
	// run answers a request that the replica runs.
	run func(r *replica, w http.ResponseWriter, q *http.Request, id string)

	mu       sync.Mutex
	server   *http.Server
	id       string
	born     int64
	sequence int
	state    string
	// registered is set while the replica's entry is in the store.
	registered bool
}

// addReplica starts a replica.
func (d *deployment) addReplica(service string, run func(r *replica, w http.ResponseWriter, q *http.Request, id string)) *replica {
	r := &replica{d: d, name: fmt.Sprint(service, "-", len(d.replicas)), service: service, run: run}
	r.address = d.ip(100+len(d.replicas)) + ":8080"
	d.replicas = append(d.replicas, r)
	r.start()
	d.every(heartbeat, r.beat)
	return r
}

// start starts a new incarnation.
func (r *replica) start() {
	ln, err := net.Listen("tcp", r.address)
	if err != nil {
		panic(err)
	}
	r.mu.Lock()
	r.id, r.born, r.state, r.registered = fmt.Sprintf("i-%08x", rand.Uint32()), time.Now().UnixMilli(), "ready", true
	r.server = &http.Server{Handler: r, IdleTimeout: 10 * time.Second}
	server, id := r.server, r.id
	r.mu.Unlock()
	go func() { _ = server.Serve(ln) }()
	r.d.record.add("replica %s starts as %s at %s", r.name, id, r.address)
	r.beat()
}

// crash ends the incarnation without a word. Its entry stays for three intervals.
func (r *replica) crash() {
	r.mu.Lock()
	server, id := r.server, r.id
	r.server, r.registered = nil, false
	r.mu.Unlock()
	if server == nil {
		return
	}
	_ = server.Close()
	r.d.record.add("replica %s (%s) ends", r.name, id)
	time.AfterFunc(3*heartbeat, func() { r.d.remove("servers/" + id) })
}

// beat writes the replica's entry.
func (r *replica) beat() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.registered {
		return
	}
	r.sequence++
	r.d.put("servers/"+r.id, object{
		"service": r.service, "address": r.address, "zone": zones[0], "version": "v1", "slots": 12, "state": r.state,
		"warmup-left-ms": 0, "sequence": r.sequence, "born": r.born,
	})
}

// leave reports that the replica is draining.
func (r *replica) leave() {
	r.mu.Lock()
	r.state = "draining"
	r.mu.Unlock()
	r.beat()
	r.d.record.add("replica %s (%s): the store has acknowledged that it is draining", r.name, r.id)
}

// leaveWithoutReport removes the replica's entry. The replica goes on serving, and says in its
// answers that it leaves. It returns the time of the store's acknowledgement.
func (r *replica) leaveWithoutReport() time.Duration {
	r.mu.Lock()
	r.state, r.registered = "draining", false
	id := r.id
	r.mu.Unlock()
	r.d.remove("servers/" + id)
	return r.d.record.add("replica %s (%s): the store has acknowledged the removal of its entry", r.name, id)
}

// current returns the incarnation's ID and state.
func (r *replica) current() (id, state string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.id, r.state
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id, state := r.current()
	w.Header().Set("Instance-Id", id)
	if state == "draining" {
		w.Header().Set("Server-Leaving", "1")
	}
	if q.URL.Path == "/health" {
		if state == "draining" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	w.Header().Set("Request-Id", q.Header.Get("Request-Id"))
	if expected := q.Header.Get("Expect-Instance"); expected != "" && expected != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	w.Header().Set("Server-Stamp", "3e1b."+id+"."+strconv.FormatInt(time.Now().UnixNano(), 36))
	r.run(r, w, q, id)
}

// streamEvents writes the events of a stream from the one after Last-Event-Id on. It stops
// after the event stopAfter, if that isn't 0, and reports whether the stream is complete.
func streamEvents(w http.ResponseWriter, q *http.Request, total, stopAfter int, gap time.Duration) bool {
	after, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	for i := after + 1; i <= total; i++ {
		if !sleep(q.Context(), gap) {
			return false
		}
		fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", i, i, q.Header.Get("Request-Id"))
		_ = http.NewResponseController(w).Flush()
		if i == stopAfter {
			return false
		}
	}
	return true
}

// sleep waits for d; it returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// lastEventID returns the ID after which a request resumes, 0 for none.
func lastEventID(q *http.Request) int {
	n, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	return n
}
