package agent

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

const (
	// peerDialTimeout bounds a dial to another agent of the group;
	// peerRedialDelay is the mean delay before the next dial.
	peerDialTimeout = 1 * time.Second
	peerRedialDelay = 200 * time.Millisecond
)

// reconcile keeps one connection to each other agent of the group, at the
// address in its record, and closes the others.
func (p *mapPeers) reconcile(ctx context.Context, snap *config.Snapshot, self *config.Upstream) {
	wanted := map[string]bool{}
	for _, u := range snap.ModelUpstreams(snap.Groups[self.Group].Model) {
		if u.Group == self.Group && u.Name != self.Name {
			wanted[u.Address] = true
		}
	}
	for address, l := range p.links {
		if !wanted[address] {
			l.stop()
			delete(p.links, address)
		}
	}
	for address := range wanted {
		if p.links[address] != nil {
			continue
		}
		linkCtx, stop := context.WithCancel(ctx)
		l := &mapPeer{stop: stop}
		p.links[address] = l
		go l.run(linkCtx, p.handler, address)
	}
}

// broadcast sends messages to every connected agent of the group.
func (p *mapPeers) broadcast(messages []wire.Message) {
	for _, m := range messages {
		for _, l := range p.links {
			l.send(m)
		}
	}
}

// send sends a message if the agent is connected, and drops it otherwise.
func (l *mapPeer) send(m wire.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		_ = l.conn.Send(m)
	}
}

func (l *mapPeer) setConn(c *wire.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = c
}

// run connects to the agent, and reconnects after each failure, until ctx is
// done.
func (l *mapPeer) run(ctx context.Context, handler *mapHandler, address string) {
	for ctx.Err() == nil {
		l.serve(ctx, handler, address)
		select {
		case <-ctx.Done():
		case <-time.After(peerRedialDelay/2 + rand.N(peerRedialDelay)):
		}
	}
}

// serve dials the agent once and serves the connection until it ends.
func (l *mapPeer) serve(ctx context.Context, handler *mapHandler, address string) {
	d := net.Dialer{Timeout: peerDialTimeout}
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	// The other agent's broadcasts, which are meant for entries, are dropped.
	c := wire.NewConn(nc, &wire.Mux{}, handler.agent.opts.Wire)
	hello := handler.agent.opts.Hello
	_ = c.Send(&hello)
	l.setConn(c)
	defer l.setConn(nil)
	_ = c.Run(ctx)
}
