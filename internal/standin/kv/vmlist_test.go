package kv

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupreel/kingcupreel/internal/kvstore"
	"github.com/kingcupreel/kingcupreel/internal/vmlist"
)

func TestUnchangedVMListIsNotSentAgain(t *testing.T) {
	g := NewWithT(t)
	s := NewServer(NewStore(clockwork.NewFakeClock()))
	s.vms["a"] = kvstore.VM{ID: "a", State: kvstore.VMLive}
	var statuses []int
	h := s.Handler()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rec := httptest.NewRecorder()
		h.ServeHTTP(rec, r)
		statuses = append(statuses, rec.Code)
		for name, values := range rec.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(rec.Code)
		_, _ = w.Write(rec.Body.Bytes())
	}))
	defer srv.Close()
	c := vmlist.New(srv.URL, time.Minute, zap.NewNop())
	read := func() []kvstore.VM {
		vms, err := c.VMs(context.Background())
		g.Expect(err).NotTo(HaveOccurred())
		return vms
	}
	first := read()
	g.Expect(first).To(HaveLen(1))
	first[0].State = kvstore.VMLeaving
	g.Expect(read()).To(Equal([]kvstore.VM{{ID: "a", State: kvstore.VMLive}}), "a caller's change to its list does not reach the client's cache")
	s.vms["b"] = kvstore.VM{ID: "b", State: kvstore.VMLeaving}
	g.Expect(read()).To(HaveLen(2))
	g.Expect(statuses).To(Equal([]int{http.StatusOK, http.StatusNotModified, http.StatusOK}))
}
