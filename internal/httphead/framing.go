package httphead

import (
	"bytes"
	"io"
	"net"

	"github.com/kingcupreel/kingcupreel/internal/fault"
)

var errTransferCoding = fault.Wrap(fault.Mismatch, ErrInvalid, remedy, "a response of HTTP/1.0 names a transfer coding")

// maxLineStart is how much of a line the scanner looks at, in bytes.
const maxLineStart = 64

// FramingScanner looks at the bytes of a response, with the informational ones before it, for a
// head of HTTP/1.0 that names a transfer coding. That version has none, and net/http drops the
// field and takes the chunks for the body. The zero value expects the first head.
type FramingScanner struct {
	// line is the start of the current line.
	line                  []byte
	inHead                bool
	http10, informational bool
	// done is set once the last head has been seen.
	done bool
	err  error
}

// Scan looks at the next bytes of the response, which may go on with its body. It returns an error
// if a head is invalid, and then always the same.
func (s *FramingScanner) Scan(p []byte) error {
	for s.err == nil && !s.done && len(p) > 0 {
		part, rest, ended := bytes.Cut(p, []byte("\n"))
		s.line = append(s.line, part[:min(len(part), maxLineStart-len(s.line))]...)
		p = rest
		if !ended {
			return nil
		}
		s.err = s.scanLine(bytes.TrimSuffix(s.line, []byte("\r")))
		s.line = s.line[:0]
	}
	return s.err
}

// Read reads and scans the next bytes of the response. An invalid head ends the reading for good:
// a bufio.Reader may drop an error behind a part of a line and read on.
func (s *FramingScanner) Read(r io.Reader, p []byte) (int, error) {
	if s.err != nil {
		return 0, s.err
	}
	n, err := r.Read(p)
	if s.Scan(p[:n]) != nil {
		return 0, s.err
	}
	return n, err
}

func (s *FramingScanner) scanLine(line []byte) error {
	const field = "transfer-encoding:"
	switch {
	case !s.inHead:
		version, status, _ := bytes.Cut(line, []byte(" "))
		s.inHead, s.http10 = true, string(version) == "HTTP/1.0"
		s.informational = bytes.HasPrefix(bytes.TrimLeft(status, " "), []byte("1"))
	case len(line) == 0:
		s.inHead, s.done = false, !s.informational
	case s.http10 && len(line) >= len(field) && bytes.EqualFold(line[:len(field)], []byte(field)):
		return errTransferCoding
	}
	return nil
}

// Conn is a client's connection for one request, whose response is scanned while it is read.
type Conn struct {
	net.Conn
	scanner FramingScanner
}

// NewConn returns a Conn over a connection on which nothing has been read.
func NewConn(nc net.Conn) *Conn { return &Conn{Conn: nc} }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) { return c.scanner.Read(c.Conn, p) }
