package agent

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/wire"
)

func TestLoadReports(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1000, 0)
	var r loadReports
	load := wire.Load{Running: 8, Capacity: 32}
	g.Expect(r.due(load, start)).To(BeTrue(), "the first report")
	g.Expect(r.due(load, start.Add(time.Second))).To(BeFalse(), "an unchanged load")
	load.Running = 11
	g.Expect(r.due(load, start.Add(time.Second))).To(BeFalse(), "a small change")
	g.Expect(r.due(load, start.Add(maxReportInterval))).To(BeTrue(), "after maxReportInterval")
	load.Queued = 4
	g.Expect(r.due(load, start.Add(maxReportInterval+time.Second))).To(BeTrue(), "a change by an eighth of the capacity")
	load.Silent = true
	g.Expect(r.due(load, start.Add(maxReportInterval+time.Second))).To(BeTrue(), "an engine that has become silent")
	g.Expect(r.due(load, start.Add(maxReportInterval+2*time.Second))).To(BeFalse(), "an engine that is still silent")
}
