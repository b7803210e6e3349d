package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/kingcupreel/kingcupreel/internal/outcome"
)

// TestBufferedBodyArrivesWhole writes an answer in several parts over a real
// connection, twice on the same one.
func TestBufferedBodyArrivesWhole(t *testing.T) {
	want := strings.Repeat("0123456789", 20_000)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		a := newAnswer(w, "r", false)
		a.setHead(http.StatusOK, "text/plain")
		_ = a.addChunk([]byte(want))
		a.finish(result{outcome: outcome.Completed})
	}))
	defer server.Close()
	for range 2 {
		resp, err := server.Client().Get(server.URL)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil || string(body) != want || resp.ContentLength != int64(len(want)) {
			t.Fatalf("%d of %d bytes, length %d, %v", len(body), len(want), resp.ContentLength, err)
		}
	}
}

// TestDisconnectedCallerEndsTheAnswer checks that an answer to a caller who
// closed the connection ends with an error instead of waiting.
func TestDisconnectedCallerEndsTheAnswer(t *testing.T) {
	ended := make(chan error)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		a := newAnswer(w, "r", true)
		a.setHead(http.StatusOK, "text/event-stream")
		var err error
		for err == nil {
			err = a.addChunk([]byte("data: {}\n\n"))
		}
		ended <- err
	}))
	defer server.Close()
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = c.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	_, _ = bufio.NewReader(c).ReadString('\n')
	c.Close()
	<-ended
}
