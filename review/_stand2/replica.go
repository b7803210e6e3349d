package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// replica is a stand-in of a plain replica on raw connections, so that a case decides how an
// answer is framed and how it ends.
type replica struct {
	d             *deployment
	name, service string
	id            string
	// address is where callers reach the replica: its own, or that of its link if it has one.
	address string
	link    *link
	// answer answers a request on its connection. It returns false if the connection is to be
	// closed after it.
	answer func(r *incarnation, c net.Conn, q *http.Request) bool

	mu      sync.Mutex
	current *incarnation
	beats   int
}

func newID() string { return fmt.Sprintf("i-%08x", rand.Uint32()) }

// incarnation is one run of a replica.
type incarnation struct {
	*replica
	id    string
	born  int64
	ln    net.Listener
	ended chan struct{}

	connsMu sync.Mutex
	conns   map[net.Conn]bool
}

// addReplica starts the replica n of a service, behind a link if linked is set.
func (d *deployment) addReplica(n int, service string, linked bool, answer func(*incarnation, net.Conn, *http.Request) bool) (*replica, error) {
	r := &replica{d: d, name: fmt.Sprint(service, "-", n), service: service, id: newID(), address: d.ip(150+n) + ":8080", answer: answer}
	if linked {
		var err error
		if r.link, err = newLink(r.address, r.target); err != nil {
			return nil, err
		}
		d.atEnd = append(d.atEnd, r.link.close)
	}
	if err := r.start(); err != nil {
		return nil, err
	}
	d.every(heartbeat, r.beat)
	d.atEnd = append(d.atEnd, r.crash)
	return r, nil
}

// start starts an incarnation under the replica's ID.
func (r *replica) start() error {
	address := r.address
	if r.link != nil {
		address = r.d.ip(100) + ":0"
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	i := &incarnation{replica: r, id: r.id, born: time.Now().UnixMilli(), ln: ln, ended: make(chan struct{}), conns: map[net.Conn]bool{}}
	r.mu.Lock()
	r.current = i
	r.mu.Unlock()
	go i.serve()
	r.d.record.add("replica %s starts under the id %s, born %d", r.name, r.id, i.born)
	r.beat()
	return nil
}

// restartAnew starts an incarnation under a new ID. The old entry ends after three intervals.
func (r *replica) restartAnew() error {
	r.mu.Lock()
	old := r.id
	r.id = newID()
	r.mu.Unlock()
	time.AfterFunc(3*heartbeat, func() { r.d.remove("servers/" + old) })
	return r.start()
}

// target returns the address of the incarnation that runs, "" for none.
func (r *replica) target() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current == nil {
		return ""
	}
	return r.current.ln.Addr().String()
}

// crash ends the incarnation that runs, if any.
func (r *replica) crash() {
	r.mu.Lock()
	i := r.current
	r.mu.Unlock()
	if i != nil {
		i.end()
	}
}

// end ends the incarnation as a killed process ends: its connections are closed by the kernel. It
// returns false if the incarnation had ended before.
func (i *incarnation) end() bool {
	r := i.replica
	r.mu.Lock()
	if r.current != i {
		r.mu.Unlock()
		return false
	}
	r.current = nil
	r.mu.Unlock()
	close(i.ended)
	i.ln.Close()
	i.connsMu.Lock()
	defer i.connsMu.Unlock()
	for c := range i.conns {
		c.Close()
	}
	r.d.record.add("replica %s ends, %d connections", r.name, len(i.conns))
	return true
}

// beat writes the replica's entry while it runs.
func (r *replica) beat() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current == nil {
		return
	}
	r.beats++
	r.d.put("servers/"+r.id, object{
		"service": r.service, "address": r.address, "zone": zones[0], "version": "v1", "slots": 6, "state": "ready",
		"warmup-left-ms": 0, "sequence": r.beats, "born": r.current.born,
	})
}

func (i *incarnation) serve() {
	for {
		c, err := i.ln.Accept()
		if err != nil {
			return
		}
		i.connsMu.Lock()
		i.conns[c] = true
		i.connsMu.Unlock()
		go i.serveConn(c)
	}
}

func (i *incarnation) serveConn(c net.Conn) {
	defer func() {
		c.Close()
		i.connsMu.Lock()
		defer i.connsMu.Unlock()
		delete(i.conns, c)
	}()
	br := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		expected := q.Header.Get("Expect-Instance")
		switch {
		case expected != "" && expected != i.id:
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", q.Header.Get("Request-Id"), i.id)
		case q.URL.Path == "/health":
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", i.id)
		case !i.answer(i, c, q):
			return
		}
	}
}

// stamp returns the receipt of an incarnation for a request.
func (i *incarnation) stamp(q *http.Request) string {
	return strings.Join([]string{"3e1b", i.id, fmt.Sprint(i.born), q.Header.Get("Request-Id")}, ".")
}

// wait waits for a time; it returns false if the incarnation ends first.
func (i *incarnation) wait(t time.Duration) bool {
	select {
	case <-i.ended:
		return false
	case <-time.After(t):
		return true
	}
}
