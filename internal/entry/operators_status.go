package entry

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/opapi"
	"github.com/kingcupreel/kingcupreel/internal/timeline"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

func (e *Entry) status(*http.Request) (any, error) {
	snap := e.opts.Store.Current()
	s := opapi.Status{Process: e.opts.Hello.Process, DataCentre: e.opts.Hello.DataCentre, Revision: snap.Revision, Rejected: snap.Rejected, Draining: e.Draining()}
	for _, l := range e.links.all() {
		u := l.status()
		if record := snap.Upstreams[u.Name]; record != nil {
			u.Drain, u.Evacuated = record.Drain, snap.Evacuated(record.DataCentre)
		}
		s.Upstreams = append(s.Upstreams, u)
	}
	slices.SortFunc(s.Upstreams, func(a, b opapi.UpstreamStatus) int { return cmp.Compare(a.Name, b.Name) })
	return s, nil
}

func (l *link) status() opapi.UpstreamStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	return opapi.UpstreamStatus{
		Name: l.upstream.Name, DataCentre: l.upstream.DataCentre,
		Connected: l.conn != nil, Leaving: l.leaving || l.vmLeaving, Revision: l.hello.Revision,
		InFlight: l.inFlight, Running: l.load.Running, Queued: l.load.Queued, Capacity: l.load.Capacity,
	}
}

// processStatus returns the state of the link's agent; false means that the
// agent is not connected.
func (l *link) processStatus() (opapi.ProcessStatus, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return opapi.ProcessStatus{
		Process: l.hello.Process, Role: string(wire.RoleAgent), DataCentre: l.upstream.DataCentre, Upstream: l.upstream.Name,
		Revision: l.hello.Revision, StalenessMS: unknownStaleness, Draining: l.leaving || l.vmLeaving,
		InFlight: l.inFlight, Running: l.load.Running, Queued: l.load.Queued, Capacity: l.load.Capacity,
	}, l.conn != nil
}

// unknownStaleness is the staleness of a process that does not report it, in
// milliseconds.
const unknownStaleness = -1

// processes returns the states of this entry and of the agents that it is
// connected to. Unless below is 0, it leaves out those whose revision is at
// least below.
func (e *Entry) processes(below int64) []opapi.ProcessStatus {
	snap := e.opts.Store.Current()
	self := opapi.ProcessStatus{
		Process: e.opts.Hello.Process, Role: string(wire.RoleEntry), DataCentre: e.opts.Hello.DataCentre,
		Revision: snap.Revision, StalenessMS: unknownStaleness, Draining: e.Draining(), Rejected: snap.Rejected,
	}
	if err := e.opts.Store.Restored(); err != nil {
		self.Restored = err.Error()
	}
	if e.opts.Staleness != nil {
		if age, known := e.opts.Staleness(); known {
			self.StalenessMS = age.Milliseconds()
		}
	}
	list := []opapi.ProcessStatus{self}
	for _, l := range e.links.all() {
		p, connected := l.processStatus()
		self.InFlight += p.InFlight
		if u := snap.Upstreams[p.Upstream]; u != nil {
			p.Drain, p.Evacuated = u.Drain, snap.Evacuated(u.DataCentre)
		}
		if connected {
			list = append(list, p)
		}
	}
	list[0].InFlight = self.InFlight
	return slices.DeleteFunc(list, func(p opapi.ProcessStatus) bool { return below > 0 && p.Revision >= below })
}

// answerStatus answers another entry's status request.
func (e *Entry) answerStatus(c *wire.Conn, m wire.Message) {
	request := m.(*wire.StatusRequest)
	answer := &wire.StatusReply{Nonce: request.Nonce}
	for _, p := range e.processes(request.Below) {
		if data, err := json.Marshal(p); err == nil {
			answer.Processes = append(answer.Processes, data)
		}
	}
	_ = c.Send(answer)
}

