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
	// gatherTimeout bounds the wait for one process's answer.
	gatherTimeout = 2 * time.Second
	// gatherLimit bounds the processes that are asked at once.
	gatherLimit = 64
	// inquirySuffix marks the incarnation of a connection for one question.
	inquirySuffix = "/inquiry"
)

// gatherTable routes the answers of other processes to the operators' requests
// that wait for them. Its lock is a leaf.
type gatherTable struct {
	mu    sync.Mutex
	next  uint64
	waits map[uint64]chan wire.Message
}

func (t *gatherTable) open() (uint64, chan wire.Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next++
	c := make(chan wire.Message, 1)
	t.waits[t.next] = c
	return t.next, c
}

func (t *gatherTable) close(nonce uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.waits, nonce)
}

// gathered hands an answer to the request that waits for it.
func (e *Entry) gathered(nonce uint64, m wire.Message) {
	e.gather.mu.Lock()
	defer e.gather.mu.Unlock()
	select {
	case e.gather.waits[nonce] <- m:
	default:
	}
}

// target is a process to ask, by an open connection or else by its address.
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

// ask sends each target a message and returns the answers, and the targets
// that gave none.
func (e *Entry) ask(ctx context.Context, targets []target, question func(nonce uint64) wire.Message) ([]reply, []opapi.Missing) {
	replies := make(chan reply, len(targets))
	slots := make(chan struct{}, gatherLimit)
	for _, t := range targets {
		go func() {
			slots <- struct{}{}
			m, err := e.askOne(ctx, t, question)
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

func (e *Entry) askOne(ctx context.Context, t target, question func(nonce uint64) wire.Message) (wire.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	c := t.conn
	if c == nil {
		nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", t.address)
		if err != nil {
			return nil, fault.Wrap(fault.Unavailable, err, "check the VM and the path to it", "%s takes no connection", t.name)
		}
		c = wire.NewConn(nc, &e.inquiryMux, e.inquiryWire(t))
		_ = c.Send(e.inquiryHello())
		go func() { _ = c.Run(ctx) }()
		defer c.Close()
	}
	nonce, answer := e.gather.open()
	defer e.gather.close(nonce)
	if err := c.Send(question(nonce)); err != nil {
		return nil, err
	}
	select {
	case m := <-answer:
		return m, nil
	case <-c.Closed():
		return nil, fault.New(fault.Unavailable, "check the VM and the path to it", "%s closed the connection", t.name)
	case <-ctx.Done():
		return nil, fault.New(fault.Timeout, "check the VM and the path to it", "%s gave no answer", t.name)
	}
}

// inquiryWire returns the options that the target's side has too.
func (e *Entry) inquiryWire(t target) wire.Options {
	if t.upstream == "" {
		return e.opts.Wire
	}
	return e.agentWire()
}

// inquiryHello is what the entry says on a connection that it opens for one
// question: an incarnation of its own, which never dispatches.
func (e *Entry) inquiryHello() *wire.Hello {
	h := e.opts.Hello
	h.Incarnation += inquirySuffix
	h.Revision = e.opts.Store.Current().Revision
	return &h
}

// entryTargets returns the other entries: those connected, and those that only
// the VM list shows.
func (e *Entry) entryTargets() []target {
	var targets []target
	seen := map[string]bool{e.opts.Hello.Process: true}
	vms := map[string]bool{e.opts.Hello.VM: e.opts.Hello.VM != ""}
	if e.opts.Peers != nil {
		for _, c := range e.opts.Peers.Conns() {
			h := c.Peer()
			if h.Process == "" || seen[h.Process] {
				continue
			}
			seen[h.Process] = true
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

// agentTargets returns the agents of all upstreams in the configuration.
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

// registerInquiries adds the routes of what entries ask each other for their
// operators.
func (e *Entry) registerInquiries() {
	e.inquiryMux.Funcs = map[wire.Kind]func(*wire.Conn, wire.Message){}
	for _, x := range []*wire.Mux{&e.peerMux, &e.inquiryMux} {
		x.Funcs[wire.KindEventsReply] = func(_ *wire.Conn, m wire.Message) { e.gathered(m.(*wire.EventsReply).Nonce, m) }
		x.Funcs[wire.KindStatusReply] = func(_ *wire.Conn, m wire.Message) { e.gathered(m.(*wire.StatusReply).Nonce, m) }
	}
	e.peerMux.Funcs[wire.KindEventsRequest] = func(c *wire.Conn, m wire.Message) {
		_ = c.Send(&wire.EventsReply{Nonce: m.(*wire.EventsRequest).Nonce, Events: e.opts.Events.Events()})
	}
	e.peerMux.Funcs[wire.KindStatusRequest] = e.answerStatus
}
