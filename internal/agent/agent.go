package agent

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/telemetry"
	"github.com/kingcupreel/kingcupreel/internal/timeline"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

const (
	// refusalRetry is the Retry-After of a refusal by a full or leaving agent.
	refusalRetry = 1 * time.Second
	// loadInterval is how often the agent reports its engine's load.
	loadInterval = 500 * time.Millisecond
)

// Options are what an agent is built from.
type Options struct {
	// Hello is what the agent says of itself; Upstream names it.
	Hello wire.Hello
	// Target is the base URL of the engine or plain service.
	Target string
	// Workers bounds the attempts that run at once; twice as many may wait.
	Workers int
	Wire    wire.Options
	Store   *config.Store
	Events  *timeline.Ring
	Metrics metrics.Registry
	Log     *zap.Logger
}

// Agent serves the entries' connections.
type Agent struct {
	opts     Options
	upstream *upstream
	journal  *journal
	queue    chan *run

	mu      sync.Mutex
	conns   map[*wire.Conn]wire.Hello
	runs    map[wire.AttemptID]*run
	load    *wire.Load // the last report, nil before the first
	leaving bool
	active  sync.WaitGroup
	// configured wakes the load report after a change of configuration.
	configured chan struct{}
}

// New returns an agent.
func New(opts Options) *Agent {
	a := &Agent{
		opts:     opts,
		upstream: newUpstream(opts.Target),
		journal:  newJournal(),
		queue:    make(chan *run, 2*opts.Workers),
		conns:    map[*wire.Conn]wire.Hello{},
		runs:     map[wire.AttemptID]*run{},

		configured: make(chan struct{}, 1),
	}
	opts.Store.OnChange(a.configApplied)
	return a
}

// Serve accepts connections until ctx is done.
func (a *Agent) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	for range a.opts.Workers {
		go a.work(ctx)
	}
	go a.reportLoad(ctx)
	for {
		nc, err := l.Accept()
		if err != nil {
			return ctx.Err()
		}
		go a.serveConn(ctx, nc)
	}
}

func (a *Agent) serveConn(ctx context.Context, nc net.Conn) {
	c := wire.NewConn(nc, a, a.opts.Wire)
	hello := a.opts.Hello
	hello.Revision = a.opts.Store.Current().Revision
	_ = c.Send(&hello)
	err := c.Run(ctx)
	a.mu.Lock()
	peer := a.conns[c]
	delete(a.conns, c)
	a.mu.Unlock()
	a.opts.Events.Add(timeline.Event{Kind: timeline.Disconnected, Object: peer.Process, Detail: err.Error()})
}

// Receive implements wire.Handler.
func (a *Agent) Receive(c *wire.Conn, m wire.Message) {
	switch m := m.(type) {
	case *wire.Hello:
		a.connected(c, *m)
	case *wire.Dispatch:
		a.dispatch(c, m)
	case *wire.Cancel:
		a.cancel(c, m)
	case *wire.ConfigSnapshot:
		a.opts.Store.Apply(m.Revision, recordsOf(m))
	case *wire.EventsRequest:
		_ = c.Send(&wire.EventsReply{Nonce: m.Nonce, Events: a.opts.Events.Events()})
	default:
		a.count("frames.unexpected")
	}
}

func recordsOf(m *wire.ConfigSnapshot) []config.Record {
	records := make([]config.Record, 0, len(m.Records))
	for _, r := range m.Records {
		records = append(records, config.Record(r))
	}
	return records
}

func (a *Agent) connected(c *wire.Conn, hello wire.Hello) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conns[c] = hello
	a.opts.Events.Add(timeline.Event{Kind: timeline.Connected, Object: hello.Process})
	if a.load != nil {
		_ = c.Send(a.load)
	}
	if a.leaving {
		_ = c.Send(&wire.Leaving{})
	}
}

// dispatch queues an attempt, or refuses it.
func (a *Agent) dispatch(c *wire.Conn, d *wire.Dispatch) {
	if err := a.enqueue(c, d); err != nil {
		e := fault.As(err)
		a.count("attempts.refused")
		a.opts.Events.Add(timeline.Event{Kind: timeline.AttemptRefused, Request: d.ID.Request, Attempt: d.ID.Attempt, Detail: e.Message})
		_ = c.Send(&wire.Refused{ID: d.ID, Reason: e.Kind, Message: e.Error(), RetryAfterMS: e.RetryAfter.Milliseconds()})
	}
}

