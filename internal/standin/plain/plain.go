// Package plain is a stand-in of a plain service. It records each call that it
// ran, so that a checker can find calls that ran twice.
package plain

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/engineapi"
	"github.com/kingcupreel/kingcupreel/internal/standin"
)

// Call records one call.
type Call struct {
	Key     string    `json:"key"`
	Request string    `json:"request"`
	Method  string    `json:"method"`
	Path    string    `json:"path"`
	Body    string    `json:"body"`
	At      time.Time `json:"at"`
}

// Receipt is the response to a call; Done is the body of the request.
type Receipt struct {
	Done string `json:"done"`
}

// Service is a stand-in of a plain service.
type Service struct {
	// Delay is the time from recording a call to responding to it.
	Delay time.Duration

	limit standin.LimitNamer

	mu    sync.Mutex
	calls []Call
}

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/calls", s.showCalls)
	mux.HandleFunc("GET "+engineapi.PathLoad, http.NotFound)
	mux.HandleFunc("/", s.serve)
	return s.limit.Handler(mux)
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	call := Call{
		Key:     r.Header.Get("Idempotency-Key"),
		Request: r.Header.Get(engineapi.HeaderRequest),
		Method:  r.Method,
		Path:    r.URL.Path,
		Body:    string(body),
		At:      time.Now(),
	}
	s.mu.Lock()
	s.calls = append(s.calls, call)
	s.mu.Unlock()
	time.Sleep(s.Delay)
	standin.Answer(w, Receipt{Done: string(body)}, nil)
}

func (s *Service) showCalls(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	calls := append([]Call{}, s.calls...)
	s.mu.Unlock()
	standin.Answer(w, calls, nil)
}
