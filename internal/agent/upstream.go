package agent

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/engineapi"
	"github.com/kingcupreel/kingcupreel/internal/eventstream"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/httphead"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/socket"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

const (
	// maxEventSize bounds one server-sent event and the engine's load answer, in
	// bytes.
	maxEventSize = 1 << 20
	// bodyChunkSize is the size of the chunks of an answer that is not a stream, in
	// bytes.
	bodyChunkSize = 64 << 10
	// firstEventStalls is the number of stall timeouts within which a streamed
	// response must begin.
	firstEventStalls = 3
	// dialTimeout bounds the dial to the upstream.
	dialTimeout = 2 * time.Second
)

// upstream is the client of the engine or plain service on this VM. Each call uses
// a new connection, since an idle one may have failed unnoticed.
type upstream struct {
	base         string
	http         *http.Client
	dialContext  func(ctx context.Context, network, address string) (net.Conn, error)
	stallTimeout time.Duration
	clock        clockwork.Clock
	// onAnswer is called with the headers of each answer and the time when its call began.
	onAnswer func(h http.Header, calledAt time.Time)
	// omitsLength is set once an answer has had neither length nor chunks, statesLength once
	// one has had either.
	omitsLength, statesLength atomic.Bool
	log                       *zap.Logger
}

// errStalled is the cause with which a run is cancelled when its engine stalls.
var errStalled = fault.New(fault.Unavailable, "send the request again", "the upstream went silent")

// errNoEvent is the error of a stream in which the head of another answer stands.
var errNoEvent = fault.New(fault.Crashed, "see the upstream's logs", "the upstream wrote the head of another answer into its stream")

// newDialer returns a dialer for connections to the upstream.
func newDialer() *socket.Dialer { return &socket.Dialer{Dialer: net.Dialer{Timeout: dialTimeout}} }

func newUpstream(base string, stallTimeout time.Duration, clock clockwork.Clock) *upstream {
	u := &upstream{
		base: base, dialContext: newDialer().DialContext, stallTimeout: stallTimeout, clock: clock,
		onAnswer: func(http.Header, time.Time) {}, log: zap.NewNop(),
	}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := u.dialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return httphead.NewConn(conn), nil
		},
		DisableKeepAlives:  true,
		DisableCompression: true,
	}
	u.http = &http.Client{Transport: httphead.NewTransport(transport), CheckRedirect: returnRedirect}
	return u
}

// run sends an attempt to the upstream and relays the answer through r. It
// returns when the upstream has ended the call or r's context is done.
func (u *upstream) run(r *run) (outcome.Outcome, error) {
	req, err := u.request(r)
	if err != nil {
		return outcome.NotRun, err
	}
	var liveness *livenessCheck
	defer func() { liveness.close() }()
	if u.omitsLength.Load() || !u.statesLength.Load() {
		// An upstream that is restarted while the answer is read must not have the
		// check's connection, so it is opened before the request is sent.
		trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { liveness = u.startLivenessCheck(r.ctx) }}
		req = req.WithContext(httptrace.WithClientTrace(r.ctx, trace))
	}
	timer := u.startFirstEventTimer(r)
	calledAt := u.clock.Now()
	resp, err := u.http.Do(req)
	timer.Stop()
	if err != nil {
		return callError(r, err)
	}
	defer resp.Body.Close()
	u.onAnswer(resp.Header, calledAt)
	contentType := resp.Header.Get("Content-Type")
	r.sendHead(resp.StatusCode, contentType)
	stream := eventstream.IsStream(contentType)
	if !stream && endsWithConnection(resp) {
		u.omitsLength.Store(true)
		if liveness == nil {
			liveness = u.startLivenessCheck(r.ctx)
		}
		return u.relayUntilClose(r, resp.Body, liveness)
	}
	u.statesLength.Store(true)
	liveness.close()
	if stream {
		err = u.relayEvents(r, resp.Body)
	} else {
		err = relayBody(r, resp.Body)
	}
	if err != nil {
		return outcome.Failed, abortError(r, err, "the upstream broke off its answer")
	}
	return outcome.Completed, nil
}

// relayUntilClose relays an answer that ends with its connection. It is complete only if
// the upstream is alive after its end.
func (u *upstream) relayUntilClose(r *run, body io.Reader, liveness *livenessCheck) (outcome.Outcome, error) {
	if err := relayBody(r, body); err != nil {
		return outcome.Failed, abortError(r, err, "the upstream broke off its answer")
	}
	if err := liveness.confirm(r); err != nil {
		u.log.Warn("answer without length or chunks ended, and the upstream that began it isn't known to be alive; taking the answer for broken off",
			zap.String("request", r.dispatch.ID.Request), zap.Uint32("attempt", r.dispatch.ID.Attempt), zap.Error(err))
		return outcome.Failed, abortError(r, err, "the upstream ended while its answer without length or chunks was read, or doesn't answer OPTIONS *")
	}
	return outcome.Completed, nil
}

// startFirstEventTimer returns a timer that cancels a stream whose engine doesn't
// begin to answer. For a call that is not a stream the timer is stopped: it is
// answered only when it completes, so only its deadline applies.
func (u *upstream) startFirstEventTimer(r *run) clockwork.Timer {
	t := u.clock.AfterFunc(firstEventStalls*u.stallTimeout, func() { r.cancel(errStalled) })
	if !r.dispatch.Stream {
		t.Stop()
	}
	return t
}

