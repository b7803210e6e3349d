package upstream

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/httphead"
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
	// maxHeadBytes bounds the head of a response, in bytes: common servers send a few
	// kilobytes at most.
	maxHeadBytes = 64 << 10
	// maxDiscardedBody bounds a body that is read only to reuse its connection, in
	// bytes.
	maxDiscardedBody = 64 << 10
	// maxMismatched bounds the responses to earlier requests that are skipped.
	maxMismatched = 2
)

// aLongTimeAgo is a deadline in the past; setting it aborts pending reads and
// writes.
var aLongTimeAgo = time.Unix(1, 0)

// conn is one connection to an upstream. One request uses it at a time.
type conn struct {
	nc net.Conn
	// limit bounds what br reads from nc while the head of a response is read.
	limit *readLimit
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
	limit := &readLimit{r: nc, left: unlimited}
	return &conn{nc: nc, openedAt: time.Now(), limit: limit, br: bufio.NewReaderSize(limit, readBufferSize)}
}

// unlimited is the number of bytes that may be read when there is no limit.
const unlimited = math.MaxInt64

// readLimit is a reader that fails with errHeadTooLarge once left bytes have been read.
type readLimit struct {
	r    io.Reader
	left int64
}

// Read implements io.Reader.
func (l *readLimit) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.r.Read(p[:min(int64(len(p)), l.left)])
	if l.left != unlimited {
		l.left -= int64(n)
	}
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
// ones. All of them together may have maxHeadBytes. After an error, what follows on the
// connection belongs to no response.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.limit.left = maxHeadBytes
	defer func() { c.limit.left = unlimited }()
	for {
		if err := c.checkFraming(); err != nil {
			return nil, err
		}
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

// checkFraming returns an error if the next response is of HTTP/1.0 and names a transfer coding,
// which that version doesn't have. http.ReadResponse would take the chunks for the body.
func (c *conn) checkFraming() error {
	const version = "HTTP/1.0 "
	for n := 1; n <= len(version); n++ {
		start, err := c.br.Peek(n)
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		if start[n-1] != version[n-1] {
			return nil
		}
	}
	for n := len(version); ; {
		if _, err := c.br.Peek(n); err != nil {
			return nil // http.ReadResponse meets the same end
		}
		head, _ := c.br.Peek(c.br.Buffered()) // can't fail
		if end := endOfHead(head); end >= 0 {
			if bytes.Contains(bytes.ToLower(head[:end]), []byte("\ntransfer-encoding:")) {
				return errFraming
			}
			return nil
		}
		n = len(head) + 1
	}
}

// endOfHead returns the index of the blank line that ends a head, -1 if there is none.
func endOfHead(b []byte) int {
	if end := bytes.Index(b, []byte("\n\r\n")); end >= 0 {
		return end
	}
	return bytes.Index(b, []byte("\n\n"))
}

// abortOnDone aborts reads and writes on the connection when ctx ends. The
// returned function cancels this; it returns false if the abort has already
// started.
func (c *conn) abortOnDone(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() { _ = c.nc.SetDeadline(aLongTimeAgo) })
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
