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
	"strconv"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupreel/kingcupreel/internal/engineapi"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

const (
	// maxEventSize bounds one server-sent event, in bytes.
	maxEventSize = 1 << 20
	// bodyChunkSize is the size of a part of an answer that is not a stream.
	bodyChunkSize = 64 << 10
	// firstEventStalls is how many stall timeouts a stream may take to begin.
	firstEventStalls = 3
	// dialTimeout bounds the connection to the engine beside the agent.
	dialTimeout = 2 * time.Second
)

// upstream calls the engine or plain service on this VM, each call on a
// connection of its own: an open one may have gone silent unnoticed.
type upstream struct {
	base         string
	http         *http.Client
	stallTimeout time.Duration
	clock        clockwork.Clock
}

// errStalled ends a run whose engine went silent.
var errStalled = fault.New(fault.Unavailable, "send the request again", "the upstream went silent")

func newUpstream(base string, stallTimeout time.Duration, clock clockwork.Clock) *upstream {
	transport := &http.Transport{
		DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableKeepAlives:  true,
		DisableCompression: true,
	}
	return &upstream{base: base, http: &http.Client{Transport: transport, CheckRedirect: returnRedirect}, stallTimeout: stallTimeout, clock: clock}
}

// run executes an attempt and reports it through r. It returns when the
// upstream has ended the call or r's context is done.
func (u *upstream) run(r *run) (outcome.Outcome, error) {
	req, err := u.request(r)
	if err != nil {
		return outcome.NotRun, err
	}
	timer := u.startFirstEventTimer(r)
	resp, err := u.http.Do(req)
	timer.Stop()
	if err != nil {
		return callError(r, err)
	}
	defer resp.Body.Close()
	contentType := resp.Header.Get("Content-Type")
	r.sendHead(resp.StatusCode, contentType)
	if strings.HasPrefix(contentType, "text/event-stream") {
		err = u.relayEvents(r, resp.Body)
	} else {
		err = relayBody(r, resp.Body)
	}
	if err != nil {
		return outcome.Failed, abortError(r, err, "the upstream broke off its answer")
	}
	return outcome.Completed, nil
}

// startFirstEventTimer gives up a stream whose engine doesn't begin to answer. Another
// call answers at its end, so only its deadline bounds it.
func (u *upstream) startFirstEventTimer(r *run) clockwork.Timer {
	t := u.clock.AfterFunc(firstEventStalls*u.stallTimeout, func() { r.cancel(errStalled) })
	if !r.dispatch.Stream {
		t.Stop()
	}
	return t
}

// abortError names why a call ended early: the agent's own reason, the caller's
// deadline, or else a crash of the upstream.
func abortError(r *run, err error, message string) error {
	var agentErr *fault.Error
	switch cause := context.Cause(r.ctx); {
	case errors.As(cause, &agentErr):
		return agentErr
	case cause != nil:
		return fault.Wrap(fault.Timeout, cause, "allow more time with Request-Timeout", "the call was given up")
	}
	return fault.Wrap(fault.Crashed, err, "send the request again", "%s", message)
}

// callError says what is known of a call without an answer: a refused
// connection means that the upstream never had it.
func callError(r *run, err error) (outcome.Outcome, error) {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return outcome.NotRun, fault.Wrap(fault.Unavailable, err, "send the request again", "the upstream takes no connections")
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
		return nil, fault.Wrap(fault.Invalid, err, "correct the path", "building the upstream's call")
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

// resumeBody adds the text generated so far to the body of a resumed stream.
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

// relayEvents sends each server-sent event as a chunk. A stream that ends
// without its last event is broken; one that pauses for longer than the stall
// timeout is given up.
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
		r.sendChunk(event)
		if engineapi.IsStreamEnd(event) {
			return nil
		}
		event = nil
	}
}

// relayBody sends the body in chunks.
func relayBody(r *run, body io.Reader) error {
	for {
		part := make([]byte, bodyChunkSize)
		n, err := io.ReadFull(body, part)
		if n > 0 {
			r.sendChunk(part[:n])
		}
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// load asks the engine for its load.
func (u *upstream) load(ctx context.Context) (wire.Load, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.base+engineapi.PathLoad, http.NoBody)
	if err != nil {
		return wire.Load{}, err
	}
	resp, err := u.http.Do(req)
	if err != nil {
		return wire.Load{}, err
	}
	defer resp.Body.Close()
	var l engineapi.Load
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxEventSize)).Decode(&l); err != nil {
		return wire.Load{}, err
	}
	return wire.Load{Running: l.Running, Queued: l.Queued, Capacity: l.Capacity}, nil
}
