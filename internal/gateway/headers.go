package gateway

import (
	"net/http"
	"slices"
	"strings"
)

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length", "Host",
}

// endToEnd returns a copy of headers without those of one connection.
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
