package main

import (
	"io"
	"net"
	"sync"
)

// path is a network path to an address: a listener whose connections can be silenced and reset.
type path struct {
	to       string
	listener net.Listener

	mu    sync.Mutex
	conns []*pathConn
}

type pathConn struct {
	a, b   net.Conn
	mu     sync.Mutex
	silent chan struct{}
}

func newPath(to string) *path {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail2("listening: %v", err)
	}
	p := &path{to: to, listener: l}
	go func() {
		for {
			a, err := l.Accept()
			if err != nil {
				return
			}
			b, err := net.Dial("tcp", to)
			if err != nil {
				a.Close()
				continue
			}
			c := &pathConn{a: a, b: b, silent: make(chan struct{})}
			p.mu.Lock()
			p.conns = append(p.conns, c)
			p.mu.Unlock()
			go c.copy(a, b)
			go c.copy(b, a)
		}
	}()
	return p
}

func (p *path) address() string { return p.listener.Addr().String() }

// copy passes bytes on until the connection is silenced. Bytes that come later are dropped.
func (c *pathConn) copy(from, to net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		select {
		case <-c.silent:
			if err != nil {
				return
			}
			continue
		default:
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err == io.EOF {
				if t, ok := to.(*net.TCPConn); ok {
					_ = t.CloseWrite()
					return
				}
			}
			to.Close()
			return
		}
	}
}

// silence makes the present connections silent for good. New ones work.
func (p *path) silence() []*pathConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.conns
	p.conns = nil
	for _, c := range list {
		close(c.silent)
	}
	return list
}

// reset ends silenced connections with a reset.
func reset(list []*pathConn) {
	for _, c := range list {
		for _, nc := range []net.Conn{c.a, c.b} {
			if t, ok := nc.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
			nc.Close()
		}
	}
}
