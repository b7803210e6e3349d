package ranks

import (
	"net/http"
	"strconv"

	"github.com/kingcupreel/kingcupreel/internal/engineapi"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/standin"
)

// Fault is the body of POST /admin/fault. It stalls or resumes a rank, and
// restarts its engine if Restart is set.
type Fault struct {
	Rank    int  `json:"rank"`
	Stalled bool `json:"stalled"`
	Restart bool `json:"restart"`
}

// Record is the response of GET /admin/record.
type Record struct {
	Steps         []Step         `json:"steps"`
	AppliedOrders []AppliedOrder `json:"effects"`
	// Completed is the number of steps that all ranks have completed.
	Completed int64 `json:"completed"`
}

// Handler returns the HTTP interface of the group: the engine of each rank
// below /rank/N, with N counted from 0, and test control below /admin.
func (g *Group) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rank/{rank}"+engineapi.PathLoad, func(w http.ResponseWriter, _ *http.Request) {
		standin.Answer(w, engineapi.Load{Capacity: 1}, nil)
	})
	mux.HandleFunc("GET /rank/{rank}"+engineapi.PathMapStatus, g.rankHandler(func(r int, _ *http.Request) (any, error) {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.status(r), nil
	}))
	mux.HandleFunc("POST /rank/{rank}"+engineapi.PathMapStage, bodyHandler(g, func(r int, b engineapi.MapStage) (any, error) {
		return struct{}{}, g.stage(r, b)
	}))
	mux.HandleFunc("POST /rank/{rank}"+engineapi.PathMapHold, bodyHandler(g, func(r int, b engineapi.MapHold) (any, error) {
		return g.hold(r, b)
	}))
	mux.HandleFunc("POST /rank/{rank}"+engineapi.PathMapRefuse, bodyHandler(g, func(r int, b engineapi.MapHold) (any, error) {
		g.mu.Lock()
		defer g.mu.Unlock()
		yes, err := g.ranks[r].engine.Refuse(b.ID)
		return engineapi.MapVote{Yes: yes}, err
	}))
	mux.HandleFunc("POST /rank/{rank}"+engineapi.PathMapResume, bodyHandler(g, func(r int, b engineapi.MapResume) (any, error) {
		g.mu.Lock()
		defer g.mu.Unlock()
		return struct{}{}, g.ranks[r].engine.Resume(b.ID, b.Version)
	}))
	mux.HandleFunc("POST /rank/{rank}"+engineapi.PathMapStop, bodyHandler(g, func(r int, b engineapi.MapStop) (any, error) {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.ranks[r].engine.Stop(b.Round, b.StagedVersion)
	}))
	mux.HandleFunc("POST /rank/{rank}"+engineapi.PathMapForm, bodyHandler(g, func(r int, b engineapi.MapForm) (any, error) {
		g.mu.Lock()
		defer g.mu.Unlock()
		return struct{}{}, g.form(r, b)
	}))
	mux.HandleFunc("POST /admin/fault", g.fault)
	mux.HandleFunc("POST /admin/popularity", g.setPopularity)
	mux.HandleFunc("GET /admin/record", g.showRecord)
	return mux
}

// form adds rank r to the round that b names. A restarted engine copies the map
// of b from a rank that has it. The caller holds mu.
func (g *Group) form(r int, b engineapi.MapForm) error {
	for _, other := range g.ranks {
		if m := other.maps[b.Version]; m != nil {
			g.ranks[r].maps[b.Version] = m
		}
	}
	return g.ranks[r].engine.Form(b.Round, b.Version, b.Completed)
}

// rankHandler parses the rank from the path and responds with the result of
// handle.
func (g *Group) rankHandler(handle func(rank int, r *http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		rank, err := strconv.Atoi(r.PathValue("rank"))
		if err != nil || rank < 0 || rank >= len(g.ranks) {
			standin.Answer(w, nil, fault.New(fault.NotFound, "name a rank of the group", "no rank %q", r.PathValue("rank")))
			return
		}
		out, err := handle(rank, r)
		standin.Answer(w, out, err)
	}
}

// bodyHandler is rankHandler for calls with a JSON body.
func bodyHandler[T any](g *Group, handle func(rank int, body T) (any, error)) http.HandlerFunc {
	return g.rankHandler(func(rank int, r *http.Request) (any, error) {
		var body T
		if err := standin.Decode(r, &body); err != nil {
			return nil, err
		}
		return handle(rank, body)
	})
}

func (g *Group) fault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	err := standin.Decode(r, &f)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil && (f.Rank < 0 || f.Rank >= len(g.ranks)) {
		err = fault.New(fault.NotFound, "name a rank of the group", "no rank %d", f.Rank)
	}
	if err == nil {
		g.ranks[f.Rank].stalled = f.Stalled
		if f.Restart {
			g.restartRank(f.Rank)
		}
	}
	standin.Answer(w, struct{}{}, err)
}

// setPopularity sets the tokens per step of each expert.
func (g *Group) setPopularity(w http.ResponseWriter, r *http.Request) {
	var tokens []float64
	err := standin.Decode(r, &tokens)
	if err == nil && len(tokens) != g.opts.Experts {
		err = fault.New(fault.Invalid, "send one token count per expert", "%d token counts for %d experts", len(tokens), g.opts.Experts)
	}
	if err == nil {
		g.mu.Lock()
		g.popularity = tokens
		g.mu.Unlock()
	}
	standin.Answer(w, struct{}{}, err)
}

func (g *Group) showRecord(w http.ResponseWriter, _ *http.Request) {
	g.mu.Lock()
	record := Record{Steps: append([]Step(nil), g.steps...), AppliedOrders: append([]AppliedOrder(nil), g.appliedOrders...), Completed: g.completed}
	g.mu.Unlock()
	standin.Answer(w, record, nil)
}
