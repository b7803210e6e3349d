package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Figures of the rank group. The lag of a report from another machine is that of the users'
// small sites.
const (
	groupRanks = 6
	sets       = 2
	experts    = 16
	places     = 6
	spare      = 3
	// copyTime is the time to copy one expert: 2,200 MB at 180,000 Mbit/s.
	copyTime   = 98 * time.Millisecond
	passTime   = 40 * time.Millisecond
	reportLag  = 200 * time.Millisecond
	shiftEvery = 1500 * time.Millisecond
)

// none stands for no version and no step.
const none = -1

// expertMap lists the experts of one rank by set.
type expertMap [][]int

// rankEngine is the state of one rank.
type rankEngine struct {
	version     int64
	experts     expertMap
	prepared    int64
	preparedMap expertMap
	copiedAt    time.Time
	armed       int64
	armedStep   int64
	held        int64
	// highest is the highest version the rank has had, fence the highest generation number.
	highest, fence int64
	sequence       int64
	counts         []int64
	// agentDown is set while the process on the rank's machine doesn't run, so that all
	// callers are other machines. reports holds the reports of the last moments.
	agentDown bool
	reports   []datedReport
}

type datedReport struct {
	at     time.Time
	report object
}

// rankGroup is a stand-in of a group of model replicas that execute all passes together.
// Its work comes from callers that aren't played: it is never idle.
type rankGroup struct {
	d *deployment
	// index is the number of the group.
	index int
	born  int64
	// agents are the processes on the ranks' machines.
	agents []*process

	mu         sync.Mutex
	ranks      [groupRanks]*rankEngine
	step       int64
	popularity [sets][experts]float64
	switches   int
	// takeovers counts how often another agent has taken over from one that was cut off.
	takeovers int
	// mixed counts the passes that began while two ranks had different maps.
	mixed int
}

const groupEpoch = 1

// newRankGroup starts a group and the agents of its ranks.
func newRankGroup(d *deployment, index int) (*rankGroup, error) {
	g := &rankGroup{d: d, index: index, step: 1, born: time.Now().UnixMilli()}
	for n := range g.ranks {
		g.ranks[n] = &rankEngine{experts: firstMap(n), prepared: none, armed: none, armedStep: none, held: none, counts: make([]int64, sets*experts)}
		ln, err := net.Listen("tcp", g.address(n))
		if err != nil {
			return nil, err
		}
		go func() { _ = http.Serve(ln, g.handler(n)) }()
		agent, err := d.startRank(groupRanks*index+n, zones[n%len(zones)], "huvo11a", g.address(n))
		if err != nil {
			return nil, err
		}
		g.agents = append(g.agents, agent)
	}
	g.shiftDemand()
	d.every(passTime, g.beginPass)
	d.every(10*time.Millisecond, g.keepReports)
	d.every(shiftEvery, g.shiftDemand)
	d.every(heartbeat, g.beat)
	g.beat()
	return g, nil
}

func (g *rankGroup) name() string { return fmt.Sprint("g", g.index) }

func (g *rankGroup) address(n int) string { return g.d.ip(100+groupRanks*g.index+n) + ":8080" }

// beat writes the entries of the replicas.
func (g *rankGroup) beat() {
	for n, r := range g.ranks {
		g.mu.Lock()
		sequence := r.sequence
		g.mu.Unlock()
		g.d.put(fmt.Sprintf("servers/i-rank-%d-%d", g.index, n), object{
			"service": "huvo11a", "address": g.address(n), "zone": zones[n%len(zones)], "version": "v1", "slots": 12, "state": "ready",
			"warmup-left-ms": 0, "sequence": sequence, "born": g.born,
		})
	}
}

// firstMap is map 0, which assigns experts in turn.
func firstMap(rank int) expertMap {
	m := make(expertMap, sets)
	for s := range sets {
		for e := rank; e < experts; e += groupRanks {
			m[s] = append(m[s], e)
		}
	}
	return m
}

