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
	// askTimeout bounds the wait for an agent's first word on a call, the
	// connection included.
	askTimeout = 2 * time.Second
	// knownTimeout bounds the question to all agents while the key-value
	// service can't be used.
	knownTimeout = 500 * time.Millisecond
	// connectPoll is how often a question looks for its agent's connection.
	connectPoll = 20 * time.Millisecond

	headerReplayed = "Idempotent-Replayed"
)

// onceCalls is the entry's part in non-idempotent calls: the claims and the
// questions to agents.
type onceCalls struct {
	claims      claim.Store
	completions completionQueue
	nonce       atomic.Uint64

	mu    sync.Mutex // leaf lock
	waits map[uint64]chan claim.Status
}

// startOnce fills the entry's part and starts its writer.
func (e *Entry) startOnce(ctx context.Context) {
	e.once = &onceCalls{
		claims: claim.Store{KV: e.opts.KV, Clock: clockwork.NewRealClock()},
		waits:  map[uint64]chan claim.Status{},
	}
	e.once.completions.waiting = make(chan completion, completionBacklog)
	e.agentMux.Funcs[wire.KindCallStatus] = e.once.answered
	go e.writeCompletions(ctx)
}

// answered passes an agent's word to the question that waits for it.
func (o *onceCalls) answered(_ *wire.Conn, m wire.Message) {
	s := m.(*wire.CallStatus)
	o.mu.Lock()
	defer o.mu.Unlock()
	select {
	case o.waits[s.Nonce] <- claim.Status{State: claim.State(s.State), Answer: claim.Answer(s.Answer)}:
	default:
	}
}

// expect registers a question that may get that many answers.
func (o *onceCalls) expect(answers int) (uint64, chan claim.Status) {
	nonce := o.nonce.Add(1)
	ch := make(chan claim.Status, answers)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.waits[nonce] = ch
	return nonce, ch
}

func (o *onceCalls) forget(nonce uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.waits, nonce)
}

// Count implements claim.Events.
func (e *Entry) Count(event string) { e.count(event) }

