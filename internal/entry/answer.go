package entry

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/eventstream"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/membudget"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// maxAnswerMemory bounds the memory of all answers that aren't streams, which are kept to their
// end, in bytes: four of the largest size, of which a client account alone may have two.
const maxAnswerMemory = 4 * wire.MaxAnswerBody

var errAnswerMemory = fault.New(fault.Overloaded, "try again shortly, or ask for a smaller answer", "the memory for answers, or the client account's part of it, is exhausted").After(unavailableRetryAfter)

// HeaderRequestID is the header that carries the request's id in every answer.
const HeaderRequestID = "Kingcupreel-Request"

const (
	// stallTimeout bounds how long the caller may take to receive one write.
	stallTimeout = 30 * time.Second
	// writeChunkSize is the size of one write of an answer that isn't a stream,
	// in bytes.
	writeChunkSize = 64 << 10
)

// answer writes the answer to one caller: a stream chunk by chunk, any other
// answer at its end. The caller of addChunk keeps the chunks in order.
type answer struct {
	w http.ResponseWriter
	// wantStream is set if the caller asked for a stream, stream if the answer
	// is one. Any other answer has no event that could tell that it broke off.
	wantStream, stream bool
	// headerWritten is set once a stream's header was written to the caller.
	headerWritten bool
	// http10 is set if the caller's request is of a version before HTTP/1.1.
	http10 bool
	log    *zap.Logger
	// memory bounds body, for the account and in all; nil means no bound. reserved is what the
	// answer holds of it, in bytes.
	memory   *membudget.Budget
	account  string
	reserved int64

	status      int
	contentType string
	chunks      uint64
	body        []byte
	transcript  transcript
}

func newAnswer(w http.ResponseWriter, id string, stream bool) *answer {
	w.Header().Set(HeaderRequestID, id)
	return &answer{w: w, wantStream: stream, log: zap.NewNop()}
}

// accepts reports whether an answer with a status and a content type may follow what was
// written to the caller.
func (a *answer) accepts(status int, contentType string) bool {
	return !a.headerWritten || eventstream.MayContinue(a.status, a.contentType, status, contentType)
}

// setHead sets the status and content type. It does nothing once a stream's
// header was written.
func (a *answer) setHead(status int, contentType string) {
	if a.headerWritten {
		return
	}
	a.status, a.contentType = status, contentType
	a.stream = a.wantStream && status == http.StatusOK && eventstream.IsStream(contentType)
}

// reset drops an answer of which nothing was written to the caller.
func (a *answer) reset() {
	a.release()
	a.status, a.contentType, a.chunks, a.body = 0, "", 0, nil
	a.transcript = transcript{}
}

// addChunk writes the next chunk of a stream, or buffers it for any other
// answer.
func (a *answer) addChunk(data []byte) error {
	a.chunks++
	if !a.stream {
		return a.buffer(data)
	}
	a.writeStreamHeader()
	if err := a.write(data); err != nil {
		return err
	}
	a.transcript.add(data)
	return nil
}

// write writes data to the caller, who has stallTimeout to receive it.
func (a *answer) write(data []byte) error {
	control := http.NewResponseController(a.w)
	_ = control.SetWriteDeadline(time.Now().Add(stallTimeout))
	_, err := a.w.Write(data)
	if err == nil {
		err = control.Flush()
	}
	if err != nil {
		return fault.Wrap(fault.Timeout, err, "keep the connection open and read the answer", "the caller closed the connection or stopped reading")
	}
	return nil
}

func (a *answer) buffer(data []byte) error {
	size := len(a.body) + len(data)
	if size > wire.MaxAnswerBody {
		return fault.New(fault.TooLarge, "ask for a smaller answer", "the answer exceeds %d bytes", wire.MaxAnswerBody)
	}
	if size > cap(a.body) {
		capacity := max(size, min(2*cap(a.body), wire.MaxAnswerBody))
		if !a.reserve(int64(capacity - cap(a.body))) {
			return errAnswerMemory
		}
		a.body = append(make([]byte, 0, capacity), a.body...)
	}
	a.body = append(a.body, data...)
	return nil
}

// reserve takes n bytes of the memory for answers, until release.
func (a *answer) reserve(n int64) bool {
	if a.memory == nil {
		return true
	}
	if !a.memory.Reserve(a.account, n) {
		return false
	}
	a.reserved += n
	return true
}

// release gives back the memory of the answer, whose body isn't used any more.
func (a *answer) release() {
	if a.reserved > 0 {
		a.memory.Release(a.account, a.reserved)
		a.reserved = 0
	}
}

// writeStreamHeader writes a stream's header once; the outcome follows as a
// trailer.
func (a *answer) writeStreamHeader() {
	if a.headerWritten {
		return
	}
	a.headerWritten = true
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
	case a.headerWritten && r.outcome != outcome.Completed && a.http10:
		a.resetConnection()
	case a.headerWritten && r.outcome != outcome.Completed:
		a.writeStreamError(r)
	case a.headerWritten:
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

// writeBody writes the buffered answer to the caller in parts.
func (a *answer) writeBody() {
	for part := range slices.Chunk(a.body, writeChunkSize) {
		if a.write(part) != nil {
			return
		}
	}
}

// errorBody is the JSON body of an error answer.
type errorBody struct {
	Error   *fault.Error    `json:"error"`
	Outcome outcome.Outcome `json:"outcome"`
}

// writeStreamError ends a stream that has begun with an error event.
func (a *answer) writeStreamError(r result) {
	data, _ := json.Marshal(errorBody{Error: fault.As(r.err), Outcome: r.outcome})
	fmt.Fprintf(a.w, "event: error\ndata: %s\n\n", data)
}

// resetConnection resets the connection of a stream that has begun. Before HTTP/1.1 there
// is no trailer, and the end of the connection would end the stream.
func (a *answer) resetConnection() {
	conn, _, err := http.NewResponseController(a.w).Hijack()
	if err == nil {
		if tc, ok := conn.(*net.TCPConn); ok {
			err = tc.SetLinger(0)
		}
		conn.Close()
	}
	if err != nil {
		a.log.Warn("failed to reset the connection of an incomplete stream", zap.String("request", a.w.Header().Get(HeaderRequestID)), zap.Error(err))
	}
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

// retryAfter returns the given Retry-After, or a jittered one if none is given
// and the status tells the caller to retry later.
func retryAfter(status int, given time.Duration) time.Duration {
	if given > 0 || status != http.StatusTooManyRequests && status != http.StatusServiceUnavailable {
		return given
	}
	return unavailableRetryAfter + rand.N(2*unavailableRetryAfter)
}
