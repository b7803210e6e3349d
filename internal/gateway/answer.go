package gateway

import (
	"maps"
	"net"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/eventstream"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/routing"
	"github.com/kingcupreel/kingcupreel/internal/upstream"
)

// writeHead writes an answer's status and headers. It adds only what the
// connection to the caller needs.
func (q *request) writeHead(status int, header http.Header) {
	h := q.w.Header()
	maps.Copy(h, endToEnd(header))
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := h[name]; !ok {
			h[name] = nil // keeps net/http from adding the header
		}
	}
	if q.g.draining.Load() {
		h.Set("Connection", "close")
	}
	q.w.WriteHeader(status)
	q.headSent, q.sentStatus = true, status
}

// continuesStream reports whether an answer may be the rest of the stream whose head has
// been sent.
func (q *request) continuesStream(reply *upstream.Reply) bool {
	return q.route.Kind == routing.Stream && eventstream.MayContinue(q.sentStatus, q.w.Header().Get("Content-Type"), reply.Status, reply.Header.Get("Content-Type"))
}

// breakOff ends the handler and the connection to the caller so that an answer whose head
// has been sent doesn't look complete. Before HTTP/1.1 the end of the connection would end
// the answer, so the connection is reset.
func (q *request) breakOff() {
	if q.r.ProtoAtLeast(1, 1) {
		panic(http.ErrAbortHandler)
	}
	conn, _, err := http.NewResponseController(q.w).Hijack()
	if err == nil {
		if tc, ok := conn.(*net.TCPConn); ok {
			err = tc.SetLinger(0)
		}
		conn.Close()
	}
	if err != nil {
		q.log.Warn("failed to reset the connection of an incomplete answer", zap.Error(err))
	}
	panic(http.ErrAbortHandler)
}

// writeResponse writes a buffered answer to the caller.
func (q *request) writeResponse(resp *bufferedResponse) {
	switch {
	case q.r.Method == http.MethodHead:
		// No body follows, and the length is that of the answer to GET.
		if length := resp.header.Get("Content-Length"); length != "" {
			q.w.Header().Set("Content-Length", length)
		}
	case resp.status != http.StatusNoContent && resp.status != http.StatusNotModified:
		q.w.Header().Set("Content-Length", strconv.Itoa(len(resp.body)))
	}
	q.writeHead(resp.status, resp.header)
	q.phase.store(phaseWriting)
	if _, err := q.w.Write(resp.body); err != nil {
		q.log.Info("caller left during its answer", zap.Error(err))
	}
	o := outcome.Completed
	if resp.status >= http.StatusInternalServerError {
		o = outcome.Failed
	}
	q.recordResponse(o, resp.status)
}

// recordResponse records the end of a request that got an upstream's answer.
func (q *request) recordResponse(o outcome.Outcome, status int) {
	took := time.Since(q.startedAt)
	q.g.stats.recordAnswer(q.service, q.account, o, status, took)
	q.log.Info("answered", zap.Int("status", status), zap.String("outcome", string(o)), zap.String("route", q.route.Name),
		zap.String("account", q.account), zap.Strings("tried", q.attempted), zap.Duration("took", took), zap.Int64("configuration", q.configurationVersion()))
}
