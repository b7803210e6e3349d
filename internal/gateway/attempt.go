package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/routing"
	"github.com/kingcupreel/kingcupreel/internal/upstream"
)

// attemptStatus is the known result of an attempt.
type attemptStatus int

const (
	// attemptDelivered means that the caller has the final answer.
	attemptDelivered attemptStatus = iota
	// attemptNotRun means that the upstream has not run the request and never
	// will.
	attemptNotRun
	// attemptFailed means that the upstream ran the request and answered with
	// a failure.
	attemptFailed
	// attemptUnknown means that the upstream may have run the request.
	attemptUnknown
	// attemptBroken means that a stream broke off after some of its events
	// were forwarded.
	attemptBroken
)

var attemptStatusNames = map[attemptStatus]string{attemptDelivered: "delivered", attemptNotRun: "not run", attemptFailed: "failed", attemptUnknown: "unknown", attemptBroken: "broken off"}

// result describes a finished attempt.
type result struct {
	attemptStatus attemptStatus
	cause         error
	// reply is an error answer of the upstream itself that may be forwarded.
	reply *bufferedResponse
	// sent is set if the attempt counts toward the route's maximum.
	sent bool
	// crashed is set if the upstream ended with the request before its answer began.
	crashed bool
	// refused is set if the upstream refused the request, for example because
	// it is full or leaving; this doesn't count as its failure.
	refused bool
}

// bufferedResponse is an upstream's answer that was read to its end.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// run makes attempts until the caller has a final answer.
func (q *request) run() {
	var last result
	for {
		m, err := q.nextUpstream()
		if err != nil {
			q.conclude(last, err)
			return
		}
		retry := q.attempts > 0
		if retry && !q.g.retryBudget(q.service).TrySpend() {
			m.Finish(false, false)
			q.conclude(last, errRetryBudget)
			return
		}
		last = q.attempt(m)
		if last.attemptStatus == attemptDelivered {
			return
		}
		if !q.mayRetry(last) {
			q.conclude(last, last.cause)
			return
		}
	}
}

// nextUpstream chooses the upstream for the attempt after the last one. It may wait for one;
// the request may be put into quarantine before or meanwhile.
func (q *request) nextUpstream() (*Member, error) {
	if err := q.checkQuarantine(); err != nil {
		return nil, err
	}
	m := q.pick()
	if m == nil {
		m = q.awaitPermit()
	}
	if m == nil {
		return nil, q.noUpstream()
	}
	if err := q.checkQuarantine(); err != nil {
		m.Finish(false, false)
		return nil, err
	}
	return m, nil
}

// mayRetry reports whether another attempt may follow the last one.
func (q *request) mayRetry(last result) bool {
	if q.ctx.Err() != nil {
		return false
	}
	if last.sent && q.attempts >= q.route.MaxAttempts {
		return false
	}
	if q.headSent && !q.resumable {
		return false
	}
	if last.attemptStatus == attemptNotRun {
		return true
	}
	if last.crashed && q.g.Quarantine.Recurring(q.suspect()) {
		return false
	}
	return q.route.Retryable()
}

// attempt sends the request to an upstream once and records the result.
func (q *request) attempt(m *Member) result {
	q.attempted = append(q.attempted, m.ID)
	q.headReceived, q.framing, q.answerStarted, q.firstEventAfter, q.readLate = false, "", false, 0, false
	start := time.Now()
	q.attemptStartedAt = start
	loadFields := q.recordSending(m)
	ctx := q.beginAttempt(m)
	res := q.send(ctx, m)
	q.endAttempt()
	if res.sent {
		q.attempts++
	}
	q.withdrawn = errors.Is(res.cause, errSilentUpstream)
	if res.attemptStatus != attemptNotRun && res.attemptStatus != attemptDelivered {
		q.mayHaveRun = true
	}
	upstreamFailed := fault.KindOf(res.cause) != fault.Quarantined && (res.attemptStatus == attemptUnknown || res.attemptStatus == attemptBroken || res.attemptStatus == attemptNotRun && !res.refused) && q.ctx.Err() == nil
	m.Finish(q.answerStarted, upstreamFailed)
	q.g.stats.recordAttempt(q.service, res.attemptStatus, time.Since(start))
	q.log.Info("attempt ended", append(loadFields,
		zap.String("upstream", m.ID), zap.String("address", m.Address), zap.String("fate", attemptStatusNames[res.attemptStatus]), zap.Error(res.cause),
		zap.Int("attempt", q.attempts), zap.Bool("answer_started", q.answerStarted), zap.String("framing", q.framing), zap.Duration("took", time.Since(start)), zap.Duration("left", q.remaining()),
		zap.Duration("first_event_after", q.firstEventAfter), zap.Duration("last_event_age", q.lastEventAge()),
		zap.String("resume_after", q.resumeAfter()), zap.Int64("configuration", q.configurationVersion()))...)
	q.reportCrashDuringAnswer(m, res)
	if q.crashedBeforeAnswer(m, res) {
		q.reportCrash(m)
		res.crashed = true
		if q.isRankGroup() {
			m.SuspendGroup()
		}
	}
	return res
}

