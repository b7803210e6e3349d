package entry

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupreel/kingcupreel/internal/claim"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/timeline"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

const (
	// queryTimeout bounds the wait for an agent's first answer to a query about
	// a call, including the wait for a connection.
	queryTimeout = 2 * time.Second
	// queryAllTimeout bounds the query to all agents while the key-value
	// service is unavailable.
	queryAllTimeout = 500 * time.Millisecond
	// connectPollInterval is the interval at which a query checks whether its
	// agent is connected.
	connectPollInterval = 20 * time.Millisecond

	headerReplayed = "Idempotent-Replayed"
)

// claimState is the entry's state for non-idempotent calls: the claims in the
// key-value service, the completions to write and the queries to agents.
type claimState struct {
	store       claim.Store
	completions completionQueue
	nonce       atomic.Uint64

	mu             sync.Mutex // leaf lock
	pendingQueries map[uint64]chan claim.Status
}

// initClaims creates the claim state and starts the writer of completions.
func (e *Entry) initClaims(ctx context.Context) {
	e.claims = &claimState{
		store:          claim.Store{KV: e.opts.KV, Clock: clockwork.NewRealClock()},
		pendingQueries: map[uint64]chan claim.Status{},
	}
	e.claims.completions.pending = make(chan completion, maxPendingCompletions)
	e.agentMux.Funcs[wire.KindCallStatus] = e.claims.handleCallStatus
	go e.writeCompletions(ctx)
}

// handleCallStatus passes an agent's answer to the query that waits for it.
func (c *claimState) handleCallStatus(_ *wire.Conn, m wire.Message) {
	s := m.(*wire.CallStatus)
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case c.pendingQueries[s.Nonce] <- claim.Status{State: claim.State(s.State), Answer: claim.Answer(s.Answer)}:
	default:
	}
}

// registerQuery registers a query that expects up to the given number of
// answers. It returns the query's nonce and the channel for the answers.
func (c *claimState) registerQuery(answers int) (uint64, chan claim.Status) {
	nonce := c.nonce.Add(1)
	ch := make(chan claim.Status, answers)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pendingQueries[nonce] = ch
	return nonce, ch
}

func (c *claimState) unregisterQuery(nonce uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pendingQueries, nonce)
}

// Count implements claim.Events.
func (e *Entry) Count(event string) { e.count(event) }

// runNonIdempotent runs a non-idempotent call to its end and writes the answer.
func (x *exchange) runNonIdempotent(ctx context.Context) {
	d := &x.req.dispatch
	r := claim.Runner{Store: &x.entry.claims.store, Upstreams: claimUpstreams{x, ctx}, Events: x.entry, Completed: x.entry.queueCompletion}
	res := r.Run(ctx, claim.Call{
		ID:       claim.ID{Account: x.req.account.Name, Key: d.Key},
		BodyHash: claim.BodyHash(d.Service, d.Method, d.Path, d.Body),
	})
	res.Err = x.finishAdmission(res)
	x.entry.count("requests." + string(res.Answer.Outcome))
	x.entry.event(timeline.Event{Kind: timeline.Answered, Request: x.req.id, Detail: string(res.Answer.Outcome)})
	if res.Err != nil {
		writeError(x.answer.w, res.Answer.Outcome, res.Err)
		return
	}
	if res.Replayed {
		x.answer.w.Header().Set(headerReplayed, "true")
	}
	x.answer.status, x.answer.contentType, x.answer.body = res.Answer.Status, res.Answer.ContentType, res.Answer.Body
	x.answer.finish(result{outcome: outcome.Completed})
}

// ensureAdmitted waits for admission when it is first called, and reports
// whether the call may start. A refused call can still be answered if its key
// already has an answer.
func (x *exchange) ensureAdmitted(ctx context.Context) bool {
	if x.releaseAdmission == nil && x.refusal == nil {
		x.releaseAdmission, x.refusal = x.entry.admit(ctx, x.req)
	}
	return x.refusal == nil
}

