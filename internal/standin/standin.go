// Package standin holds the HTTP helpers shared by the stand-ins of outside
// systems that tests and demos run.
package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/kingcupreel/kingcupreel/internal/fault"
)

// Decode decodes the JSON body of r into out.
func Decode(r *http.Request, out any) error {
	if err := json.NewDecoder(r.Body).Decode(out); err != nil {
		return fault.Wrap(fault.Invalid, err, "send a JSON body", "decoding the body")
	}
	return nil
}

// Answer writes answer as JSON, or the text of err with its HTTP status. Stale
// errors become 410 Gone, as in the protocol of the key-value service.
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

// Post sends body as JSON to url, usually a path below /admin of a stand-in,
// and expects status 200.
func Post(ctx context.Context, url string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "report this as a bug", "encoding the body")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return fault.Wrap(fault.Invalid, err, "check the stand-in's address", "building the request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fault.Wrap(fault.Unavailable, err, "check that the stand-in runs", "calling %s", url)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fault.New(fault.Unavailable, "check the stand-in's response", "%s answered %d", url, resp.StatusCode)
	}
	return nil
}
