// Package weights is a stand-in of the weight store: it hands out the weights of
// experts at a bounded rate and records every load.
package weights

import (
	"net/http"
	"sync"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/standin"
)

// PathLoad is where an engine asks for an expert's weights.
const PathLoad = "/load"

// Load is the body of a load and its record.
type Load struct {
	Rank   int   `json:"rank"`
	Expert int   `json:"expert"`
	Bytes  int64 `json:"bytes"`
	// SentAt is when the last byte was handed out.
	SentAt time.Time `json:"ended"`
}

// Store is the stand-in.
type Store struct {
	// rate is in bytes a second.
	rate int64

	mu sync.Mutex
	// free is when the loads accepted so far have been handed out.
	free  time.Time
	loads []Load
}

// New returns a store that hands out rate bytes a second over all its callers.
func New(rate int64) *Store { return &Store{rate: rate} }

// Handler returns the store's HTTP interface.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathLoad, s.load)
	mux.HandleFunc("GET /admin/loads", s.showLoads)
	return mux
}

// load answers when the bytes have been handed out.
func (s *Store) load(w http.ResponseWriter, r *http.Request) {
	var l Load
	err := standin.Decode(r, &l)
	if err == nil && l.Bytes <= 0 {
		err = fault.New(fault.Invalid, "give the bytes of the expert's weights", "load of %d bytes", l.Bytes)
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

// reserve returns when a load that is accepted now ends.
func (s *Store) reserve(bytes int64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); s.free.Before(now) {
		s.free = now
	}
	s.free = s.free.Add(time.Duration(float64(bytes) / float64(s.rate) * float64(time.Second)))
	return s.free
}

func (s *Store) showLoads(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	loads := append([]Load{}, s.loads...)
	s.mu.Unlock()
	standin.Answer(w, loads, nil)
}
