package entry

import (
	"context"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/claim"
)

const (
	// maxPendingCompletions bounds the completions that wait to be written.
	maxPendingCompletions = 1024
	// maxCompletionsPerSecond bounds the completions that all entries together
	// write. The remaining write capacity of the key-value service is for
	// claims.
	maxCompletionsPerSecond = 100
	// maxCompletionBody bounds the answer's body in a completion, in bytes.
	maxCompletionBody = 4 << 10
)

// completion is an answer to be added to the stored record of its claim.
type completion struct {
	record claim.StoredRecord
	answer claim.Answer
}

// completionQueue holds the completions that wait to be written.
type completionQueue struct{ pending chan completion }

// queueCompletion queues a call's completion for the writer. A full queue drops
// it: if the agent is then lost too, a later request with the same key gets the
// outcome unknown.
func (e *Entry) queueCompletion(record claim.StoredRecord, a claim.Answer) {
	if len(a.Body) > maxCompletionBody {
		a.Body, a.BodyDropped = nil, true
	}
	select {
	case e.claims.completions.pending <- completion{record, a}:
	default:
		e.count("once.completions_dropped")
	}
}

// writeCompletions writes the queued completions until ctx is done, at this
// entry's share of maxCompletionsPerSecond.
func (e *Entry) writeCompletions(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-e.claims.completions.pending:
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
	if err := e.claims.store.Complete(ctx, c.record, c.answer); err != nil {
		e.count("once.completions_failed")
		return
	}
	e.count("once.completions_written")
}

// completionInterval returns the time between two completions that this entry
// writes.
func (e *Entry) completionInterval() time.Duration {
	entries := 1
	if e.opts.View != nil {
		entries = max(entries, len(e.opts.View.Entries()))
	}
	return time.Duration(entries) * time.Second / maxCompletionsPerSecond
}
