package entry

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
)

// maxAnswer bounds an answer that isn't a stream, in bytes.
const maxAnswer = 16 << 20

// HeaderRequestID names the request in every answer.
const HeaderRequestID = "Kingcupreel-Request"

// answer writes one caller's answer: a stream as it comes, anything else whole
// at the end. Invariant: each chunk number is written once, in order.
type answer struct {
	w       http.ResponseWriter
	stream  bool
	started bool

	status      int
	contentType string
	chunks      uint64
	body        []byte
}

func newAnswer(w http.ResponseWriter, id string, stream bool) *answer {
	w.Header().Set(HeaderRequestID, id)
	return &answer{w: w, stream: stream}
}

// head keeps the status and starts a stream.
func (a *answer) head(status int, contentType string) {
	a.status, a.contentType = status, contentType
	a.stream = a.stream && status == http.StatusOK
}

// chunk takes the next part. A repeated part is ignored; a gap is an error.
func (a *answer) chunk(seq uint64, data []byte) error {
	if seq <= a.chunks {
		return nil
	}
	if seq != a.chunks+1 {
		return fault.New(fault.Crashed, "send the request again", "part %d of the answer is missing", a.chunks+1)
	}
	a.chunks = seq
	if !a.stream {
		return a.keep(data)
	}
	a.start()
	if _, err := a.w.Write(data); err != nil {
		return fault.Wrap(fault.Unavailable, err, "keep the connection open", "the caller left")
	}
	return http.NewResponseController(a.w).Flush()
}

func (a *answer) keep(data []byte) error {
	if len(a.body)+len(data) > maxAnswer {
		return fault.New(fault.TooLarge, "ask for a smaller answer", "the answer exceeds %d bytes", maxAnswer)
	}
	a.body = append(a.body, data...)
	return nil
}

// start writes a stream's header; its outcome follows as a trailer.
func (a *answer) start() {
	if a.started {
		return
	}
	a.started = true
	h := a.w.Header()
	h.Set("Content-Type", a.contentType)
	h.Set("Trailer", outcome.Header)
	a.w.WriteHeader(a.status)
}

// finish writes the end of the answer with its outcome.
func (a *answer) finish(r result) {
	a.w.Header().Set(outcome.Header, string(r.outcome))
	switch {
	case a.started && r.outcome != outcome.Completed:
		a.streamError(r)
	case a.started:
	case r.outcome == outcome.Completed:
		a.w.Header().Set("Content-Type", a.contentType)
		a.w.WriteHeader(a.status)
		_, _ = a.w.Write(a.body)
	default:
		writeError(a.w, r.outcome, r.err)
	}
}

// errorBody is the JSON of an error answer.
type errorBody struct {
	Error   *fault.Error    `json:"error"`
	Outcome outcome.Outcome `json:"outcome"`
}

// streamError ends a stream that has begun with an error event.
func (a *answer) streamError(r result) {
	data, _ := json.Marshal(errorBody{Error: fault.As(r.err), Outcome: r.outcome})
	fmt.Fprintf(a.w, "event: error\ndata: %s\n\n", data)
}

// writeError writes an error answer with its outcome.
func writeError(w http.ResponseWriter, o outcome.Outcome, err error) {
	e := fault.As(err)
	h := w.Header()
	h.Set(outcome.Header, string(o))
	h.Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		h.Set("Retry-After", fault.RetryAfterSeconds(e.RetryAfter))
	}
	w.WriteHeader(e.Status())
	_ = json.NewEncoder(w).Encode(errorBody{Error: e, Outcome: o})
}
