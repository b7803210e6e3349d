package gateway

import (
	"github.com/kingcupreel/kingcupreel/internal/eventstream"
	"github.com/kingcupreel/kingcupreel/internal/fault"
)

// checkOrder returns an error if an event of the stream doesn't come after the last one that
// the caller has, by their IDs. An upstream may begin anew, or too early, instead of resuming.
func (q *request) checkOrder(event []byte) error {
	last := q.lastEventID
	if last == "" && q.route.Resumable {
		last = q.ResumeAfter
	}
	id := eventID(event)
	if eventstream.Follows(last, id) {
		return nil
	}
	return fault.New(fault.Crashed, "see the upstream's logs", "the upstream sent the event %q where one after %q is due", truncate(id), truncate(last))
}
