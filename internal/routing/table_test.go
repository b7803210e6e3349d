package routing_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/routing"
)

func table(prefixes ...string) *routing.Table {
	c := routing.Configuration{Version: 1}
	for _, p := range prefixes {
		c.Routes = append(c.Routes, routing.Route{Name: p, Host: "h.example", Prefix: p})
	}
	return routing.NewTable(c, time.Time{})
}

func TestLongestPrefixWins(t *testing.T) {
	g := NewWithT(t)
	tab := table("/a/", "/a/b/", "/c/")
	for path, want := range map[string]string{"/a/x": "/a/", "/a/b/x": "/a/b/", "/a/b": "/a/", "/c/": "/c/"} {
		g.Expect(tab.Match("h.example", path).Name).To(Equal(want), path)
	}
	for _, path := range []string{"/", "/a", "/b/", "//a/", "/%61/"} {
		g.Expect(tab.Match("h.example", path)).To(BeNil(), path)
	}
	g.Expect(tab.Match("H.EXAMPLE:8080", "/c/x")).NotTo(BeNil())
	g.Expect(tab.Match("other", "/c/x")).To(BeNil())
}

// An older configuration never replaces a newer one, whichever source it comes
// from.
func TestVersionNeverGoesBack(t *testing.T) {
	g := NewWithT(t)
	s := &routing.Store{}
	var applied []int64
	s.OnChange(func(t *routing.Table) { applied = append(applied, t.Version) })
	for _, v := range []int64{3, 2, 3, 9, 5} {
		s.Apply(routing.Configuration{Version: v}, time.Time{})
	}
	g.Expect(s.Current().Version).To(Equal(int64(9)))
	g.Expect(applied).To(Equal([]int64{3, 9}))
}

func TestOnlySafeAndResumableRoutesAreRetryable(t *testing.T) {
	g := NewWithT(t)
	g.Expect((&routing.Route{Kind: routing.Safe}).Retryable()).To(BeTrue())
	g.Expect((&routing.Route{Kind: routing.Unsafe, Resumable: true}).Retryable()).To(BeFalse())
	g.Expect((&routing.Route{Kind: routing.Stream}).Retryable()).To(BeFalse())
	g.Expect((&routing.Route{Kind: routing.Stream, Resumable: true}).Retryable()).To(BeTrue())
	g.Expect((&routing.Route{}).PickService(0.5)).To(BeEmpty())
}
