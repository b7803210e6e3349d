// Package wire implements the inner protocol between the processes of
// kingcupreel: frames with a length prefix over TCP, with typed messages in
// msgpack.
//
// A frame is a 4-byte big-endian length (of kind and body), a 1-byte kind and
// the msgpack body. Structs are encoded as arrays, so new fields must be appended
// at the end and the order of fields must not change.
package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/kingcupreel/kingcupreel/internal/fault"
)

// MaxFrame bounds the size of a frame's kind and body, in bytes.
const MaxFrame = 16 << 20

// headerSize is the size of the length prefix and the kind, in bytes.
const headerSize = 5

// AppendFrame appends m, encoded as a frame, to buf.
func AppendFrame(buf []byte, m Message) ([]byte, error) {
	var body bytes.Buffer
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(&body)
	enc.UseArrayEncodedStructs(true)
	if err := enc.Encode(m); err != nil {
		return buf, fault.Wrap(fault.Internal, err, "report this as a bug", "encoding message kind %d", m.Kind())
	}
	size := body.Len() + 1
	if size > MaxFrame {
		return buf, fault.New(fault.TooLarge, "send a smaller body", "frame of %d bytes exceeds %d", size, MaxFrame)
	}
	buf = binary.BigEndian.AppendUint32(buf, uint32(size))
	buf = append(buf, byte(m.Kind()))
	return append(buf, body.Bytes()...), nil
}

// readFrame reads and decodes one frame and returns the message and the frame's
// size in bytes. For a malformed frame the error is of kind Invalid or TooLarge;
// after that the connection must not be used, unless the cause is errUnknownKind.
func readFrame(r io.Reader) (Message, int, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, 0, err
	}
	size := binary.BigEndian.Uint32(header[:4])
	if size < 1 || size > MaxFrame {
		return nil, 0, fault.New(fault.TooLarge, "check that the peer speaks this protocol", "frame of %d bytes, limit %d", size, MaxFrame)
	}
	body, err := readBody(r, int(size-1))
	if err != nil {
		return nil, 0, err
	}
	m, err := Decode(Kind(header[4]), body)
	return m, headerSize + len(body), err
}

// readBody reads n bytes. The peer's claim n is trusted only up to maxTrusted
// bytes: beyond that, memory grows with the bytes that really arrive.
func readBody(r io.Reader, n int) ([]byte, error) {
	const maxTrusted = 64 << 10
	if n <= maxTrusted {
		body := make([]byte, n)
		_, err := io.ReadFull(r, body)
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return body, err
	}
	var buf bytes.Buffer
	copied, err := io.CopyN(&buf, r, int64(n))
	if err == io.EOF && copied < int64(n) {
		err = io.ErrUnexpectedEOF
	}
	return buf.Bytes(), err
}

// errUnknownKind is the cause of the error for a kind that this version doesn't
// know. Connections ignore such frames, which a newer peer may send.
var errUnknownKind = errors.New("unknown message kind")

// Decode decodes the body of a frame of the given kind. The error is of kind
// Invalid.
func Decode(kind Kind, body []byte) (Message, error) {
	newMessage, ok := factories[kind]
	if !ok {
		return nil, fault.Wrap(fault.Invalid, errUnknownKind, "upgrade the older process", "message kind %d", kind)
	}
	if err := checkShape(body); err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "check that the peer speaks this protocol", "message kind %d", kind)
	}
	m := newMessage()
	if err := msgpack.Unmarshal(body, m); err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "check that the peer speaks this protocol", "decoding message kind %d", kind)
	}
	return m, nil
}

// DecodeFrame decodes a buffer that holds exactly one frame.
func DecodeFrame(frame []byte) (Message, error) {
	r := bytes.NewReader(frame)
	m, _, err := readFrame(r)
	if err == nil && r.Len() > 0 {
		err = fault.New(fault.Invalid, "check that the peer speaks this protocol", "%d bytes after the frame", r.Len())
	}
	return m, err
}