// finishAdmission releases the call's admission and returns the error to
// report: the refusal, if that is why the call was not run.
func (x *exchange) finishAdmission(res claim.Result) error {
	if x.releaseAdmission != nil {
		x.releaseAdmission(res.Answer.Outcome == outcome.Completed)
	}
	if x.refusal != nil && res.Answer.Outcome == outcome.NotRun {
		return x.refusal
	}
	return res.Err
}

// claimUpstreams implements claim.Upstreams for one exchange.
type claimUpstreams struct {
	x   *exchange
	ctx context.Context
}

// Pick implements claim.Upstreams. It picks no upstream for a call that
// quarantine or admission refuses; claim.Runner still finds an answer that the
// key already has.
func (u claimUpstreams) Pick(attempted map[string]bool) (claim.Target, bool) {
	x := u.x
	x.attempted = attempted
	if err := x.checkQuarantine(); err != nil {
		x.refusal = err
		return claim.Target{}, false
	}
	if !x.ensureAdmitted(u.ctx) {
		return claim.Target{}, false
	}
	l := x.pick()
	if l == nil {
		return claim.Target{}, false
	}
	return claim.Target{Upstream: l.upstream.Name, Incarnation: l.incarnation()}, true
}

// Dispatch implements claim.Upstreams.
func (u claimUpstreams) Dispatch(ctx context.Context, r claim.Record) claim.Result {
	x := u.x
	l := x.entry.links.byName(r.Upstream)
	if l == nil {
		return claim.Result{Answer: claim.Answer{Outcome: outcome.NotRun}, Err: fault.New(fault.Unavailable, "send the request again", "this entry no longer has a link to upstream %s", r.Upstream)}
	}
	x.req.dispatch.Ticket = ticketOf(r)
	x.answer.reset()
	res := x.attempt(ctx, l, r.Generation)
	return claim.Result{Answer: x.claimAnswer(ctx, res), Err: claimError(ctx, res)}
}

func ticketOf(r claim.Record) wire.Ticket {
	return wire.Ticket{Generation: r.Generation, Incarnation: r.Incarnation, ClaimedMS: r.ClaimedMS}
}

// claimAnswer converts the result of an attempt to the answer of a call. After
// the caller left or its deadline passed, the call may still run at its agent,
// so its outcome is unknown, not failed.
func (x *exchange) claimAnswer(ctx context.Context, res result) claim.Answer {
	a := claim.Answer{Outcome: res.outcome, Status: x.answer.status, ContentType: x.answer.contentType, Body: x.answer.body}
	if res.outcome == outcome.Failed && ctx.Err() != nil {
		a.Outcome = outcome.Unknown
	}
	return a
}

func claimError(ctx context.Context, res result) error {
	switch {
	case res.err == nil:
		return nil
	case ctx.Err() != nil || res.outcome == outcome.NotRun:
		return fault.Wrap(fault.As(res.err).Kind, res.err, "send the request again with the same Idempotency-Key", "the call has no answer yet").After(claim.RetryAfter)
	}
	return fault.Wrap(fault.As(res.err).Kind, res.err, "check with the service whether the call took effect", "the call was run once and did not complete")
}

// Query implements claim.Upstreams.
func (u claimUpstreams) Query(ctx context.Context, r claim.Record, fence, wait bool) (claim.Status, error) {
	e := u.x.entry
	nonce, answers := e.claims.registerQuery(2)
	defer e.claims.unregisterQuery(nonce)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.NewTimer(queryTimeout)
	defer timer.Stop()
	q := &wire.CallQuery{Nonce: nonce, Account: r.Account, Key: r.Key, Ticket: ticketOf(r), Fence: fence, Wait: wait}
	if err := e.sendWhenConnected(ctx, timer, r.Upstream, q); err != nil {
		return claim.Status{}, err
	}
	var status claim.Status
	select {
	case status = <-answers:
	case <-timer.C:
		return status, noAnswerError(r.Upstream)
	case <-ctx.Done():
		return status, noAnswerError(r.Upstream)
	}
	if status.State != claim.Running || !wait {
		return status, nil
	}
	return e.awaitCallEnd(ctx, r.Upstream, status, answers), nil
}

