package gateway_test

import (
	"net/http"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/standin/raw"
)

// Odd answers come on connections that have served whole ones. Guards against one that reaches the
// caller of the request, or of the next one.
func TestOddAnswersOnKeptConnections(t *testing.T) {
	collectUploads(t)
	for _, kind := range raw.OddAnswers("", "") {
		t.Run(kind.Kind, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			var mu sync.Mutex
			served, odd, onKept := map[string]bool{}, 0, 0
			f := newRawFixture(t, 1, func(r *http.Request) raw.Answer {
				whole := raw.Answer{Text: rawHead(r) + "Content-Length: 5\r\n\r\nwhole", ReadFirst: true}
				mu.Lock()
				defer mu.Unlock()
				if r.URL.Path == livenessPath {
					return answerLivenessCall()
				}
				if r.Header.Get("Warm-Up") != "" {
					served[r.RemoteAddr] = true
					return whole
				}
				if served[r.RemoteAddr] {
					onKept++
				}
				for _, k := range raw.OddAnswers(rawHead(r), threeEventsBody) {
					if k.Kind == kind.Kind {
						odd++
						return k.Answers[odd%len(k.Answers)]
					}
				}
				return whole
			})
			for range 2 * len(kind.Answers) {
				warm := f.request(http.MethodPost, "/safe/x", "")
				warm.Header.Set("Warm-Up", "1")
				status, _, body, err := f.send(warm)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(status).To(Equal(http.StatusOK))
				g.Expect(body).To(Equal("whole"))
				view := f.upload("/safe/x")
				g.Expect(view.status).To(Equal(http.StatusBadGateway), "%+v", view)
			}
			g.Expect(onKept).To(BeNumerically(">", 0))
		})
	}
}
