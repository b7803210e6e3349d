package daemon

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// A group of 24 ranks stops and starts again while another one stops. An entry writes a line
// a group and event, not one a rank: 288 of them in nine seconds hid the other lines.
func TestGroupThatStopsIsOneLine(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	core, lines := observer.New(zapcore.InfoLevel)
	l := newGroupLog(clock, zap.New(core))
	report := func(group string, serving bool) {
		for range 24 {
			l.add(&wire.RankLoad{Group: group, GroupServing: serving, Step: 7, Active: 2})
		}
		clock.Advance(groupLogDelay / 2)
	}
	report("g0", false)
	report("g1", false)
	g.Eventually(lines.Len).Should(Equal(1))
	g.Expect(lines.All()[0].ContextMap()).To(And(HaveKeyWithValue("group", "g0"), HaveKeyWithValue("ranks_stopped", int64(24)),
		HaveKeyWithValue("ranks_started", int64(0)), HaveKeyWithValue("active", int64(48))))
	clock.Advance(time.Second)
	g.Eventually(lines.Len).Should(Equal(2))
	report("g0", true)
	clock.Advance(time.Second)
	g.Eventually(lines.Len).Should(Equal(3))
	g.Expect(lines.All()[2].ContextMap()).To(HaveKeyWithValue("ranks_started", int64(24)))
}
