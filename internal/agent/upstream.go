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

	"github.com/kingcupreel/kingcupreel/internal/engineapi"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

const (
	// maxEvent bounds one server-sent event, in bytes.
	maxEvent = 1 << 20
	// bodyChunk is the size of a part of an answer that is not a stream.
	bodyChunk = 64 << 10
	// dialTimeout bounds the connection to the engine beside the agent.
	dialTimeout = 2 * time.Second
)

// upstream calls the engine or plain service on this VM.
type upstream struct {
	base string
	http *http.Client
}

func newUpstream(base string) *upstream {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 256,
		DisableCompression:  true,
	}
	return &upstream{base: base, http: &http.Client{Transport: transport}}
}

// run executes an attempt and reports it through r. It returns when the
// upstream has ended the call or r's context is done.
func (u *upstream) run(r *run) (outcome.Outcome, error) {
	req, err := u.request(r)
	if err != nil {
		return outcome.NotRun, err
	}
	resp, err := u.http.Do(req)
	if err != nil {
		return callError(err)
	}
	defer resp.Body.Close()
	contentType := resp.Header.Get("Content-Type")
	r.head(resp.StatusCode, contentType)
	if strings.HasPrefix(contentType, "text/event-stream") {
		err = relayEvents(r, resp.Body)
	} else {
		err = relayBody(r, resp.Body)
	}
	if err != nil {
		return outcome.Failed, fault.Wrap(fault.Crashed, err, "send the request again", "the upstream broke off its answer")
	}
	return outcome.Completed, nil
}

// callError says what is known of a call without an answer: a refused
// connection means that the upstream never had it.
func callError(err error) (outcome.Outcome, error) {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return outcome.NotRun, fault.Wrap(fault.Unavailable, err, "send the request again", "the upstream takes no connections")
	}
	return outcome.Unknown, fault.Wrap(fault.Crashed, err, "send the request again", "the upstream gave no answer")
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
	resume, err := json.Marshal(engineapi.Resume{Tokens: int(d.ResumeFrom), Text: d.ResumeText})
	if err != nil {
		return nil, err
	}
	fields["kingcupreel_resume"] = resume
	return json.Marshal(fields)
}

// relayEvents sends each server-sent event as a chunk. A stream that ends
// without its last event is broken.
func relayEvents(r *run, body io.Reader) error {
	br := bufio.NewReaderSize(body, 16<<10)
	var event []byte
	for {
		line, err := br.ReadSlice('\n')
		if err != nil {
			return io.ErrUnexpectedEOF
		}
		event = append(event, line...)
		if len(event) > maxEvent {
			return fault.New(fault.TooLarge, "send smaller events", "event over %d bytes", maxEvent)
		}
		if len(line) > 1 {
			continue
		}
		r.chunk(event)
		if string(event) == engineapi.StreamEnd {
			return nil
		}
		event = nil
	}
}

// relayBody sends the body in chunks.
func relayBody(r *run, body io.Reader) error {
	for {
		part := make([]byte, bodyChunk)
		n, err := io.ReadFull(body, part)
		if n > 0 {
			r.chunk(part[:n])
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
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxEvent)).Decode(&l); err != nil {
		return wire.Load{}, err
	}
	return wire.Load{Running: l.Running, Queued: l.Queued, Capacity: l.Capacity}, nil
}