func (a *Agent) enqueue(c *wire.Conn, d *wire.Dispatch) error {
	if d.ID.Incarnation != a.opts.Hello.Incarnation {
		return fault.New(fault.Stale, "dispatch to the agent's present incarnation", "the attempt is meant for another incarnation")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.journal.begin(d.ID) {
		return fault.New(fault.Conflict, "use a new attempt number", "the attempt was seen or withdrawn before")
	}
	r, err := a.admit(c, d)
	if err != nil {
		a.journal.set(d.ID, wire.NeverRun)
		return err
	}
	a.runs[d.ID] = r
	a.active.Add(1)
	_ = c.Send(&wire.Accepted{ID: d.ID})
	return nil
}

// admit puts a run in the queue. The caller holds mu.
func (a *Agent) admit(c *wire.Conn, d *wire.Dispatch) (*run, error) {
	if a.leaving {
		return nil, fault.New(fault.Unavailable, "use another upstream", "the upstream is leaving").After(refusalRetry)
	}
	r := newRun(context.Background(), d, c)
	select {
	case a.queue <- r:
		return r, nil
	default:
		r.cancel()
		return nil, fault.New(fault.Overloaded, "use another upstream", "the upstream's queue is full").After(refusalRetry)
	}
}

// cancel stops or fences an attempt and tells the entry its state.
func (a *Agent) cancel(c *wire.Conn, m *wire.Cancel) {
	a.mu.Lock()
	defer a.mu.Unlock()
	state := a.journal.fence(m.ID)
	if r := a.runs[m.ID]; r != nil {
		r.cancel()
	}
	_ = c.Send(&wire.Verdict{ID: m.ID, State: state})
}

// work takes runs from the queue until ctx is done.
func (a *Agent) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-a.queue:
			a.execute(r)
		}
	}
}

func (a *Agent) execute(r *run) {
	id := r.dispatch.ID
	defer a.finish(r)
	if r.ctx.Err() != nil {
		a.journal.set(id, wire.NeverRun)
		r.done(outcome.NotRun, fault.New(fault.Timeout, "send the request again", "withdrawn before it ran"))
		return
	}
	a.opts.Events.Add(timeline.Event{Kind: timeline.AttemptStarted, Request: id.Request, Attempt: id.Attempt})
	o, err := a.upstream.run(r)
	state := wire.Ended
	if o == outcome.NotRun {
		state = wire.NeverRun
	}
	a.journal.set(id, state)
	r.done(o, err)
	a.count("attempts." + string(o))
	a.opts.Events.Add(timeline.Event{Kind: timeline.AttemptEnded, Request: id.Request, Attempt: id.Attempt, Detail: string(o)})
}

func (a *Agent) finish(r *run) {
	r.cancel()
	a.mu.Lock()
	delete(a.runs, r.dispatch.ID)
	a.mu.Unlock()
	a.active.Done()
}

// reportLoad sends the engine's load to every entry, at intervals and as soon
// as the configuration shows that the upstream is an engine.
func (a *Agent) reportLoad(ctx context.Context) {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if a.servesModel() {
			a.pollLoad(ctx)
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-a.configured:
		}
	}
}

// servesModel says whether the upstream is an engine; plain services have no
// load to report.
func (a *Agent) servesModel() bool {
	u := a.opts.Store.Current().Upstreams[a.opts.Hello.Upstream]
	return u != nil && u.Group != ""
}

func (a *Agent) pollLoad(ctx context.Context) {
	load, err := a.upstream.load(ctx)
	if err != nil {
		return
	}
	a.keepLoad(&load)
	a.broadcast(&load)
}

// keepLoad remembers a report for entries that connect before the next one.
func (a *Agent) keepLoad(load *wire.Load) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.load = load
}

func (a *Agent) broadcast(m wire.Message) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		_ = c.Send(m)
	}
}

func (a *Agent) configApplied(s *config.Snapshot) {
	a.opts.Events.Add(timeline.Event{Kind: timeline.ConfigApplied, Revision: s.Revision})
	a.broadcast(&wire.ConfigDigest{Revision: s.Revision})
	select {
	case a.configured <- struct{}{}:
	default:
	}
}

// Leave refuses new work, tells every entry, and waits until the work in
// flight has ended or ctx is done.
func (a *Agent) Leave(ctx context.Context) error {
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	a.opts.Events.Add(timeline.Event{Kind: timeline.UpstreamLeaving, Object: a.opts.Hello.Upstream})
	a.broadcast(&wire.Leaving{})
	ended := make(chan struct{})
	go func() {
		a.active.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (a *Agent) count(name string) { telemetry.Counter(a.opts.Metrics, name).Inc(1) }
