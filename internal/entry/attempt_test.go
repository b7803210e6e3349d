package entry

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"pgregory.net/rapid"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// resendingAgent stands in for an agent that still has the answer's frames: it
// queues them again on an Attach.
type resendingAgent struct {
	frames []wire.Message
	queued []wire.Message
}

func (r *resendingAgent) send(m wire.Message) error {
	attach, ok := m.(*wire.Attach)
	if !ok {
		return nil
	}
	for _, f := range r.frames {
		if c, ok := f.(*wire.Chunk); ok && c.Seq <= attach.AfterSeq {
			continue
		}
		r.queued = append(r.queued, f)
	}
	return nil
}

func (r *resendingAgent) cancel(wire.AttemptID) {}

func answerFrames(n int) ([]wire.Message, string) {
	frames := []wire.Message{&wire.Head{Status: http.StatusOK, ContentType: "text/event-stream"}}
	var want strings.Builder
	for i := 1; i <= n; i++ {
		data := fmt.Sprintf("data: %d\n\n", i)
		want.WriteString(data)
		frames = append(frames, &wire.Chunk{Seq: uint64(i), Data: []byte(data)})
	}
	return append(frames, &wire.Done{Chunks: uint64(n), Outcome: outcome.Completed}), want.String()
}

func newTestAttempt(s sender, w http.ResponseWriter, stream bool) *attempt {
	e := &Entry{opts: Options{Metrics: metrics.NewRegistry()}}
	x := &exchange{entry: e, req: &request{}, answer: newAnswer(w, "r1", stream)}
	a := &attempt{x: x, link: s, reorder: newReorderBuffer(0), reattachTimer: time.NewTimer(0)}
	a.reattachTimer.Stop()
	return a
}

// TestFramesInAnyOrderGiveTheWholeAnswerOrNoCompletion delivers the frames of
// an answer in any order, with losses and duplicates, to an attempt whose agent
// may or may not resend them. It guards against a completed answer with
// missing, repeated or reordered data.
func TestFramesInAnyOrderGiveTheWholeAnswerOrNoCompletion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		frames, want := answerFrames(rapid.IntRange(0, 100).Draw(t, "chunks"))
		stream := rapid.Bool().Draw(t, "stream")
		delivered := rapid.SliceOfN(rapid.SampledFrom(frames), 0, 2*len(frames)).Draw(t, "delivered")
		if rapid.Bool().Draw(t, "all") {
			delivered = rapid.Permutation(frames).Draw(t, "order")
		}
		agent := &resendingAgent{}
		if rapid.Bool().Draw(t, "repeats") {
			agent.frames = frames
		}
		w := httptest.NewRecorder()
		a := newTestAttempt(agent, w, stream)
		res, ended := deliver(a, agent, delivered)
		if ended && res.outcome == outcome.Completed {
			a.x.answer.finish(res)
			if got := w.Body.String(); got != want {
				t.Fatalf("completed with %q, want %q", got, want)
			}
			return
		}
		if got := w.Body.String(); !strings.HasPrefix(want, got) {
			t.Fatalf("the caller has %q of %q", got, want)
		}
	})
}

// deliver passes frames to the attempt, followed by those that the agent
// resends.
func deliver(a *attempt, agent *resendingAgent, frames []wire.Message) (result, bool) {
	for len(frames) > 0 {
		res, ended := a.handle(frames[0])
		if ended {
			return res, true
		}
		frames = append(frames[1:], agent.queued...)
		agent.queued = nil
	}
	return result{}, false
}

// TestLostFramesAreResent loses one chunk and expects the whole answer from an
// agent that still has it.
func TestLostFramesAreResent(t *testing.T) {
	frames, want := answerFrames(9)
	agent := &resendingAgent{frames: frames}
	w := httptest.NewRecorder()
	a := newTestAttempt(agent, w, true)
	lossy := append(append([]wire.Message{}, frames[:4]...), frames[5:]...)
	res, ended := deliver(a, agent, lossy)
	if !ended || res.outcome != outcome.Completed || w.Body.String() != want {
		t.Fatalf("got %v %v %q", res, ended, w.Body.String())
	}
}

// TestVerdictStatesMapToOutcomes checks which outcome the caller gets for each
// state that the agent reports.
func TestVerdictStatesMapToOutcomes(t *testing.T) {
	for _, c := range []struct {
		state         wire.AttemptState
		attachPending bool
		nonIdempotent bool
		ended         bool
		outcome       outcome.Outcome
	}{
		{wire.NeverSeen, false, false, true, outcome.NotRun},
		{wire.NeverRun, false, true, true, outcome.NotRun},
		{wire.Running, false, false, false, ""},
		{wire.Running, true, false, true, outcome.Failed},
		{wire.Ended, true, true, true, outcome.Unknown},
		{wire.Forgotten, true, false, true, outcome.Unknown},
		{wire.Forgotten, false, false, false, ""},
	} {
		a := newTestAttempt(&resendingAgent{}, httptest.NewRecorder(), false)
		a.attachPending = c.attachPending
		a.x.req.dispatch.NonIdempotent = c.nonIdempotent
		res, ended := a.handle(&wire.Verdict{State: c.state})
		if ended != c.ended || res.outcome != c.outcome {
			t.Errorf("%+v gives %v %v", c, res, ended)
		}
	}
}

// TestMailboxBoundsASlowCaller checks that a caller who doesn't read uses a
// bounded amount of memory and ends only its own attempt.
func TestMailboxBoundsASlowCaller(t *testing.T) {
	b := newMailbox()
	data := make([]byte, 64<<10)
	for i := range uint64(1000) {
		b.put(&wire.Chunk{Seq: i + 1, Data: data})
	}
	messages, overflow := b.removeAll()
	if !overflow || len(messages)*len(data) > maxMailboxBytes {
		t.Fatalf("holds %d chunks, overflow %v", len(messages), overflow)
	}
}

// TestRefusalsCarryRetryAfter checks that every status that tells a caller to
// retry later comes with a Retry-After.
func TestRefusalsCarryRetryAfter(t *testing.T) {
	for _, kind := range []fault.Kind{fault.Overloaded, fault.Unavailable} {
		w := httptest.NewRecorder()
		writeError(w, outcome.NotRun, fault.New(kind, "wait", "busy"))
		if w.Header().Get("Retry-After") == "" {
			t.Errorf("%s has no Retry-After", kind)
		}
	}
}

// TestTranscriptResumesOnlySingleChoiceStreams checks which streams can be
// resumed on another replica.
func TestTranscriptResumesOnlySingleChoiceStreams(t *testing.T) {
	for _, c := range []struct {
		events []string
		text   string
		tokens int
		ok     bool
	}{
		{[]string{`data: {"choices":[{"text":"a "}]}`, ": ping", `data: {"choices":[{"delta":{"content":"b"}}]}`}, "a b", 2, true},
		{[]string{`data: {"choices":[{"index":1,"text":"a"}]}`}, "", 0, false},
		{[]string{`data: {"choices":[{"text":"a"},{"text":"b"}]}`}, "", 0, false},
		{[]string{"event: other"}, "", 0, false},
	} {
		var tr transcript
		for _, e := range c.events {
			tr.add([]byte(e + "\n\n"))
		}
		text, tokens, ok := tr.text()
		if text != c.text || tokens != c.tokens || ok != c.ok {
			t.Errorf("%v gives %q %d %v", c.events, text, tokens, ok)
		}
	}
}
