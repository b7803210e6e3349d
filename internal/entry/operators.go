package entry

import (
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/opapi"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/telemetry"
)

// operatorReadTimeout bounds the reading of an operator's body.
const operatorReadTimeout = 30 * time.Second

// OperatorHandler returns the operators' HTTP interface, with health, readiness
// and metrics.
func (e *Entry) OperatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", e.ready)
	mux.HandleFunc("GET /metrics", telemetry.MetricsHandler(e.opts.Metrics))
	mux.HandleFunc("GET "+opapi.PathStatus, e.operator(e.status))
	mux.HandleFunc("GET "+opapi.PathDeployment, e.operator(e.deployment))
	mux.HandleFunc("GET "+opapi.PathEvents, e.operator(e.events))
	mux.HandleFunc("GET "+opapi.PathQuarantine, e.operator(e.listQuarantine))
	mux.HandleFunc("GET "+opapi.PathConfig, e.operator(e.listConfig))
	mux.HandleFunc("GET "+opapi.PathConfig+"/{kind}/{name}", e.operator(e.getConfig))
	mux.HandleFunc("PUT "+opapi.PathConfig+"/{kind}/{name}", e.operatorBody(e.putConfig))
	mux.HandleFunc("DELETE "+opapi.PathConfig+"/{kind}/{name}", e.operator(e.deleteConfig))
	mux.HandleFunc("GET "+opapi.PathPlan, e.operator(e.plans))
	mux.HandleFunc("POST "+opapi.PathAdopt, e.operator(e.adopt))
	return mux
}

func (e *Entry) ready(w http.ResponseWriter, _ *http.Request) {
	if e.Draining() || e.opts.Store.Current().Revision == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// operator authenticates an operator, runs f and writes its answer.
func (e *Entry) operator(f func(r *http.Request) (any, error)) http.HandlerFunc {
	return e.operatorBody(func(w http.ResponseWriter, r *http.Request) (any, error) {
		r.Body = http.MaxBytesReader(w, r.Body, 0)
		return f(r)
	})
}

// operatorBody is operator for a request with a body, which f bounds.
func (e *Entry) operatorBody(f func(w http.ResponseWriter, r *http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !e.isOperator(bearer(r)) {
			err := fault.New(fault.Unauthenticated, "send Authorization: Bearer with an operator's token", "no operator for this token")
			writeError(w, outcome.NotRun, err)
			return
		}
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(operatorReadTimeout))
		out, err := f(w, r)
		if err != nil {
			writeError(w, outcome.NotRun, withCause(err))
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(out)
	}
}

// withCause puts the cause into the message, which is all that travels.
func withCause(err error) error {
	known := fault.As(err)
	if known.Cause == nil {
		return known
	}
	flat := fault.New(known.Kind, known.Remedy, "%s: %v", known.Message, known.Cause)
	return flat.After(known.RetryAfter)
}

func (e *Entry) isOperator(token string) bool {
	if token == "" {
		return false
	}
	if subtle.ConstantTimeCompare([]byte(config.HashToken(token)), []byte(e.opts.OperatorTokenSHA256)) == 1 {
		return true
	}
	return e.opts.Store.Current().OperatorByToken(token) != nil
}
