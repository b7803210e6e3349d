package telemetry_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/telemetry"
)

// sink is an output that can be made to block.
type sink struct {
	mu   sync.Mutex
	text bytes.Buffer
	gate sync.Mutex
}

func (s *sink) Write(p []byte) (int, error) {
	s.gate.Lock()
	defer s.gate.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

func (s *sink) lines() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Split(strings.TrimSpace(s.text.String()), "\n")
}

func TestLinesAreStructured(t *testing.T) {
	g := NewWithT(t)
	out := &sink{}
	log, _, err := telemetry.NewBoundedLogger(out, "info", "p1")
	g.Expect(err).NotTo(HaveOccurred())
	log.With(zap.String("request", "r1")).Info("answered", zap.Int("status", 200))
	log.Debug("unseen")
	g.Expect(log.Sync()).To(Succeed())
	var line map[string]any
	g.Expect(json.Unmarshal([]byte(out.lines()[0]), &line)).To(Succeed())
	g.Expect(line).To(And(HaveKeyWithValue("process", "p1"), HaveKeyWithValue("request", "r1"), HaveKeyWithValue("status", 200.0)))
}

// An output that doesn't take lines blocks nobody: lines over the queue are
// dropped and counted, and warnings outlast them.
func TestFloodIsDroppedAndCounted(t *testing.T) {
	g := NewWithT(t)
	out := &sink{}
	out.gate.Lock()
	log, queue, err := telemetry.NewBoundedLogger(out, "info", "p1")
	g.Expect(err).NotTo(HaveOccurred())
	const lines = 20000
	for i := range lines {
		log.Info("line", zap.Int("n", i))
	}
	log.Warn("urgent")
	dropped := queue.Dropped()
	g.Expect(dropped).To(BeNumerically(">", 0))
	out.gate.Unlock()
	g.Expect(log.Sync()).To(Succeed())
	text := func() string { return strings.Join(out.lines(), "\n") }
	g.Eventually(text, "3s").Should(And(ContainSubstring("urgent"), ContainSubstring("log lines dropped")))
	g.Expect(strings.Count(text(), `"msg":"line"`)).To(BeNumerically("==", lines-dropped))
}

func TestExposition(t *testing.T) {
	g := NewWithT(t)
	reg := metrics.NewRegistry()
	telemetry.Counter(reg, "requests.svc.completed.200").Inc(3)
	h := metrics.NewHistogram(metrics.NewUniformSample(10))
	h.Update(7)
	g.Expect(reg.Register("request_ms.svc", h)).To(Succeed())
	g.Expect(reg.Register("age.configuration", metrics.NewGauge())).To(Succeed())
	rec := httptest.NewRecorder()
	telemetry.ExpositionHandler(reg)(rec, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	g.Expect(rec.Header().Get("Content-Type")).To(HavePrefix("text/plain"))
	g.Expect(rec.Body.String()).To(Equal(`# TYPE kingcupreel_age gauge
kingcupreel_age{of="configuration"} 0
# TYPE kingcupreel_request_ms summary
kingcupreel_request_ms{of="svc",quantile="0.5"} 7
kingcupreel_request_ms{of="svc",quantile="0.95"} 7
kingcupreel_request_ms{of="svc",quantile="0.99"} 7
kingcupreel_request_ms_sum{of="svc"} 7
kingcupreel_request_ms_count{of="svc"} 1
# TYPE kingcupreel_requests counter
kingcupreel_requests{of="svc.completed.200"} 3
`))
}

// BenchmarkLine is what a line costs the one who writes it.
func BenchmarkLine(b *testing.B) {
	log, _, _ := telemetry.NewBoundedLogger(&sink{}, "info", "p1")
	for b.Loop() {
		log.Info("answered", zap.String("request", "r1"), zap.Int("status", 200), zap.String("route", "r"))
	}
}