// shiftDemand changes which experts are liked.
func (g *rankGroup) shiftDemand() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for s := range sets {
		for e := range experts {
			g.popularity[s][e] = 0.2 + 0.2*rand.ExpFloat64()
		}
		for range 3 {
			g.popularity[s][rand.IntN(experts)] += 4
		}
	}
}

// beginPass begins the next pass unless a rank holds it.
func (g *rankGroup) beginPass() {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := g.step + 1
	for _, r := range g.ranks {
		if r.held == next {
			return
		}
	}
	g.step = next
	switched := false
	for _, r := range g.ranks {
		if r.armed != none && r.armedStep == next {
			r.version, r.experts = r.armed, r.preparedMap
			r.armed, r.armedStep, r.prepared, r.preparedMap = none, none, none, nil
			switched = true
		}
	}
	if switched {
		g.switches++
		g.d.record.add("%s: pass %d begins with the maps %s", g.name(), next, g.versions())
	}
	for _, r := range g.ranks {
		if r.version != g.ranks[0].version {
			g.mixed++
			g.d.record.add("BROKEN: %s: pass %d begins while ranks have different maps: %s", g.name(), next, g.versions())
			break
		}
	}
	for _, r := range g.ranks {
		for s := range sets {
			for e := range experts {
				r.counts[s*experts+e] += int64(40 * g.popularity[s][e])
			}
		}
	}
}

// mixedPasses returns the number of passes that began while two ranks had different maps.
func (g *rankGroup) mixedPasses() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mixed
}

// versions lists the versions of the ranks' maps. The caller holds mu.
func (g *rankGroup) versions() string {
	text := ""
	for _, r := range g.ranks {
		text += fmt.Sprintf("%d ", r.version)
	}
	return text
}

func orNull(n int64) any {
	if n == none {
		return nil
	}
	return n
}

// report returns a rank's present report. The caller holds mu.
func (g *rankGroup) report(n int) object {
	r := g.ranks[n]
	prepared := r.prepared
	if time.Now().Before(r.copiedAt) {
		prepared = none
	}
	return object{
		"stage": "both", "models": []object{{"name": "m", "version": 1, "adapters": []string{}}}, "busy": false, "sequence": r.sequence,
		"group": object{"name": g.name(), "epoch": groupEpoch, "rank": n, "state": "open"}, "size": groupRanks, "queued": 0, "active": 3,
		"kv-used": 41000, "kv-total": 90000, "handles": 0, "born": g.born, "pace": 1.0,
		"step": g.step, "map": r.version, "prepared": orNull(prepared), "armed": orNull(r.armed), "held": orNull(r.held),
	}
}

// keepReports keeps the reports that other machines get for a while.
func (g *rankGroup) keepReports() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for n, r := range g.ranks {
		r.reports = append(r.reports, datedReport{time.Now(), g.report(n)})
		if len(r.reports) > 100 {
			r.reports = r.reports[50:]
		}
	}
}

// currentReport returns the report that a caller gets: the present one, or that of some time
// ago if the caller can only be another machine.
func (g *rankGroup) currentReport(n int) object {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := g.report(n)
	if r := g.ranks[n]; r.agentDown {
		for _, old := range r.reports {
			if time.Since(old.at) >= reportLag {
				out = old.report
			}
		}
	}
	return out
}

// setAgentDown records whether the process on a rank's machine runs.
func (g *rankGroup) setAgentDown(n int, down bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ranks[n].agentDown = down
}

type order struct {
	Operation string      `json:"operation"`
	Version   int64       `json:"version"`
	Step      int64       `json:"step"`
	Epoch     int64       `json:"epoch"`
	Fence     int64       `json:"fencing-token"`
	Map       []expertMap `json:"map"`
}

