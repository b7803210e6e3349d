package agent

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// TestCallOnBrokenConnectionRunsOnce guards against a second run of a
// non-idempotent call by the HTTP client's own retries. The service runs a call
// and closes the connection without a response, after an earlier call has left a
// connection that could be reused.
func TestCallOnBrokenConnectionRunsOnce(t *testing.T) {
	var runs atomic.Int64
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		if r.URL.Path == "/first" {
			return
		}
		runs.Add(1)
		panic(http.ErrAbortHandler)
	}))
	defer service.Close()
	u := newUpstream(service.URL, time.Minute, clockwork.NewRealClock())
	call := func(path string) outcome.Outcome {
		d := &wire.Dispatch{Method: http.MethodPost, Path: path, Body: []byte("order"), NonIdempotent: true, Key: "k"}
		o, _ := u.run(newRun(d, nil))
		return o
	}
	if o := call("/first"); o != outcome.Completed {
		t.Fatalf("first call: outcome %s", o)
	}
	if o := call("/second"); o != outcome.Unknown {
		t.Errorf("broken call: outcome %s", o)
	}
	if n := runs.Load(); n != 1 {
		t.Errorf("the call ran %d times", n)
	}
}
