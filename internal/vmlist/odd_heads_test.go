package vmlist_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/standin/raw"
	"github.com/kingcupreel/kingcupreel/internal/vmlist"
)

// expectNoList checks that an answer isn't taken for a list of VMs, and that an earlier list stays
// what the client knows. answer returns the whole answer with a body.
func expectNoList(t *testing.T, answer func(body string) string) {
	t.Helper()
	g := NewWithT(t)
	odd := false
	s, err := raw.Serve(func(*http.Request) raw.Answer {
		body := `[{"id":"a","address":"127.0.0.1:80"}]`
		if odd {
			return raw.Answer{Text: answer(body), End: raw.Close}
		}
		return raw.Answer{Text: fmt.Sprintf("HTTP/1.1 200 OK\r\nETag: \"1\"\r\nContent-Length: %d\r\n\r\n%s", len(body), body)}
	})
	g.Expect(err).NotTo(HaveOccurred())
	defer s.Close()
	c := vmlist.New("http://"+s.Address(), time.Minute, zap.NewNop())
	vms, err := c.VMs(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(vms).To(HaveLen(1))
	odd = true
	_, err = c.VMs(t.Context())
	g.Expect(err).To(HaveOccurred())
}

func TestStatusOutsideOfItsRangeIsNoList(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "600", "999", "101"} {
		t.Run(status, func(t *testing.T) {
			expectNoList(t, func(body string) string {
				return fmt.Sprintf("HTTP/1.1 %s Odd\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
			})
		})
	}
}

// A line in the head of an answer isn't a field. Guards against a list being taken from it.
func TestHeadWithAnOddFieldIsNoList(t *testing.T) {
	for _, line := range []string{"X Odd: 1", "X-Odd : 1", "X\tOdd: 1", "X\x00Odd: 1", "X\x80Odd: 1", ": 1", "X-Odd", "Content-Length : 3"} {
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) {
			expectNoList(t, func(body string) string {
				return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s\r\nContent-Length: %d\r\n\r\n%s", line, len(body), body)
			})
		})
	}
}
