// Package httphead checks the heads of HTTP/1.1 responses: net/http takes some that the protocol
// doesn't allow.
package httphead

import (
	"errors"
	"net/http"

	"golang.org/x/net/http/httpguts"

	"github.com/kingcupreel/kingcupreel/internal/fault"
)

// ErrInvalid is the cause of each error of this package.
var ErrInvalid = errors.New("the head is invalid")

// MaxBytes bounds the head of a response, with the informational ones before it, in bytes: common
// servers send a few kilobytes at most.
const MaxBytes = 64 << 10

const remedy = "see the server's logs; the connection is closed"

// maxStatus is the highest status of HTTP.
const maxStatus = 599

// Check returns an error if the head of a response, which may be an informational one, isn't
// valid. What follows such a head on its connection belongs to no response.
func Check(resp *http.Response) error {
	if resp.ProtoMajor != 1 {
		return fault.Wrap(fault.Mismatch, ErrInvalid, remedy, "a response is of version %.16q", resp.Proto)
	}
	if resp.StatusCode < http.StatusContinue || resp.StatusCode > maxStatus {
		return fault.Wrap(fault.Mismatch, ErrInvalid, remedy, "a response has status %d", resp.StatusCode)
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return fault.Wrap(fault.Mismatch, ErrInvalid, remedy, "a response switches to a protocol that wasn't asked for")
	}
	for name := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fault.Wrap(fault.Mismatch, ErrInvalid, remedy, "a response has a field with the name %.64q", name)
		}
	}
	return nil
}

// Transport is an http.Transport that returns an error for a response with an invalid head.
type Transport struct{ *http.Transport }

// NewTransport returns a Transport over t, whose heads may have MaxBytes.
func NewTransport(t *http.Transport) Transport {
	t.MaxResponseHeaderBytes = MaxBytes
	return Transport{t}
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := Check(resp); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}
