package bench

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/fault"
)

func TestFit(t *testing.T) {
	g := NewWithT(t)
	s, err := Fit("x", "bytes", []float64{1, 2, 4}, []float64{12, 14, 18})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Base).To(BeNumerically("~", 10, 1e-9))
	g.Expect(s.PerSize).To(BeNumerically("~", 2, 1e-9))
	g.Expect(s.FitR2).To(BeNumerically("~", 1, 1e-9))
	g.Expect(s.ValueAt(100)).To(BeNumerically("~", 210, 1e-9))
	_, err = Fit("x", "bytes", []float64{3, 3}, []float64{1, 2})
	g.Expect(fault.KindOf(err)).To(Equal(fault.Invalid))
}

func TestFitSamples(t *testing.T) {
	g := NewWithT(t)
	slopes, err := fitSamples(strings.NewReader(`{"name":"a","size":1,"core_percent":3}
{"name":"a","size":2,"core_percent":5}
{"slope":"b","unit":"ns","base":7}`))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(slopes).To(HaveLen(2))
	g.Expect(slopes[0].Name).To(Equal("b"))
	g.Expect(slopes[1].Name).To(Equal("a.core_percent"))
	g.Expect(slopes[1].PerSize).To(BeNumerically("~", 2, 1e-9))
	_, err = fitSamples(strings.NewReader("nonsense"))
	g.Expect(fault.KindOf(err)).To(Equal(fault.Invalid))
}

func TestCellSumsItsTerms(t *testing.T) {
	g := NewWithT(t)
	slopes := map[string]Slope{"a": {Base: 10, PerSize: 2}, "b": {Base: 1, PerSize: 1}}
	c := cell{unit: unitTraffic, limit: 20, terms: []term{{slope: "a", size: 4, omitBase: true}, {slope: "b", size: 5, factor: 2}}}
	v, missing := c.value(slopes)
	g.Expect(missing).To(BeEmpty())
	g.Expect(v).To(Equal(20.0))
	g.Expect(c.fitsText(20)).To(Equal("yes, 100% used"))
	g.Expect(c.fitsText(30)).To(ContainSubstring("no"))
	c.terms = append(c.terms, term{slope: "absent"})
	g.Expect(c.tableRow(slopes)).To(ContainSubstring("not measured: no run of absent"))
}