// recordSending counts an attempt at an upstream whose slots are taken, and returns what is
// known of the upstream's load, with the request itself, as fields of a log line.
func (q *request) recordSending(m *Member) []zap.Field {
	l := m.knownLoad()
	if m.Slots > 0 && l.Load > m.Slots {
		q.g.stats.recordBeyondSlots(q.service)
	}
	fields := []zap.Field{
		zap.Int("load", l.Load), zap.Int("slots", m.Slots), zap.Int("own_in_flight", l.InFlight),
		zap.Duration("usual_delay", q.usualDelay()), zap.Duration("patience", q.patienceLeft()),
	}
	if l.Reported {
		fields = append(fields, zap.Int("reported_active", l.Active), zap.Int("reported_queued", l.Queued), zap.Duration("report_age", l.ReportAge))
	}
	return fields
}

// lastEventAge returns the time since the attempt delivered its last event, 0 if it has
// delivered none.
func (q *request) lastEventAge() time.Duration {
	if !q.answerStarted {
		return 0
	}
	return time.Since(q.lastEventAt)
}

// beginAttempt returns the context of an attempt, which may be ended before the request is.
func (q *request) beginAttempt(m *Member) context.Context {
	ctx, cancel := context.WithCancelCause(q.ctx)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.attemptAt, q.cancelAttempt = m, cancel
	q.phase.store(phaseSent)
	return ctx
}

// endAttemptWith ends the attempt in progress, if there is one.
func (q *request) endAttemptWith(cause error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.attemptAt != nil {
		q.cancelAttempt(cause)
	}
}

// endAttempt releases the context of the attempt in progress.
func (q *request) endAttempt() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.cancelAttempt(errRequestEnded)
	q.attemptAt = nil
	q.phase.store(phaseQueued)
}

// resumeAfter returns the ID of the last event that the caller has received.
func (q *request) resumeAfter() string {
	if q.lastEventID != "" {
		return q.lastEventID
	}
	return q.ResumeAfter
}

// buildCall builds the request to the upstream.
func (q *request) buildCall(m *Member) *upstream.Call {
	h := endToEnd(q.r.Header)
	q.g.Codec.Outbound(h, Outbound{
		Upstream:    m.ID,
		Remaining:   q.remaining(),
		Account:     q.account,
		StripKey:    len(q.table.Accounts) > 0,
		ResumeAfter: q.resumeAfter(),
		Priority:    q.priority(),
	})
	return &upstream.Call{
		ID: q.ID, Method: q.r.Method, URI: q.r.RequestURI, Host: q.r.Host, Header: h, Body: q.body,
		NewConnection: !q.route.Retryable(), MaySend: m.maySend,
	}
}

// Priorities that upstreams know.
const highestPriority, lowestPriority = 0, 9

// priority returns the request's priority at the upstream: the highest for an accepted one,
// else that of its client account, or of its route if the account has none.
func (q *request) priority() int {
	if q.accepted() {
		return highestPriority
	}
	level := q.route.Priority
	if a := q.table.Account(q.Key); a != nil && a.HasPriority {
		level = a.Priority
	}
	return min(max(level, 0), lowestPriority)
}

