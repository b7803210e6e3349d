// Package socket sets the options of TCP connections that must detect a dead
// peer or path within a given time.
package socket

import (
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// keepAliveProbes is the number of unanswered keep-alive probes after which a
// connection is closed.
const keepAliveProbes = 2

// NewDialer returns a dialer whose connections fail after about ackTimeout without
// an acknowledgement from the peer's host, whether or not data is in flight.
// connectTimeout bounds the handshake.
func NewDialer(connectTimeout, ackTimeout time.Duration) *Dialer {
	return &Dialer{net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: keepAlive(ackTimeout),
		Control: func(_, _ string, raw syscall.RawConn) error {
			return setUserTimeout(raw, ackTimeout)
		},
	}}
}

// ListenConfig returns the options of a listener whose connections fail after
// about ackTimeout without an acknowledgement, as those of NewDialer do.
func ListenConfig(ackTimeout time.Duration) *net.ListenConfig {
	return &net.ListenConfig{
		KeepAliveConfig: keepAlive(ackTimeout),
		Control: func(_, _ string, raw syscall.RawConn) error {
			return setUserTimeout(raw, ackTimeout)
		},
	}
}

// keepAlive returns the settings of keep-alive probes, which detect a dead peer
// of an idle connection. Their interval is at least 1 s, the kernel's unit.
func keepAlive(ackTimeout time.Duration) net.KeepAliveConfig {
	interval := max(ackTimeout/(keepAliveProbes+1), time.Second)
	return net.KeepAliveConfig{Enable: true, Idle: interval, Interval: interval, Count: keepAliveProbes}
}

// setUserTimeout bounds the time for which sent data may stay unacknowledged.
func setUserTimeout(raw syscall.RawConn, ackTimeout time.Duration) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}

// Idle reports whether a connection without a request in flight is still open
// and has nothing to read. A connection with unexpected bytes must not be
// reused, since they belong to no request. It returns true if nc doesn't give
// access to its socket.
func Idle(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = err == unix.EAGAIN
		return true
	})
	return err == nil && idle
}

// ValidAddress reports whether an address is an IP address and a port that can be dialled.
func ValidAddress(address string) bool {
	ap, err := netip.ParseAddrPort(address)
	return err == nil && ap.Port() > 0
}
