package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/admission"
	"github.com/kingcupreel/kingcupreel/internal/timeline"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// usageInterval is the mean time between two digests; the jitter is a quarter
// of it in both directions.
const usageInterval = 500 * time.Millisecond

// upstreamEjected is the timeline event of an upstream's ejection.
const upstreamEjected timeline.Kind = "upstream-ejected"

// exchangeUsage sends usage digests and updates the pools until ctx is done.
func (e *Entry) exchangeUsage(ctx context.Context) {
	previousPeers := map[string]bool{}
	for ctx.Err() == nil {
		e.sendUsageDigest(previousPeers)
		e.tickPools()
		select {
		case <-ctx.Done():
		case <-time.After(usageInterval*3/4 + rand.N(usageInterval/2)):
		}
	}
}

// sendUsageDigest sends a digest to a random peer and removes the usage of
// disconnected peers. previousPeers holds the incarnations of the peers at the
// last call; it is updated.
func (e *Entry) sendUsageDigest(previousPeers map[string]bool) {
	conns := map[string]*wire.Conn{}
	if e.opts.Peers != nil {
		for _, c := range e.opts.Peers.Conns() {
			if id := c.Peer().Incarnation; id != "" {
				conns[id] = c
			}
		}
	}
	a := e.admitter
	a.mu.Lock()
	defer a.mu.Unlock()
	for id := range previousPeers {
		if conns[id] == nil {
			a.usage.RemovePeer(id)
			delete(previousPeers, id)
		}
	}
	if id := e.choosePeer(conns); id != "" {
		if items := a.usage.Digest(id); len(items) > 0 {
			_ = conns[id].Send(digestMessage(items))
		}
	}
	for id := range conns {
		previousPeers[id] = true
	}
}

// choosePeer returns the incarnation of the peer to send the next digest to, or
// "" without peers. The caller holds admitter.mu.
func (e *Entry) choosePeer(conns map[string]*wire.Conn) string {
	ids := make([]string, 0, len(conns))
	remote := make([]bool, 0, len(conns))
	for id, c := range conns {
		ids = append(ids, id)
		remote = append(remote, c.Peer().DataCentre != e.opts.Hello.DataCentre)
	}
	i := admission.ChoosePeer(e.admitter.rand, remote)
	if i < 0 {
		return ""
	}
	return ids[i]
}

func digestMessage(items []admission.Item) *wire.UsageDigest {
	m := &wire.UsageDigest{Items: make([]wire.UsageItem, 0, len(items))}
	for _, i := range items {
		m.Items = append(m.Items, wire.UsageItem{Key: uint32(i.Key), Flow: i.Flow, Mean: i.Mean})
	}
	return m
}

// handleUsageDigest applies a peer's digest and answers it.
func (e *Entry) handleUsageDigest(c *wire.Conn, m wire.Message) {
	digest, ok := m.(*wire.UsageDigest)
	peer := c.Peer().Incarnation
	if !ok || peer == "" {
		return
	}
	items := make([]admission.Item, 0, len(digest.Items))
	for _, i := range digest.Items {
		items = append(items, admission.Item{Key: admission.Key(i.Key), Flow: i.Flow, Mean: i.Mean})
	}
	e.admitter.mu.Lock()
	defer e.admitter.mu.Unlock()
	if answer := e.admitter.usage.Receive(peer, items); len(answer) > 0 {
		_ = c.Send(digestMessage(answer))
	}
}

// tickPools ejects silent upstreams and updates the admission state.
func (e *Entry) tickPools() {
	for _, p := range e.links.allPools() {
		for _, name := range p.ejectSilent() {
			e.count("upstreams.ejected")
			e.event(timeline.Event{Kind: upstreamEjected, Object: name})
		}
		e.updateAdmissionCapacity(p)
	}
	all, reachable := e.countEntries()
	a := e.admitter
	a.mu.Lock()
	defer a.mu.Unlock()
	a.usage.SetEntries(all, reachable)
	a.usage.Tick()
	a.controller.Tick()
}

// updateAdmissionCapacity sets the pool's current capacity in the admission
// state.
func (e *Entry) updateAdmissionCapacity(p *upstreamPool) {
	capacity := p.capacity()
	e.admitter.mu.Lock()
	defer e.admitter.mu.Unlock()
	e.admitter.controller.SetCapacity(p.name, capacity)
}

// countEntries returns the number of live entries, and the number of those in
// data centres that are reachable: this entry's own and those with a connected
// upstream.
func (e *Entry) countEntries() (all, reachable int) {
	if e.opts.View == nil {
		return 1, 1
	}
	dataCentres := e.links.connectedDataCentres()
	dataCentres[e.opts.Hello.DataCentre] = true
	for _, vm := range e.opts.View.Entries() {
		all++
		if dataCentres[vm.DataCentre] {
			reachable++
		}
	}
	return all, reachable
}
