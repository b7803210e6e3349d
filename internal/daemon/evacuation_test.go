package daemon

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/kvstore"
	"github.com/kingcupreel/kingcupreel/internal/settings"
)

// run starts the gateway and returns its output and the channel of its end.
func (s *testSite) run() (*output, chan error) {
	out, done := &output{}, make(chan error, 1)
	go func() {
		done <- RunGateway(context.Background(), settings.Hosted{LogLevel: "info", MetricsPort: s.ports[3]}, out)
	}()
	return out, done
}

func (s *testSite) delete(key string) {
	s.t.Helper()
	if _, err := s.kvStore.Delete(key, kvstore.AnyRevision); err != nil {
		s.t.Fatal(err)
	}
}

// An evacuation is in force from the first request of a gateway that starts, in the store's
// order with the configuration, until it is taken back. Keys that can't be read, and data
// centres that aren't known, change nothing and are named in the log.
func TestGatewayFollowsEvacuations(t *testing.T) {
	g := NewWithT(t)
	s := newTestSite(t)
	s.evacuateMS = 5000
	s.settings(0.2)
	s.put("op/evacuate/a", struct{}{})
	out, done := s.run()
	g.Eventually(s.readyStatus, "10s").Should(Equal(http.StatusOK))
	status := func() string { return s.get("/a/x")[:3] }
	g.Expect(s.get("/a/x")).To(And(HavePrefix("503"), ContainSubstring("evacuated")))
	s.put("op/evacuate/a", "nothing that is an object")
	s.put("op/evacuate/", struct{}{})
	s.put("op/evacuate/elsewhere", struct{}{})
	g.Eventually(out.String, "5s").Should(And(ContainSubstring("names no zone"), ContainSubstring("write {} or delete the key"), ContainSubstring("no upstream is known in an evacuated data centre")))
	g.Expect(status()).To(Equal("503"))
	s.writeConfiguration(2, "/a/", "/b/")
	s.delete("op/evacuate/a")
	g.Eventually(status, "5s").Should(Equal("200"))
	g.Eventually(func() string { return s.get("/b/x")[:3] }, "5s").Should(Equal("200"), "the configuration comes by the same watch")
	s.put("op/evacuate/a", struct{}{})
	g.Eventually(status, "5s").Should(Equal("503"))

	resp, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d/metrics", s.ports[3]))
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	var text [1 << 16]byte
	n, _ := resp.Body.Read(text[:])
	g.Expect(string(text[:n])).To(ContainSubstring(`kingcupreel_evacuations{of="in_force"} 2`))
	g.Eventually(out.String, "5s").Should(ContainSubstring("its record was deleted"))
	g.Expect(syscall.Kill(os.Getpid(), syscall.SIGTERM)).To(Succeed())
	g.Eventually(done, "10s").Should(Receive(BeNil()))
}
