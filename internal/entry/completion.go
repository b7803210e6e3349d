package entry

import (
	"context"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/claim"
)

const (
	// completionBacklog bounds the completions that wait to be written.
	completionBacklog = 1024
	// completionRate is the completions a second that all entries together
	// may write; the rest of the service's writes is for claims.
	completionRate = 100
	// maxRecordBody bounds the answer that a completion holds, in bytes.
	maxRecordBody = 4 << 10
)

// completion is an answer to be added to its claim.
type completion struct {
	held   claim.StoredRecord
	answer claim.Answer
}

// completionQueue holds completions for the writer.
type completionQueue struct{ waiting chan completion }

// completed queues a call's completion. A full queue drops it: if the agent is
// lost too, a later request with the same key is told unknown.
func (e *Entry) completed(held claim.StoredRecord, a claim.Answer) {
	if len(a.Body) > maxRecordBody {
		a.Body, a.BodyDropped = nil, true
	}
	select {
	case e.once.completions.waiting <- completion{held, a}:
	default:
		e.count("once.completions_dropped")
	}
}

// writeCompletions writes the queued completions at this entry's share of the
// rate until ctx is done.
func (e *Entry) writeCompletions(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-e.once.completions.waiting:
			e.writeCompletion(ctx, c)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(e.completionInterval()):
		}
	}
}

func (e *Entry) writeCompletion(ctx context.Context, c completion) {
	if err := e.once.claims.Complete(ctx, c.held, c.answer); err != nil {
		e.count("once.completions_failed")
		return
	}
	e.count("once.completions_written")
}

// completionInterval is the time between two writes of this entry.
func (e *Entry) completionInterval() time.Duration {
	entries := 1
	if e.opts.View != nil {
		entries = max(entries, len(e.opts.View.Entries()))
	}
	return time.Duration(entries) * time.Second / completionRate
}
