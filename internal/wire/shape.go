package wire

import (
	"bytes"
	"io"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"

	"github.com/kingcupreel/kingcupreel/internal/fault"
)

const (
	// maxDepth bounds the nesting of arrays and maps in a message.
	maxDepth = 32
	// maxElements bounds the sum of the elements of all arrays and maps in a
	// message.
	maxElements = 1 << 20
)

// checkShape checks an encoded message without decoding it: every array and map
// must hold as many elements as it claims, and the limits maxDepth and maxElements
// must be met. Without this check a frame of a few bytes could exhaust memory,
// because the msgpack library allocates a slice of structs by its claimed length.
func checkShape(body []byte) error {
	dec := msgpack.GetDecoder()
	defer msgpack.PutDecoder(dec)
	r := bytes.NewReader(body)
	dec.Reset(r)
	remaining := []int{1}
	for total := 0; len(remaining) > 0; {
		top := len(remaining) - 1
		if remaining[top] <= 0 {
			remaining = remaining[:top]
			continue
		}
		remaining[top]--
		n, err := readHeader(dec, r)
		if err != nil {
			return err
		}
		total += max(n, 0)
		if len(remaining) == maxDepth || total > maxElements {
			return fault.New(fault.TooLarge, "check that the peer speaks this protocol", "message nests deeper than %d or holds over %d elements", maxDepth, maxElements)
		}
		remaining = append(remaining, n)
	}
	return nil
}

// readHeader skips a scalar value, or the header of an array or a map, and returns
// the number of values inside. Strings and bytes are skipped in r itself, which
// the decoder doesn't buffer: Skip would read them, and the buffer of the pooled
// decoder would grow a little with each claim of more bytes than there are.
func readHeader(dec *msgpack.Decoder, r *bytes.Reader) (int, error) {
	code, err := dec.PeekCode()
	if err != nil {
		return 0, err
	}
	switch {
	case msgpcode.IsFixedArray(code), code == msgpcode.Array16, code == msgpcode.Array32:
		return dec.DecodeArrayLen()
	case msgpcode.IsFixedMap(code), code == msgpcode.Map16, code == msgpcode.Map32:
		n, err := dec.DecodeMapLen()
		return 2 * n, err
	case msgpcode.IsString(code), msgpcode.IsBin(code):
		n, err := dec.DecodeBytesLen()
		if err != nil {
			return 0, err
		}
		return 0, skipBytes(r, n)
	case msgpcode.IsExt(code):
		_, n, err := dec.DecodeExtHeader()
		if err != nil {
			return 0, err
		}
		return 0, skipBytes(r, n)
	}
	return 0, dec.Skip()
}

// skipBytes skips n bytes. It returns io.ErrUnexpectedEOF if fewer are left.
func skipBytes(r *bytes.Reader, n int) error {
	if n > r.Len() {
		return io.ErrUnexpectedEOF
	}
	_, err := r.Seek(int64(max(n, 0)), io.SeekCurrent)
	return err
}
