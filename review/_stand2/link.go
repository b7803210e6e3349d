package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// link is a path to a replica. While it is cut, neither open nor new connections carry anything,
// also no end of a connection. What was sent meanwhile arrives when the cut is over, as TCP sends
// again what was not acknowledged.
type link struct {
	address string
	target  func() string
	ln      net.Listener

	mu sync.Mutex
	// healed is closed while the link isn't cut.
	healed chan struct{}
}

func newLink(address string, target func() string) (*link, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &link{address: address, target: target, ln: ln, healed: make(chan struct{})}
	close(l.healed)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go l.forward(c)
		}
	}()
	return l, nil
}

// cut cuts the link.
func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.healed = make(chan struct{})
}

// heal ends the cut.
func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.healed)
}

func (l *link) close() { l.ln.Close() }

// awaitHealed returns once the link isn't cut.
func (l *link) awaitHealed() {
	l.mu.Lock()
	healed := l.healed
	l.mu.Unlock()
	<-healed
}

func (l *link) forward(client net.Conn) {
	defer client.Close()
	l.awaitHealed()
	address := l.target()
	if address == "" {
		_ = client.(*net.TCPConn).SetLinger(0)
		return
	}
	server, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		_ = client.(*net.TCPConn).SetLinger(0)
		return
	}
	defer server.Close()
	var wg sync.WaitGroup
	wg.Go(func() { l.copy(server, client) })
	wg.Go(func() { l.copy(client, server) })
	wg.Wait()
}

// copy forwards one direction and then its end, as an end in order or as a reset.
func (l *link) copy(dst, src net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		l.awaitHealed()
		if n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				break
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil { // a reset
			_ = dst.(*net.TCPConn).SetLinger(0)
			dst.Close()
			return
		}
	}
	_ = dst.(*net.TCPConn).CloseWrite()
}