// runOnce brings a non-idempotent call to its end and writes the answer.
func (x *exchange) runOnce(ctx context.Context) {
	d := &x.req.dispatch
	r := claim.Runner{Store: &x.entry.once.claims, Upstreams: onceUpstreams{x, ctx}, Events: x.entry, Completed: x.entry.completed}
	res := r.Run(ctx, claim.Call{
		ID:       claim.ID{Account: x.req.account.Name, Key: d.Key},
		BodyHash: claim.BodyHash(d.Service, d.Method, d.Path, d.Body),
	})
	res.Err = x.leaveAdmission(res)
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

// enterAdmission waits, the first time, until the call may start. A call that is
// refused can still be told the answer that its key already has.
func (x *exchange) enterAdmission(ctx context.Context) bool {
	if x.release == nil && x.refused == nil {
		x.release, x.refused = x.entry.admit(ctx, x.req)
	}
	return x.refused == nil
}

// leaveAdmission gives back the call's place and returns the error to tell: the
// refusal, when that is why the call was not run.
func (x *exchange) leaveAdmission(res claim.Result) error {
	if x.release != nil {
		x.release(res.Answer.Outcome == outcome.Completed)
	}
	if x.refused != nil && res.Answer.Outcome == outcome.NotRun {
		return x.refused
	}
	return res.Err
}

// onceUpstreams implements claim.Upstreams for one exchange.
type onceUpstreams struct {
	x   *exchange
	ctx context.Context
}

// Pick implements claim.Upstreams. A convicted or refused call gets none; an
// answer that its key already has is still found.
func (u onceUpstreams) Pick(tried map[string]bool) (claim.Target, bool) {
	x := u.x
	x.tried = tried
	if err := x.judge(); err != nil {
		x.refused = err
		return claim.Target{}, false
	}
	if !x.enterAdmission(u.ctx) {
		return claim.Target{}, false
	}
	l := x.pick()
	if l == nil {
		return claim.Target{}, false
	}
	return claim.Target{Upstream: l.upstream.Name, Incarnation: l.incarnation()}, true
}

// Dispatch implements claim.Upstreams.
func (u onceUpstreams) Dispatch(ctx context.Context, r claim.Record) claim.Result {
	x := u.x
	l := x.entry.links.byName(r.Upstream)
	if l == nil {
		return claim.Result{Answer: claim.Answer{Outcome: outcome.NotRun}, Err: fault.New(fault.Unavailable, "send the request again", "upstream %s is gone", r.Upstream)}
	}
	x.req.dispatch.Ticket = ticketOf(r)
	x.answer.reset()
	res := x.attempt(ctx, l, r.Generation)
	return claim.Result{Answer: x.onceAnswer(ctx, res), Err: onceError(ctx, res)}
}

func ticketOf(r claim.Record) wire.Ticket {
	return wire.Ticket{Generation: r.Generation, Incarnation: r.Incarnation, ClaimedMS: r.ClaimedMS}
}

// onceAnswer turns the end of an attempt into a call's answer. A call that was
// given up goes on at its agent: its fate is unknown, not failed.
func (x *exchange) onceAnswer(ctx context.Context, res result) claim.Answer {
	a := claim.Answer{Outcome: res.outcome, Status: x.answer.status, ContentType: x.answer.contentType, Body: x.answer.body}
	if res.outcome == outcome.Failed && ctx.Err() != nil {
		a.Outcome = outcome.Unknown
	}
	return a
}

func onceError(ctx context.Context, res result) error {
	switch {
	case res.err == nil:
		return nil
	case ctx.Err() != nil || res.outcome == outcome.NotRun:
		return fault.Wrap(fault.As(res.err).Kind, res.err, "send the request again with the same Idempotency-Key", "the call has no answer yet").After(claim.RetryAfter)
	}
	return fault.Wrap(fault.As(res.err).Kind, res.err, "check with the service whether the call took effect", "the call was run once and did not complete")
}

// Query implements claim.Upstreams.
func (u onceUpstreams) Query(ctx context.Context, r claim.Record, fence, wait bool) (claim.Status, error) {
	e := u.x.entry
	nonce, answers := e.once.expect(2)
	defer e.once.forget(nonce)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.NewTimer(askTimeout)
	defer timer.Stop()
	q := &wire.CallQuery{Nonce: nonce, Account: r.Account, Key: r.Key, Ticket: ticketOf(r), Fence: fence, Wait: wait}
	if err := e.sendWhenConnected(ctx, timer, r.Upstream, q); err != nil {
		return claim.Status{}, err
	}
	var status claim.Status
	select {
	case status = <-answers:
	case <-timer.C:
		return status, noWord(r.Upstream)
	case <-ctx.Done():
		return status, noWord(r.Upstream)
	}
	if status.State != claim.Running || !wait {
		return status, nil
	}
	return e.awaitEnd(ctx, r.Upstream, status, answers), nil
}

// awaitEnd waits for a running call's end while the agent stays connected.
func (e *Entry) awaitEnd(ctx context.Context, upstream string, running claim.Status, answers chan claim.Status) claim.Status {
	lost := e.links.byName(upstream).closed()
	select {
	case ended := <-answers:
		return ended
	case <-ctx.Done():
	case <-lost:
	}
	return running
}

func noWord(upstream string) error {
	return fault.New(fault.Timeout, "check that its VM runs", "upstream %s does not answer", upstream)
}

// sendWhenConnected sends a question as soon as the agent is connected.
func (e *Entry) sendWhenConnected(ctx context.Context, timer *time.Timer, upstream string, m wire.Message) error {
	for {
		l := e.links.byName(upstream)
		if l != nil && l.send(m) == nil || l == nil && e.sendDirect(ctx, upstream, m) {
			return nil
		}
		select {
		case <-time.After(connectPoll):
		case <-timer.C:
			return noWord(upstream)
		case <-ctx.Done():
			return noWord(upstream)
		}
	}
}

// sendDirect asks an agent that is not in the entry's part of the upstreams, on
// a connection that lasts as long as ctx.
func (e *Entry) sendDirect(ctx context.Context, upstream string, m wire.Message) bool {
	u := e.opts.Store.Current().Upstreams[upstream]
	if u == nil {
		return false
	}
	d := net.Dialer{Timeout: dialTimeout}
	nc, err := d.DialContext(ctx, "tcp", u.Address)
	if err != nil {
		return false
	}
	c := wire.NewConn(nc, &wire.Mux{Funcs: map[wire.Kind]func(*wire.Conn, wire.Message){wire.KindCallStatus: e.once.answered}}, e.opts.Wire)
	go func() { _ = c.Run(ctx) }()
	return c.Send(e.Hello()) == nil && c.Send(m) == nil
}

// IncarnationEnded implements claim.Upstreams: the upstream's record or its VM
// has gone. An agent that was replaced on its VM says so itself.
func (u onceUpstreams) IncarnationEnded(r claim.Record) bool {
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
func (u onceUpstreams) QueryAll(ctx context.Context, id claim.ID) (claim.Status, bool) {
	e := u.x.entry
	ctx, cancel := context.WithTimeout(ctx, knownTimeout)
	defer cancel()
	upstreams := u.x.configured()
	nonce, answers := e.once.expect(len(upstreams))
	defer e.once.forget(nonce)
	asked := 0
	for _, up := range upstreams {
		l := e.links.byName(up.Name)
		if l != nil && l.send(&wire.CallQuery{Nonce: nonce, Account: id.Account, Key: id.Key}) == nil {
			asked++
		}
	}
	for range asked {
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

// incarnation returns the connected agent's incarnation, or "".
func (l *link) incarnation() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return ""
	}
	return l.hello.Incarnation
}

// closed returns a channel that is closed when the present connection ends. A
// nil link or one without a connection gives a closed channel.
func (l *link) closed() <-chan struct{} {
	if l != nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.conn != nil {
			return l.conn.Closed()
		}
	}
	ended := make(chan struct{})
	close(ended)
	return ended
}

// byName returns the link to an upstream, or nil.
func (t *linkTable) byName(name string) *link {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.links[name]
}
