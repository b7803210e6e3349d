package provider

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

const (
	// pullTimeout is how long an unanswered pull keeps others from starting.
	pullTimeout = 1 * time.Second
	// conflictBackoff is how long a peer whose update contradicts what is in
	// force is not asked again.
	conflictBackoff = 10 * time.Second
	// maxPartBytes bounds the records of one part of an update, in bytes.
	maxPartBytes = 256 << 10
	// maxUpdateBytes bounds the records of a whole update, in bytes.
	maxUpdateBytes = 64 << 20
)

// ConfigPuller takes the configuration from peers: a peer that announces a higher
// revision is asked for what lies between. One pull runs at a time.
type ConfigPuller struct {
	// Store takes the updates.
	Store *config.Store
	// Upstream is set for an agent, which learns its own part only.
	Upstream string
	// PeerAge is the age of the configuration as peers know it.
	PeerAge *Age

	clock clockwork.Clock
	mu    sync.Mutex // before Store's lock; Conn.Send may be called under it
	pull  pull
}

// pull is the pull in flight. The zero value is none.
type pull struct {
	conn          *wire.Conn
	progressAt    time.Time
	partsReceived int
	bytesReceived int
	update        config.Update
	// backoffUntil holds off pulls after a contradiction.
	backoffUntil time.Time
}

// NewConfigPuller returns a learner.
func NewConfigPuller(store *config.Store, upstream string, clock clockwork.Clock) *ConfigPuller {
	return &ConfigPuller{Store: store, Upstream: upstream, PeerAge: NewAge(clock), clock: clock}
}

// Receive implements wire.Handler for the messages ConfigState and
// ConfigUpdate.
func (l *ConfigPuller) Receive(c *wire.Conn, m wire.Message) {
	switch m := m.(type) {
	case *wire.ConfigState:
		l.handleState(c, m)
	case *wire.ConfigUpdate:
		l.handlePart(c, m)
	}
}

// handleState compares a peer's handleState with the own one.
func (l *ConfigPuller) handleState(c *wire.Conn, m *wire.ConfigState) {
	if m.Restored {
		l.Store.MarkRestored(m.Base)
	}
	current := l.Store.Current()
	switch {
	case m.Base == current.Base && m.Revision == current.Revision:
		l.PeerAge.Observe(fromWire(m.AgeMS))
	case m.Revision > current.Revision && m.Base >= current.Base:
		l.startPull(c, current.Revision, current.Base)
	}
}

// startPull pulls from a peer unless a pull is in flight.
func (l *ConfigPuller) startPull(c *wire.Conn, revision, base int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if now.Before(l.pull.backoffUntil) || l.inFlight(now) {
		return
	}
	l.pull = pull{conn: c, progressAt: now}
	_ = c.Send(&wire.ConfigPull{Revision: revision, Base: base, Upstream: l.Upstream})
}

// inFlight says whether a pull is in flight. The caller holds mu.
func (l *ConfigPuller) inFlight(now time.Time) bool {
	if l.pull.conn == nil || now.Sub(l.pull.progressAt) >= pullTimeout {
		return false
	}
	select {
	case <-l.pull.conn.Closed():
		return false
	default:
		return true
	}
}

// handlePart adds a handlePart to the pull's update and applies it after the last one.
func (l *ConfigPuller) handlePart(c *wire.Conn, m *wire.ConfigUpdate) {
	update, complete := l.assemble(c, m)
	if !complete {
		return
	}
	switch fault.KindOf(l.Store.Update(update)) {
	case fault.Invalid:
		l.startPull(c, 0, 0)
	case fault.Conflict:
		l.mu.Lock()
		l.pull.backoffUntil = l.clock.Now().Add(conflictBackoff)
		l.mu.Unlock()
	}
}

func (l *ConfigPuller) assemble(c *wire.Conn, m *wire.ConfigUpdate) (config.Update, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := &l.pull
	if p.conn != c || m.Part != p.partsReceived+1 {
		return config.Update{}, false
	}
	if p.partsReceived == 0 {
		p.update = config.Update{Base: m.Base, From: m.From, To: m.To, Whole: m.Whole, Partial: m.Partial}
	}
	p.partsReceived++
	p.progressAt = l.clock.Now()
	for _, r := range m.Records {
		p.bytesReceived += len(r.Key) + len(r.Value)
		p.update.Records = append(p.update.Records, config.Record(r))
	}
	p.update.Removed = append(p.update.Removed, m.Removed...)
	if p.bytesReceived > maxUpdateBytes {
		l.pull = pull{backoffUntil: l.clock.Now().Add(conflictBackoff)}
		return config.Update{}, false
	}
	if m.Part < m.Parts {
		return config.Update{}, false
	}
	update := p.update
	l.pull = pull{}
	return update, true
}

// sendUpdate sends an update in parts that each fit well into a frame.
func sendUpdate(c *wire.Conn, u config.Update) {
	groups := splitRecords(u.Records)
	for i, records := range groups {
		m := &wire.ConfigUpdate{
			Base: u.Base, From: u.From, To: u.To, Whole: u.Whole, Partial: u.Partial,
			Part: i + 1, Parts: len(groups), Records: records,
		}
		if i == 0 {
			m.Removed = u.Removed
		}
		if c.Send(m) != nil {
			return
		}
	}
}

// splitRecords groups records so that a group holds at most partBytes, or one record.
// There is at least one group.
func splitRecords(records []config.Record) [][]wire.ConfigRecord {
	groups := [][]wire.ConfigRecord{nil}
	size := 0
	for _, r := range records {
		n := len(r.Key) + len(r.Value)
		if last := len(groups) - 1; size+n > maxPartBytes && len(groups[last]) > 0 {
			groups = append(groups, nil)
			size = 0
		}
		last := len(groups) - 1
		groups[last] = append(groups[last], wire.ConfigRecord(r))
		size += n
	}
	return groups
}
