package claim_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupreel/kingcupreel/internal/claim"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
)

// BenchmarkLedger measures the heap per call of a ledger that has just filled
// up, and again after b.N more calls, with bodies of 64 bytes each, and the
// time to accept and end a call.
func BenchmarkLedger(b *testing.B) {
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	l := claim.NewLedger("i", clockwork.NewRealClock(), claim.DefaultMaxCalls, claim.DefaultMaxAnswerBytes)
	t := claim.Ticket{Generation: 1, Incarnation: "i", ClaimedMS: 1 << 50}
	call := func(n int) {
		id := claim.ID{Account: "account", Key: fmt.Sprintf("01890a5d-ac96-774b-bcce-%012d", n)}
		if err := l.Begin(id, t); err != nil {
			b.Fatal(err)
		}
		l.End(id, 1, claim.Answer{Outcome: outcome.Completed, Status: 200, ContentType: "application/json", Body: make([]byte, 64)})
	}
	for n := range claim.DefaultMaxCalls {
		call(n)
	}
	heapPerCall := float64(heap()-before) / claim.DefaultMaxCalls
	b.ResetTimer()
	for n := range b.N {
		call(claim.DefaultMaxCalls + n)
	}
	b.StopTimer()
	b.ReportMetric(heapPerCall, "heap-B/call")
	b.ReportMetric(float64(heap()-before)/claim.DefaultMaxCalls, "later-heap-B/call")
	runtime.KeepAlive(l)
}
