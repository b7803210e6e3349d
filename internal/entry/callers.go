package entry

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/engineapi"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/quarantine"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

const (
	// maxRequestBody bounds the body of a caller's request, in bytes.
	maxRequestBody = 4 << 20
	// routingPrefixBytes is the length of a prompt's prefix that routing uses.
	routingPrefixBytes = 256
	// defaultTimeout is the time limit of a request without the header
	// Request-Timeout, maxTimeout the longest that the header may set.
	defaultTimeout = 120 * time.Second
	maxTimeout     = 3600 * time.Second
	// bodyTimeout bounds the time that a caller may take to send a body.
	bodyTimeout = 30 * time.Second
	// maxIdempotencyKey bounds an Idempotency-Key, in bytes.
	maxIdempotencyKey = 255
	servicePrefix     = "/v1/services/"

	headerRequestTimeout = "Request-Timeout"
	headerIdempotencyKey = "Idempotency-Key"
)

// CallerHandler returns the HTTP interface for callers.
func (e *Entry) CallerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engineapi.PathCompletions, e.callerEndpoint(e.parseCompletion))
	mux.HandleFunc("POST "+engineapi.PathChat, e.callerEndpoint(e.parseCompletion))
	mux.HandleFunc(servicePrefix+"{service}/{path...}", e.callerEndpoint(e.parseService))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		err := fault.New(fault.NotFound, "use the documented paths", "no endpoint at %s", r.URL.Path)
		writeError(w, outcome.NotRun, err)
	})
	return mux
}

// parsedRequest is a caller's valid request and whether it asks for a stream.
type parsedRequest struct {
	req    *request
	stream bool
}

// requestParser checks a request and returns its dispatch and pool.
type requestParser func(r *http.Request, body []byte) (parsedRequest, error)

// callerEndpoint returns a handler that authenticates the caller, reads and
// parses the request and serves it.
func (e *Entry) callerEndpoint(parse requestParser) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.count("requests.received")
		// An earlier request of the connection may have left a deadline.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
		if e.Draining() {
			w.Header().Set("Connection", "close")
		}
		p, cancel, err := e.prepareRequest(&r, w, parse)
		if err == nil && e.refusing.Load() {
			cancel()
			err = errStopping
		}
		if err != nil {
			e.count("requests.rejected")
			writeError(w, outcome.NotRun, err)
			return
		}
		defer cancel()
		e.serve(w, r, p.req, p.stream)
	}
}

// prepareRequest authenticates and parses a request and sets its deadline. The
// caller must call the returned function when the request has ended.
func (e *Entry) prepareRequest(r **http.Request, w http.ResponseWriter, parse requestParser) (parsedRequest, context.CancelFunc, error) {
	account, err := e.authenticate(*r)
	if err != nil {
		return parsedRequest{}, nil, err
	}
	timeout, err := requestTimeout((*r).Header.Get(headerRequestTimeout))
	if err != nil {
		return parsedRequest{}, nil, err
	}
	body, err := readBody(w, *r)
	if err != nil {
		return parsedRequest{}, nil, err
	}
	p, err := parse(*r, body)
	if err != nil {
		return parsedRequest{}, nil, err
	}
	p.req.id = uuid.NewString()
	p.req.account = account
	p.req.dispatch.Method = (*r).Method
	p.req.dispatch.ContentType = (*r).Header.Get("Content-Type")
	d := &p.req.dispatch
	d.Body = body
	d.SharedParts = append(d.SharedParts, quarantine.ContentFingerprints(account.Name, d.Path, body)...)
	ctx, cancel := e.requestContext((*r).Context(), timeout)
	*r = (*r).WithContext(ctx)
	return p, cancel, nil
}

func (e *Entry) authenticate(r *http.Request) (*config.ClientAccount, error) {
	snap := e.opts.Store.Current()
	if snap.Revision == 0 {
		return nil, fault.New(fault.Unavailable, "send the request again after Retry-After", "no configuration is in force yet").After(unavailableRetryAfter)
	}
	account := snap.AccountByToken(bearerToken(r))
	if account == nil {
		return nil, fault.New(fault.Unauthenticated, "send Authorization: Bearer with a client account's token", "no client account for this token")
	}
	return account, nil
}

func bearerToken(r *http.Request) string {
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return token
}

func requestTimeout(header string) (time.Duration, error) {
	if header == "" {
		return defaultTimeout, nil
	}
	seconds, err := strconv.ParseFloat(header, 64)
	d := time.Duration(seconds * float64(time.Second))
	if err != nil || d <= 0 || d > maxTimeout {
		return 0, fault.New(fault.Invalid, "set it to a number of seconds above 0 and up to 3600", "invalid header %s: %q", headerRequestTimeout, header)
	}
	return d, nil
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBody))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, fault.New(fault.TooLarge, "send a smaller body", "the body exceeds %d bytes", maxRequestBody)
	}
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "send the whole body", "reading the body")
	}
	return body, nil
}

// parseCompletion parses a completion or chat request to a model.
func (e *Entry) parseCompletion(r *http.Request, body []byte) (parsedRequest, error) {
	var call engineapi.Call
	if err := json.Unmarshal(body, &call); err != nil {
		return parsedRequest{}, fault.Wrap(fault.Invalid, err, "send a JSON object as documented", "body")
	}
	if call.Model == "" {
		return parsedRequest{}, fault.New(fault.Invalid, "set the field model", "the body names no model")
	}
	if !e.hasModel(call.Model) {
		return parsedRequest{}, fault.New(fault.NotFound, "use the model of a configured model group", "no model group serves model %q", call.Model)
	}
	prompt := call.PromptText()
	req := &request{
		prefix:   prompt[:min(len(prompt), routingPrefixBytes)],
		dispatch: wire.Dispatch{Path: r.URL.Path, Model: call.Model, Stream: call.Stream, SharedParts: quarantine.PartFingerprints(call.SharedParts())},
		pool:     modelPool(call.Model),
	}
	return parsedRequest{req: req, stream: call.Stream}, nil
}

func (e *Entry) hasModel(model string) bool {
	for _, g := range e.opts.Store.Current().Groups {
		if g.Model == model {
			return true
		}
	}
	return false
}

// parseService parses a request to a plain service.
func (e *Entry) parseService(r *http.Request, _ []byte) (parsedRequest, error) {
	name := r.PathValue("service")
	path := "/" + r.PathValue("path")
	svc := e.opts.Store.Current().Services[name]
	if svc == nil {
		return parsedRequest{}, fault.New(fault.NotFound, "use a configured plain service", "no plain service %q", name)
	}
	key := r.Header.Get(headerIdempotencyKey)
	nonIdempotent := svc.IsNonIdempotent(r.Method, path)
	if nonIdempotent && key == "" || len(key) > maxIdempotencyKey {
		return parsedRequest{}, fault.New(fault.Invalid, "send an Idempotency-Key of 1 to 255 bytes", "%s %s: missing or too long Idempotency-Key", r.Method, path)
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	req := &request{
		dispatch: wire.Dispatch{Path: path, Service: name, NonIdempotent: nonIdempotent, Key: key},
		pool:     servicePool(name),
	}
	return parsedRequest{req: req}, nil
}
