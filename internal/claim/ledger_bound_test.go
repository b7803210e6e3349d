package claim

import (
	"fmt"
	"testing"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupreel/kingcupreel/internal/outcome"
)

// TestLedgerStaysBounded guards against lists that grow with each call. It ends
// many calls whose bodies never reach the limit of bytes.
func TestLedgerStaysBounded(t *testing.T) {
	const calls = 16
	l := NewLedger("i", clockwork.NewFakeClock(), calls, DefaultMaxAnswerBytes)
	for n := range 100 * calls {
		id := ID{Account: "a", Key: fmt.Sprint(n)}
		if err := l.Begin(id, Ticket{Generation: 1, Incarnation: "i", ClaimedMS: 1 << 50}); err != nil {
			t.Fatal(err)
		}
		l.End(id, 1, Answer{Outcome: outcome.Completed, Body: []byte("body")})
	}
	if len(l.entries) > calls || len(l.order) > calls || len(l.withBody) > 2*calls {
		t.Errorf("%d calls: %d entries, %d in order, %d with body", calls, len(l.entries), len(l.order), len(l.withBody))
	}
}
