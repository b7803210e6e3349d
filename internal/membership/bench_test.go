package membership

import (
	"fmt"
	"testing"
)

func BenchmarkSubset(b *testing.B) {
	for _, size := range []int{1300, 2600, 5200} {
		b.Run(fmt.Sprintf("upstreams=%d", size), func(b *testing.B) {
			var members []PoolMember
			for i := range size {
				members = append(members, PoolMember{Name: fmt.Sprintf("u%d", i), DataCentre: fmt.Sprintf("dc%d", i/28%11), Pool: fmt.Sprint(i % 28)})
			}
			for b.Loop() {
				Subset(members, testEntries(330), "e1", "dc1")
			}
		})
	}
}
