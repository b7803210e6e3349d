package membudget_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/membudget"
)

// Load: one client account's callers read so slowly that it takes all that it can get. Others
// still find room, and the budget is never exceeded.
func TestOneHolderLeavesRoomForOthers(t *testing.T) {
	g := NewWithT(t)
	const limit, body = 1000, 10
	b := membudget.New(limit)
	fill := func(holder string) (n int64) {
		for b.Reserve(holder, body) {
			n += body
		}
		return n
	}
	g.Expect(fill("slow")).To(BeNumerically("<=", limit/2))
	for i := range 5 {
		g.Expect(fill(fmt.Sprint("other", i))).To(BeNumerically(">=", body))
	}
	total, largest := b.Held()
	g.Expect(total).To(BeNumerically("<=", limit))
	g.Expect(largest).To(BeNumerically("<=", limit/2))
	b.Release("slow", body)
	g.Expect(b.Reserve("slow", body)).To(BeFalse(), "it still holds more than is free")
}

func TestReleaseMakesRoom(t *testing.T) {
	g := NewWithT(t)
	b := membudget.New(100)
	g.Expect(b.Reserve("a", 50)).To(BeTrue())
	g.Expect(b.Reserve("b", 30)).To(BeFalse())
	b.Release("a", 50)
	g.Expect(b.Reserve("b", 30)).To(BeTrue())
	total, _ := b.Held()
	g.Expect(total).To(Equal(int64(30)))
}
