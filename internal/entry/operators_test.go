package entry_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/config/codec"
	"github.com/kingcupreel/kingcupreel/internal/entry"
	"github.com/kingcupreel/kingcupreel/internal/timeline"
)

func TestOperators(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "entry")
}

var _ = Describe("the operators' interface", func() {
	var handler http.Handler
	BeforeEach(func() {
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		e := entry.New(ctx, entry.Options{
			Store: config.NewStore(codec.Decode), Events: timeline.NewRing("e", 8, clockwork.NewFakeClock()),
			Metrics: metrics.NewRegistry(), OperatorTokenSHA256: config.HashToken("first"),
		})
		handler = e.OperatorHandler()
	})
	call := func(method, path, token, body string) *httptest.ResponseRecorder {
		r := httptest.NewRequest(method, path, strings.NewReader(body))
		r.Header.Set("Authorization", "Bearer "+token)
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		return w
	}

	It("admits the first operator's token and no other", func() {
		Expect(call("GET", "/v1/config", "first", "").Code).To(Equal(http.StatusOK))
		for _, token := range []string{"", "second", config.HashToken("first")} {
			Expect(call("GET", "/v1/config", token, "").Code).To(Equal(http.StatusUnauthorized), token)
		}
	})

	It("bounds a record's size", func() {
		w := call("PUT", "/v1/config/plain-service/s?expect=0", "first", strings.Repeat(" ", codec.MaxRecord+1))
		Expect(w.Code).To(Equal(http.StatusRequestEntityTooLarge))
		Expect(w.Body.String()).To(ContainSubstring("record over 1048576 bytes"))
	})

	It("names the field of an invalid record", func() {
		w := call("PUT", "/v1/config/plain-service/s?expect=0", "first", `{"schemaVersion":2,"kind":"plain-service","name":"s","spec":{"nonidempotant":[]}}`)
		Expect(w.Code).To(Equal(http.StatusBadRequest))
		Expect(w.Body.String()).To(ContainSubstring("nonidempotant"))
	})

	It("refuses unknown kinds, a missing condition and a record under another key", func() {
		Expect(call("PUT", "/v1/config/epoch/s?expect=0", "first", "{}").Code).To(Equal(http.StatusNotFound))
		Expect(call("PUT", "/v1/config/plain-service/s", "first", "{}").Code).To(Equal(http.StatusBadRequest))
		other := `{"schemaVersion":2,"kind":"plain-service","name":"other","spec":{}}`
		Expect(call("PUT", "/v1/config/plain-service/s?expect=0", "first", other).Code).To(Equal(http.StatusBadRequest))
	})
})
