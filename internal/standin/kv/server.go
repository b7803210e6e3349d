package kv

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/kvstore"
	"github.com/kingcupreel/kingcupreel/internal/kvstore/kvhttp"
	"github.com/kingcupreel/kingcupreel/internal/standin"
)

// Faults are the faults that a scenario orders. The zero value is none.
type Faults struct {
	// Outage answers every call with 503.
	Outage bool `json:"outage"`
	// DelayMS delays every call.
	DelayMS int64 `json:"delay_ms"`
	// LoseAnswers makes that many writes take effect without an answer.
	LoseAnswers int `json:"lose_answers"`
}

// Stats counts calls; a waiting watch counts as one.
type Stats struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	Refused int64 `json:"refused"`
	// VMLists counts reads of the VM list, which is not the key-value service.
	VMLists int64 `json:"vm_lists"`
}

// Server serves a Store over HTTP, and the VM list beside it.
type Server struct {
	store *Store

	mu     sync.Mutex
	faults Faults
	stats  Stats
	vms    map[string]kvstore.VM
}

// NewServer returns a server of the store.
func NewServer(store *Store) *Server {
	return &Server{store: store, vms: map[string]kvstore.VM{}}
}

// Handler returns the HTTP interface: the service's calls, and below /admin
// the faults and counters.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(kvhttp.PathGet, s.read(s.get))
	mux.HandleFunc(kvhttp.PathList, s.read(s.list))
	mux.HandleFunc(kvhttp.PathWatch, s.watch)
	mux.HandleFunc(kvhttp.PathPut, s.write(s.put))
	mux.HandleFunc(kvhttp.PathDelete, s.write(s.delete))
	mux.HandleFunc(kvhttp.PathGrant, s.write(s.grant))
	mux.HandleFunc(kvhttp.PathKeepAlive, s.write(s.keepAlive))
	mux.HandleFunc(kvhttp.PathRevoke, s.write(s.revoke))
	mux.HandleFunc(kvhttp.PathVMs, s.serveVMs)
	mux.HandleFunc("POST /admin/faults", s.setFaults)
	mux.HandleFunc("GET /admin/stats", s.showStats)
	mux.HandleFunc("POST /admin/save", order(s.store.Save))
	mux.HandleFunc("POST /admin/restore", order(s.store.Restore))
	mux.HandleFunc("POST /admin/vms", s.setVM)
	mux.HandleFunc("DELETE /admin/vms/{id}", s.deleteVM)
	return mux
}

// order runs f and answers with an empty object.
func order(f func()) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		f()
		standin.Answer(w, struct{}{}, nil)
	}
}

// call runs one call of the service and returns its answer.
type call func(r *http.Request) (any, error)

func (s *Server) read(f call) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.enter(w, func(st *Stats) { st.Reads++ }) {
			return
		}
		answer, err := f(r)
		standin.Answer(w, answer, err)
	}
}

func (s *Server) write(f call) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.enter(w, func(st *Stats) { st.Writes++ }) {
			return
		}
		answer, err := f(r)
		if s.loseAnswer() {
			panic(http.ErrAbortHandler)
		}
		standin.Answer(w, answer, err)
	}
}

// enter counts the call and applies delay and outage; false means that the
// call has been answered.
func (s *Server) enter(w http.ResponseWriter, count func(*Stats)) bool {
	s.mu.Lock()
	count(&s.stats)
	faults := s.faults
	if faults.Outage {
		s.stats.Refused++
	}
	s.mu.Unlock()
	time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond)
	if faults.Outage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
	}
	return !faults.Outage
}

func (s *Server) loseAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers == 0 {
		return false
	}
	s.faults.LoseAnswers--
	return true
}

func (s *Server) get(r *http.Request) (any, error) { return s.store.Get(r.FormValue("key")) }

func (s *Server) list(r *http.Request) (any, error) { return s.store.List(r.FormValue("prefix")), nil }

func (s *Server) put(r *http.Request) (any, error) {
	var p kvstore.Put
	if err := standin.Decode(r, &p); err != nil {
		return nil, err
	}
	rev, err := s.store.Put(p)
	return kvhttp.WriteAnswer{Revision: rev}, err
}

func (s *Server) delete(r *http.Request) (any, error) {
	var c kvhttp.DeleteCall
	if err := standin.Decode(r, &c); err != nil {
		return nil, err
	}
	rev, err := s.store.Delete(c.Key, c.Expect)
	return kvhttp.WriteAnswer{Revision: rev}, err
}

func (s *Server) grant(r *http.Request) (any, error) {
	var c kvhttp.GrantCall
	if err := standin.Decode(r, &c); err != nil {
		return nil, err
	}
	return kvhttp.LeaseAnswer{Lease: s.store.Grant(time.Duration(c.TTLMS) * time.Millisecond)}, nil
}

func (s *Server) keepAlive(r *http.Request) (any, error) {
	var c kvhttp.LeaseCall
	if err := standin.Decode(r, &c); err != nil {
		return nil, err
	}
	return struct{}{}, s.store.KeepAlive(c.Lease)
}

func (s *Server) revoke(r *http.Request) (any, error) {
	var c kvhttp.LeaseCall
	if err := standin.Decode(r, &c); err != nil {
		return nil, err
	}
	s.store.Revoke(c.Lease)
	return struct{}{}, nil
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	if !s.enter(w, func(st *Stats) { st.Watches++ }) {
		return
	}
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	waitMS, _ := strconv.ParseInt(r.FormValue("wait_ms"), 10, 64)
	timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timer.Stop()
	for {
		batch, changed, err := s.store.Changes(r.FormValue("prefix"), after)
		if err != nil || len(batch.Events) > 0 {
			standin.Answer(w, batch, err)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			standin.Answer(w, batch, nil)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) setVM(w http.ResponseWriter, r *http.Request) {
	var vm kvstore.VM
	if err := standin.Decode(r, &vm); err != nil {
		standin.Answer(w, nil, err)
		return
	}
	s.mu.Lock()
	s.vms[vm.ID] = vm
	s.mu.Unlock()
	standin.Answer(w, vm, nil)
}

func (s *Server) deleteVM(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	delete(s.vms, r.PathValue("id"))
	s.mu.Unlock()
	standin.Answer(w, struct{}{}, nil)
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := standin.Decode(r, &f); err != nil {
		standin.Answer(w, nil, err)
		return
	}
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
	standin.Answer(w, f, nil)
}

func (s *Server) showStats(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	stats := s.stats
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(stats)
}
