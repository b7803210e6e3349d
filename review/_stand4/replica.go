package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// replica is a stand-in of a replica of a plain service.
type replica struct {
	id, service, address string
	born                 int64
	server               *http.Server

	mu   sync.Mutex
	runs []run
}

// run is a request that a replica has run.
type run struct {
	id, path, tenant string
	at               time.Time
}

func startReplica(id, service string) *replica {
	r := &replica{id: id, service: service, born: time.Now().UnixMilli()}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail2("%v", err)
	}
	r.address, r.server = l.Addr().String(), &http.Server{Handler: r}
	go func() { _ = r.server.Serve(l) }()
	return r
}

// exit ends the replica with its connections.
func (r *replica) exit() {
	record("replica %s exits", r.id)
	_ = r.server.Close()
}

// entry is the replica's entry in the store.
func (r *replica) entry(state string) map[string]any {
	return map[string]any{"service": r.service, "address": r.address, "zone": "plateau-a", "version": "v1", "slots": 6, "state": state, "warmup-left-ms": 0, "sequence": 1, "born": r.born}
}

func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("Instance-Id", r.id)
	if want := req.Header.Get("Expect-Instance"); want != "" && want != r.id {
		w.WriteHeader(421)
		return
	}
	if req.URL.Path == "/health" {
		fmt.Fprintf(w, `{"born":%d}`, r.born)
		return
	}
	id := req.Header.Get("Request-Id")
	r.mu.Lock()
	r.runs = append(r.runs, run{id, req.RequestURI, req.Header.Get("Tenant"), time.Now()})
	r.mu.Unlock()
	record("replica %s of %s runs %s %s tenant %q", r.id, r.service, id, req.RequestURI, req.Header.Get("Tenant"))
	if strings.HasPrefix(req.URL.Path, "/order/") {
		time.Sleep(orderWork)
	}
	w.Header().Set("Request-Id", id)
	w.Header().Set("Server-Stamp", r.id+"."+id)
	fmt.Fprintf(w, "%s by %s", id, r.service)
}

// ran returns the run of a request, if there is one.
func (r *replica) ran(id string) (run, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range r.runs {
		if x.id == id {
			return x, true
		}
	}
	return run{}, false
}
