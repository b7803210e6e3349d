package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/routing"
	"github.com/kingcupreel/kingcupreel/internal/upstream"
)

// fate is what is known of an attempt once it has ended.
type fate int

const (
	// delivered means that the caller has the final answer.
	delivered fate = iota
	// notRun means that the upstream did not run the request, nor will.
	notRun
	// failed means that the upstream ran it and answered with a failure.
	failed
	// unknown means that it may have run.
	unknown
	// broken means that a stream broke off after events had been passed on.
	broken
)

var fateNames = map[fate]string{delivered: "delivered", notRun: "not run", failed: "failed", unknown: "unknown", broken: "broken off"}

// result is the end of one attempt.
type result struct {
	fate  fate
	cause error
	// reply is a failure of the upstream's own that may be passed on.
	reply *whole
	// sent says that the attempt counts against the route's attempts.
	sent bool
	// refused says that the upstream was full or leaving.
	refused bool
}

// whole is an answer that was read to its end.
type whole struct {
	status int
	header http.Header
	body   []byte
}

// run makes attempts until the caller has a final answer.
func (q *request) run() {
	var last result
	for {
		m := q.pick()
		if m == nil {
			q.conclude(last, errNoUpstream.After(comeBack(q.left())))
			return
		}
		repeat := q.attempts > 0
		if repeat && !q.g.budget(q.service).TrySpend() {
			m.Finish(false, false)
			q.conclude(last, errBudget)
			return
		}
		last = q.attempt(m)
		if last.fate == delivered {
			return
		}
		if !q.again(last) {
			q.conclude(last, last.cause)
			return
		}
	}
}

var (
	errNoUpstream = fault.New(fault.Unavailable, "try again shortly", "no upstream of the service can take the request")
	errBudget     = fault.New(fault.Unavailable, "try again shortly", "the service's budget for repeats is used up").After(busyDelay)
)

const (
	// shutDelay is when a caller may come back to a group that can't serve: a
	// rank that has crashed or is cut off is away for seconds.
	shutDelay = 2500 * time.Millisecond
	// returnShare bounds that in parts of the time left: callers don't wait for
	// more than a third of it.
	returnShare = 0.32
	// delaySpread spreads callers that come back over that part of the delay.
	delaySpread = 0.1
)

// comeBack returns when a caller with that much time left may come back to a
// service without a usable upstream.
func comeBack(left time.Duration) time.Duration {
	delay := min(float64(shutDelay), returnShare*float64(left))
	return time.Duration(delay * (1 - delaySpread*rand.Float64()))
}

// busyDelay is when a caller may come back to a service that could not take
// its request.
const busyDelay = 500 * time.Millisecond

// again says whether another attempt may follow one that ended so.
func (q *request) again(last result) bool {
	if q.ctx.Err() != nil {
		return false
	}
	if last.sent && q.attempts >= q.route.MaxAttempts {
		return false
	}
	if last.fate == notRun {
		return true
	}
	return q.route.Retryable()
}

// attempt sends the request to an upstream once.
func (q *request) attempt(m *Member) result {
	q.tried = append(q.tried, m.ID)
	q.answered = false
	start := time.Now()
	res := q.send(m)
	if res.sent {
		q.attempts++
	}
	if res.fate != notRun && res.fate != delivered {
		q.mayHaveRun = true
	}
	atFault := (res.fate == unknown || res.fate == broken || res.fate == notRun && !res.refused) && q.ctx.Err() == nil
	m.Finish(q.answered, atFault)
	q.g.stats.attempted(q.service, res.fate, time.Since(start))
	q.log.Info("attempt ended",
		zap.String("upstream", m.ID), zap.String("address", m.Address), zap.String("fate", fateNames[res.fate]), zap.Error(res.cause),
		zap.Int("attempt", q.attempts), zap.Duration("took", time.Since(start)), zap.Duration("left", q.left()),
		zap.String("resume_after", q.resumeAfter()), zap.Int64("configuration", q.version()))
	return res
}

// resumeAfter is the last event that the caller has.
func (q *request) resumeAfter() string {
	if q.delivered != "" {
		return q.delivered
	}
	return q.ResumeAfter
}

// call builds what goes to the upstream.
func (q *request) call(m *Member) *upstream.Call {
	h := endToEnd(q.r.Header)
	q.g.Codec.Outbound(h, Outbound{
		Upstream:    m.ID,
		Remaining:   q.left(),
		Account:     q.account,
		StripKey:    len(q.table.Accounts) > 0,
		ResumeAfter: q.resumeAfter(),
		Priority:    q.urgency(),
	})
	return &upstream.Call{
		ID: q.ID, Method: q.r.Method, URI: q.r.RequestURI, Host: q.r.Host, Header: h, Body: q.body,
		NewConnection: !q.route.Retryable(),
	}
}

