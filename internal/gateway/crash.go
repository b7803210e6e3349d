package gateway

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"go.uber.org/zap"
)

// crashCheckTimeout bounds the check whether an upstream still listens. A host that is
// there answers within a round trip.
const crashCheckTimeout = 200 * time.Millisecond

// crashedBeforeAnswer reports whether the upstream ended with the request before the first
// part of its answer: the connection ended, and nothing listens at the address any more.
func (q *request) crashedBeforeAnswer(m *Member, res result) bool {
	if q.answerStarted || !res.sent || !connectionEnded(res.cause) {
		return false
	}
	ctx, cancel := context.WithTimeout(q.ctx, crashCheckTimeout)
	defer cancel()
	crashed := q.g.Transport.Refuses(ctx, m.Address)
	q.log.Info("connection ended before the answer began", zap.String("upstream", m.ID), zap.Bool("crashed", crashed),
		zap.String("account", q.account), zap.Strings("parts", q.PromptParts), zap.Error(res.cause))
	return crashed
}

// connectionEnded reports whether an answer broke off since the upstream closed or reset its
// connection.
func connectionEnded(err error) bool {
	return errors.Is(err, errEndsWithinEvent) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
