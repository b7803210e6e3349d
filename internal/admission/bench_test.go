package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/jonboulle/clockwork"
)

func BenchmarkOffer(b *testing.B) {
	for _, accounts := range []int{100, 400, 1600} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			c := NewController(clockwork.NewRealClock(), rand.New(rand.NewPCG(1, 2)), NewUsage(), Options{})
			c.SetCapacity("p", 1000)
			names := make([]string, accounts)
			for i := range names {
				names[i] = fmt.Sprintf("account-%d", i)
			}
			decided := func(Decision) {}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				t := c.Offer(Request{Pool: "p", Account: names[i%accounts], MaxInFlight: 1000, OnDecision: decided})
				c.Finish(t, true)
			}
		})
	}
}

func BenchmarkDigest(b *testing.B) {
	for _, accounts := range []int{100, 400, 1600} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			u := NewUsage()
			u.SetEntries(330, 330)
			for i := range accounts {
				key := AccountKey(fmt.Sprint(i))
				u.SetLimit(key, 330)
				u.Add(key, 1)
			}
			for range 50 {
				u.Tick()
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				u.Add(AccountKey(fmt.Sprint(i%accounts)), 1)
				u.Digest("peer")
			}
		})
	}
}
