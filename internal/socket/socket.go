// Package socket sets the options of TCP connections that must notice a dead
// peer or path soon.
package socket

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// keepAliveProbes is the number of unanswered probes that end a connection.
const keepAliveProbes = 2

// Dialer returns a dialer whose connections end after about silence without
// an acknowledgement from the peer's host, whether data or nothing is in
// flight. Connect bounds the handshake.
func Dialer(connect, silence time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         connect,
		KeepAliveConfig: keepAlive(silence),
		Control: func(_, _ string, raw syscall.RawConn) error {
			return setUserTimeout(raw, silence)
		},
	}
}

// ListenConfig returns the options of a listener whose connections end as
// those of Dialer do.
func ListenConfig(silence time.Duration) *net.ListenConfig {
	return &net.ListenConfig{
		KeepAliveConfig: keepAlive(silence),
		Control: func(_, _ string, raw syscall.RawConn) error {
			return setUserTimeout(raw, silence)
		},
	}
}

func keepAlive(silence time.Duration) net.KeepAliveConfig {
	interval := max(silence/(keepAliveProbes+1), time.Second)
	return net.KeepAliveConfig{Enable: true, Idle: interval, Interval: interval, Count: keepAliveProbes}
}

// setUserTimeout bounds how long sent data may stay unacknowledged.
func setUserTimeout(raw syscall.RawConn, silence time.Duration) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}

// Idle says whether a connection that no request uses is still open and has
// nothing to read. Bytes that are there belong to no request.
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
