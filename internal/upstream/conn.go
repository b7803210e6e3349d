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
	// readBufferSize holds the head of an answer and a few events, in bytes.
	readBufferSize = 4 << 10
	// maxInlineBody is the largest body that is written before the answer is read,
	// in bytes; it fits into the socket's buffer.
	maxInlineBody = 8 << 10
	// idleTimeoutMargin is taken off the idle timeout that an upstream states, which
	// runs from the moment that it wrote its answer.
	idleTimeoutMargin = 1 * time.Second
	// maxMismatched bounds the answers to earlier requests that are passed over.
	maxMismatched = 2
)

// aLongTimeAgo ends reads and writes that are under way.
var aLongTimeAgo = time.Unix(1, 0)

// conn is one connection to an upstream. One request uses it at a time.
type conn struct {
	nc   net.Conn
	br   *bufio.Reader
	used bool
	// mismatched says that an answer to another request came on it.
	mismatched bool
	// reusableUntil is when the upstream may close it for being idle.
	reusableUntil time.Time
	// bodyDone is closed when the body of a long request has been written; nil
	// for a short one.
	bodyDone chan struct{}
	bodyErr  error
}

func newConn(nc net.Conn) *conn {
	return &conn{nc: nc, br: bufio.NewReaderSize(nc, readBufferSize)}
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
	c.bodyDone, c.bodyErr = nil, nil
	if len(call.Body) <= maxInlineBody {
		_, err := c.nc.Write(append([]byte(head.String()), call.Body...))
		return err
	}
	if _, err := io.WriteString(c.nc, head.String()); err != nil {
		return err
	}
	done := make(chan struct{})
	c.bodyDone = done
	go func() {
		defer close(done)
		_, c.bodyErr = c.nc.Write(call.Body)
	}()
	return nil
}

// requestWritten says whether the whole request has gone out.
func (c *conn) requestWritten() bool {
	if c.bodyDone == nil {
		return true
	}
	select {
	case <-c.bodyDone:
		return c.bodyErr == nil
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

// abortOnDone makes the end of ctx end reads and writes on the connection;
// the returned function undoes that.
func (c *conn) abortOnDone(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() { _ = c.nc.SetDeadline(aLongTimeAgo) })
}

// setReuseDeadline sets how long the connection may be kept, by the answer's header.
func (c *conn) setReuseDeadline(h http.Header, defaultTimeout time.Duration) {
	timeout := defaultTimeout
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			timeout = time.Duration(n)*time.Second - idleTimeoutMargin
		}
	}
	c.reusableUntil = time.Now().Add(timeout)
}

// discardBody reads the rest of a framed body, so that the next answer follows.
func discardBody(resp *http.Response, limit int64) error {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errMismatched
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, limit+1))
	if err == nil && n > limit {
		err = errTooLarge
	}
	return err
}
