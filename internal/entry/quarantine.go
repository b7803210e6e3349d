package entry

import (
	"net/http"
	"slices"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/membership"
	"github.com/kingcupreel/kingcupreel/internal/quarantine"
	"github.com/kingcupreel/kingcupreel/internal/timeline"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// initQuarantine creates the quarantine table and registers the handlers of
// crash reports.
func (e *Entry) initQuarantine() {
	e.quarantine = quarantine.NewTable(clockwork.NewRealClock())
	e.agentMux.Funcs[wire.KindCrashReport] = e.handleCrashReport
	e.peerMux.Funcs[wire.KindCrashReport] = e.handleCrashReport
}

// handleCrashReport handles a report of an agent or a peer.
func (e *Entry) handleCrashReport(_ *wire.Conn, m wire.Message) {
	e.propagateReport(quarantine.Report(*m.(*wire.CrashReport)))
}

// propagateReport adds a report to the table and broadcasts it to the peers if
// it is new.
func (e *Entry) propagateReport(r quarantine.Report) {
	if !e.quarantine.Add(r) {
		return
	}
	e.count("quarantine.reports")
	if !r.Cleared {
		e.event(timeline.Event{Kind: timeline.UpstreamCrashed, Object: r.Upstream})
	}
	if e.opts.Peers != nil {
		m := wire.CrashReport(r)
		e.opts.Peers.Broadcast(&m)
	}
}

func (e *Entry) listQuarantine(*http.Request) (any, error) { return e.quarantine.List(), nil }

// lookupQuarantine returns the quarantine record of the request's content.
func (x *exchange) lookupQuarantine() quarantine.Record {
	if x.entry.quarantine.Empty() {
		return quarantine.Record{State: quarantine.Clear}
	}
	return x.entry.quarantine.Lookup(x.suspect())
}

// suspect returns the quarantine's identification of the request.
func (x *exchange) suspect() quarantine.Suspect {
	d := &x.req.dispatch
	if x.fingerprint == "" {
		x.fingerprint = quarantine.FingerprintOf(x.req.account.Name, d.Path, d.Body)
	}
	return quarantine.Suspect{Fingerprint: x.fingerprint, Account: x.req.account.Name, Parts: d.SharedParts}
}

// checkQuarantine updates quarantineRecord and returns an error for a convicted
// request.
func (x *exchange) checkQuarantine() error {
	x.quarantineRecord = x.lookupQuarantine()
	if x.quarantineRecord.State != quarantine.Convicted {
		return nil
	}
	x.entry.count("quarantine.refused")
	return x.entry.quarantine.Check(x.suspect())
}

// isSuspected reports whether the request was in flight at a crash and may run
// again.
func (x *exchange) isSuspected() bool { return x.lookupQuarantine().State == quarantine.Suspected }

// clear reports to the peers, and to the agents of the upstreams that crashed,
// that a suspect, or a request with a suspected part, has succeeded.
func (x *exchange) clear() {
	if x.entry.quarantine.Empty() {
		return
	}
	upstreams := x.entry.quarantine.CrashedWith(x.suspect())
	if len(upstreams) == 0 {
		return
	}
	x.entry.count("quarantine.cleared")
	r := quarantine.Report{
		ID: uuid.NewString(), AtMS: clockwork.NewRealClock().Now().UnixMilli(), Cleared: true,
		Suspects: []quarantine.Suspect{x.suspect()},
	}
	x.entry.propagateReport(r)
	m := wire.CrashReport(r)
	for _, name := range upstreams {
		if l := x.entry.links.byName(name); l != nil {
			_ = l.send(&m)
		}
	}
}

// pickIsolated picks the upstream for a suspect. All entries pick the same
// upstream for the same content, so that a suspect and a resent copy of it run
// one at a time there. It skips upstreams that crashed with the suspect and
// returns nil if none is left.
func (x *exchange) pickIsolated() *link {
	local, remote := x.upstreamNames()
	for _, names := range [][]string{local, remote} {
		for _, name := range membership.RendezvousOrder("isolate:"+string(x.fingerprint), names) {
			l := x.entry.links.byName(name)
			if l == nil || x.attempted[name] || slices.Contains(x.quarantineRecord.CrashedUpstreams, name) {
				continue
			}
			if l.usable() {
				return l
			}
		}
	}
	return nil
}

// upstreamNames returns the names of the upstreams that can serve the request,
// in the entry's data centre and in others.
func (x *exchange) upstreamNames() (local, remote []string) {
	for _, u := range x.configuredUpstreams() {
		if u.DataCentre == x.entry.opts.Hello.DataCentre {
			local = append(local, u.Name)
		} else {
			remote = append(remote, u.Name)
		}
	}
	return local, remote
}

// configuredUpstreams returns the records of the upstreams that can serve the
// request.
func (x *exchange) configuredUpstreams() []*config.Upstream {
	snap, d := x.entry.opts.Store.Current(), &x.req.dispatch
	if d.Model != "" {
		return snap.ModelUpstreams(d.Model)
	}
	return snap.ServiceUpstreams(d.Service)
}
