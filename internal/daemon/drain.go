package daemon

import (
	"context"
	"net/http"
	"time"
)

// finalAnswerTime is how long before the end of a drain the requests that are left are ended, so
// that their callers get an answer.
const finalAnswerTime = 200 * time.Millisecond

// drainEnd returns when a drain with ctx ends the requests that are left, zero for never.
func drainEnd(ctx context.Context) time.Time {
	deadline, ok := ctx.Deadline()
	if !ok {
		return time.Time{}
	}
	return deadline.Add(-finalAnswerTime)
}

// drainPollInterval is how often a drain looks for connections that are left.
const drainPollInterval = 20 * time.Millisecond

// drainServer accepts connections for the notice time, so that the platform's balancer can react.
// After that it calls refuse and closes the listener and idle connections: Server.Shutdown would
// close the others without an answer to a further request. It calls stop, which ends the requests
// in flight, at drainEnd, and closes what is open at ctx's deadline. It returns an error if
// requests were in flight then.
func drainServer(ctx context.Context, s *http.Server, l *drainableListener, open *connections, notice time.Duration, refuse, stop func()) error {
	if endsAt := drainEnd(ctx); !endsAt.IsZero() {
		timer := time.AfterFunc(time.Until(endsAt), stop)
		defer timer.Stop()
	}
	select {
	case <-time.After(notice):
	case <-ctx.Done():
	}
	refuse()
	listenErr := l.stopListening()
	for open.count() > 0 {
		// Closes idle connections, and those that have brought no request for 5 s.
		s.SetKeepAlivesEnabled(false)
		select {
		case <-time.After(drainPollInterval):
			continue
		case <-ctx.Done():
		}
		break
	}
	active := open.active()
	_ = s.Close()
	if active > 0 {
		return ctx.Err()
	}
	return listenErr
}