// lastUrgency is the least urgent rank that upstreams know.
const lastUrgency = 9

// urgency is the request's rank at the upstream, 0 first: its client account's,
// or its route's where the account has none.
func (q *request) urgency() int {
	rank := q.route.Priority
	if a := q.table.Account(q.Key); a != nil && a.HasPriority {
		rank = a.Priority
	}
	return min(max(rank, 0), lastUrgency)
}

// connectionLimit is this entry's part of the connections to one upstream.
func (q *request) connectionLimit() int {
	s := q.table.Service(q.service)
	if s == nil || s.MaxConnections == 0 {
		return 0
	}
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	return max(int(float64(s.MaxConnections)*q.g.part), 1)
}

func (q *request) send(m *Member) result {
	reply, err := q.g.Transport.Do(q.ctx, m.Address, q.connectionLimit(), q.call(m))
	if err != nil {
		return sendFailure(err)
	}
	defer reply.Close()
	switch {
	case reply.NotRun || reply.Misdirected:
		_, _ = reply.ReadAll() // so that the connection can be kept
		q.learn(m, reply)
		return result{fate: notRun, sent: true, refused: true, cause: fault.New(fault.Unavailable, "try another upstream", "the upstream refused the request with %d", reply.Status)}
	case !reply.FromUpstream && reply.Status < http.StatusInternalServerError, promisesNotRun(reply.Status):
		return result{fate: unknown, sent: true, cause: fault.New(fault.Crashed, "try again if it may run twice", "the upstream's answer %d can't be trusted", reply.Status)}
	case q.route.Kind == routing.Stream && reply.Status/100 == 2:
		return q.relay(m, reply)
	}
	return q.collect(reply)
}

// learn takes what a refusal says of the upstream and its group.
func (q *request) learn(m *Member, reply *upstream.Reply) {
	switch {
	case reply.FaultyUpstream != "" && (reply.FaultyUpstream != m.Address || q.steps()):
		q.log.Info("group can't serve", zap.String("upstream", m.ID), zap.String("culprit", reply.FaultyUpstream), zap.Int("status", reply.Status))
		m.SuspendGroup()
	case reply.Misdirected:
		q.log.Info("another upstream has the address", zap.String("upstream", m.ID), zap.String("address", m.Address), zap.String("instance", reply.Instance))
		m.MarkGone()
	}
}

// steps says whether the upstreams of the request's service are ranks that step
// together: what is wrong with one is wrong with all.
func (q *request) steps() bool {
	s := q.table.Service(q.service)
	return s != nil && s.Engine != nil
}

// sendFailure translates the error of an attempt without an answer.
func sendFailure(err error) result {
	if upstream.IsNotSent(err) {
		return result{fate: notRun, cause: err}
	}
	return result{fate: unknown, sent: true, cause: err}
}

// collect reads an answer whole and passes it on.
func (q *request) collect(reply *upstream.Reply) result {
	body, err := reply.ReadAll()
	if err != nil {
		return result{fate: unknown, sent: true, cause: err}
	}
	w := &whole{status: reply.Status, header: reply.Header, body: body}
	reply.Close()
	if reply.Status >= http.StatusInternalServerError {
		return result{fate: failed, sent: true, reply: w, cause: fault.New(fault.Crashed, "see the upstream's logs", "the upstream answered %d", reply.Status)}
	}
	q.deliver(w)
	return result{fate: delivered, sent: true}
}

// conclude gives the final answer after the last attempt.
func (q *request) conclude(last result, cause error) {
	switch {
	case context.Cause(q.ctx) == errDeadline:
		cause = errDeadline
	case q.r.Context().Err() != nil:
		q.log.Info("caller left", zap.Strings("tried", q.tried), zap.Duration("took", time.Since(q.begun)))
		q.g.stats.left(q.service)
		panic(http.ErrAbortHandler)
	}
	if q.head {
		q.log.Info("stream broken off", zap.Error(cause), zap.String("delivered", q.delivered), zap.Strings("tried", q.tried))
		q.g.stats.answered(q.service, q.account, outcome.Unknown, 0, time.Since(q.begun))
		panic(http.ErrAbortHandler)
	}
	if last.reply != nil {
		q.deliver(last.reply)
		return
	}
	o := outcome.NotRun
	if q.mayHaveRun {
		o = outcome.Unknown
	}
	f := fault.As(cause)
	if o == outcome.Unknown && f.Kind != fault.Timeout {
		f = fault.Wrap(fault.Crashed, f, "check whether it ran before sending it again", "the request may have run")
	}
	if o == outcome.NotRun && f.RetryAfter == 0 {
		f = f.After(busyDelay)
	}
	q.answer(f, o)
}
