package membership

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/kvstore"
)

// testMembers returns members u0, u1 and so on of pool p, perDataCentre in each
// of dc0 to dc2.
func testMembers(perDataCentre int) []PoolMember {
	var members []PoolMember
	for i := range 3 * perDataCentre {
		members = append(members, PoolMember{Name: fmt.Sprintf("u%d", i), DataCentre: fmt.Sprintf("dc%d", i%3), Pool: "p"})
	}
	return members
}

// testEntries returns n entries e0, e1 and so on, spread over dc0 to dc2.
func testEntries(n int) []kvstore.VM {
	var entries []kvstore.VM
	for i := range n {
		entries = append(entries, kvstore.VM{ID: fmt.Sprintf("e%d", i), DataCentre: fmt.Sprintf("dc%d", i%3)})
	}
	return entries
}

func TestSubsetsCoverEveryUpstream(t *testing.T) {
	for _, entries := range []int{1, 2, 3, 4, 9, 30} {
		t.Run(fmt.Sprintf("entries=%d", entries), func(t *testing.T) {
			g := NewWithT(t)
			members := testMembers(100)
			reached := map[string]int{}
			for e := range entries {
				for name := range Subset(members, testEntries(entries), fmt.Sprintf("e%d", e), fmt.Sprintf("dc%d", e%3)) {
					reached[name]++
				}
			}
			g.Expect(reached).To(HaveLen(len(members)))
			for name, n := range reached {
				g.Expect(n).To(BeNumerically(">=", max(1, min(MinEntriesPerUpstream, entries/3))), name)
			}
		})
	}
}

func TestSubsetOfSmallPoolHasAllUpstreams(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Subset(testMembers(2), nil, "e", "dc0")).To(HaveLen(6))
}

func TestSubsetIsBoundedAndEven(t *testing.T) {
	g := NewWithT(t)
	members := testMembers(60)
	entries := map[string]int{}
	for e := range 90 {
		chosen := Subset(members, testEntries(90), fmt.Sprintf("e%d", e), fmt.Sprintf("dc%d", e%3))
		g.Expect(len(chosen)).To(BeNumerically(">=", MaxLocalUpstreams+MaxRemoteUpstreams))
		g.Expect(len(chosen)).To(BeNumerically("<=", MaxLocalUpstreams+MaxRemoteUpstreams+60/3))
		for name := range chosen {
			entries[name]++
		}
	}
	g.Expect(entries).To(HaveLen(len(members)))
	for _, n := range entries {
		g.Expect(n).To(BeNumerically("<=", 3*8))
	}
}

func TestSubsetChangesByOneForOneUpstream(t *testing.T) {
	g := NewWithT(t)
	members := testMembers(60)
	others := testEntries(90)
	before := Subset(members, others, "e", "dc0")
	var removed string
	for name := range before {
		removed = name
	}
	var rest []PoolMember
	for _, m := range members {
		if m.Name != removed {
			rest = append(rest, m)
		}
	}
	after := Subset(rest, others, "e", "dc0")
	kept := 0
	for name := range after {
		if before[name] {
			kept++
		}
	}
	g.Expect(kept).To(Equal(len(before) - 1))
}
