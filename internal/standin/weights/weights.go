// Package weights is a stand-in of the weight store. It serves the weights of
// experts at a limited total rate and records every load.
package weights

import (
	"net/http"
	"sync"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/standin"
)

// PathLoad is the path at which an engine loads the weights of an expert.
const PathLoad = "/load"

// Load is the body of a request for weights, and the record of that request.
type Load struct {
	Rank   int   `json:"rank"`
	Expert int   `json:"expert"`
	Bytes  int64 `json:"bytes"`
	// SentAt is when the last byte was sent.
	SentAt time.Time `json:"ended"`
}

// Store is a stand-in of the weight store.
type Store struct {
	// rate is the total rate over all callers, in bytes per second.
	rate int64

	mu sync.Mutex
	// busyUntil is when the last accepted load will be finished.
	busyUntil time.Time
	loads     []Load
}

// New returns a store that serves rate bytes per second over all callers.
func New(rate int64) *Store { return &Store{rate: rate} }

// Handler returns the store's HTTP interface.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathLoad, s.load)
	mux.HandleFunc("GET /admin/loads", s.showLoads)
	return mux
}

// load responds once the time to send the requested bytes has passed.
func (s *Store) load(w http.ResponseWriter, r *http.Request) {
	var l Load
	err := standin.Decode(r, &l)
	if err == nil && l.Bytes <= 0 {
		err = fault.New(fault.Invalid, "set bytes to the size of the expert's weights", "invalid load of %d bytes", l.Bytes)
	}
	if err != nil {
		standin.Answer(w, nil, err)
		return
	}
	select {
	case <-time.After(time.Until(s.reserve(l.Bytes))):
	case <-r.Context().Done():
		return
	}
	l.SentAt = time.Now()
	s.mu.Lock()
	s.loads = append(s.loads, l)
	s.mu.Unlock()
	standin.Answer(w, l, nil)
}

// reserve queues a load after all accepted loads and returns when it will be
// finished.
func (s *Store) reserve(bytes int64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	s.busyUntil = s.busyUntil.Add(time.Duration(float64(bytes) / float64(s.rate) * float64(time.Second)))
	return s.busyUntil
}

func (s *Store) showLoads(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	loads := append([]Load{}, s.loads...)
	s.mu.Unlock()
	standin.Answer(w, loads, nil)
}
