package main

import (
	"encoding/base64"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store, as the section of the same name in
// PROTOCOL.md describes it.
type store struct {
	history time.Duration
	// lags are the ages of the copies of which any may answer a stale read; without any, stale
	// reads are fresh. pageItems is the number of items in a page.
	lags      []time.Duration
	pageItems int

	mu       sync.Mutex
	revision int64
	items    map[string]*item
	events   []event
	// log holds all changes.
	log []event
	// compacted is the revision up to which the history has been discarded.
	compacted int64
	leases    map[int64]*lease
	lastLease int64
	changed   chan struct{}
	// cut is closed and replaced when the watches that wait are cut.
	cut chan struct{}
	// watchBytes is the size of the largest response to a watch.
	watchBytes int
}

type item struct {
	Key      string `json:"key"`
	Value    string `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
}

type event struct {
	item
	Deleted bool
	at      time.Time
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

func newStore(history time.Duration) *store {
	s := &store{history: history, pageItems: 500, revision: 1, items: map[string]*item{}, leases: map[int64]*lease{}, changed: make(chan struct{}), cut: make(chan struct{})}
	go func() {
		for {
			time.Sleep(50 * time.Millisecond)
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

// expire ends leases and discards old history. The caller holds mu.
func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.endLease(id)
		}
	}
	n := 0
	for n < len(s.events) && now.Sub(s.events[n].at) > s.history {
		s.compacted = s.events[n].Revision
		n++
	}
	s.events = s.events[n:]
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.revision++
			s.remove(key)
		}
	}
}

func (s *store) remove(key string) {
	if s.items[key] == nil {
		return
	}
	delete(s.items, key)
	s.append(event{item: item{Key: key, Revision: s.revision}, Deleted: true})
}

func (s *store) append(e event) {
	e.at = time.Now()
	s.events = append(s.events, e)
	s.log = append(s.log, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) write(key, value string, leaseID int64) {
	created := s.revision
	if old := s.items[key]; old != nil {
		created = old.Created
	}
	i := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: leaseID}
	s.items[key] = &i
	s.append(event{item: i})
}

// put writes a key as the operator or a replica does, and returns the time of the ack.
func (s *store) put(key string, value any) time.Time {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.putRaw(key, text)
}

func (s *store) putRaw(key string, text []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, base64.StdEncoding.EncodeToString(text), 0)
	return time.Now()
}

func (s *store) delete(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	return time.Now()
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/v1/kv-key":
		s.mu.Lock()
		i := s.items[q.Get("key")]
		revision := s.revision
		s.mu.Unlock()
		if i == nil {
			answer(w, 404, map[string]any{})
			return
		}
		answer(w, 200, map[string]any{"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease": i.Lease, "as-of": revision})
	case r.Method == http.MethodGet && r.URL.Path == "/v1/kv-range":
		var age time.Duration
		if q.Get("stale-ok") == "1" && len(s.lags) > 0 {
			age = s.lags[rand.IntN(len(s.lags))]
		}
		s.list(w, q.Get("path-prefix"), q.Get("after"), age)
	case r.Method == http.MethodGet && r.URL.Path == "/v1/kv-watch":
		s.watch(w, r)
	case r.Method == http.MethodPost && r.URL.Path == "/v1/kv-txn":
		s.txn(w, r)
	case r.Method == http.MethodPost && r.URL.Path == "/v1/kv-lease":
		var in struct {
			TTL int64 `json:"ttl-ms"`
		}
		_ = json.NewDecoder(r.Body).Decode(&in)
		ttl := min(max(time.Duration(in.TTL)*time.Millisecond, time.Second), 10*time.Minute)
		s.mu.Lock()
		s.lastLease++
		id := 77000 + s.lastLease
		s.leases[id] = &lease{ttl, time.Now().Add(ttl)}
		s.mu.Unlock()
		answer(w, 200, map[string]any{"lease": id, "ttl-ms": ttl.Milliseconds()})
	case r.Method == http.MethodPost && strings.HasPrefix(r.URL.Path, "/v1/kv-keep/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(r.URL.Path, "/v1/kv-keep/"), 10, 64)
		s.mu.Lock()
		l := s.leases[id]
		if l != nil {
			l.ends = time.Now().Add(l.ttl)
		}
		s.mu.Unlock()
		if l == nil {
			answer(w, 404, map[string]any{})
			return
		}
		answer(w, 200, map[string]any{"ttl-ms": l.ttl.Milliseconds()})
	case r.Method == http.MethodDelete && strings.HasPrefix(r.URL.Path, "/v1/kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(r.URL.Path, "/v1/kv-lease-end/"), 10, 64)
		s.mu.Lock()
		s.endLease(id)
		s.mu.Unlock()
		answer(w, 200, map[string]any{})
	default:
		answer(w, 404, map[string]any{})
	}
}

func answer(w http.ResponseWriter, status int, body any) int {
	text, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
	return len(text)
}

// list answers with a page of the items as they were some time ago.
func (s *store) list(w http.ResponseWriter, prefix, after string, age time.Duration) {
	s.mu.Lock()
	items, revision := s.items, s.revision
	if age > 0 {
		items, revision = s.before(time.Now().Add(-age))
	}
	var keys []string
	for key := range items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page, size, more := []item{}, 0, false
	for _, key := range keys {
		if len(page) == s.pageItems || size > 1<<20 {
			more = true
			break
		}
		page = append(page, *items[key])
		size += len(items[key].Value)
	}
	s.mu.Unlock()
	if len(s.lags) > 0 {
		record("store: a page of %q after %q with %d items, %v old, as-of %d", prefix, after, len(page), age.Round(time.Millisecond), revision)
	}
	answer(w, 200, map[string]any{"items": page, "has-more": more, "as-of": revision})
}

// before returns the items and the revision as they were at a time. The caller holds mu.
func (s *store) before(t time.Time) (items map[string]*item, revision int64) {
	items, revision = map[string]*item{}, 1
	for _, e := range s.log {
		if e.at.After(t) {
			break
		}
		revision = e.Revision
		if e.Deleted {
			delete(items, e.Key)
		} else {
			i := e.item
			items[e.Key] = &i
		}
	}
	return items, revision
}

// watch answers with the events after a revision as soon as there is one.
func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait-ms"), 10, 64)
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for timedOut := false; ; {
		s.mu.Lock()
		if after < s.compacted {
			s.mu.Unlock()
			answer(w, 410, map[string]any{})
			return
		}
		list := []map[string]any{}
		for _, e := range s.events {
			if e.Revision <= after || !strings.HasPrefix(e.Key, q.Get("path-prefix")) {
				continue
			}
			if e.Deleted {
				list = append(list, map[string]any{"key": e.Key, "revision": e.Revision, "deleted": true})
				continue
			}
			list = append(list, map[string]any{"key": e.Key, "value": e.Value, "revision": e.Revision, "created": e.Created, "lease": e.Lease})
		}
		changed, cut, revision := s.changed, s.cut, s.revision
		s.mu.Unlock()
		if len(list) > 0 || timedOut {
			n := answer(w, 200, map[string]any{"events": list, "as-of": revision})
			s.mu.Lock()
			s.watchBytes = max(s.watchBytes, n)
			s.mu.Unlock()
			return
		}
		select {
		case <-changed:
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-timer.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expect []struct {
			Key      string
			Revision int64
		}
		Writes []struct {
			Key, Value string
			Lease      int64
		}
		Deletes []string
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		answer(w, 400, map[string]any{})
		return
	}
	keys := append([]string{}, in.Deletes...)
	for _, x := range in.Writes {
		keys = append(keys, x.Key)
	}
	for _, key := range keys {
		if strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/") {
			answer(w, 403, map[string]any{})
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	current, holds := []item{}, true
	for _, x := range in.Expect {
		revision := int64(0)
		if i := s.items[x.Key]; i != nil {
			revision = i.Revision
			current = append(current, *i)
		}
		holds = holds && revision == x.Revision
	}
	if !holds {
		answer(w, 412, map[string]any{"items": current})
		return
	}
	for _, x := range in.Writes {
		if x.Lease != 0 && s.leases[x.Lease] == nil {
			answer(w, 404, map[string]any{})
			return
		}
	}
	s.revision++
	for _, x := range in.Writes {
		s.write(x.Key, x.Value, x.Lease)
	}
	for _, key := range in.Deletes {
		s.remove(key)
	}
	answer(w, 200, map[string]any{"revision": s.revision})
}

// size returns the size of a key's value in base64.
func (s *store) size(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.items[key].Value)
}

// largestWatch returns the size of the largest response to a watch.
func (s *store) largestWatch() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watchBytes
}

// cutWatches cuts the watches that wait.
func (s *store) cutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.cut)
	s.cut = make(chan struct{})
}
