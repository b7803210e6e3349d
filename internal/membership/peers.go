package membership

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// dialTimeout limits one dial of an entry.
const dialTimeout = 1 * time.Second

// peerBackoff limits the delay between two dials of an entry.
var peerBackoff = wire.Backoff{Min: 100 * time.Millisecond, Max: 4 * time.Second}

// Peers keeps an entry connected to other entries: it dials those that PeerIDs
// selects and accepts the connections of others.
type Peers struct {
	// Self is the id of the entry's VM, DataCentre the VM's data centre.
	Self       string
	DataCentre string
	// Seeds are the inner protocol's addresses (host:port) that are dialled while
	// the view shows no entries.
	Seeds []string
	View  *View
	Wire  wire.Options
	// Hello returns the first message that is sent on each connection.
	Hello func() *wire.Hello
	// Handler receives the peers' messages, of which the first is a Hello.
	Handler wire.Handler

	mu         sync.Mutex
	conns      map[*wire.Conn]struct{}
	cancelDial map[string]context.CancelFunc
}

// Run dials peers until ctx is done.
func (p *Peers) Run(ctx context.Context) {
	p.mu.Lock()
	p.cancelDial = map[string]context.CancelFunc{}
	p.mu.Unlock()
	p.View.OnChange(func() { p.reconcile(ctx) })
	p.reconcile(ctx)
	<-ctx.Done()
}

// reconcile starts dialling the wanted addresses and stops the other dial loops.
func (p *Peers) reconcile(ctx context.Context) {
	wanted := p.addresses()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, stop := range p.cancelDial {
		if !wanted[address] {
			stop()
			delete(p.cancelDial, address)
		}
	}
	for address := range wanted {
		if p.cancelDial[address] != nil {
			continue
		}
		dialCtx, stop := context.WithCancel(ctx)
		p.cancelDial[address] = stop
		go p.dialLoop(dialCtx, address)
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

// dialLoop keeps a connection to an address open until ctx is done.
func (p *Peers) dialLoop(ctx context.Context, address string) {
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

// Serve accepts and serves peers' connections until ctx is done.
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

// DistinctConns returns one open connection for each connected entry, whichever
// of the two dialled. It leaves out connections whose peer has not yet sent its
// Hello.
func (p *Peers) DistinctConns() []*wire.Conn {
	seen := map[string]bool{}
	return slices.DeleteFunc(p.Conns(), func(c *wire.Conn) bool {
		incarnation := c.Peer().Incarnation
		skip := incarnation == "" || seen[incarnation]
		seen[incarnation] = true
		return skip
	})
}