// connectionLimit returns this entry's share of the connections to one
// upstream; 0 means no limit.
func (q *request) connectionLimit() int {
	s := q.table.Service(q.service)
	if s == nil || s.MaxConnections == 0 {
		return 0
	}
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	return max(int(float64(s.MaxConnections)*q.g.entryShare), 1)
}

func (q *request) send(ctx context.Context, m *Member) result {
	reply, err := q.g.Transport.Do(ctx, m.Address, q.connectionLimit(), q.buildCall(m))
	if err != nil {
		return sendFailure(err)
	}
	defer reply.Close()
	q.headReceived, q.framing = true, reply.Framing()
	if q.g.Reachability != nil {
		q.g.Reachability.Heard(m.DataCentre)
	}
	m.Hear()
	q.applyAnnouncements(m, reply)
	switch {
	case reply.NotRun || reply.Misdirected:
		reply.Discard()
		q.applyRefusal(m, reply)
		return result{attemptStatus: attemptNotRun, sent: true, refused: true, cause: fault.New(fault.Unavailable, "try another upstream", "the upstream refused the request with status %d", reply.Status)}
	case !reply.FromUpstream && reply.Status < http.StatusInternalServerError, promisesNotRun(reply.Status):
		return result{attemptStatus: attemptUnknown, sent: true, cause: fault.New(fault.Crashed, "send the request again only if it may run twice", "the answer with status %d lacks the upstream's confirmation", reply.Status)}
	case q.headSent && !q.continuesStream(reply):
		reply.Discard()
		return result{attemptStatus: attemptFailed, sent: true, cause: fault.New(fault.Crashed, "see the upstream's logs", "the upstream answered a stream that was to be resumed with status %d and content type %q", reply.Status, truncate(reply.Header.Get("Content-Type")))}
	case q.route.Kind == routing.Stream && reply.Status/100 == 2:
		return q.forwardStream(m, reply)
	}
	return q.forwardResponse(m, reply)
}

// applyAnnouncements applies what an answer says about its upstream's availability. An
// answer from another upstream at the address says nothing about this one, but that the other
// one is leaving, if it names itself.
func (q *request) applyAnnouncements(m *Member, reply *upstream.Reply) {
	if reply.Misdirected {
		if other := q.g.Pools.named(reply.Instance); reply.Leaving && other != nil {
			q.applyDeparture(other)
		}
		return
	}
	if reply.Leaving {
		q.applyDeparture(m)
	}
	if reply.InvalidRequestLimit != "" {
		q.log.Warn("upstream's request limit can't be read; ignoring it", zap.String("upstream", m.ID), zap.String("limit", truncate(reply.InvalidRequestLimit)))
	} else {
		q.applyLimit(m, reply.RequestLimit, q.attemptStartedAt)
	}
	if reply.InvalidRetryAfter != "" {
		q.log.Warn("upstream's retry delay can't be read; ignoring it", zap.String("upstream", m.ID), zap.String("delay", truncate(reply.InvalidRetryAfter)))
	}
	if reply.RetryAfter > 0 {
		q.log.Info("upstream wants no requests for a while", zap.String("upstream", m.ID), zap.Duration("delay", reply.RetryAfter))
		m.Rest(reply.RetryAfter)
	}
}

// applyDeparture records that an upstream has said in an answer that it is leaving, and lets
// the other entries know.
func (q *request) applyDeparture(m *Member) {
	if !q.g.Directory.Depart(m.Incarnation()) {
		return
	}
	q.log.Info("upstream is leaving", zap.String("upstream", m.ID), zap.Int64("started", m.Started), zap.String("source", "answer"))
	if q.g.OnDeparture != nil {
		q.g.OnDeparture()
	}
}

// maxLoggedText bounds a text of a peer in a log line, in bytes.
const maxLoggedText = 64

func truncate(text string) string { return text[:min(len(text), maxLoggedText)] }

// applyRefusal applies what a refusal says about the upstream and its group to
// the pools.
func (q *request) applyRefusal(m *Member, reply *upstream.Reply) {
	switch {
	case reply.FaultyUpstream != "" && (reply.FaultyUpstream != m.Address || q.isRankGroup()):
		q.log.Info("group can't serve", zap.String("upstream", m.ID), zap.String("culprit", reply.FaultyUpstream), zap.Int("status", reply.Status))
		m.SuspendGroup()
	case reply.Misdirected:
		q.log.Info("another upstream has the address", zap.String("upstream", m.ID), zap.String("address", m.Address), zap.String("instance", reply.Instance))
		m.MarkGone()
	}
}

