package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/dispatch"
)

// BenchmarkPick picks among as many ranks as one deployment has now and as the target has, in
// groups of 64.
func BenchmarkPick(b *testing.B) {
	for _, ranks := range []int{12, 520, 5200} {
		b.Run(fmt.Sprint("ranks=", ranks), func(b *testing.B) {
			p := dispatch.NewPool(rand.New(rand.NewPCG(1, 1)))
			p.SetStepCost(dispatch.StepCost{Base: 5 * time.Millisecond, PerRequest: 400 * time.Microsecond})
			for i := range ranks {
				n := p.Add(dispatch.Replica{ID: fmt.Sprint("rank-", i), Slots: 12})
				n.UpdateLoad(dispatch.Load{GroupServing: true, Slowness: 1, Active: i % 12, Group: fmt.Sprint("group-", i/64), GroupSize: 64}, start)
			}
			b.ReportAllocs()
			for b.Loop() {
				pick(p, start, nil)
			}
		})
	}
}
