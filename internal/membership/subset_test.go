package membership

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

func testMembers(perDataCentre int) []PoolMember {
	var members []PoolMember
	for i := range 3 * perDataCentre {
		members = append(members, PoolMember{Name: fmt.Sprintf("u%d", i), DataCentre: fmt.Sprintf("dc%d", i%3), Pool: "p"})
	}
	return members
}

func TestSubsetOfASmallPoolIsWhole(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Subset(testMembers(2), "e", "dc0")).To(HaveLen(6))
}

func TestSubsetIsBoundedAndEven(t *testing.T) {
	g := NewWithT(t)
	members := testMembers(60)
	entries := map[string]int{}
	for e := range 90 {
		chosen := Subset(members, fmt.Sprintf("e%d", e), fmt.Sprintf("dc%d", e%3))
		g.Expect(chosen).To(HaveLen(NearUpstreams + FarUpstreams))
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
	before := Subset(members, "e", "dc0")
	var gone string
	for name := range before {
		gone = name
	}
	var rest []PoolMember
	for _, m := range members {
		if m.Name != gone {
			rest = append(rest, m)
		}
	}
	after := Subset(rest, "e", "dc0")
	kept := 0
	for name := range after {
		if before[name] {
			kept++
		}
	}
	g.Expect(kept).To(Equal(len(before) - 1))
}
