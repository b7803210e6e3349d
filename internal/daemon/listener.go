package daemon

import (
	"net"
	"sync"
	"sync/atomic"
)

// drainableListener is a listener that can stop listening before its server ends, so that the
// server still answers the requests of the connections that it has accepted.
type drainableListener struct {
	net.Listener
	stopped   atomic.Bool
	closeOnce sync.Once
	closed    chan struct{}
}

func newDrainableListener(l net.Listener) *drainableListener {
	return &drainableListener{Listener: l, closed: make(chan struct{})}
}

// stopListening refuses further connections. Accept then blocks until Close.
func (l *drainableListener) stopListening() error {
	l.stopped.Store(true)
	return l.Listener.Close()
}

// Accept implements net.Listener.
func (l *drainableListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil && l.stopped.Load() {
		<-l.closed
	}
	return c, err
}

// Close implements net.Listener.
func (l *drainableListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	if l.stopped.Load() {
		return nil
	}
	return l.Listener.Close()
}
