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

// operatorReadTimeout bounds the time to read an operator's request body.
const operatorReadTimeout = 30 * time.Second

// OperatorHandler returns the HTTP interface for operators, with health,
// readiness and metrics.
func (e *Entry) OperatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", e.ready)
	mux.HandleFunc("GET /metrics", telemetry.MetricsHandler(e.opts.Metrics))
	mux.HandleFunc("GET "+opapi.PathStatus, e.operatorEndpoint(e.status))
	mux.HandleFunc("GET "+opapi.PathDeployment, e.operatorEndpoint(e.deployment))
	mux.HandleFunc("GET "+opapi.PathEvents, e.operatorEndpoint(e.events))
	mux.HandleFunc("GET "+opapi.PathQuarantine, e.operatorEndpoint(e.listQuarantine))
	mux.HandleFunc("GET "+opapi.PathConfig, e.operatorEndpoint(e.listConfig))
	mux.HandleFunc("GET "+opapi.PathConfig+"/{kind}/{name}", e.operatorEndpoint(e.getConfig))
	mux.HandleFunc("PUT "+opapi.PathConfig+"/{kind}/{name}", e.operatorBodyEndpoint(e.putConfig))
	mux.HandleFunc("DELETE "+opapi.PathConfig+"/{kind}/{name}", e.operatorEndpoint(e.deleteConfig))
	mux.HandleFunc("GET "+opapi.PathPlan, e.operatorEndpoint(e.listPlans))
	mux.HandleFunc("POST "+opapi.PathAdopt, e.operatorEndpoint(e.adopt))
	return mux
}

func (e *Entry) ready(w http.ResponseWriter, _ *http.Request) {
	if e.Draining() || e.opts.Store.Current().Revision == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// operatorEndpoint returns a handler that authenticates an operator, calls f
// and writes its result as JSON. The request may have no body.
func (e *Entry) operatorEndpoint(f func(r *http.Request) (any, error)) http.HandlerFunc {
	return e.operatorBodyEndpoint(func(w http.ResponseWriter, r *http.Request) (any, error) {
		r.Body = http.MaxBytesReader(w, r.Body, 0)
		return f(r)
	})
}

// operatorBodyEndpoint is operatorEndpoint for a request with a body, whose
// size f must bound.
func (e *Entry) operatorBodyEndpoint(f func(w http.ResponseWriter, r *http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !e.isOperator(bearerToken(r)) {
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

// withCause adds the cause of an error to its message, since an error answer
// contains only the message.
func withCause(err error) error {
	faultErr := fault.As(err)
	if faultErr.Cause == nil {
		return faultErr
	}
	combined := fault.New(faultErr.Kind, faultErr.Remedy, "%s: %v", faultErr.Message, faultErr.Cause)
	return combined.After(faultErr.RetryAfter)
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
