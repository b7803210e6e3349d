package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/eventstream"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/upstream"
)

const (
	// eventBufferSize is the size of the read buffer for events, in bytes.
	eventBufferSize = 2 << 10
	// maxEventBytes is the maximum size of one event, in bytes. Hundreds of streams may
	// each hold an event that doesn't end.
	maxEventBytes = 128 << 10
)

var errNoEvent = fault.New(fault.Crashed, "see the upstream's logs", "the upstream wrote the head of another answer into its stream")

var errEndsTooSoon = fault.New(fault.Crashed, "no action needed if the route is resumable; otherwise send the request again if it may run twice", "the upstream's stream ended within an event or before the first")

// forwardStream forwards a stream to the caller in complete events only: an
// upstream may stop in the middle of an event, and a stream that resumes at
// another upstream starts with a new one.
func (q *request) forwardStream(m *Member, reply *upstream.Reply) result {
	br := bufio.NewReaderSize(reply, eventBufferSize)
	parts, complete := 0, false
	defer func() {
		if q.answerStarted {
			m.RecordAnswerParts(parts, complete)
		}
	}()
	flusher := http.NewResponseController(q.w)
	for {
		event, err := readEvent(br)
		if err == nil {
			err = q.checkOrder(event)
		}
		if err != nil {
			q.flushEvents(flusher)
			res := q.finishStream(m, reply, event, err)
			complete = res.attemptStatus == attemptDelivered
			return res
		}
		if !q.headSent {
			q.writeHead(reply.Status, reply.Header)
			q.g.stats.recordFirstEvent(q.service, time.Since(q.startedAt))
			q.log.Info("first event", zap.String("upstream", m.ID), zap.Duration("after", time.Since(q.startedAt)))
		}
		q.phase.store(phaseWriting)
		writing := time.Now()
		if _, err := q.w.Write(event); err != nil {
			return result{attemptStatus: attemptBroken, sent: true, cause: err}
		}
		before := q.lastEventAt
		q.lastEventAt = time.Now()
		if q.answerStarted {
			parts++
			m.RecordPart(q.lastEventAt.Sub(before))
		} else {
			q.answerStarted, q.firstEventAfter = true, q.lastEventAt.Sub(q.attemptStartedAt)
			q.clearSuspicion(q.begun)
			m.MarkAnswered(q.firstEventAfter)
		}
		if id := eventID(event); id != "" {
			q.lastEventID, q.resumable = id, true
		} else if hasData(event) {
			q.resumable = false
		}
		if !hasBufferedEvent(br) {
			if err := flusher.Flush(); err != nil {
				return result{attemptStatus: attemptBroken, sent: true, cause: err}
			}
		}
		q.readLate = q.readLate || time.Since(writing) > maxObservationGap
		q.phase.store(phaseAnswering)
	}
}

// flushEvents sends the caller the events that forwardStream has written but not flushed, since
// the next one was expected at once.
func (q *request) flushEvents(flusher *http.ResponseController) {
	if !q.answerStarted {
		return
	}
	if err := flusher.Flush(); err != nil {
		q.log.Info("caller left during its answer", zap.Error(err))
	}
}

// hasBufferedEvent reports whether another complete event is already buffered,
// so that one flush can cover both. A partial event must not delay the events
// before it.
func hasBufferedEvent(br *bufio.Reader) bool {
	buffered, err := br.Peek(br.Buffered())
	return err == nil && (bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n")))
}

// finishStream returns the result of a stream that ended with err. partial is
// the data after the last complete event.
func (q *request) finishStream(m *Member, reply *upstream.Reply, partial []byte, err error) result {
	ended := errors.Is(err, io.EOF) && !hasField(partial) && (q.headSent || reply.Delimited())
	if ended {
		err = q.confirmEnd(m, reply)
	}
	if ended && err == nil {
		if !q.headSent {
			q.writeHead(reply.Status, reply.Header)
		}
		if _, err := q.w.Write(partial); err != nil {
			return result{attemptStatus: attemptBroken, sent: true, cause: err}
		}
		q.clearSuspicion(q.unfinished)
		q.recordResponse(outcome.Completed, reply.Status)
		return result{attemptStatus: attemptDelivered, sent: true}
	}
	if errors.Is(err, io.EOF) {
		err = errEndsTooSoon
	}
	if q.headSent {
		return result{attemptStatus: attemptBroken, sent: true, cause: err}
	}
	return result{attemptStatus: attemptUnknown, sent: true, cause: err}
}

// readEvent reads up to the blank line that ends an event. A blank first
// line doesn't end it. With an error, readEvent returns the data read so far.
func readEvent(br *bufio.Reader) ([]byte, error) {
	var event []byte
	partial := false
	for {
		line, err := br.ReadSlice('\n')
		event = append(event, line...)
		tooLong := errors.Is(err, bufio.ErrBufferFull)
		if err != nil && !tooLong {
			return event, err
		}
		blank := !partial && !tooLong && len(bytes.TrimRight(line, "\r\n")) == 0
		partial = tooLong
		if blank && len(event) > len(line) {
			if eventstream.IsHead(event) {
				return event, errNoEvent
			}
			return event, nil
		}
		if len(event) > maxEventBytes {
			return event, fault.New(fault.TooLarge, "send smaller events", "an event exceeds %d bytes", maxEventBytes)
		}
	}
}

// hasField reports whether a part of an event has a field. Blank lines and comments behind the
// last event are no event.
func hasField(partial []byte) bool {
	for line := range bytes.Lines(partial) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

// hasData reports whether an event has data. One without is a comment or a setting.
func hasData(event []byte) bool {
	for line := range bytes.Lines(event) {
		if bytes.HasPrefix(line, []byte("data:")) {
			return true
		}
	}
	return false
}

// eventID returns the ID of an event, or "". Of several the last one counts.
func eventID(event []byte) string {
	var id string
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id
}