// deployment returns the states of all processes, collected from all entries.
func (e *Entry) deployment(r *http.Request) (any, error) {
	below, err := parseBelow(r)
	if err != nil {
		return nil, err
	}
	list := e.processes(below)
	replies, missing := e.queryAll(r.Context(), e.entryTargets(), func(nonce uint64) wire.Message {
		return &wire.StatusRequest{Nonce: nonce, Below: below}
	})
	for _, reply := range replies {
		list = append(list, decodeProcesses(reply.message)...)
	}
	d := opapi.Deployment{Revision: e.opts.Store.Current().Revision, Processes: mergeProcesses(list), Missing: missing}
	if below == 0 {
		d.Missing = append(d.Missing, e.unreachedAgents(d.Processes)...)
	}
	slices.SortFunc(d.Missing, func(a, b opapi.Missing) int { return cmp.Compare(a.Process, b.Process) })
	return d, nil
}

func parseBelow(r *http.Request) (int64, error) {
	value := r.URL.Query().Get("below")
	if value == "" {
		return 0, nil
	}
	below, err := strconv.ParseInt(value, 10, 64)
	if err != nil || below < 0 {
		return 0, fault.New(fault.Invalid, "set below to a revision", "invalid parameter below: %q", value)
	}
	return below, nil
}

func decodeProcesses(m wire.Message) []opapi.ProcessStatus {
	var list []opapi.ProcessStatus
	for _, data := range m.(*wire.StatusReply).Processes {
		var p opapi.ProcessStatus
		if json.Unmarshal(data, &p) == nil {
			list = append(list, p)
		}
	}
	return list
}

// mergeProcesses merges the states that several entries report of the same
// process. A revision never falls, so the state with the highest one is the
// latest.
func mergeProcesses(list []opapi.ProcessStatus) []opapi.ProcessStatus {
	byName := map[string]opapi.ProcessStatus{}
	for _, p := range list {
		previous, ok := byName[p.Process]
		if !ok {
			byName[p.Process] = p
			continue
		}
		inFlight, draining := previous.InFlight+p.InFlight, previous.Draining || p.Draining
		if p.Revision > previous.Revision {
			previous = p
		}
		previous.InFlight, previous.Draining = inFlight, draining
		byName[p.Process] = previous
	}
	merged := make([]opapi.ProcessStatus, 0, len(byName))
	for _, p := range byName {
		merged = append(merged, p)
	}
	slices.SortFunc(merged, func(a, b opapi.ProcessStatus) int {
		return cmp.Or(-cmp.Compare(a.Role, b.Role), cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Process, b.Process))
	})
	return merged
}

// unreachedAgents returns the upstreams whose agent no entry is connected to.
func (e *Entry) unreachedAgents(list []opapi.ProcessStatus) []opapi.Missing {
	connected := map[string]bool{}
	for _, p := range list {
		connected[p.Upstream] = true
	}
	var missing []opapi.Missing
	for name := range e.opts.Store.Current().Upstreams {
		if !connected[name] {
			missing = append(missing, opapi.Missing{Process: "agent of " + name, Reason: "no entry is connected to it; check the VM, the network path to it, the record's address, and that the data centre has enough entries for its upstreams"})
		}
	}
	return missing
}

// events returns the merged timeline of all processes.
func (e *Entry) events(r *http.Request) (any, error) {
	targets := append(e.entryTargets(), e.agentTargets()...)
	replies, missing := e.queryAll(r.Context(), targets, func(nonce uint64) wire.Message {
		return &wire.EventsRequest{Nonce: nonce}
	})
	t := opapi.Timeline{Upstreams: map[string]string{}, Missing: missing}
	rings := [][]timeline.Event{e.opts.Events.Events()}
	for _, reply := range replies {
		ring := reply.message.(*wire.EventsReply).Events
		rings = append(rings, ring)
		if len(ring) > 0 && reply.target.upstream != "" {
			t.Upstreams[ring[0].Process] = reply.target.upstream
		}
	}
	t.Events = timeline.Merge(rings...)
	return t, nil
}
