package gateway_test

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/kingcupreel/kingcupreel/internal/dispatch"
)

// An attempt's log line says what was known of the upstream's load when it was sent, and those
// beyond its slots are counted.
func TestAttemptTellsTheLoadThatWasKnown(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, threeEvents)
	core, logs := observer.New(zap.InfoLevel)
	f.gateway.Log = zap.New(core)
	beyondSlots := func() int64 {
		return metrics.GetOrRegisterCounter("attempts.s.beyond_slots", f.gateway.Metrics).Count()
	}
	send := func() map[string]any {
		status, _, _, _ := f.send(f.request(http.MethodPost, "/stream/x", ""))
		g.Expect(status).To(Equal(http.StatusOK))
		g.Eventually(logs.FilterMessage("attempt ended").Len).Should(Equal(1))
		defer logs.TakeAll()
		return logs.FilterMessage("attempt ended").All()[0].ContextMap()
	}
	fields := send()
	g.Expect(fields).To(And(HaveKeyWithValue("load", int64(1)), HaveKeyWithValue("slots", int64(4)), Not(HaveKey("report_age"))))
	g.Expect(beyondSlots()).To(BeZero())

	f.report(dispatch.Load{Active: 4, Queued: 1, GroupServing: true, Slowness: 1})
	fields = send()
	for key, value := range map[string]int64{"load": 6, "own_in_flight": 1, "reported_active": 4, "reported_queued": 1} {
		g.Expect(fields).To(HaveKeyWithValue(key, value))
	}
	g.Expect(fields).To(HaveKey("report_age"))
	g.Expect(beyondSlots()).To(Equal(int64(1)))
}