// awaitCallEnd waits for the end of a running call while its agent stays
// connected. It returns running if the connection or ctx ends first.
func (e *Entry) awaitCallEnd(ctx context.Context, upstream string, running claim.Status, answers chan claim.Status) claim.Status {
	disconnected := e.links.byName(upstream).connectionClosed()
	select {
	case final := <-answers:
		return final
	case <-ctx.Done():
	case <-disconnected:
	}
	return running
}

func noAnswerError(upstream string) error {
	return fault.New(fault.Timeout, "check that its VM runs", "upstream %s does not answer", upstream)
}

// sendWhenConnected sends a query as soon as the agent is connected, until
// timer fires or ctx is done.
func (e *Entry) sendWhenConnected(ctx context.Context, timer *time.Timer, upstream string, m wire.Message) error {
	for {
		l := e.links.byName(upstream)
		if l != nil && l.send(m) == nil || l == nil && e.sendOnNewConnection(ctx, upstream, m) {
			return nil
		}
		select {
		case <-time.After(connectPollInterval):
		case <-timer.C:
			return noAnswerError(upstream)
		case <-ctx.Done():
			return noAnswerError(upstream)
		}
	}
}

// sendOnNewConnection sends a query to an agent that this entry has no link to,
// on a connection that stays open until ctx is done. It reports whether the
// query was sent.
func (e *Entry) sendOnNewConnection(ctx context.Context, upstream string, m wire.Message) bool {
	u := e.opts.Store.Current().Upstreams[upstream]
	if u == nil {
		return false
	}
	d := net.Dialer{Timeout: dialTimeout}
	nc, err := d.DialContext(ctx, "tcp", u.Address)
	if err != nil {
		return false
	}
	c := wire.NewConn(nc, &wire.Mux{Funcs: map[wire.Kind]func(*wire.Conn, wire.Message){wire.KindCallStatus: e.claims.handleCallStatus}}, e.opts.Wire)
	go func() { _ = c.Run(ctx) }()
	return c.Send(e.Hello()) == nil && c.Send(m) == nil
}

// IncarnationEnded implements claim.Upstreams. It reports whether the
// upstream's record or its VM is gone. If another incarnation replaced the
// agent on the same VM, that incarnation reports it in its answer to a query.
func (u claimUpstreams) IncarnationEnded(r claim.Record) bool {
	e := u.x.entry
	record := e.opts.Store.Current().Upstreams[r.Upstream]
	if record == nil {
		return true
	}
	if l := e.links.byName(r.Upstream); l != nil && l.incarnation() != "" {
		return false
	}
	return e.opts.View != nil && e.opts.View.IsUnlisted(record.VM)
}

// QueryAll implements claim.Upstreams.
func (u claimUpstreams) QueryAll(ctx context.Context, id claim.ID) (claim.Status, bool) {
	e := u.x.entry
	ctx, cancel := context.WithTimeout(ctx, queryAllTimeout)
	defer cancel()
	upstreams := u.x.configuredUpstreams()
	nonce, answers := e.claims.registerQuery(len(upstreams))
	defer e.claims.unregisterQuery(nonce)
	sent := 0
	for _, up := range upstreams {
		l := e.links.byName(up.Name)
		if l != nil && l.send(&wire.CallQuery{Nonce: nonce, Account: id.Account, Key: id.Key}) == nil {
			sent++
		}
	}
	for range sent {
		select {
		case s := <-answers:
			if s.State == claim.Running || s.State == claim.Ended {
				return s, true
			}
		case <-ctx.Done():
			return claim.Status{}, false
		}
	}
	return claim.Status{}, false
}

// incarnation returns the connected agent's incarnation, or "" without a
// connection.
func (l *link) incarnation() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return ""
	}
	return l.hello.Incarnation
}

// connectionClosed returns a channel that is closed when the current connection
// ends. For a nil link or one without a connection the channel is already
// closed.
func (l *link) connectionClosed() <-chan struct{} {
	if l != nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.conn != nil {
			return l.conn.Closed()
		}
	}
	closed := make(chan struct{})
	close(closed)
	return closed
}

// byName returns the link to an upstream, or nil.
func (t *linkTable) byName(name string) *link {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.links[name]
}
