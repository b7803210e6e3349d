package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/jonboulle/clockwork"
)

func BenchmarkPick(b *testing.B) { benchmarkPick(b, func(i int) int { return i % 32 }) }

func BenchmarkPickFromFullPool(b *testing.B) { benchmarkPick(b, func(int) int { return 64 }) }

// benchmarkPick picks from pools whose upstreams of 64 slots have the given work.
func benchmarkPick(b *testing.B, work func(i int) int) {
	for _, size := range []int{16, 186, 1300, 5200} {
		b.Run(fmt.Sprintf("upstreams=%d", size), func(b *testing.B) {
			p := NewPool(clockwork.NewRealClock(), rand.New(rand.NewPCG(1, 2)), "dc1")
			for i := range size {
				n := p.Add(Upstream{Name: fmt.Sprintf("u%d", i), DataCentre: "dc1"})
				n.usable = true
				n.UpdateLoad(Load{Work: work(i), Capacity: 64})
			}
			p.rebuildIndex()
			prefixes := make([]string, 1000)
			for i := range prefixes {
				prefixes[i] = fmt.Sprintf("prefix-%d", i)
				LeastWork{}.Pick(p, Request{Prefix: prefixes[i]})
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				LeastWork{}.Pick(p, Request{Prefix: prefixes[i%len(prefixes)]})
			}
		})
	}
}
