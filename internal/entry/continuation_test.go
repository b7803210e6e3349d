package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// beginStream delivers the head and the first events of a stream, and returns an attempt
// that resumes it with the caller's response.
func beginStream(g Gomega) (*attempt, *httptest.ResponseRecorder, string) {
	frames, _ := answerFrames(3)
	w := httptest.NewRecorder()
	a := newTestAttempt(&resendingAgent{}, w, true)
	_, ended := deliver(a, &resendingAgent{}, frames[:4])
	g.Expect(ended).To(BeFalse())
	next := newTestAttempt(&resendingAgent{}, w, true)
	next.x.answer = a.x.answer
	next.reorder = newReorderBuffer(3)
	return next, w, w.Body.String()
}

// A stream breaks off and the next upstream answers with something else than its rest.
// Guards against an answer whose bytes follow the events of a stream, or that makes the
// stream look complete.
func TestOnlyAStreamContinuesAStream(t *testing.T) {
	for _, head := range []wire.Head{
		{Status: http.StatusOK, ContentType: "application/json"},
		{Status: http.StatusOK},
		{Status: http.StatusOK, ContentType: "text/plain"},
		{Status: http.StatusCreated, ContentType: "text/event-stream"},
		{Status: http.StatusNoContent},
		{Status: http.StatusFound},
		{Status: http.StatusNotFound, ContentType: "text/event-stream"},
		{Status: http.StatusTooManyRequests},
		{Status: http.StatusInternalServerError},
		{Status: http.StatusServiceUnavailable, ContentType: "application/json"},
	} {
		g := NewWithT(t)
		a, w, before := beginStream(g)
		res, ended := deliver(a, &resendingAgent{}, []wire.Message{
			&head, &wire.Chunk{Seq: 4, Data: []byte(`{"error":"not found"}`)}, &wire.Done{Chunks: 4, Outcome: outcome.Completed},
		})
		g.Expect(ended).To(BeTrue())
		g.Expect(res.outcome).NotTo(Equal(outcome.Completed), "%+v", head)
		g.Expect(fault.KindOf(res.err)).To(Equal(fault.Crashed))
		g.Expect(w.Body.String()).To(Equal(before), "%+v", head)
	}
}

// An agent reports as not run an attempt whose answer has begun. Guards against a caller
// that is told that its request has not run, and against an attempt that starts again behind
// the events that the caller has.
func TestRefusalAfterTheAnswerBeganIsNoRefusal(t *testing.T) {
	for _, refusal := range []wire.Message{
		&wire.Refused{Reason: fault.Unavailable, Message: "the upstream's queue is full"},
		&wire.Verdict{State: wire.NeverSeen}, &wire.Verdict{State: wire.NeverRun},
		&wire.Done{Outcome: outcome.NotRun, Reason: fault.Unavailable},
	} {
		for _, nonIdempotent := range []bool{false, true} {
			g := NewWithT(t)
			frames, _ := answerFrames(3)
			w := httptest.NewRecorder()
			a := newTestAttempt(&resendingAgent{}, w, true)
			a.x.req.dispatch.NonIdempotent = nonIdempotent
			res, ended := deliver(a, &resendingAgent{}, append(frames[:2:2], refusal))
			g.Expect(ended).To(BeTrue())
			want := outcome.Failed
			if nonIdempotent {
				want = outcome.Unknown
			}
			g.Expect(res.outcome).To(Equal(want), "%T", refusal)
			g.Expect(strings.Count(w.Body.String(), "data:")).To(Equal(1))
		}
	}
}