// abortError returns the error of a call that ended early: the agent's reason for
// cancelling it, a timeout if the context ended for another reason, the size of the
// answer, or else a crash of the upstream.
func abortError(r *run, err error, message string) error {
	if errors.Is(err, errAnswerTooLarge) || errors.Is(err, errUndelivered) {
		return err
	}
	var agentErr *fault.Error
	switch cause := context.Cause(r.ctx); {
	case errors.As(cause, &agentErr):
		return agentErr
	case cause != nil:
		return fault.Wrap(fault.Timeout, cause, "allow more time with Request-Timeout", "the call was cancelled or reached its deadline")
	}
	return fault.Wrap(fault.Crashed, err, "send the request again", "%s", message)
}

// callError returns the outcome of a call without a response. If the dial failed,
// the upstream has not received the call. If the head of the response is invalid, the upstream
// has failed with the call; otherwise the outcome is unknown.
func callError(r *run, err error) (outcome.Outcome, error) {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return outcome.NotRun, fault.Wrap(fault.Unavailable, err, "send the request again", "can't connect to the upstream")
	}
	if errors.Is(err, httphead.ErrInvalid) {
		return outcome.Failed, fault.Wrap(fault.Crashed, err, "see the upstream's logs", "the upstream broke the protocol")
	}
	return outcome.Unknown, abortError(r, err, "the upstream gave no answer")
}

func (u *upstream) request(r *run) (*http.Request, error) {
	d := r.dispatch
	body, err := resumeBody(d)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(r.ctx, d.Method, u.base+d.Path, bytes.NewReader(body))
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "correct the path", "building the request to the upstream")
	}
	req.Header.Set("Content-Type", d.ContentType)
	req.Header.Set(engineapi.HeaderRequest, d.ID.Request)
	req.Header.Set(engineapi.HeaderAttempt, strconv.FormatUint(uint64(d.ID.Attempt), 10))
	req.Header.Set(engineapi.HeaderPriority, strconv.Itoa(d.Priority))
	if d.Key != "" {
		req.Header.Set("Idempotency-Key", d.Key)
	}
	return req, nil
}

// resumeBody returns the attempt's body, to which it adds the text generated so
// far if a stream is resumed.
func resumeBody(d *wire.Dispatch) ([]byte, error) {
	if d.ResumeFrom == 0 {
		return d.Body, nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(d.Body, &fields); err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "send a JSON object", "decoding the body")
	}
	resume, err := json.Marshal(engineapi.Resume{Tokens: d.ResumeTokens, Text: d.ResumeText})
	if err != nil {
		return nil, err
	}
	fields["kingcupreel_resume"] = resume
	return json.Marshal(fields)
}

// relayEvents sends each server-sent event as a chunk. It returns an error if the
// stream ends before its final event. A stream that pauses for longer than the
// stall timeout is cancelled.
func (u *upstream) relayEvents(r *run, body io.Reader) error {
	stallTimer := u.clock.AfterFunc(u.stallTimeout, func() { r.cancel(errStalled) })
	defer stallTimer.Stop()
	br := bufio.NewReaderSize(body, 16<<10)
	var event []byte
	partial := false
	for {
		line, err := br.ReadSlice('\n')
		tooLong := errors.Is(err, bufio.ErrBufferFull)
		if err != nil && !tooLong {
			return io.ErrUnexpectedEOF
		}
		stallTimer.Reset(u.stallTimeout)
		event = append(event, line...)
		if len(event) > maxEventSize {
			return fault.New(fault.TooLarge, "send smaller events", "event over %d bytes", maxEventSize)
		}
		blank := !partial && len(bytes.TrimSpace(line)) == 0
		partial = tooLong
		if !blank {
			continue
		}
		if eventstream.IsHead(event) {
			return errNoEvent
		}
		stallTimer.Stop() // the engine isn't to blame for the wait
		r.awaitRoom()
		stallTimer.Reset(u.stallTimeout)
		r.sendChunk(event)
		if engineapi.IsStreamEnd(event) {
			return nil
		}
		if err := r.checkDelivered(); err != nil {
			return err
		}
		event = nil
	}
}

var errAnswerTooLarge = fault.New(fault.TooLarge, "ask for a smaller answer", "the answer exceeds %d bytes", wire.MaxAnswerBody)

// relayBody sends the body in chunks.
func relayBody(r *run, body io.Reader) error {
	for size := 0; ; {
		// io.ReadFull gives an answer that was cut off the error of one that has ended.
		part, err := io.ReadAll(io.LimitReader(body, bodyChunkSize))
		if size += len(part); size > wire.MaxAnswerBody {
			return errAnswerTooLarge
		}
		if len(part) > 0 {
			r.awaitRoom()
			r.sendChunk(part)
		}
		if err != nil || len(part) < bodyChunkSize {
			return err
		}
	}
}

// load reads the engine's load.
func (u *upstream) load(ctx context.Context) (wire.Load, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.base+engineapi.PathLoad, http.NoBody)
	if err != nil {
		return wire.Load{}, err
	}
	calledAt := u.clock.Now()
	resp, err := u.http.Do(req)
	if err != nil {
		return wire.Load{}, err
	}
	defer resp.Body.Close()
	u.onAnswer(resp.Header, calledAt)
	var l engineapi.Load
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxEventSize)).Decode(&l); err != nil {
		return wire.Load{}, err
	}
	return wire.Load{Running: l.Running, Queued: l.Queued, Capacity: l.Capacity}, nil
}
