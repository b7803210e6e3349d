package gateway

import (
	"net/http"
	"slices"
	"strings"
)

// hopByHop lists the headers that apply to a single connection.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length", "Host",
}

// endToEnd returns a copy of the headers without those that apply to a single
// connection.
func endToEnd(h http.Header) http.Header {
	var connectionHeaders []string
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			connectionHeaders = append(connectionHeaders, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	out := make(http.Header, len(h))
	for name, values := range h {
		if !slices.Contains(hopByHop, name) && !slices.Contains(connectionHeaders, name) {
			out[name] = slices.Clone(values)
		}
	}
	return out
}
