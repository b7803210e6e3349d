package entry

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/membership"
	"github.com/kingcupreel/kingcupreel/internal/opapi"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

const (
	// processQueryTimeout bounds the query of one process, including the
	// connection.
	processQueryTimeout = 2 * time.Second
	// maxConcurrentQueries bounds the processes that one request queries at the
	// same time.
	maxConcurrentQueries = 64
	// queryIncarnationSuffix is appended to the entry's incarnation on a
	// connection that is opened for one query.
	queryIncarnationSuffix = "/inquiry"
)

// queryTable routes the answers of other processes to the operators' requests
// that wait for them. Its lock is a leaf lock.
type queryTable struct {
	mu        sync.Mutex
	lastNonce uint64
	pending   map[uint64]chan wire.Message
}

// open registers a query and returns its nonce and the channel for the answer.
func (t *queryTable) open() (uint64, chan wire.Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastNonce++
	c := make(chan wire.Message, 1)
	t.pending[t.lastNonce] = c
	return t.lastNonce, c
}

func (t *queryTable) close(nonce uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.pending, nonce)
}

// handleReply passes an answer to the request that waits for it.
func (e *Entry) handleReply(nonce uint64, m wire.Message) {
	e.queries.mu.Lock()
	defer e.queries.mu.Unlock()
	select {
	case e.queries.pending[nonce] <- m:
	default:
	}
}

// target is a process to query, on an open connection or else by its address.
type target struct {
	name    string
	conn    *wire.Conn
	address string
	// upstream is set for an agent.
	upstream string
}

// reply is a target's answer.
type reply struct {
	target  target
	message wire.Message
	err     error
}

// queryAll sends each target a message. It returns the answers and the targets
// that did not answer.
func (e *Entry) queryAll(ctx context.Context, targets []target, message func(nonce uint64) wire.Message) ([]reply, []opapi.Missing) {
	replies := make(chan reply, len(targets))
	slots := make(chan struct{}, maxConcurrentQueries)
	for _, t := range targets {
		go func() {
			slots <- struct{}{}
			m, err := e.query(ctx, t, message)
			<-slots
			replies <- reply{t, m, err}
		}()
	}
	var answers []reply
	var missing []opapi.Missing
	for range targets {
		r := <-replies
		if r.err != nil {
			missing = append(missing, opapi.Missing{Process: r.target.name, Reason: r.err.Error()})
			continue
		}
		answers = append(answers, r)
	}
	return answers, missing
}

// query sends one target a message and returns its answer.
func (e *Entry) query(ctx context.Context, t target, message func(nonce uint64) wire.Message) (wire.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, processQueryTimeout)
	defer cancel()
	c := t.conn
	if c == nil {
		nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", t.address)
		if err != nil {
			return nil, fault.Wrap(fault.Unavailable, err, "check the VM and the network path to it", "%s does not accept connections", t.name)
		}
		c = wire.NewConn(nc, &e.queryMux, e.queryWireOptions(t))
		_ = c.Send(e.queryHello())
		go func() { _ = c.Run(ctx) }()
		defer c.Close()
	}
	nonce, answer := e.queries.open()
	defer e.queries.close(nonce)
	if err := c.Send(message(nonce)); err != nil {
		return nil, err
	}
	select {
	case m := <-answer:
		return m, nil
	case <-c.Closed():
		return nil, fault.New(fault.Unavailable, "check the VM and the network path to it", "%s closed the connection", t.name)
	case <-ctx.Done():
		return nil, fault.New(fault.Timeout, "check the VM and the network path to it", "%s did not answer", t.name)
	}
}

// queryWireOptions returns the connection options that match those of the
// target.
func (e *Entry) queryWireOptions(t target) wire.Options {
	if t.upstream == "" {
		return e.opts.Wire
	}
	return e.agentWireOptions()
}

// queryHello returns the Hello for a connection that is opened for one query.
// It has an incarnation of its own, under which nothing is dispatched.
func (e *Entry) queryHello() *wire.Hello {
	h := e.opts.Hello
	h.Incarnation += queryIncarnationSuffix
	h.Revision = e.opts.Store.Current().Revision
	return &h
}

// entryTargets returns the other entries: those connected, and those that are
// only in the VM list.
func (e *Entry) entryTargets() []target {
	var targets []target
	processes := map[string]bool{e.opts.Hello.Process: true}
	vms := map[string]bool{e.opts.Hello.VM: e.opts.Hello.VM != ""}
	if e.opts.Peers != nil {
		for _, c := range e.opts.Peers.Conns() {
			h := c.Peer()
			if h.Process == "" || processes[h.Process] {
				continue
			}
			processes[h.Process] = true
			vms[h.VM] = h.VM != ""
			targets = append(targets, target{name: h.Process, conn: c})
		}
	}
	if e.opts.View == nil {
		return targets
	}
	for _, vm := range e.opts.View.All() {
		if vm.Role == membership.RoleEntry && !vms[vm.ID] {
			targets = append(targets, target{name: "entry on " + vm.ID, address: vm.Address})
		}
	}
	return targets
}

// agentTargets returns the agents of all configured upstreams.
func (e *Entry) agentTargets() []target {
	var targets []target
	for name, u := range e.opts.Store.Current().Upstreams {
		targets = append(targets, target{name: "agent of " + name, conn: e.links.connection(name), address: u.Address, upstream: name})
	}
	return targets
}

// connection returns the open connection to an upstream's agent, or nil.
func (t *linkTable) connection(upstream string) *wire.Conn {
	t.mu.Lock()
	l := t.links[upstream]
	t.mu.Unlock()
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn
}

// registerQueryRoutes registers the handlers of the queries between entries and
// of their answers.
func (e *Entry) registerQueryRoutes() {
	e.queryMux.Funcs = map[wire.Kind]func(*wire.Conn, wire.Message){}
	for _, mux := range []*wire.Mux{&e.peerMux, &e.queryMux} {
		mux.Funcs[wire.KindEventsReply] = func(_ *wire.Conn, m wire.Message) { e.handleReply(m.(*wire.EventsReply).Nonce, m) }
		mux.Funcs[wire.KindStatusReply] = func(_ *wire.Conn, m wire.Message) { e.handleReply(m.(*wire.StatusReply).Nonce, m) }
	}
	e.peerMux.Funcs[wire.KindEventsRequest] = func(c *wire.Conn, m wire.Message) {
		_ = c.Send(&wire.EventsReply{Nonce: m.(*wire.EventsRequest).Nonce, Events: e.opts.Events.Events()})
	}
	e.peerMux.Funcs[wire.KindStatusRequest] = e.answerStatus
}
