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

	"github.com/kingcupreel/kingcupreel/internal/httphead"
	"github.com/kingcupreel/kingcupreel/internal/socket"
)

const (
	// readBufferSize holds the head of a response and a few stream events, in
	// bytes.
	readBufferSize = 4 << 10
	// maxInlineBody is the largest body that is written before the response is
	// read, in bytes. It fits into the socket's send buffer.
	maxInlineBody = 8 << 10
	// idleTimeoutMargin is subtracted from the idle timeout that an upstream
	// announces, because the upstream counts it from the moment that it wrote the
	// response.
	idleTimeoutMargin = 1 * time.Second
	// maxDiscardedBody bounds a body that is read only to reuse its connection, in
	// bytes.
	maxDiscardedBody = 64 << 10
	// maxMismatched bounds the responses to earlier requests that are skipped.
	maxMismatched = 2
)

// conn is one connection to an upstream. One request uses it at a time.
type conn struct {
	nc net.Conn
	// heads checks what br reads from nc while the head of a response is read.
	heads *headReader
	br    *bufio.Reader
	used  bool
	// openedAt is the time when the connection was established.
	openedAt time.Time
	// mismatched reports whether a response to another request arrived on the
	// connection.
	mismatched bool
	// reusableUntil is the time from which the upstream may close the idle
	// connection.
	reusableUntil time.Time
	// bodyDone is closed when a body larger than maxInlineBody has been written;
	// nil for a smaller one. bodyErr is valid after that.
	bodyDone chan struct{}
	bodyErr  error
}

func newConn(nc net.Conn) *conn {
	heads := &headReader{r: nc}
	return &conn{nc: nc, openedAt: time.Now(), heads: heads, br: bufio.NewReaderSize(heads, readBufferSize)}
}

// headReader is a reader of a connection. While a head is expected, it fails once
// httphead.MaxBytes have been read, or if the framing of the response can't be trusted.
type headReader struct {
	r        io.Reader
	expected bool
	left     int
	framing  httphead.FramingScanner
}

// expect begins with the heads of a response, of which the first bytes have been read already.
func (h *headReader) expect(buffered []byte) error {
	h.expected, h.left, h.framing = true, httphead.MaxBytes, httphead.FramingScanner{}
	return h.framing.Scan(buffered)
}

func (h *headReader) end() { h.expected = false }

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if !h.expected {
		return h.r.Read(p)
	}
	if h.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := h.framing.Read(h.r, p[:min(len(p), h.left)])
	h.left -= n
	return n, err
}

// write sends the request. A body larger than maxInlineBody is written in the
// background while the response is read, since an upstream may respond before
// it has read the whole body.
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

// requestWritten reports whether the whole request has been written without an
// error.
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

// readHead reads the head of the next response, skipping informational (1xx)
// ones. All of them together may have httphead.MaxBytes. After an error, what follows on the
// connection belongs to no response.
func (c *conn) readHead(method string) (*http.Response, error) {
	buffered, _ := c.br.Peek(c.br.Buffered()) // can't fail
	if err := c.heads.expect(buffered); err != nil {
		return nil, err
	}
	defer c.heads.end()
	for {
		resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if err := httphead.Check(resp); err != nil {
			return nil, err
		}
		if method == http.MethodHead {
			resp.ContentLength = 0 // the header's length is that of the answer to GET
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// abortOnDone aborts reads and writes on the connection when ctx ends. The
// returned function cancels this; it returns false if the abort has already
// started.
func (c *conn) abortOnDone(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() { _ = c.nc.SetDeadline(socket.PastDeadline) })
}

// setReuseDeadline sets how long the connection may stay idle: the timeout in
// the response's Keep-Alive header less idleTimeoutMargin, or defaultTimeout.
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

// delimited reports whether a response states where its body ends, or can't have one.
// Otherwise the body ends with the connection.
func delimited(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody
}

// discardBody reads and drops the rest of a response body so that the next
// response can be read from the connection. It fails if the body's end is not
// marked by a length or by chunks, or if the body exceeds limit bytes.
func discardBody(resp *http.Response, limit int64) error {
	if !delimited(resp) {
		return errMismatched
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, limit+1))
	if err == nil && n > limit {
		err = errTooLarge
	}
	return err
}
