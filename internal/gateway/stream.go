package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/upstream"
)

const (
	// eventBuffer is the first size of the buffer for events, in bytes.
	eventBuffer = 2 << 10
	// maxEvent bounds one event, in bytes.
	maxEvent = 1 << 20
)

// relay passes a stream on, whole events only: an upstream may stop in the
// middle of one, and what follows from another must begin with a new one.
func (q *request) relay(m *Member, reply *upstream.Reply) result {
	br := bufio.NewReaderSize(reply, eventBuffer)
	flusher := http.NewResponseController(q.w)
	for {
		event, err := readEvent(br)
		if err != nil {
			return q.streamEnd(reply, event, err)
		}
		if !q.head {
			q.writeHead(reply.Status, reply.Header)
			q.g.stats.firstEvent(q.service, time.Since(q.begun))
			q.log.Info("first event", zap.String("upstream", m.ID), zap.Duration("after", time.Since(q.begun)))
		}
		if _, err := q.w.Write(event); err != nil {
			return result{fate: broken, sent: true, cause: err}
		}
		q.eventAt = time.Now()
		if !q.answered {
			q.answered = true
			m.MarkAnswered()
		}
		if id := eventID(event); id != "" {
			q.delivered = id
		}
		if !holdsEvent(br) {
			if err := flusher.Flush(); err != nil {
				return result{fate: broken, sent: true, cause: err}
			}
		}
	}
}

// holdsEvent says whether a whole event has been read ahead: it shares the next
// write. A part of one must not keep the events before it back.
func holdsEvent(br *bufio.Reader) bool {
	ahead, err := br.Peek(br.Buffered())
	return err == nil && (bytes.Contains(ahead, []byte("\n\n")) || bytes.Contains(ahead, []byte("\n\r\n")))
}

// streamEnd judges how a stream ended. rest is what follows the last event.
func (q *request) streamEnd(reply *upstream.Reply, rest []byte, err error) result {
	if errors.Is(err, io.EOF) && len(rest) == 0 {
		if !q.head {
			q.writeHead(reply.Status, reply.Header)
		}
		q.done(outcome.Completed, reply.Status)
		return result{fate: delivered, sent: true}
	}
	if errors.Is(err, io.EOF) {
		err = fault.New(fault.Crashed, "the stream goes on elsewhere if it may", "the stream ended within an event")
	}
	if q.head {
		return result{fate: broken, sent: true, cause: err}
	}
	return result{fate: unknown, sent: true, cause: err}
}

// readEvent reads up to the blank line that ends an event. With an error it
// returns the part that came.
func readEvent(br *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := br.ReadSlice('\n')
		event = append(event, line...)
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return event, err
		}
		if err == nil && len(bytes.TrimRight(line, "\r\n")) == 0 && len(event) > len(line) {
			return event, nil
		}
		if len(event) > maxEvent {
			return event, fault.New(fault.TooLarge, "send smaller events", "an event exceeds %d bytes", maxEvent)
		}
	}
}

// eventID returns the id of an event, or "".
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
