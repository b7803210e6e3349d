package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/admission"
	"github.com/kingcupreel/kingcupreel/internal/timeline"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// usageInterval is the time between two digests, with a jitter of a quarter of
// it on both sides.
const usageInterval = 500 * time.Millisecond

// upstreamEjected is the event of an upstream that is out of use for a while.
const upstreamEjected timeline.Kind = "upstream-ejected"

// exchangeUsage keeps the admission and balance state current until ctx is
// done.
func (e *Entry) exchangeUsage(ctx context.Context) {
	known := map[string]bool{}
	for ctx.Err() == nil {
		e.sendUsage(known)
		e.tickPools()
		select {
		case <-ctx.Done():
		case <-time.After(usageInterval*3/4 + rand.N(usageInterval/2)):
		}
	}
}

// sendUsage sends a digest to a random peer and forgets those that are gone. known is the peers of the last round.
func (e *Entry) sendUsage(known map[string]bool) {
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
	for id := range known {
		if conns[id] == nil {
			a.usage.RemovePeer(id)
			delete(known, id)
		}
	}
	if id := e.choosePeer(conns); id != "" {
		if items := a.usage.Digest(id); len(items) > 0 {
			_ = conns[id].Send(digestMessage(items))
		}
	}
	for id := range conns {
		known[id] = true
	}
}

// choosePeer returns the peer of the next digest, or "".
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

// usageReceived takes a peer's digest and answers it.
func (e *Entry) usageReceived(c *wire.Conn, m wire.Message) {
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

// tickPools ejects silent upstreams and brings admission up to date.
func (e *Entry) tickPools() {
	for _, p := range e.links.allPools() {
		for _, name := range p.tick() {
			e.count("upstreams.ejected")
			e.event(timeline.Event{Kind: upstreamEjected, Object: name})
		}
		e.passCapacity(p)
	}
	all, reachable := e.countEntries()
	a := e.admitter
	a.mu.Lock()
	defer a.mu.Unlock()
	a.usage.SetEntries(all, reachable)
	a.usage.Tick()
	a.controller.Tick()
}

// passCapacity passes a pool's capacity to admission.
func (e *Entry) passCapacity(p *upstreamPool) {
	capacity := p.capacity()
	e.admitter.mu.Lock()
	defer e.admitter.mu.Unlock()
	e.admitter.controller.SetCapacity(p.name, capacity)
}

// countEntries returns the number of live entries, and of those in data centres
// that this entry reaches an upstream of.
func (e *Entry) countEntries() (all, reachable int) {
	if e.opts.View == nil {
		return 1, 1
	}
	reached := e.links.dataCentres()
	reached[e.opts.Hello.DataCentre] = true
	for _, vm := range e.opts.View.Entries() {
		all++
		if reached[vm.DataCentre] {
			reachable++
		}
	}
	return all, reachable
}
