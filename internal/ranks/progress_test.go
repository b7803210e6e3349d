package ranks_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/ranks"
)

// A VM freezes while it holds its group: the engines still say that the group
// serves, while no step begins. New requests must not pile up there.
func TestGroupThatIsHeldIsSeenToStall(t *testing.T) {
	g := NewWithT(t)
	var p ranks.Progress
	now := time.Unix(100, 0)
	read := func(after time.Duration, step int64, active int) bool {
		now = now.Add(after)
		return p.Add(ranks.Status{Started: 1, Step: step, Active: active, Open: true}, now)
	}
	for i := range int64(20) {
		g.Expect(read(100*time.Millisecond, 100+i, 5)).To(BeTrue())
	}
	g.Expect(read(300*time.Millisecond, 119, 5)).To(BeTrue(), "a switch may take that long")
	g.Expect(read(300*time.Millisecond, 119, 5)).To(BeFalse())
	g.Expect(read(3*time.Second, 119, 8)).To(BeFalse())
	g.Expect(read(100*time.Millisecond, 119, 0)).To(BeFalse(), "its callers have left")
	g.Expect(read(time.Second, 119, 0)).To(BeFalse())
	g.Expect(read(time.Second, 119, 0)).To(BeTrue(), "it is tried again")
	g.Expect(read(time.Second, 119, 1)).To(BeFalse())
	g.Expect(read(100*time.Millisecond, 120, 8)).To(BeTrue(), "it goes on")
	for range 20 {
		g.Expect(read(time.Second, 120, 0)).To(BeTrue(), "a group without work rests")
	}
	g.Expect(read(100*time.Millisecond, 3, 5)).To(BeTrue(), "the engine has started again")
}

// Long steps are no stall.
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
