package planner

import (
	"slices"
	"testing"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/expertmap"
)

// TestMergeReportsRejectsLaggingRanks guards against an expert on two ranks
// that seems half as busy because one rank's report is for an older window.
func TestMergeReportsRejectsLaggingRanks(t *testing.T) {
	fresh := Report{Window: 7, Tokens: []float64{10, 0}}
	if _, ok := MergeReports([]Report{fresh, {Window: 6, Tokens: []float64{90, 5}}}, 5); ok {
		t.Error("reports of different windows were merged")
	}
	if _, ok := MergeReports([]Report{fresh, fresh}, 7); ok {
		t.Error("a window was merged twice")
	}
	row, ok := MergeReports([]Report{fresh, {Window: 7, Tokens: []float64{90, 5}}}, 6)
	if !ok || !slices.Equal(row, []float64{100, 5}) {
		t.Errorf("row %v, %v", row, ok)
	}
}

// TestSlowRankIsStragglerAndNotRebalanced checks that a rank whose steps take
// three times as long for the same load is a straggler, and that a plan for
// these loads moves nothing.
func TestSlowRankIsStragglerAndNotRebalanced(t *testing.T) {
	shape := Shape{Ranks: 4, Experts: 8, Slots: 3}
	load := []float64{9, 8, 7, 6, 5, 4, 3, 2}
	m := PlaceFromScratch(shape, load, SplitWeighted)
	reports := make([]Report, shape.Ranks)
	for r := range reports {
		reports[r] = Report{Window: 1, Tokens: make([]float64, shape.Experts), StepMicros: 10000}
		for s, e := range m.Slots[r] {
			reports[r].Tokens[e] += load[e] * m.Shares[r][s]
		}
	}
	reports[2].StepMicros = 30000
	if slow := Stragglers(reports); !slices.Equal(slow, []int{2}) {
		t.Errorf("stragglers %v", slow)
	}
	row, _ := MergeReports(reports, 0)
	var f Forecast
	for range 10 {
		f.AddRow(row)
	}
	if plan := PlanIncremental(m, f.Predict(5), SplitWeighted, Teranga, Budget{Slots: 4}); plan != nil && plan.Moved > 0 {
		t.Errorf("%d slots moved because of a straggler", plan.Moved)
	}
	reports[2].StepMicros = 10000
	if slow := Stragglers(reports); len(slow) > 0 {
		t.Errorf("stragglers %v among ranks of equal speed", slow)
	}
}

func TestQuietWindows(t *testing.T) {
	windows := []Window{{"08:00", "12:30"}, {"23:00", "01:00"}, {"x", "y"}}
	for clock, quiet := range map[string]bool{"07:59": false, "08:00": true, "12:29": true, "12:30": false, "23:30": true, "00:59": true, "01:00": false} {
		at, _ := time.Parse("15:04", clock)
		if InWindow(windows, at) != quiet {
			t.Errorf("%s: quiet is %v", clock, !quiet)
		}
	}
}

func TestPinned(t *testing.T) {
	m := PlaceFromScratch(Shape{Ranks: 2, Experts: 3, Slots: 2}, []float64{3, 2, 1}, SplitEqual)
	next, err := Pinned(m, [][]int{{0, 1}, {0}, {1}})
	if err != nil {
		t.Fatal(err)
	}
	if next != nil {
		m = next
	}
	if again, err := Pinned(m, [][]int{{0, 1}, {0}, {1}}); again != nil || err != nil {
		t.Errorf("the pinned map was returned although it is the current one: %v, %v", again, err)
	}
	for name, ranks := range map[string][][]int{"an expert without a rank": {{0}, {1}, {}}, "too many on a rank": {{0}, {0}, {0}}, "an unknown rank": {{0}, {1}, {2}}, "too few experts": {{0}}} {
		if _, err := Pinned(m, ranks); err == nil {
			t.Errorf("%s was accepted", name)
		}
	}
	if m.Slots[0][0] == expertmap.Empty {
		t.Error("an empty slot")
	}
}
