// Package eventstream holds the checks on the event streams of upstreams that gateways,
// entries and agents have in common. It performs no I/O.
package eventstream

import (
	"bytes"
	"strings"
)

// MayContinue reports whether an answer may be the rest of a stream whose head, with the
// given status and content type, has been sent to the caller. Any other answer would end up
// in the middle of the stream.
func MayContinue(sentStatus int, sentType string, status int, contentType string) bool {
	return status == sentStatus && mediaType(contentType) == mediaType(sentType)
}

// IsStream reports whether the content type is that of an event stream.
func IsStream(contentType string) bool { return mediaType(contentType) == "text/event-stream" }

// mediaType returns a content type without its parameters.
func mediaType(contentType string) string {
	name, _, _ := strings.Cut(contentType, ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// statusLinePrefix begins the head of an answer, and no field of an event.
var statusLinePrefix = []byte("HTTP/1.")

// IsHead reports whether what was read as an event is the head of an answer: an upstream
// that fails may write one where an event is due.
func IsHead(event []byte) bool {
	return bytes.HasPrefix(bytes.TrimLeft(event, "\r\n"), statusLinePrefix)
}
