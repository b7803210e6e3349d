package ranks_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/ranks"
)

// A VM freezes while its group is held. The engines still report the group as serving
// although no step begins. The group must count as stalled, so that new requests
// don't queue there.
func TestHeldGroupCountsAsStalled(t *testing.T) {
	g := NewWithT(t)
	var p ranks.Progress
	now := time.Unix(100, 0)
	read := func(after time.Duration, step int64, active int) bool {
		now = now.Add(after)
		return p.Add(ranks.Status{Started: 1, Step: step, Active: active, GroupServing: true}, now)
	}
	for i := range int64(20) {
		g.Expect(read(100*time.Millisecond, 100+i, 5)).To(BeTrue())
	}
	g.Expect(read(300*time.Millisecond, 119, 5)).To(BeTrue(), "a switch may hold the group that long")
	g.Expect(read(300*time.Millisecond, 119, 5)).To(BeFalse())
	g.Expect(read(3*time.Second, 119, 8)).To(BeFalse())
	g.Expect(read(100*time.Millisecond, 119, 0)).To(BeFalse(), "its callers have just left")
	g.Expect(read(time.Second, 119, 0)).To(BeFalse())
	g.Expect(read(time.Second, 119, 0)).To(BeTrue(), "it may get requests again after the recovery delay")
	g.Expect(read(time.Second, 119, 1)).To(BeFalse())
	g.Expect(read(100*time.Millisecond, 120, 8)).To(BeTrue(), "steps begin again")
	for range 20 {
		g.Expect(read(time.Second, 120, 0)).To(BeTrue(), "an idle group isn't stalled")
	}
	g.Expect(read(100*time.Millisecond, 3, 5)).To(BeTrue(), "the engine has restarted")
}

// The stall timeout grows with the mean step time.
func TestLongStepsAreNoStall(t *testing.T) {
	g := NewWithT(t)
	var p ranks.Progress
	now := time.Unix(100, 0)
	for i := range 200 {
		now = now.Add(100 * time.Millisecond)
		g.Expect(p.Add(ranks.Status{Step: int64(i / 3), Active: 5}, now)).To(BeTrue())
	}
	g.Expect(p.Add(ranks.Status{Step: 66, Active: 5}, now.Add(800*time.Millisecond))).To(BeTrue())
	g.Expect(p.Add(ranks.Status{Step: 66, Active: 5}, now.Add(3*time.Second))).To(BeFalse())
}
