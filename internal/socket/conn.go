package socket

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// PastDeadline is a deadline in the past; setting it ends reads and writes in progress.
var PastDeadline = time.Unix(1, 0)

// Dialer is a net.Dialer whose TCP connections are Conns.
type Dialer struct{ net.Dialer }

// DialContext connects to an address. A TCP connection is a *Conn.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	nc, err := d.Dialer.DialContext(ctx, network, address)
	if tc, ok := nc.(*net.TCPConn); ok && err == nil {
		return &Conn{TCPConn: tc}, nil
	}
	return nc, err
}

// Conn is a TCP connection of a client that writes requests and reads answers. The kernel reports
// the error that ended a connection, such as a reset, to one system call only. If that is a write,
// reads find an end in order, as if the peer had written all it had to. Read of a Conn returns the
// error then. The end of an answer ends the writing of its request.
type Conn struct {
	*net.TCPConn

	// mu is held during a write.
	mu sync.Mutex
	// writeErr is the first error of a write.
	writeErr error
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.TCPConn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// ReadFrom implements io.ReaderFrom, so that io.Copy writes with Write.
func (c *Conn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if err == io.EOF {
		if reported := c.errorReportedToWrite(); reported != nil {
			return n, reported
		}
	}
	return n, err
}

// errorReportedToWrite ends a write in progress and returns the error that ended the connection
// before its end was read, if a write got it. EPIPE means that the peer's direction had ended in
// order before.
func (c *Conn) errorReportedToWrite() error {
	_ = c.SetWriteDeadline(PastDeadline) // fails only if the connection is closed, which ends the write too
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, after := range []error{os.ErrDeadlineExceeded, net.ErrClosed, syscall.EPIPE} {
		if errors.Is(c.writeErr, after) {
			return nil
		}
	}
	return c.writeErr
}
