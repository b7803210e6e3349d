package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/directory"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/upstream"
)

// livenessTimeout bounds the check whether an upstream is still running, which may wait for a
// slot there.
const livenessTimeout = 1 * time.Second

var errUnconfirmedEnd = fault.New(fault.Crashed, "no action needed if the request may run again; otherwise check whether it ran", "the answer ended with its connection, and its upstream isn't known to be still running")

// confirmEnd returns an error unless an answer that was read to its end is whole. One with
// neither a length nor chunks ends with its connection, and the connections of a process that
// is killed end just like those of one that has finished its answers. Such an answer is whole
// only if the same incarnation answers a call that is sent afterwards.
func (q *request) confirmEnd(m *Member, reply *upstream.Reply) error {
	if reply.Delimited() {
		return nil
	}
	reply.Close()
	ctx, cancel := context.WithTimeout(q.ctx, livenessTimeout)
	defer cancel()
	start := time.Now()
	call := q.g.Codec.LivenessCall(m.Upstream, q.table.Service(q.service))
	a, err := q.g.Transport.Ask(ctx, m.Address, q.attemptStartedAt, call)
	var answered Incarnation
	whole, earlier := false, false
	late := q.readLate || q.g.standstill.after(q.attemptStartedAt, time.Now())
	if err == nil {
		answered, earlier = q.g.Codec.Incarnation(a), a.OpenedBefore
		whole = isRunning(m.Upstream, answered, earlier, late)
	}
	q.log.Info("answer ended with its connection", zap.Bool("whole", whole), zap.String("upstream", m.ID), zap.Int64("started", m.Started),
		zap.String("answered_by", answered.ID), zap.Int64("answered_by_started", answered.Started), zap.Bool("misdirected", answered.Misdirected),
		zap.Bool("earlier_connection", earlier), zap.Bool("read_late", late), zap.String("delivered", q.lastEventID), zap.Duration("took", time.Since(start)), zap.Error(err))
	q.g.stats.recordConnectionEnd(q.service, whole)
	if whole {
		return nil
	}
	return errUnconfirmedEnd
}

// isRunning reports whether u is the incarnation that answered. An earlier
// upstream that has left the address may still hold a connection, and a later incarnation with
// the same ID may answer on a new one: the start tells. Without one, only a connection that was
// opened before u got the request, or an end that was not read late, is a proof.
func isRunning(u directory.Upstream, answered Incarnation, earlierConnection, readLate bool) bool {
	if answered.Misdirected || answered.ID != "" && answered.ID != u.ID {
		return false
	}
	if answered.Started == 0 || u.Started == 0 {
		return earlierConnection || !readLate
	}
	return answered.Started == u.Started
}
