// Package raw is a stand-in of an HTTP server that writes answers as given, also such as the
// protocol doesn't allow, and ends their connections as given.
package raw

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// receiveBuffer is the size of the receive buffer of a connection, in bytes. A larger upload
// isn't accepted before it is read.
const receiveBuffer = 64 << 10

// End is what a server does with a connection after an answer.
type End int

const (
	// Keep serves the next request.
	Keep End = iota
	// Close ends the connection in order, unless a part of the request is unread.
	Close
	// CloseWrite ends the server's direction in order, and resets the connection after the
	// answer's Delay.
	CloseWrite
	// Reset resets the connection.
	Reset
)

// Answer is what a server writes once it has read the head of a request.
type Answer struct {
	Text string
	// Repeat is written without end after Text, until the connection fails; nothing if empty.
	Repeat string
	// ReadFirst is set if the body of the request is read before the answer is written, ReadLast
	// if it is read afterwards. Otherwise it isn't read.
	ReadFirst, ReadLast bool
	// Delay is the time between the answer and the end of its connection.
	Delay time.Duration
	End   End
	// Ended, if not nil, is called once the answer has been written or its connection has failed.
	Ended func()
}

// Server serves answers at its address.
type Server struct {
	listener net.Listener
	answer   func(r *http.Request) Answer

	mu sync.Mutex
	// conns holds the open connections; nil once the server is closed.
	conns map[net.Conn]bool
}

// Serve starts a server. answer is called concurrently, with requests whose bodies it must not
// read.
func Serve(answer func(r *http.Request) Answer) (*Server, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var optErr error
		err := c.Control(func(fd uintptr) {
			optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
		})
		return errors.Join(err, optErr)
	}}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := newServer(l, answer)
	go func() { _ = s.accept() }() // it ends with Close
	return s, nil
}

func newServer(l net.Listener, answer func(r *http.Request) Answer) *Server {
	return &Server{listener: l, answer: answer, conns: map[net.Conn]bool{}}
}

// ServeOdd answers the calls on a listener with all odd answers by turns, and pings with a whole one.
func ServeOdd(l net.Listener) error {
	var mu sync.Mutex
	n := 0
	return newServer(l, func(r *http.Request) Answer {
		if r.Method != http.MethodPost {
			return Answer{Text: "HTTP/1.1 501 Not Implemented\r\nContent-Length: 0\r\n\r\n", End: Close}
		}
		var answers []Answer
		for _, k := range OddAnswers("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n", "an odd answer") {
			answers = append(answers, k.Answers...)
		}
		mu.Lock()
		defer mu.Unlock()
		n++
		return answers[n%len(answers)]
	}).accept()
}

// Address returns the server's address, IP:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close closes the listener and all connections.
func (s *Server) Close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
	s.conns = nil
}

func (s *Server) accept() error {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return err
		}
		s.mu.Lock()
		open := s.conns != nil
		if open {
			s.conns[c] = true
		}
		s.mu.Unlock()
		if !open {
			c.Close()
			return net.ErrClosed
		}
		go s.serve(c.(*net.TCPConn))
	}
}

// serve answers the requests of a connection.
func (s *Server) serve(c *net.TCPConn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	}()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		r.RemoteAddr = c.RemoteAddr().String()
		a := s.answer(r)
		err = a.write(c, r.Body)
		if a.Ended != nil {
			a.Ended()
		}
		if err != nil || a.end(c) != Keep {
			return
		}
	}
}

func (a Answer) write(c net.Conn, body io.Reader) error {
	if a.ReadFirst {
		if _, err := io.Copy(io.Discard, body); err != nil {
			return err
		}
	}
	_, err := io.WriteString(c, a.Text)
	for a.Repeat != "" && err == nil {
		_, err = io.WriteString(c, a.Repeat)
	}
	if a.ReadLast && err == nil {
		_, err = io.Copy(io.Discard, body)
	}
	return err
}

// end prepares the end of a connection that the caller closes, unless it is kept.
func (a Answer) end(c *net.TCPConn) End {
	if a.End == CloseWrite {
		_ = c.CloseWrite() // fails only if the peer has ended the connection
	}
	time.Sleep(a.Delay)
	if a.End == CloseWrite || a.End == Reset {
		_ = c.SetLinger(0) // makes Close reset the connection
	}
	return a.End
}
