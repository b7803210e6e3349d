// Package standin holds what the stand-ins of the outside systems share.
package standin

import (
	"encoding/json"
	"net/http"

	"github.com/kingcupreel/kingcupreel/internal/fault"
)

// Decode reads a JSON body.
func Decode(r *http.Request, out any) error {
	if err := json.NewDecoder(r.Body).Decode(out); err != nil {
		return fault.Wrap(fault.Invalid, err, "send a JSON body", "decoding the body")
	}
	return nil
}

// Answer writes a JSON answer, or the error with its status.
func Answer(w http.ResponseWriter, answer any, err error) {
	if err != nil {
		e := fault.As(err)
		status := e.Status()
		if e.Kind == fault.Stale {
			status = http.StatusGone
		}
		http.Error(w, e.Error(), status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}
