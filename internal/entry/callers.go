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
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

const (
	// maxBody bounds a caller's body, in bytes.
	maxBody = 4 << 20
	// prefixBytes is how much of a prompt routing looks at.
	prefixBytes = 256
	// defaultTimeout and maxTimeout bound a request.
	defaultTimeout = 120 * time.Second
	maxTimeout     = 3600 * time.Second
	// bodyTimeout bounds the time that a caller may take to send a body.
	bodyTimeout   = 30 * time.Second
	maxKey        = 255
	servicePrefix = "/v1/services/"

	headerTimeout = "Request-Timeout"
	headerKey     = "Idempotency-Key"
)

// CallerHandler returns the callers' HTTP interface.
func (e *Entry) CallerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engineapi.PathCompletions, e.caller(e.completion))
	mux.HandleFunc("POST "+engineapi.PathChat, e.caller(e.completion))
	mux.HandleFunc(servicePrefix+"{service}/{path...}", e.caller(e.service))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		err := fault.New(fault.NotFound, "use the documented paths", "no interface at %s", r.URL.Path)
		writeError(w, outcome.NotRun, err)
	})
	return mux
}

// parsed is a caller's request after its checks.
type parsed struct {
	req    *request
	stream bool
}

// parser checks a request and says how to route it.
type parser func(r *http.Request, body []byte) (parsed, error)

// caller authenticates, reads the body, parses and serves.
func (e *Entry) caller(parse parser) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.count("requests.received")
		// An earlier request of the connection may have left a deadline.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
		if e.Draining() {
			w.Header().Set("Connection", "close")
		}
		p, cancel, err := e.prepare(&r, w, parse)
		if err != nil {
			e.count("requests.rejected")
			writeError(w, outcome.NotRun, err)
			return
		}
		defer cancel()
		e.serve(w, r, p.req, p.stream)
	}
}

func (e *Entry) prepare(r **http.Request, w http.ResponseWriter, parse parser) (parsed, context.CancelFunc, error) {
	account, err := e.authenticate(*r)
	if err != nil {
		return parsed{}, nil, err
	}
	timeout, err := requestTimeout((*r).Header.Get(headerTimeout))
	if err != nil {
		return parsed{}, nil, err
	}
	body, err := readBody(w, *r)
	if err != nil {
		return parsed{}, nil, err
	}
	p, err := parse(*r, body)
	if err != nil {
		return parsed{}, nil, err
	}
	p.req.id = uuid.NewString()
	p.req.account = account
	p.req.dispatch.Method = (*r).Method
	p.req.dispatch.ContentType = (*r).Header.Get("Content-Type")
	p.req.dispatch.Body = body
	ctx, cancel := context.WithTimeout((*r).Context(), timeout)
	*r = (*r).WithContext(ctx)
	return p, cancel, nil
}

func (e *Entry) authenticate(r *http.Request) (*config.ClientAccount, error) {
	snap := e.opts.Store.Current()
	if snap.Revision == 0 {
		return nil, fault.New(fault.Unavailable, "send the request again after Retry-After", "no configuration is in force yet").After(unavailableRetry)
	}
	account := snap.AccountByToken(bearer(r))
	if account == nil {
		return nil, fault.New(fault.Unauthenticated, "send Authorization: Bearer with a client account's token", "no client account for this token")
	}
	return account, nil
}

func bearer(r *http.Request) string {
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
		return 0, fault.New(fault.Invalid, "give seconds above 0 and up to 3600", "header %s: %q", headerTimeout, header)
	}
	return d, nil
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, fault.New(fault.TooLarge, "send a smaller body", "body over %d bytes", maxBody)
	}
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "send the whole body", "reading the body")
	}
	return body, nil
}

func (e *Entry) completion(r *http.Request, body []byte) (parsed, error) {
	var call engineapi.Call
	if err := json.Unmarshal(body, &call); err != nil {
		return parsed{}, fault.Wrap(fault.Invalid, err, "send a JSON object as documented", "body")
	}
	if call.Model == "" {
		return parsed{}, fault.New(fault.Invalid, "set model", "body without a model")
	}
	if !e.knowsModel(call.Model) {
		return parsed{}, fault.New(fault.NotFound, "use a model that a model group serves", "no model %q", call.Model)
	}
	prompt := call.PromptText()
	req := &request{
		prefix:   prompt[:min(len(prompt), prefixBytes)],
		dispatch: wire.Dispatch{Path: r.URL.Path, Model: call.Model, Stream: call.Stream},
		pool:     modelPool(call.Model),
	}
	return parsed{req: req, stream: call.Stream}, nil
}

func (e *Entry) knowsModel(model string) bool {
	for _, g := range e.opts.Store.Current().Groups {
		if g.Model == model {
			return true
		}
	}
	return false
}

func (e *Entry) service(r *http.Request, _ []byte) (parsed, error) {
	name := r.PathValue("service")
	path := "/" + r.PathValue("path")
	svc := e.opts.Store.Current().Services[name]
	if svc == nil {
		return parsed{}, fault.New(fault.NotFound, "use a configured plain service", "no plain service %q", name)
	}
	key := r.Header.Get(headerKey)
	once := svc.IsNonIdempotent(r.Method, path)
	if once && key == "" || len(key) > maxKey {
		return parsed{}, fault.New(fault.Invalid, "send an Idempotency-Key of 1 to 255 bytes", "%s %s must not run twice", r.Method, path)
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	req := &request{
		dispatch: wire.Dispatch{Path: path, Service: name, NonIdempotent: once, Key: key},
		pool:     servicePool(name),
	}
	return parsed{req: req}, nil
}
