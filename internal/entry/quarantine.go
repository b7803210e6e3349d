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

// startQuarantine fills the entry's part in poison requests.
func (e *Entry) startQuarantine() {
	e.quarantine = quarantine.NewTable(clockwork.NewRealClock())
	e.agentMux.Funcs[wire.KindCrashReport] = e.crashReported
	e.peerMux.Funcs[wire.KindCrashReport] = e.crashReported
}

// crashReported takes a report of an agent or a peer, and passes on a new one.
func (e *Entry) crashReported(_ *wire.Conn, m wire.Message) {
	e.spread(quarantine.Report(*m.(*wire.CrashReport)))
}

func (e *Entry) spread(r quarantine.Report) {
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

// record returns what is known of the request's content.
func (x *exchange) record() quarantine.Record {
	if x.entry.quarantine.Empty() {
		return quarantine.Record{State: quarantine.Clear}
	}
	if x.fingerprint == "" {
		x.fingerprint = quarantine.FingerprintOf(x.req.account.Name, x.req.dispatch.Path, x.req.dispatch.Body)
	}
	return x.entry.quarantine.Lookup(x.fingerprint)
}

// judge refuses a convicted request.
func (x *exchange) judge() error {
	x.suspect = x.record()
	if x.suspect.State != quarantine.Convicted {
		return nil
	}
	x.entry.count("quarantine.refused")
	return x.entry.quarantine.Check(x.fingerprint)
}

// suspected says whether the request was in flight at a crash and may run again.
func (x *exchange) suspected() bool { return x.record().State == quarantine.Suspected }

// clear tells everyone that a suspect has succeeded.
func (x *exchange) clear() {
	rec := x.record()
	if rec.State != quarantine.Suspected {
		return
	}
	x.entry.count("quarantine.cleared")
	r := quarantine.Report{
		ID: uuid.NewString(), AtMS: clockwork.NewRealClock().Now().UnixMilli(), Cleared: true,
		Suspects: []quarantine.Suspect{{Fingerprint: rec.Fingerprint, Account: rec.Account}},
	}
	x.entry.spread(r)
	m := wire.CrashReport(r)
	for _, name := range rec.CrashedUpstreams {
		if l := x.entry.links.byName(name); l != nil {
			_ = l.send(&m)
		}
	}
}

// isolated chooses the upstream for a suspect: the same one at every entry for
// the same content, so that a request that is sent again meets itself there. It
// passes over upstreams that crashed with it and returns nil when none is left.
func (x *exchange) isolated() *link {
	near, far := x.places()
	for _, names := range [][]string{near, far} {
		for _, name := range membership.RendezvousOrder("isolate:"+string(x.fingerprint), names) {
			l := x.entry.links.byName(name)
			if l == nil || x.tried[name] || slices.Contains(x.suspect.CrashedUpstreams, name) {
				continue
			}
			if l.usable() {
				return l
			}
		}
	}
	return nil
}

// places returns the names of the upstreams that could serve the request, in
// the entry's data centre and in others.
func (x *exchange) places() (near, far []string) {
	for _, u := range x.configured() {
		if u.DataCentre == x.entry.opts.Hello.DataCentre {
			near = append(near, u.Name)
		} else {
			far = append(far, u.Name)
		}
	}
	return near, far
}

// configured returns the records of the upstreams that could serve the request.
func (x *exchange) configured() []*config.Upstream {
	snap, d := x.entry.opts.Store.Current(), &x.req.dispatch
	if d.Model != "" {
		return snap.ModelUpstreams(d.Model)
	}
	return snap.ServiceUpstreams(d.Service)
}
