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

// Faults are the faults that the server injects. The zero value injects none.
type Faults struct {
	// Outage makes the server respond with 503 to every call that is not below
	// /admin.
	Outage bool `json:"outage"`
	// DelayMS delays those calls, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// LoseAnswers is how many of the next writes take effect but get no response:
	// their connections are closed instead.
	LoseAnswers int `json:"lose_answers"`
}

// Stats counts calls since the start. A watch counts as one call however long
// it waits.
type Stats struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	// Refused counts calls that got a 503 because of an outage.
	Refused int64 `json:"refused"`
	// VMLists counts reads of the VM list, which is not part of the key-value
	// service.
	VMLists int64 `json:"vm_lists"`
}

// Server serves a Store and a VM list over HTTP.
type Server struct {
	store *Store

	mu     sync.Mutex
	faults Faults
	stats  Stats
	vms    map[string]kvstore.VM
}

// NewServer returns a server of store with an empty VM list.
func NewServer(store *Store) *Server {
	return &Server{store: store, vms: map[string]kvstore.VM{}}
}

// Handler returns the HTTP interface: the calls of the key-value service, the
// VM list, and test control below /admin.
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
	mux.HandleFunc("POST /admin/save", adminAction(s.store.Save))
	mux.HandleFunc("POST /admin/restore", adminAction(s.store.Restore))
	mux.HandleFunc("POST /admin/revert", adminAction(s.store.Revert))
	mux.HandleFunc("POST /admin/vms", s.setVM)
	mux.HandleFunc("DELETE /admin/vms/{id}", s.deleteVM)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.setEra(w)
		mux.ServeHTTP(w, r)
	})
}

// setEra states the store's era in a response.
func (s *Server) setEra(w http.ResponseWriter) {
	w.Header().Set(platform.HeaderEra, strconv.FormatInt(s.store.Era(), 10))
}

// adminAction returns a handler that runs f and responds with an empty object.
func adminAction(f func()) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		f()
		standin.Answer(w, struct{}{}, nil)
	}
}

// operation runs a call of the service and returns the response body.
type operation func(r *http.Request) (any, error)

// read returns a handler that counts a read and responds with the result of op.
func (s *Server) read(op operation) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.beginCall(w, func(st *Stats) { st.Reads++ }) {
			return
		}
		response, err := op(r)
		standin.Answer(w, response, err)
	}
}

// write returns a handler that counts a write and responds with the result of op.
// While LoseAnswers is above 0, it closes the connection instead of responding.
func (s *Server) write(op operation) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.beginCall(w, func(st *Stats) { st.Writes++ }) {
			return
		}
		response, err := op(r)
		if s.dropResponse() {
			panic(http.ErrAbortHandler)
		}
		writeResponse(w, response, err)
	}
}

// beginCall counts a call and injects delay and outage. It returns false if it
// has already responded.
func (s *Server) beginCall(w http.ResponseWriter, count func(*Stats)) bool {
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

// dropResponse reports whether to drop the response of a write, and decrements
// LoseAnswers if so.
func (s *Server) dropResponse() bool {
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

// maxPageItems is the maximum number of items in a page of a range.
const maxPageItems = 500

func (s *Server) list(r *http.Request) (any, error) {
	listing := s.store.List(r.FormValue(platform.QueryPrefix))
	response := platform.RangeResponse{Items: []platform.Item{}, AsOf: listing.Revision}
	for _, item := range listing.Items {
		if item.Key <= r.FormValue(platform.QueryAfter) {
			continue
		}
		if len(response.Items) == maxPageItems {
			response.HasMore = true
			break
		}
		response.Items = append(response.Items, platform.EncodeItem(item))
	}
	return response, nil
}

func (s *Server) commit(r *http.Request) (any, error) {
	var req platform.TxnRequest
	if err := standin.Decode(r, &req); err != nil {
		return nil, err
	}
	txn := Txn{Deletes: req.Deletes}
	for _, e := range req.Expect {
		txn.Expect = append(txn.Expect, Condition(e))
	}
	for _, w := range req.Writes {
		txn.Writes = append(txn.Writes, kvstore.Put{Key: w.Key, Value: w.Value, Lease: w.Lease})
	}
	revision, items, err := s.store.Commit(txn)
	if fault.KindOf(err) == fault.Conflict {
		return nil, conflictError{items, err}
	}
	return platform.TxnResponse{Revision: revision}, err
}

// conflictError is the error of a transaction with a failed condition. It holds
// the current items of the keys with conditions; absent keys have none.
type conflictError struct {
	currentItems []kvstore.Item
	error
}

func (s *Server) grant(r *http.Request) (any, error) {
	var req platform.LeaseRequest
	if err := standin.Decode(r, &req); err != nil {
		return nil, err
	}
	return platform.LeaseResponse{Lease: s.store.Grant(time.Duration(req.TTLMS) * time.Millisecond), TTLMS: req.TTLMS}, nil
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

// writeResponse writes response, or err with the status that the platform's
// protocol defines: 412 and the current items for a conflict.
func writeResponse(w http.ResponseWriter, response any, err error) {
	conflict, ok := err.(conflictError)
	if !ok {
		standin.Answer(w, response, err)
		return
	}
	body := platform.TxnResponse{Items: []platform.Item{}}
	for _, item := range conflict.currentItems {
		body.Items = append(body.Items, platform.EncodeItem(item))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusPreconditionFailed)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	if !s.beginCall(w, func(st *Stats) { st.Watches++ }) {
		return
	}
	after, _ := strconv.ParseInt(r.FormValue(platform.QueryAfter), 10, 64)
	waitMS, _ := strconv.ParseInt(r.FormValue(platform.QueryWait), 10, 64)
	timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timer.Stop()
	for {
		batch, changed, err := s.store.Changes(r.FormValue(platform.QueryPrefix), after)
		s.setEra(w)
		if err != nil || len(batch.Events) > 0 {
			standin.Answer(w, watchResponse(batch), err)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			standin.Answer(w, watchResponse(batch), nil)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func watchResponse(batch kvstore.Batch) platform.WatchResponse {
	response := platform.WatchResponse{Events: []platform.Item{}, AsOf: batch.Revision}
	for _, e := range batch.Events {
		item := platform.EncodeItem(e.Item)
		item.Deleted = e.Deleted
		response.Events = append(response.Events, item)
	}
	return response
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
