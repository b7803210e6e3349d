package agent

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/httphead"
	"github.com/kingcupreel/kingcupreel/internal/socket"
)

// livenessInterval is how often a livenessCheck replaces its connection, since
// servers close connections on which no request arrives.
const livenessInterval = 1 * time.Second

var errEarlyData = errors.New("the upstream wrote to the connection or closed it before a request was sent")

// livenessCheck tells whether the incarnation of the upstream that gave an answer is
// alive after the end of that answer. It holds a connection that was opened while
// that incarnation was alive, so that a restarted upstream doesn't have it.
type livenessCheck struct {
	upstream *upstream
	ctx      context.Context
	cancel   context.CancelFunc

	mu sync.Mutex
	// conn is unused: no request was sent on it. err is set if there is none.
	conn net.Conn
	err  error
}

// startLivenessCheck opens the check's connection. The caller must close the check.
func (u *upstream) startLivenessCheck(ctx context.Context) *livenessCheck {
	ctx, cancel := context.WithCancel(ctx)
	l := &livenessCheck{upstream: u, ctx: ctx, cancel: cancel}
	l.conn, l.err = u.dial(ctx)
	go l.renewRegularly()
	return l
}

// endsWithConnection reports whether the end of an answer is told by the end of its
// connection only, which a process that is killed ends in the same way.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Request.Method != http.MethodHead
}

// confirm returns nil if the incarnation answers a request that is sent now. If the
// upstream is silent for the stall timeout, the run is cancelled.
func (l *livenessCheck) confirm(r *run) error {
	stallTimer := l.upstream.clock.AfterFunc(l.upstream.stallTimeout, func() { r.cancel(errStalled) })
	defer stallTimer.Stop()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return l.err
	}
	return l.upstream.ping(l.ctx, l.conn)
}

func (l *livenessCheck) renewRegularly() {
	ticker := l.upstream.clock.NewTicker(livenessInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-ticker.Chan():
			l.renew()
		}
	}
}

// renew replaces the connection. An answer on the old one shows that the same
// incarnation was alive when the new one was opened.
func (l *livenessCheck) renew() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return
	}
	next, err := l.upstream.dial(l.ctx)
	if err != nil {
		return // the old connection tells whether the upstream is alive
	}
	if l.err = l.upstream.ping(l.ctx, l.conn); l.err != nil {
		next.Close()
		return
	}
	l.conn.Close()
	l.conn = next
}

// close does nothing for a nil check.
func (l *livenessCheck) close() {
	if l == nil {
		return
	}
	l.cancel()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		l.conn.Close()
	}
}

// dial opens a connection to the upstream beside those of its calls.
func (u *upstream) dial(ctx context.Context) (net.Conn, error) {
	base, err := url.Parse(u.base)
	if err != nil {
		return nil, err
	}
	port := base.Port()
	if port == "" {
		port = base.Scheme
	}
	address := net.JoinHostPort(base.Hostname(), port)
	conn, err := u.dialContext(ctx, "tcp", address)
	if err != nil || base.Scheme != "https" {
		return conn, err
	}
	secure := tls.Client(conn, &tls.Config{ServerName: base.Hostname()})
	if err := secure.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, err
	}
	return secure, nil
}

// ping sends a request on an unused connection and waits for an answer of any
// status. OPTIONS * names no resource: HTTP defines it as a ping of the server, and
// it is safe, so that it runs nothing at an engine or a plain service.
func (u *upstream) ping(ctx context.Context, conn net.Conn) error {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	// What the upstream wrote before, as some servers do on idle connections, is no answer to
	// a request that is sent later.
	if !socket.Idle(conn) {
		return errEarlyData
	}
	base, err := url.Parse(u.base)
	if err != nil {
		return err
	}
	req := &http.Request{Method: http.MethodOptions, URL: &url.URL{Scheme: base.Scheme, Host: base.Host, Opaque: "*"}, Host: base.Host, Close: true}
	if err := req.Write(conn); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(io.LimitReader(httphead.NewConn(conn), httphead.MaxBytes)), req)
	if err != nil {
		return err
	}
	return httphead.Check(resp)
}
