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
	// pullTimeout is how long a pull without progress prevents another pull.
	pullTimeout = 1 * time.Second
	// conflictBackoff is how long no pull is started after an update contradicted
	// the configuration in force or was too large.
	conflictBackoff = 10 * time.Second
	// maxPartBytes bounds the records in one part of an update, in bytes.
	maxPartBytes = 256 << 10
	// maxUpdateBytes bounds the records in a whole update, in bytes.
	maxUpdateBytes = 64 << 20
)

// ConfigPuller updates the configuration from peers: when a peer announces a
// higher revision, it pulls the records that changed since its own revision.
// One pull runs at a time.
type ConfigPuller struct {
	// Store receives the updates.
	Store *config.Store
	// Upstream is the agent's upstream; the agent receives only the part of the
	// configuration that concerns it. It is "" for an entry.
	Upstream string
	// PeerAge is the age of the configuration as announced by peers.
	PeerAge *Age

	clock clockwork.Clock
	mu    sync.Mutex // acquired before Store's lock; Conn.Send may be called under it
	pull  pull
}

// pull is the state of the pull in flight. conn is nil if there is none.
type pull struct {
	conn          *wire.Conn
	progressAt    time.Time
	partsReceived int
	bytesReceived int
	update        config.Update
	// backoffUntil is the time before which no pull is started.
	backoffUntil time.Time
}

// NewConfigPuller returns a puller. upstream is "" for an entry.
func NewConfigPuller(store *config.Store, upstream string, clock clockwork.Clock) *ConfigPuller {
	return &ConfigPuller{Store: store, Upstream: upstream, PeerAge: NewAge(clock), clock: clock}
}

// Receive implements wire.Handler for the messages ConfigState and
// ConfigUpdate.
func (p *ConfigPuller) Receive(c *wire.Conn, m wire.Message) {
	switch m := m.(type) {
	case *wire.ConfigState:
		p.handleState(c, m)
	case *wire.ConfigUpdate:
		p.handlePart(c, m)
	}
}

// handleState compares a peer's announcement with the own configuration. It
// observes the peer's age of an equal configuration, and starts a pull if the
// peer is ahead.
func (p *ConfigPuller) handleState(c *wire.Conn, m *wire.ConfigState) {
	if m.Restored {
		p.Store.MarkRestored(m.Base)
	}
	current := p.Store.Current()
	switch {
	case m.Base == current.Base && m.Revision == current.Revision:
		p.PeerAge.Observe(fromWire(m.AgeMS))
	case m.Revision > current.Revision && m.Base >= current.Base:
		p.startPull(c, current.Revision, current.Base)
	}
}

// startPull requests an update from a peer unless a pull is in flight or pulls
// are suspended until backoffUntil.
func (p *ConfigPuller) startPull(c *wire.Conn, revision, base int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if now.Before(p.pull.backoffUntil) || p.inFlight(now) {
		return
	}
	p.pull = pull{conn: c, progressAt: now}
	_ = c.Send(&wire.ConfigPull{Revision: revision, Base: base, Upstream: p.Upstream})
}

// inFlight reports whether a pull is in flight: its connection is open and it
// has made progress within pullTimeout. The caller holds mu.
func (p *ConfigPuller) inFlight(now time.Time) bool {
	if p.pull.conn == nil || now.Sub(p.pull.progressAt) >= pullTimeout {
		return false
	}
	select {
	case <-p.pull.conn.Closed():
		return false
	default:
		return true
	}
}

// handlePart adds a part to the update being pulled, and applies the update
// after its last part. If earlier changes are missing, it pulls the whole
// configuration.
func (p *ConfigPuller) handlePart(c *wire.Conn, m *wire.ConfigUpdate) {
	update, complete := p.assemble(c, m)
	if !complete {
		return
	}
	switch fault.KindOf(p.Store.Update(update)) {
	case fault.Invalid:
		p.startPull(c, 0, 0)
	case fault.Conflict:
		p.mu.Lock()
		p.pull.backoffUntil = p.clock.Now().Add(conflictBackoff)
		p.mu.Unlock()
	}
}

// assemble adds a part to the update being pulled. It returns the update and
// true if the part was the last one, and ignores a part that is out of order or
// from another connection.
func (p *ConfigPuller) assemble(c *wire.Conn, m *wire.ConfigUpdate) (config.Update, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	current := &p.pull
	if current.conn != c || m.Part != current.partsReceived+1 {
		return config.Update{}, false
	}
	if current.partsReceived == 0 {
		current.update = config.Update{Base: m.Base, From: m.From, To: m.To, Full: m.Full, Partial: m.Partial}
	}
	current.partsReceived++
	current.progressAt = p.clock.Now()
	for _, r := range m.Records {
		current.bytesReceived += len(r.Key) + len(r.Value)
		current.update.Records = append(current.update.Records, config.Record(r))
	}
	current.update.Removed = append(current.update.Removed, m.Removed...)
	if current.bytesReceived > maxUpdateBytes {
		p.pull = pull{backoffUntil: p.clock.Now().Add(conflictBackoff)}
		return config.Update{}, false
	}
	if m.Part < m.Parts {
		return config.Update{}, false
	}
	update := current.update
	p.pull = pull{}
	return update, true
}

// sendUpdate sends an update in parts that are well below the maximum frame
// size.
func sendUpdate(c *wire.Conn, u config.Update) {
	groups := splitRecords(u.Records)
	for i, records := range groups {
		m := &wire.ConfigUpdate{
			Base: u.Base, From: u.From, To: u.To, Full: u.Full, Partial: u.Partial,
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

// splitRecords groups records so that a group holds at most maxPartBytes, or a
// single larger record. It returns at least one group.
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
