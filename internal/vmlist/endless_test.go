package vmlist_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/standin/heap"
	"github.com/kingcupreel/kingcupreel/internal/standin/raw"
	"github.com/kingcupreel/kingcupreel/internal/vmlist"
)

// The service of the VM list sends bytes that are no answer without end. Guards against a client
// that keeps them.
func TestListWithoutEnd(t *testing.T) {
	const maxHeapBytes = 160 << 20 // the bound of the gateway's test
	junk := strings.Repeat("junk", 1<<12)
	for name, a := range map[string]raw.Answer{
		"a head":              {Text: "HTTP/1.1 200 OK\r\n", Repeat: strings.Repeat("X-Junk: junk\r\n", 1<<10)},
		"a head of one line":  {Text: "HTTP/1.1 200 OK\r\nX-Junk: ", Repeat: junk},
		"informational heads": {Repeat: strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1<<10)},
		"a body":              {Text: "HTTP/1.1 200 OK\r\n\r\n[\"", Repeat: junk},
		"a failure's body":    {Text: "HTTP/1.1 503 Busy\r\n\r\n", Repeat: junk},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s, err := raw.Serve(func(*http.Request) raw.Answer { return a })
			g.Expect(err).NotTo(HaveOccurred())
			defer s.Close()
			c := vmlist.New("http://"+s.Address(), time.Minute, zap.NewNop())
			peak := heap.Peak(func() {
				_, err := c.VMs(t.Context())
				g.Expect(err).To(HaveOccurred())
			})
			g.Expect(peak).To(BeNumerically("<", maxHeapBytes))
			t.Logf("heap of up to %d MB", peak>>20)
		})
	}
}
