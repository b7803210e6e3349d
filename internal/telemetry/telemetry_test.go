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

// blockingWriter is an output that blocks while blocked is locked.
type blockingWriter struct {
	mu      sync.Mutex
	text    bytes.Buffer
	blocked sync.Mutex
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	w.blocked.Lock()
	defer w.blocked.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

func (w *blockingWriter) lines() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return strings.Split(strings.TrimSpace(w.text.String()), "\n")
}

func TestLinesAreStructured(t *testing.T) {
	g := NewWithT(t)
	out := &blockingWriter{}
	log, _, err := telemetry.NewBoundedLogger(out, "info", "p1")
	g.Expect(err).NotTo(HaveOccurred())
	log.With(zap.String("request", "r1")).Info("answered", zap.Int("status", 200))
	log.Debug("unseen")
	g.Expect(log.Sync()).To(Succeed())
	var line map[string]any
	g.Expect(json.Unmarshal([]byte(out.lines()[0]), &line)).To(Succeed())
	g.Expect(line).To(And(HaveKeyWithValue("process", "p1"), HaveKeyWithValue("request", "r1"), HaveKeyWithValue("status", 200.0)))
}

// An output that blocks doesn't block the loggers: lines that don't fit the
// queue are dropped and counted, and warnings are still queued.
func TestFloodIsDroppedAndCounted(t *testing.T) {
	g := NewWithT(t)
	out := &blockingWriter{}
	out.blocked.Lock()
	log, queue, err := telemetry.NewBoundedLogger(out, "info", "p1")
	g.Expect(err).NotTo(HaveOccurred())
	const lines = 20000
	for i := range lines {
		log.Info("line", zap.Int("n", i))
	}
	log.Warn("urgent")
	dropped := queue.Dropped()
	g.Expect(dropped).To(BeNumerically(">", 0))
	out.blocked.Unlock()
	g.Expect(log.Sync()).To(Succeed())
	text := func() string { return strings.Join(out.lines(), "\n") }
	g.Eventually(text, "3s").Should(And(ContainSubstring("urgent"), ContainSubstring("log lines dropped")))
	g.Expect(strings.Count(text(), `"msg":"line"`)).To(BeNumerically("==", lines-dropped))
}

// Guards against a flood of refused requests that hides what a process came to believe
// meanwhile: lines about single requests don't displace the others.
func TestFloodOfRequestsLeavesRoomForOtherLines(t *testing.T) {
	g := NewWithT(t)
	out := &blockingWriter{}
	log, _, err := telemetry.NewBoundedLogger(out, "info", "p1")
	g.Expect(err).NotTo(HaveOccurred())
	const requests, others = 20000, 100
	for i := range requests {
		log.With(zap.Int("request", i)).Info("answered with an error")
		if i%(requests/others) == 0 {
			log.Info("put into quarantine")
		}
	}
	text := func() string { return strings.Join(out.lines(), "\n") }
	g.Eventually(text, "3s").Should(MatchRegexp(`"log lines dropped","process":"p1","of_requests":[1-9]`))
	g.Expect(log.Sync()).To(Succeed())
	g.Eventually(func() int { return strings.Count(text(), "put into quarantine") }, "3s").Should(Equal(others))
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

// BenchmarkLine measures the cost of a log line for the caller.
func BenchmarkLine(b *testing.B) {
	log, _, _ := telemetry.NewBoundedLogger(&blockingWriter{}, "info", "p1")
	for b.Loop() {
		log.Info("answered", zap.String("request", "r1"), zap.Int("status", 200), zap.String("route", "r"))
	}
}
