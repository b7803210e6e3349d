package entry

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/config/codec"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/opapi"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/platform"
	"github.com/kingcupreel/kingcupreel/internal/telemetry"
	"github.com/kingcupreel/kingcupreel/internal/timeline"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// gatherTimeout bounds the wait for the agents' event rings.
const gatherTimeout = 1 * time.Second

// OperatorHandler returns the operators' HTTP interface, with health, readiness
// and metrics.
func (e *Entry) OperatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", e.ready)
	mux.HandleFunc("GET /metrics", telemetry.MetricsHandler(e.opts.Metrics))
	mux.HandleFunc("GET "+opapi.PathStatus, e.operator(e.status))
	mux.HandleFunc("GET "+opapi.PathEvents, e.operator(e.events))
	mux.HandleFunc("GET "+pathQuarantine, e.operator(e.listQuarantine))
	mux.HandleFunc("GET "+opapi.PathConfig, e.operator(e.listConfig))
	mux.HandleFunc("PUT "+opapi.PathConfig+"/{kind}/{name}", e.operator(e.putConfig))
	return mux
}

func (e *Entry) ready(w http.ResponseWriter, _ *http.Request) {
	if e.Draining() || e.opts.Store.Current().Revision == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// operator authenticates an operator, runs f and writes its answer.
func (e *Entry) operator(f func(r *http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !e.isOperator(bearer(r)) {
			err := fault.New(fault.Unauthenticated, "send Authorization: Bearer with an operator's token", "no operator for this token")
			writeError(w, outcome.NotRun, err)
			return
		}
		out, err := f(r)
		if err != nil {
			writeError(w, outcome.NotRun, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(out)
	}
}

func (e *Entry) isOperator(token string) bool {
	if token == "" {
		return false
	}
	if config.HashToken(token) == e.opts.OperatorTokenSHA256 {
		return true
	}
	return e.opts.Store.Current().OperatorByToken(token) != nil
}

func (e *Entry) status(*http.Request) (any, error) {
	snap := e.opts.Store.Current()
	s := opapi.Status{Process: e.opts.Hello.Process, DataCentre: e.opts.Hello.DataCentre, Revision: snap.Revision, Rejected: snap.Rejected, Draining: e.Draining()}
	for _, l := range e.links.all() {
		s.Upstreams = append(s.Upstreams, l.status())
	}
	sort.Slice(s.Upstreams, func(i, j int) bool { return s.Upstreams[i].Name < s.Upstreams[j].Name })
	return s, nil
}

func (l *link) status() opapi.UpstreamStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	return opapi.UpstreamStatus{
		Name: l.upstream.Name, DataCentre: l.upstream.DataCentre,
		Connected: l.conn != nil, Leaving: l.leaving, Revision: l.hello.Revision,
		InFlight: l.inFlight, Running: l.load.Running, Queued: l.load.Queued, Capacity: l.load.Capacity,
	}
}

func (e *Entry) listConfig(*http.Request) (any, error) {
	snap := e.opts.Store.Current()
	list := opapi.ConfigList{Revision: snap.Revision}
	for _, r := range snap.Records {
		list.Records = append(list.Records, opapi.ConfigRecord{Key: r.Key, Revision: r.Revision, Record: json.RawMessage(r.Value)})
	}
	return list, nil
}

func (e *Entry) putConfig(r *http.Request) (any, error) {
	key := config.Key{Kind: config.Kind(r.PathValue("kind")), Name: r.PathValue("name")}
	expect, err := strconv.ParseInt(r.FormValue("expect"), 10, 64)
	if err != nil {
		return nil, fault.New(fault.Invalid, "give expect: the record's revision, or 0 for a new one", "parameter expect: %q", r.FormValue("expect"))
	}
	body, err := readBody(nil, r)
	if err != nil {
		return nil, err
	}
	if _, err := codec.Decode(key, body); err != nil {
		return nil, err
	}
	rev, err := e.opts.KV.Put(r.Context(), platform.Put{Key: key.Path(), Value: body, Expect: expect})
	if err != nil {
		return nil, err
	}
	return opapi.Written{Revision: rev}, nil
}

// gatherTable routes the event rings of agents to the requests that wait for
// them. Its lock is a leaf.
type gatherTable struct {
	mu    sync.Mutex
	next  uint64
	waits map[uint64]chan []timeline.Event
}

func (t *gatherTable) open(n int) (uint64, chan []timeline.Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next++
	c := make(chan []timeline.Event, n)
	t.waits[t.next] = c
	return t.next, c
}

func (t *gatherTable) close(nonce uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.waits, nonce)
}

func (e *Entry) gathered(m *wire.EventsReply) {
	e.gather.mu.Lock()
	defer e.gather.mu.Unlock()
	select {
	case e.gather.waits[m.Nonce] <- m.Events:
	default:
	}
}

// events merges the rings of this entry and of the agents it reaches.
func (e *Entry) events(r *http.Request) (any, error) {
	links := e.links.all()
	nonce, replies := e.gather.open(len(links))
	defer e.gather.close(nonce)
	waiting := 0
	for _, l := range links {
		if l.send(&wire.EventsRequest{Nonce: nonce}) == nil {
			waiting++
		}
	}
	rings := [][]timeline.Event{e.opts.Events.Events()}
	timer := time.NewTimer(gatherTimeout)
	defer timer.Stop()
	for ; waiting > 0; waiting-- {
		select {
		case ring := <-replies:
			rings = append(rings, ring)
		case <-timer.C:
			return timeline.Merge(rings...), nil
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
	}
	return timeline.Merge(rings...), nil
}
