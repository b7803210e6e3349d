package provider

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/membership"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

const (
	// stateInterval is how often an entry announces its state to its peers.
	stateInterval = 1 * time.Second
	// agentJitter spreads the announcements of several entries to one agent, so
	// that the agent has usually received the change from the first before the
	// others announce it.
	agentJitter = 100 * time.Millisecond
)

// Exchange propagates the configuration and the VM list between entries, and
// the configuration to agents. A process that has a newer revision announces
// it; a process that is behind pulls the change once.
type Exchange struct {
	*ConfigPuller
	// ServiceAge is the age of the configuration as this entry read it from the
	// key-value service.
	ServiceAge *Age
	VMs        *VMs
	// Conns returns the connections to the other entries.
	Conns func() []*wire.Conn
	// Agents calls state for an announcement and sends it to each agent that is
	// behind the revision.
	Agents func(revision int64, state func() wire.Message)

	changed chan struct{}
}

// NewExchange returns an exchange that announces changes of store and view. The
// caller sets Conns and Agents.
func NewExchange(store *config.Store, view *membership.View, clock clockwork.Clock) *Exchange {
	x := &Exchange{
		ConfigPuller: NewConfigPuller(store, "", clock),
		ServiceAge:   NewAge(clock),
		VMs:          NewVMs(view, clock),
		changed:      make(chan struct{}, 1),
	}
	store.OnChange(func(*config.Snapshot) { x.notifyChange() })
	view.OnChange(x.notifyChange)
	return x
}

func (x *Exchange) notifyChange() {
	select {
	case x.changed <- struct{}{}:
	default:
	}
}

// Staleness returns how long ago the configuration in force was known to be the
// newest, from the service or from peers. It returns false if that was never
// known.
func (x *Exchange) Staleness() (time.Duration, bool) {
	service, serviceKnown := x.ServiceAge.Get()
	peer, peerKnown := x.PeerAge.Get()
	switch {
	case serviceKnown && peerKnown:
		return min(service, peer), true
	case serviceKnown:
		return service, true
	}
	return peer, peerKnown
}

// Register adds the handlers for messages from other entries to peers, and
// those for messages from agents to agents.
func (x *Exchange) Register(peers, agents *wire.Mux) {
	peers.Funcs[wire.KindHello] = func(c *wire.Conn, _ wire.Message) { _ = c.Send(x.state()) }
	peers.Funcs[wire.KindConfigState] = func(c *wire.Conn, m wire.Message) {
		x.Receive(c, m)
		x.VMs.state(c, m.(*wire.ConfigState))
	}
	peers.Funcs[wire.KindConfigUpdate] = x.Receive
	peers.Funcs[wire.KindConfigPull] = x.servePull
	peers.Funcs[wire.KindVMsPull] = x.VMs.servePull
	peers.Funcs[wire.KindVMsUpdate] = x.VMs.applyUpdate
	agents.Funcs[wire.KindConfigPull] = x.servePull
}

// servePull sends the records that the peer is missing.
func (x *Exchange) servePull(c *wire.Conn, m wire.Message) {
	pull := m.(*wire.ConfigPull)
	if pull.Upstream != "" {
		sendUpdate(c, x.Store.SinceFor(pull.Upstream, pull.Revision, pull.Base))
		return
	}
	sendUpdate(c, x.Store.Since(pull.Revision, pull.Base))
}

// state returns an announcement of the current revisions and ages.
func (x *Exchange) state() wire.Message {
	s := x.Store.Current()
	m := &wire.ConfigState{
		Revision: s.Revision, Base: s.Base, AgeMS: unknownAge, Restored: x.Store.Restored() != nil,
		VMs: x.VMs.view.Hash(), VMsAgeMS: x.VMs.Age.wire(),
	}
	if age, known := x.Staleness(); known {
		m.AgeMS = age.Milliseconds()
	}
	return m
}

// Run announces changes at once and the state periodically, until ctx is done.
func (x *Exchange) Run(ctx context.Context) {
	for ctx.Err() == nil {
		for _, c := range x.Conns() {
			_ = c.Send(x.state())
		}
		if !sleep(ctx, rand.N(agentJitter)) {
			return
		}
		x.Agents(x.Store.Current().Revision, x.state)
		select {
		case <-ctx.Done():
		case <-x.changed:
		case <-time.After(jittered(stateInterval)):
		}
	}
}

// jittered returns a random duration between 0.5 d and 1.5 d.
func jittered(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// sleep waits for d. It returns false if ctx is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