// execute carries out an order at a rank and returns the status of the answer.
func (g *rankGroup) execute(n int, o order) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[n]
	status := http.StatusPreconditionFailed
	if o.Fence >= r.fence {
		r.fence = o.Fence
		status = http.StatusConflict
		if o.Epoch == groupEpoch {
			status = g.apply(r, n, o)
		}
	}
	if status == http.StatusAccepted {
		r.sequence++
	}
	g.d.record.add("%s rank %d: %s version %d step %d generation %d: %d (last pass %d)", g.name(), n, o.Operation, o.Version, o.Step, o.Fence, status, g.step)
	return status
}

// apply is execute for an order whose generation number and epoch fit. The caller holds mu.
func (g *rankGroup) apply(r *rankEngine, n int, o order) int {
	switch o.Operation {
	case "prepare":
		if r.prepared == o.Version {
			return http.StatusOK
		}
		added, fits := g.addedExperts(r, n, o.Map)
		if r.armed != none || o.Version <= r.highest || !fits {
			return http.StatusConflict
		}
		r.prepared, r.highest, r.copiedAt, r.preparedMap = o.Version, o.Version, time.Now().Add(time.Duration(added)*copyTime), nil
		for s := range sets {
			r.preparedMap = append(r.preparedMap, o.Map[s][n])
		}
	case "arm":
		if r.armed == o.Version && r.armedStep == o.Step {
			return http.StatusOK
		}
		if r.prepared != o.Version || time.Now().Before(r.copiedAt) || o.Step <= g.step {
			return http.StatusConflict
		}
		r.armed, r.armedStep = o.Version, o.Step
	case "disarm":
		if r.version == o.Version {
			return http.StatusConflict
		}
		if r.armed != o.Version {
			return http.StatusOK
		}
		r.armed, r.armedStep = none, none
	case "retention":
		if r.held == o.Step {
			return http.StatusOK
		}
		if r.held != none || o.Step <= g.step {
			return http.StatusConflict
		}
		r.held = o.Step
	case "go":
		if r.held != o.Step {
			return http.StatusConflict
		}
		r.held = none
	default:
		return http.StatusBadRequest
	}
	return http.StatusAccepted
}

// addedExperts returns how many experts of its part of a map a rank has to copy, and whether
// it can prepare that part.
func (g *rankGroup) addedExperts(r *rankEngine, n int, m []expertMap) (added int, fits bool) {
	fits = true
	for s := range sets {
		inSet := 0
		for _, e := range m[s][n] {
			if !slices.Contains(r.experts[s], e) {
				inSet++
			}
		}
		added += inSet
		fits = fits && inSet <= spare && len(m[s][n]) <= places
	}
	return added, fits
}

// handler serves one rank.
func (g *rankGroup) handler(n int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		switch {
		case q.URL.Path == "/v1/report":
			_ = json.NewEncoder(w).Encode(g.currentReport(n))
		case q.URL.Path == "/v1/picked":
			g.mu.Lock()
			r := g.ranks[n]
			out := object{"step": g.step, "epoch": groupEpoch, "counts": append([]int64(nil), r.counts...)}
			if q.URL.Query().Has("lists") {
				out = object{"step": g.step, "epoch": groupEpoch, "map": object{"version": r.version, "experts": r.experts}, "prepared": nil}
			}
			g.mu.Unlock()
			_ = json.NewEncoder(w).Encode(out)
		case q.URL.Path == "/v1/order":
			var o order
			if json.NewDecoder(q.Body).Decode(&o) != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			w.WriteHeader(g.execute(n, o))
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	})
}

// engine is the engine's part of the service's configuration.
var engine = object{
	"slots": 12, "kv-capacity": 494000, "link-mbps": 180000.0, "stride": 6, "models": []object{{"name": "m"}}, "step_ms": 4.84, "per_seq_ms": 0.362,
	"report_lag_ms": 200.0, "sets": sets, "experts": experts, "placements": places, "spare": spare, "expert-mb": 2200.0, "expert-share": 0.85, "form_ms": 600.0,
}
