package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/membudget"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/standin/heap"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// Agents send the chunks of answers that don't end. Guards against an entry that keeps them all,
// and against another account's answer that finds no memory.
func TestAnswersWithoutEnd(t *testing.T) {
	g := NewWithT(t)
	const maxHeapBytes = 160 << 20 // the bound of the gateway's test
	memory := membudget.New(maxAnswerMemory)
	newAttempt := func(account string) (*attempt, *httptest.ResponseRecorder) {
		w := httptest.NewRecorder()
		a := newTestAttempt(&resendingAgent{}, w, false)
		a.x.req.account = &config.ClientAccount{Name: account}
		a.x.answer.memory, a.x.answer.account = memory, account
		_, ended := a.handle(&wire.Head{Status: http.StatusOK, ContentType: "text/plain"})
		g.Expect(ended).To(BeFalse())
		return a, w
	}
	const requests = 32
	var attempts []*attempt
	for range requests {
		a, _ := newAttempt("small")
		attempts = append(attempts, a)
	}
	ended := map[int]result{}
	chunk := make([]byte, 64<<10)
	peak := heap.Peak(func() {
		for seq := uint64(1); len(ended) < requests; seq++ {
			for i, a := range attempts {
				if _, over := ended[i]; over {
					continue
				}
				if res, over := a.handle(&wire.Chunk{Seq: seq, Data: chunk}); over {
					ended[i] = res
				}
			}
			g.Expect(seq).To(BeNumerically("<=", wire.MaxAnswerBody/len(chunk)+1))
		}
	})
	g.Expect(peak).To(BeNumerically("<", maxHeapBytes))
	for _, res := range ended {
		g.Expect(res.outcome).NotTo(BeElementOf(outcome.Completed, outcome.NotRun))
		g.Expect(fault.KindOf(res.err)).To(BeElementOf(fault.Overloaded, fault.TooLarge))
	}
	var refused int64
	for _, a := range attempts {
		refused += metrics.GetOrRegisterCounter("answers.no_memory", a.x.entry.opts.Metrics).Count()
	}
	g.Expect(refused).To(BeNumerically(">", 0))
	other, w := newAttempt("other")
	_, over := other.handle(&wire.Chunk{Seq: 1, Data: chunk})
	g.Expect(over).To(BeFalse())
	res, over := other.handle(&wire.Done{Chunks: 1, Outcome: outcome.Completed})
	g.Expect(over).To(BeTrue())
	other.x.answer.finish(res)
	g.Expect(w.Body.Len()).To(Equal(len(chunk)))
	for _, a := range append(attempts, other) {
		a.x.answer.release()
	}
	held, _ := memory.Held()
	g.Expect(held).To(BeZero())
}

// Guards against an account's answer of the largest size that finds no memory beside another one.
func TestTwoLargestAnswersOfAnAccount(t *testing.T) {
	g := NewWithT(t)
	memory := membudget.New(maxAnswerMemory)
	for range 2 {
		a := newAnswer(httptest.NewRecorder(), "r", false)
		a.memory, a.account = memory, "small"
		for range wire.MaxAnswerBody >> 16 {
			g.Expect(a.buffer(make([]byte, 1<<16))).To(Succeed())
		}
		g.Expect(fault.KindOf(a.buffer([]byte{1}))).To(Equal(fault.TooLarge))
	}
}