// isRankGroup reports whether the request's service is served by ranks that
// step together, so that a fault of one stops them all.
func (q *request) isRankGroup() bool {
	s := q.table.Service(q.service)
	return s != nil && s.Engine != nil
}

// sendFailure returns the result of an attempt that got no answer.
func sendFailure(err error) result {
	if upstream.IsNotSent(err) {
		return result{attemptStatus: attemptNotRun, refused: errors.Is(err, errEvacuatedMeanwhile), cause: err}
	}
	return result{attemptStatus: attemptUnknown, sent: true, cause: err}
}

// maxAnswerBytes bounds an answer that is read to its end, in bytes.
const maxAnswerBytes = 4 << 20

var errAnswerTooLarge = fault.New(fault.TooLarge, "see the upstream's logs; the answer is discarded", "the answer exceeds %d bytes", maxAnswerBytes)

// readAnswer reads a whole answer's body. The memory is released with the request.
func (q *request) readAnswer(m *Member, reply *upstream.Reply) ([]byte, error) {
	length := reply.ContentLength()
	if length > maxAnswerBytes {
		return nil, errAnswerTooLarge
	}
	body, err := q.g.bodyMemory.read(q.ctx, q.account, io.LimitReader(reply, maxAnswerBytes+1), length)
	q.answerMemory += int64(cap(body))
	if err == nil && len(body) > maxAnswerBytes {
		err = errAnswerTooLarge
	}
	if err == nil {
		err = q.confirmEnd(m, reply)
	}
	return body, err
}

// forwardResponse reads an answer to its end and forwards it. A server error
// is not forwarded yet, since another attempt may follow.
func (q *request) forwardResponse(m *Member, reply *upstream.Reply) result {
	body, err := q.readAnswer(m, reply)
	if err != nil {
		return result{attemptStatus: attemptUnknown, sent: true, cause: err}
	}
	resp := &bufferedResponse{status: reply.Status, header: reply.Header, body: body}
	reply.Close()
	if reply.Status >= http.StatusInternalServerError {
		return result{attemptStatus: attemptFailed, sent: true, reply: resp, cause: fault.New(fault.Crashed, "see the upstream's logs", "the upstream answered with status %d", reply.Status)}
	}
	q.clearSuspicion(q.suspect)
	m.RecordWholeAnswer(time.Since(q.attemptStartedAt))
	q.writeResponse(resp)
	return result{attemptStatus: attemptDelivered, sent: true}
}

// conclude gives the final answer after the last attempt.
func (q *request) conclude(last result, cause error) {
	switch ended := context.Cause(q.ctx); {
	case ended == errDeadline, ended == errStopping:
		cause = ended
	case q.r.Context().Err() != nil:
		q.log.Info("caller left", zap.Strings("tried", q.attempted), zap.Duration("took", time.Since(q.startedAt)))
		q.g.stats.recordCallerLeft(q.service)
		panic(http.ErrAbortHandler)
	}
	if q.headSent {
		q.log.Info("stream broken off", zap.Error(cause), zap.String("delivered", q.lastEventID), zap.Bool("resumable", q.resumable), zap.Strings("tried", q.attempted))
		q.g.stats.recordAnswer(q.service, q.account, outcome.Unknown, 0, time.Since(q.startedAt))
		q.breakOff()
	}
	if last.reply != nil {
		q.writeResponse(last.reply)
		return
	}
	o := outcome.NotRun
	if q.mayHaveRun {
		o = outcome.Unknown
	}
	f := fault.As(cause)
	if o == outcome.Unknown && f.Kind != fault.Timeout {
		f = fault.Wrap(fault.Crashed, f, "check whether the request ran before sending it again", "the request may have run")
	}
	if o == outcome.NotRun && f.RetryAfter == 0 {
		f = f.After(overloadRetryAfter)
	}
	q.answer(f, o)
}
