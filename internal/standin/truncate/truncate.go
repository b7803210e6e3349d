// Package truncate serves HTTP answers that end at every possible byte, so that tests of
// clients can check that no part of an answer is taken for the whole.
package truncate

import (
	"fmt"
	"net/http"
	"reflect"
	"strings"
	"sync"
)

// Answer is an HTTP answer.
type Answer struct {
	Status int
	// Header holds further header lines, each with its line end.
	Header string
	Body   string
}

// framing is how the end of a body is found.
type framing int

const (
	byLength framing = iota
	byChunks
	byConnection
)

func (f framing) String() string {
	return [...]string{"length", "chunks", "end of connection"}[f]
}

func (a Answer) encode(f framing) string {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s", a.Status, http.StatusText(a.Status), a.Header)
	if a.Status == http.StatusNoContent || a.Status == http.StatusNotModified {
		return head + "\r\n"
	}
	switch f {
	case byLength:
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(a.Body), a.Body)
	case byChunks:
		var body strings.Builder
		half := len(a.Body) / 2
		for _, chunk := range []string{a.Body[:half], a.Body[half:]} {
			if chunk != "" {
				fmt.Fprintf(&body, "%x\r\n%s\r\n", len(chunk), chunk)
			}
		}
		return head + "Transfer-Encoding: chunked\r\nTrailer: X-Trailer\r\n\r\n" + body.String() + "0\r\nX-Trailer: 1\r\n\r\n"
	}
	return head + "Connection: close\r\n\r\n" + a.Body
}

// Call makes a client's calls to the server at address, IP:port, with a new client. It
// returns what the client says of the last answer. definite is false if the client says
// that it got none.
type Call func(address string) (got any, definite bool)

const (
	// maxFailures bounds the failures that Check returns.
	maxFailures = 10
	// maxTries bounds the calls for an answer, which a client with a short timeout may not
	// get on a busy machine.
	maxTries = 20
)

// callForCut calls until the client has asked for the last answer or got another one. A call
// that didn't ask for it must say that it got none, like the others.
func callForCut(call Call, s *server, before []string, last string) (got any, definite bool) {
	for range maxTries {
		s.serve(before, last)
		if got, definite = call(s.address()); definite || s.served() {
			break
		}
	}
	return got, definite
}

// Check cuts the last answer at every byte, with each framing and with the connection ended
// in order or reset. A client must say that it got no answer or return want, and want for
// the whole answer. The answers before the last one are served whole. Check returns a line
// for each failure, and how many cut answers were served.
func Check(want any, call Call, answers ...Answer) (failures []string, cuts int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, f := range []framing{byLength, byChunks, byConnection} {
		for _, reset := range []bool{false, true} {
			wg.Go(func() {
				found, n := checkFraming(want, call, answers, f, reset)
				mu.Lock()
				defer mu.Unlock()
				failures = append(failures, found...)
				cuts += n
			})
		}
	}
	wg.Wait()
	return failures[:min(len(failures), maxFailures)], cuts
}

func checkFraming(want any, call Call, answers []Answer, f framing, reset bool) (failures []string, cuts int) {
	s, err := newServer(f, reset)
	if err != nil {
		return []string{err.Error()}, 0
	}
	defer s.close()
	encoded := make([]string, 0, len(answers))
	for _, a := range answers {
		encoded = append(encoded, a.encode(f))
	}
	before, last := encoded[:len(encoded)-1], encoded[len(encoded)-1]
	if !reset {
		if got, definite := callForWhole(call, s, before, last); !definite || !reflect.DeepEqual(got, want) {
			return []string{fmt.Sprintf("%v, whole: got %+v (definite: %v), want %+v", f, got, definite, want)}, 0
		}
	}
	for n := range len(last) {
		got, definite := callForCut(call, s, before, last[:n])
		if s.served() {
			cuts++
		} else {
			failures = append(failures, fmt.Sprintf("%v, reset: %v, cut at byte %d: the client didn't ask for the answer", f, reset, n))
		}
		if definite && !reflect.DeepEqual(got, want) {
			failures = append(failures, fmt.Sprintf("%v, reset: %v, cut after %q: got %+v, want %+v or an error", f, reset, last[max(0, n-20):n], got, want))
		}
	}
	return failures, cuts
}

func callForWhole(call Call, s *server, before []string, last string) (got any, definite bool) {
	for range maxTries {
		s.serve(before, last)
		if got, definite = call(s.address()); definite {
			break
		}
	}
	return got, definite
}
