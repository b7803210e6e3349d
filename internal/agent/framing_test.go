package agent

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// Guards against an answer that was cut off and looks complete: the reader of a body that is
// shorter than its stated length fails with the error that io.ReadFull gives at a sound end.
func TestBodyThatIsCutOffIsNotComplete(t *testing.T) {
	g := NewWithT(t)
	r := newRun(&wire.Dispatch{}, nil)
	defer r.cancel(nil)
	reset := errors.New("connection reset")
	for _, cause := range []error{io.ErrUnexpectedEOF, reset} {
		cut := io.MultiReader(strings.NewReader("half an ans"), iotest.ErrReader(cause))
		g.Expect(relayBody(r, cut)).To(MatchError(cause))
	}
	for _, size := range []int{0, 1, bodyChunkSize, bodyChunkSize + 1} {
		g.Expect(relayBody(r, strings.NewReader(strings.Repeat("x", size)))).To(Succeed())
	}
}

// An upstream writes the head of another answer where an event is due. Guards against
// callers that find it in their stream.
func TestHeadOfAnotherAnswerIsNoEvent(t *testing.T) {
	g := NewWithT(t)
	u := newUpstream("", time.Minute, clockwork.NewRealClock())
	r := newRun(&wire.Dispatch{}, nil)
	defer r.cancel(nil)
	body := "data: {\"text\":\"a\"}\n\nHTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nbusy\n\n" + "data: [DONE]\n\n"
	g.Expect(u.relayEvents(r, strings.NewReader(body))).To(MatchError(errNoEvent))
	g.Expect(r.seq).To(Equal(uint64(1)))
}
