package vmlist_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/vmlist"
)

// One odd entry stands in the VM list. Guards against an entry process that ends, or that
// stops following the list, because of it.
func TestOddEntryInTheVMList(t *testing.T) {
	const deep = 200_000
	for name, odd := range map[string]string{
		"nested":             strings.Repeat("[", deep) + strings.Repeat("]", deep),
		"nested field":       `{"id":"odd","x":` + strings.Repeat("[", deep) + strings.Repeat("]", deep) + `,"address":7}`,
		"number too large":   `{"id":1` + strings.Repeat("0", 400) + `}`,
		"number as a power":  `{"id":"odd","state":1e400}`,
		"port out of range":  `{"id":"odd","role":"upstream","address":"10.0.0.9:65536","state":"live"}`,
		"port of zero":       `{"id":"odd","role":"upstream","address":"10.0.0.9:0","state":"live"}`,
		"no id":              `{"role":"upstream","address":"10.0.0.9:80","state":"live"}`,
		"null":               "null",
		"escapes":            `{"id":"odd\\\"]}","address":7,"x":"\\\\"}`,
		"text":               `"odd"`,
		"field of a list":    `{"id":["odd"]}`,
		"address that isn't": `{"id":"odd","address":"` + strings.Repeat("x", 100_000) + `"}`,
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, `[{"id":"a","role":"entry","address":"10.0.0.1:80","state":"live"},`+odd+`,{"id":"b","role":"upstream","address":"10.0.0.2:80","state":"live"}]`)
			}))
			defer srv.Close()
			vms, err := vmlist.New(srv.URL, time.Minute, zap.NewNop()).VMs(context.Background())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(vms).To(HaveLen(2))
			g.Expect(vms[0].ID + vms[1].ID).To(Equal("ab"))
		})
	}
}
