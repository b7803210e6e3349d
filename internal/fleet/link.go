package fleet

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/socket"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

const (
	// dialTimeout bounds the TCP handshake with another process.
	dialTimeout = 500 * time.Millisecond
	// linkSilenceTimeout is the time without any message or acknowledgement after
	// which a connection is closed.
	linkSilenceTimeout = 1500 * time.Millisecond
	// linkHeartbeatInterval lets a connection miss one heartbeat without being
	// closed: two fall within linkSilenceTimeout.
	linkHeartbeatInterval = 600 * time.Millisecond
)

// wireOptions returns the options of connections between processes.
func wireOptions() wire.Options {
	return wire.Options{HeartbeatInterval: linkHeartbeatInterval, SilenceTimeout: linkSilenceTimeout}
}

// Dial connects to a process and runs the connection in the background until
// ctx is done.
func Dial(ctx context.Context, address string, handler wire.Handler) (*wire.Conn, error) {
	nc, err := socket.NewDialer(dialTimeout, linkSilenceTimeout).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, err, "no action needed; the connection is retried", "connecting to %s", address)
	}
	c := wire.NewConn(nc, handler, wireOptions())
	go func() { _ = c.Run(ctx) }()
	return c, nil
}

// Serve accepts connections from other processes until ctx is done.
func Serve(ctx context.Context, address string, handler wire.Handler, log *zap.Logger) error {
	l, err := socket.ListenConfig(linkSilenceTimeout).Listen(ctx, "tcp", address)
	if err != nil {
		return fault.Wrap(fault.Unavailable, err, "check the internal ports in the platform's settings file, and that no other process listens there", "listening on %s", address)
	}
	stop := context.AfterFunc(ctx, func() { l.Close() })
	go func() {
		defer stop()
		for {
			nc, err := l.Accept()
			if err != nil {
				if ctx.Err() == nil {
					log.Error("listener for internal connections failed", zap.Error(err))
				}
				return
			}
			go serveConn(ctx, nc, handler)
		}
	}()
	return nil
}

func serveConn(ctx context.Context, nc net.Conn, handler wire.Handler) {
	_ = wire.NewConn(nc, handler, wireOptions()).Run(ctx)
}
