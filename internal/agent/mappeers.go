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
	// peerDialTimeout and peerRedial bound the connection to another agent of
	// the group and the wait before the next try.
	peerDialTimeout = 1 * time.Second
	peerRedialDelay = 200 * time.Millisecond
)

// reconcile dials the group's other agents, at the addresses of their records.
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

func (p *mapPeers) broadcast(messages []wire.Message) {
	for _, m := range messages {
		for _, l := range p.links {
			l.send(m)
		}
	}
}

// send passes a message on if the agent is connected.
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

// run holds a connection to the agent until ctx is done.
func (l *mapPeer) run(ctx context.Context, part *mapHandler, address string) {
	for ctx.Err() == nil {
		l.serve(ctx, part, address)
		select {
		case <-ctx.Done():
		case <-time.After(peerRedialDelay/2 + rand.N(peerRedialDelay)):
		}
	}
}

func (l *mapPeer) serve(ctx context.Context, part *mapHandler, address string) {
	d := net.Dialer{Timeout: peerDialTimeout}
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	// What the other agent tells all its connections is not for this one.
	c := wire.NewConn(nc, &wire.Mux{}, part.agent.opts.Wire)
	hello := part.agent.opts.Hello
	_ = c.Send(&hello)
	l.setConn(c)
	defer l.setConn(nil)
	_ = c.Run(ctx)
}
