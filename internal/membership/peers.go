package membership

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// dialTimeout bounds a dial of an entry.
const dialTimeout = 1 * time.Second

// peerBackoff bounds the wait between two dials of an entry.
var peerBackoff = wire.Backoff{Min: 100 * time.Millisecond, Max: 4 * time.Second}

// Peers keeps an entry connected to other entries: it dials the chosen ones
// and accepts the others'.
type Peers struct {
	// Self is the entry's VM id, DataCentre its data centre.
	Self       string
	DataCentre string
	// Seeds are inner addresses that are dialled while the view is empty.
	Seeds []string
	View  *View
	Wire  wire.Options
	// Hello returns what this process says of itself.
	Hello func() *wire.Hello
	// Handler receives the peers' messages, the Hello first.
	Handler wire.Handler

	mu      sync.Mutex
	conns   map[*wire.Conn]struct{}
	dialled map[string]context.CancelFunc
}

// Run dials peers until ctx is done.
func (p *Peers) Run(ctx context.Context) {
	p.mu.Lock()
	p.dialled = map[string]context.CancelFunc{}
	p.mu.Unlock()
	p.View.OnChange(func() { p.reconcile(ctx) })
	p.reconcile(ctx)
	<-ctx.Done()
}

// reconcile dials the chosen addresses and drops the others.
func (p *Peers) reconcile(ctx context.Context) {
	wanted := p.addresses()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, stop := range p.dialled {
		if !wanted[address] {
			stop()
			delete(p.dialled, address)
		}
	}
	for address := range wanted {
		if p.dialled[address] != nil {
			continue
		}
		dialCtx, stop := context.WithCancel(ctx)
		p.dialled[address] = stop
		go p.keep(dialCtx, address)
	}
}

func (p *Peers) addresses() map[string]bool {
	wanted := map[string]bool{}
	entries := p.View.Entries()
	address := map[string]string{}
	for _, vm := range entries {
		address[vm.ID] = vm.Address
	}
	for _, id := range PeerIDs(entries, p.Self, p.DataCentre) {
		wanted[address[id]] = true
	}
	if len(entries) == 0 {
		for _, seed := range p.Seeds {
			wanted[seed] = true
		}
	}
	return wanted
}

// keep redials an address until ctx is done.
func (p *Peers) keep(ctx context.Context, address string) {
	wire.Redial(ctx, peerBackoff, func(ctx context.Context) bool {
		d := net.Dialer{Timeout: dialTimeout}
		nc, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return false
		}
		p.serve(ctx, nc)
		return true
	})
}

// Serve accepts peers' connections until ctx is done.
func (p *Peers) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	for {
		nc, err := l.Accept()
		if err != nil {
			return ctx.Err()
		}
		go p.serve(ctx, nc)
	}
}

func (p *Peers) serve(ctx context.Context, nc net.Conn) {
	c := wire.NewConn(nc, p.Handler, p.Wire)
	_ = c.Send(p.Hello())
	p.mu.Lock()
	if p.conns == nil {
		p.conns = map[*wire.Conn]struct{}{}
	}
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	_ = c.Run(ctx)
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// Broadcast sends a message to every connected peer.
func (p *Peers) Broadcast(m wire.Message) {
	for _, c := range p.Conns() {
		_ = c.Send(m)
	}
}

// Conns returns the open connections.
func (p *Peers) Conns() []*wire.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := make([]*wire.Conn, 0, len(p.conns))
	for c := range p.conns {
		conns = append(conns, c)
	}
	return conns
}

// DistinctConns returns one open connection to each other entry, whichever of the
// two dialled.
func (p *Peers) DistinctConns() []*wire.Conn {
	seen := map[string]bool{}
	return slices.DeleteFunc(p.Conns(), func(c *wire.Conn) bool {
		incarnation := c.Peer().Incarnation
		again := incarnation == "" || seen[incarnation]
		seen[incarnation] = true
		return again
	})
}
