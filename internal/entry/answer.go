package entry

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
)

// maxAnswer bounds an answer that isn't a stream, in bytes.
const maxAnswer = 16 << 20

// HeaderRequestID names the request in every answer.
const HeaderRequestID = "Kingcupreel-Request"

const (
	// stallTimeout bounds how long a caller may take for a part of an answer.
	stallTimeout = 30 * time.Second
	// writePart is the size of a part of an answer that isn't a stream, in
	// bytes.
	writePart = 64 << 10
)

// answer writes one caller's answer: a stream as it comes, anything else whole
// at the end. The caller of chunk keeps the order.
type answer struct {
	w http.ResponseWriter
	// wantStream says that the caller asked for a stream, stream that the
	// answer is one.
	wantStream, stream bool
	started            bool

	status      int
	contentType string
	chunks      uint64
	body        []byte
	transcript  transcript
}

func newAnswer(w http.ResponseWriter, id string, stream bool) *answer {
	w.Header().Set(HeaderRequestID, id)
	return &answer{w: w, wantStream: stream}
}

// head keeps the status and starts a stream. A stream that has begun keeps its
// own.
func (a *answer) head(status int, contentType string) {
	if a.started {
		return
	}
	a.status, a.contentType = status, contentType
	a.stream = a.wantStream && status == http.StatusOK
}

// reset forgets an answer of which the caller has nothing.
func (a *answer) reset() {
	a.status, a.contentType, a.chunks, a.body = 0, "", 0, nil
	a.transcript = transcript{}
}

// chunk takes the next part.
func (a *answer) chunk(data []byte) error {
	a.chunks++
	if !a.stream {
		return a.keep(data)
	}
	a.start()
	a.transcript.add(data)
	return a.write(data)
}

// write passes a part to the caller, who has stallTimeout to take it.
func (a *answer) write(data []byte) error {
	control := http.NewResponseController(a.w)
	_ = control.SetWriteDeadline(time.Now().Add(stallTimeout))
	_, err := a.w.Write(data)
	if err == nil {
		err = control.Flush()
	}
	if err != nil {
		return fault.Wrap(fault.Timeout, err, "keep the connection open and read the answer", "the caller left")
	}
	return nil
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
	_ = http.NewResponseController(a.w).SetWriteDeadline(time.Now().Add(stallTimeout))
	a.w.Header().Set(outcome.Header, string(r.outcome))
	switch {
	case a.started && r.outcome != outcome.Completed:
		a.streamError(r)
	case a.started:
	case r.outcome == outcome.Completed:
		a.w.Header().Set("Content-Type", a.contentType)
		if after := retryAfter(a.status, 0); after > 0 {
			a.w.Header().Set("Retry-After", fault.RetryAfterSeconds(after))
		}
		if len(a.body) > 0 {
			a.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
		}
		a.w.WriteHeader(a.status)
		a.writeBody()
	default:
		writeError(a.w, r.outcome, r.err)
	}
}

// writeBody passes the kept answer to the caller in parts.
func (a *answer) writeBody() {
	for part := range slices.Chunk(a.body, writePart) {
		if a.write(part) != nil {
			return
		}
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
	if after := retryAfter(e.Status(), e.RetryAfter); after > 0 {
		h.Set("Retry-After", fault.RetryAfterSeconds(after))
	}
	w.WriteHeader(e.Status())
	_ = json.NewEncoder(w).Encode(errorBody{Error: e, Outcome: o})
}

// retryAfter returns the given time to wait, or else a jittered one when the
// status asks the caller to come back.
func retryAfter(status int, given time.Duration) time.Duration {
	if given > 0 || status != http.StatusTooManyRequests && status != http.StatusServiceUnavailable {
		return given
	}
	return unavailableRetry + rand.N(2*unavailableRetry)
}
