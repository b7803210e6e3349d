package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// readBuffer holds the head of an answer and a few events, in bytes.
	readBuffer = 4 << 10
	// inlineBody is the largest body that is written before the answer is read,
	// in bytes; it fits into the socket's buffer.
	inlineBody = 8 << 10
	// idleMargin is taken off the idle timeout that an upstream states, which
	// runs from the moment that it wrote its answer.
	idleMargin = 1 * time.Second
	// maxForeign bounds the answers to earlier requests that are passed over.
	maxForeign = 2
)

// aLongTimeAgo ends reads and writes that are under way.
var aLongTimeAgo = time.Unix(1, 0)

// conn is one connection to an upstream. One request uses it at a time.
type conn struct {
	nc   net.Conn
	br   *bufio.Reader
	used bool
	// foreign says that an answer to another request came on it.
	foreign bool
	// reusableUntil is when the upstream may close it for being idle.
	reusableUntil time.Time
	// writing is closed when the body of a long request has been written; nil
	// for a short one.
	writing  chan struct{}
	writeErr error
}

func newConn(nc net.Conn) *conn {
	return &conn{nc: nc, br: bufio.NewReaderSize(nc, readBuffer)}
}

// write sends the request. A long body goes on while the answer is read, since
// an upstream may answer before it has read all.
func (c *conn) write(call *Call) error {
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", call.Method, call.URI, call.Host)
	if len(call.Body) > 0 || call.Method == http.MethodPost || call.Method == http.MethodPut || call.Method == http.MethodPatch {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(call.Body))
	}
	if err := call.Header.Write(&head); err != nil {
		return err
	}
	head.WriteString("\r\n")
	c.writing, c.writeErr = nil, nil
	if len(call.Body) <= inlineBody {
		_, err := c.nc.Write(append([]byte(head.String()), call.Body...))
		return err
	}
	if _, err := io.WriteString(c.nc, head.String()); err != nil {
		return err
	}
	done := make(chan struct{})
	c.writing = done
	go func() {
		defer close(done)
		_, c.writeErr = c.nc.Write(call.Body)
	}()
	return nil
}

// written says whether the whole request has gone out.
func (c *conn) written() bool {
	if c.writing == nil {
		return true
	}
	select {
	case <-c.writing:
		return c.writeErr == nil
	default:
		return false
	}
}

// readHead reads the head of the next final answer.
func (c *conn) readHead(method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}
}

// interruptible makes the end of ctx end reads and writes on the connection;
// the returned function undoes that.
func (c *conn) interruptible(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() { _ = c.nc.SetDeadline(aLongTimeAgo) })
}

// noteIdle sets how long the connection may be kept, by the answer's header.
func (c *conn) noteIdle(h http.Header, byDefault time.Duration) {
	keep := byDefault
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			keep = time.Duration(n)*time.Second - idleMargin
		}
	}
	c.reusableUntil = time.Now().Add(keep)
}

// skipBody reads the rest of a framed body, so that the next answer follows.
func skipBody(resp *http.Response, limit int64) error {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errForeign
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, limit+1))
	if err == nil && n > limit {
		err = errTooLarge
	}
	return err
}
