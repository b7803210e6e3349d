package daemon

import (
	"context"
	"net/http"
	"time"
)

// finalAnswerTime is how long before the end of a drain the requests that are left are ended, so
// that their callers get an answer.
const finalAnswerTime = 200 * time.Millisecond

// drainServer accepts requests for the notice time, so that the platform's balancer can react,
// and then waits for those in flight. It calls stop, which ends them, finalAnswerTime before
// ctx's deadline, and closes what is open at that deadline. It returns an error if requests
// were in flight then.
func drainServer(ctx context.Context, s *http.Server, open *connections, notice time.Duration, stop func()) error {
	if deadline, ok := ctx.Deadline(); ok {
		timer := time.AfterFunc(time.Until(deadline.Add(-finalAnswerTime)), stop)
		defer timer.Stop()
	}
	select {
	case <-time.After(notice):
	case <-ctx.Done():
	}
	err := s.Shutdown(ctx)
	if err == nil {
		return nil
	}
	// Shutdown polls, and takes connections without a request for busy.
	active := open.active()
	_ = s.Close()
	if active == 0 {
		return nil
	}
	return err
}
