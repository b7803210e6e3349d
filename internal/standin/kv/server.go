package kv

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/kvstore"
	"github.com/kingcupreel/kingcupreel/internal/standin"
	"github.com/kingcupreel/kingcupreel/internal/vmlist"
	"github.com/kingcupreel/kingcupreel/platform"
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
	mux.HandleFunc("GET "+platform.PathItem, s.read(s.get))
	mux.HandleFunc("GET "+platform.PathRange, s.read(s.list))
	mux.HandleFunc("GET "+platform.PathWatch, s.watch)
	mux.HandleFunc("POST "+platform.PathTxn, s.write(s.commit))
	mux.HandleFunc("POST "+platform.PathGrant, s.write(s.grant))
	mux.HandleFunc("POST "+platform.PathRenew+"{id}", s.write(s.keepAlive))
	mux.HandleFunc("DELETE "+platform.PathRevoke+"{id}", s.write(s.revoke))
	mux.HandleFunc("GET "+vmlist.Path, s.serveVMs)
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
		a, err := f(r)
		standin.Answer(w, a, err)
	}
}

func (s *Server) write(f call) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.enter(w, func(st *Stats) { st.Writes++ }) {
			return
		}
		a, err := f(r)
		if s.loseAnswer() {
			panic(http.ErrAbortHandler)
		}
		answer(w, a, err)
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

func (s *Server) get(r *http.Request) (any, error) {
	item, err := s.store.Get(r.FormValue(platform.QueryKey))
	return platform.EncodeItem(item), err
}

// pageItems is the number of items in a page of a range.
const pageItems = 500

func (s *Server) list(r *http.Request) (any, error) {
	l := s.store.List(r.FormValue(platform.QueryPrefix))
	answer := platform.RangeResponse{Items: []platform.Item{}, AsOf: l.Revision}
	for _, item := range l.Items {
		if item.Key <= r.FormValue(platform.QueryAfter) {
			continue
		}
		if len(answer.Items) == pageItems {
			answer.HasMore = true
			break
		}
		answer.Items = append(answer.Items, platform.EncodeItem(item))
	}
	return answer, nil
}

func (s *Server) commit(r *http.Request) (any, error) {
	var c platform.TxnRequest
	if err := standin.Decode(r, &c); err != nil {
		return nil, err
	}
	t := Txn{Deletes: c.Deletes}
	for _, e := range c.Expect {
		t.Expect = append(t.Expect, Condition(e))
	}
	for _, w := range c.Writes {
		t.Writes = append(t.Writes, kvstore.Put{Key: w.Key, Value: w.Value, Lease: w.Lease})
	}
	revision, found, err := s.store.Commit(t)
	if fault.KindOf(err) == fault.Conflict {
		return nil, conflict{found, err}
	}
	return platform.TxnResponse{Revision: revision}, err
}

// conflict is a transaction whose condition failed, with what was found.
type conflict struct {
	found []kvstore.Item
	error
}

func (s *Server) grant(r *http.Request) (any, error) {
	var c platform.LeaseRequest
	if err := standin.Decode(r, &c); err != nil {
		return nil, err
	}
	return platform.LeaseResponse{Lease: s.store.Grant(time.Duration(c.TTLMS) * time.Millisecond), TTLMS: c.TTLMS}, nil
}

func (s *Server) keepAlive(r *http.Request) (any, error) {
	id, err := strconv.ParseInt(r.PathValue("id"), 10, 64)
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "", "lease")
	}
	return struct{}{}, s.store.KeepAlive(id)
}

func (s *Server) revoke(r *http.Request) (any, error) {
	id, err := strconv.ParseInt(r.PathValue("id"), 10, 64)
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "", "lease")
	}
	s.store.Revoke(id)
	return struct{}{}, nil
}

// answer writes an answer, or an error with the status that the published
// protocol gives it.
func answer(w http.ResponseWriter, a any, err error) {
	c, ok := err.(conflict)
	if !ok {
		standin.Answer(w, a, err)
		return
	}
	body := platform.TxnResponse{Items: []platform.Item{}}
	for _, item := range c.found {
		body.Items = append(body.Items, platform.EncodeItem(item))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusPreconditionFailed)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	if !s.enter(w, func(st *Stats) { st.Watches++ }) {
		return
	}
	after, _ := strconv.ParseInt(r.FormValue(platform.QueryAfter), 10, 64)
	waitMS, _ := strconv.ParseInt(r.FormValue(platform.QueryWait), 10, 64)
	timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timer.Stop()
	for {
		batch, changed, err := s.store.Changes(r.FormValue(platform.QueryPrefix), after)
		if err != nil || len(batch.Events) > 0 {
			standin.Answer(w, watchAnswer(batch), err)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			standin.Answer(w, watchAnswer(batch), nil)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func watchAnswer(b kvstore.Batch) platform.WatchResponse {
	a := platform.WatchResponse{Events: []platform.Item{}, AsOf: b.Revision}
	for _, e := range b.Events {
		item := platform.EncodeItem(e.Item)
		item.Deleted = e.Deleted
		a.Events = append(a.Events, item)
	}
	return a
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
