package bench

import (
	"bytes"
	"reflect"
	"strings"
	"testing"
)

func smallPlanner(policy policy, preset string) PlannerExperiment {
	return PlannerExperiment{Load: string(LoadExam), Seed: 1, Rows: 120, Experts: 24, Ranks: 6, Slots: 6, RowsPerPlan: 5, Policy: string(policy), Preset: preset, Split: "weighted", ExpertBytes: 1 << 20, StoreRate: 1 << 30, RowTime: 1e10}
}

func evaluate(t *testing.T, p PlannerExperiment) PlannerResult {
	t.Helper()
	trace, err := p.trace()
	if err != nil {
		t.Fatal(err)
	}
	result, err := p.Evaluate(trace)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// TestPoliciesMoveAsDocumented checks that each policy moves slots and reaches a
// skew as its description says.
func TestPoliciesMoveAsDocumented(t *testing.T) {
	never := evaluate(t, smallPlanner(policyNever, "teranga"))
	scratch := evaluate(t, smallPlanner(policyScratch, "teranga"))
	floor := evaluate(t, smallPlanner(policyFloor, "teranga"))
	tocka := evaluate(t, smallPlanner(policyIncremental, "tocka"))
	if never.MovedSlots != 0 || never.LostServingMS != 0 {
		t.Errorf("policy never moved slots: %+v", never)
	}
	if floor.SkewMean > scratch.SkewMean || scratch.SkewMean > never.SkewMean {
		t.Errorf("floor %g, scratch %g, never %g", floor.SkewMean, scratch.SkewMean, never.SkewMean)
	}
	if tocka.QuietMovedSlots != 0 || tocka.MovedSlots >= scratch.MovedSlots {
		t.Errorf("tocka %+v, scratch moved %d", tocka, scratch.MovedSlots)
	}
}

// TestFirstRowGivesInitialMap evaluates a trace whose result is known by hand:
// equal loads in the first row give an even map, with which the next row is
// evaluated.
func TestFirstRowGivesInitialMap(t *testing.T) {
	trace, err := ReadTrace(strings.NewReader("a,b\n10,10\n30,10\n"))
	if err != nil {
		t.Fatal(err)
	}
	p := PlannerExperiment{Ranks: 2, Slots: 1, RowsPerPlan: 5, Policy: string(policyNever), Preset: "teranga", Split: "weighted"}
	result, err := p.Evaluate(trace)
	if err != nil || result.SkewMean != 1 || result.SkewP99 != 1 {
		t.Fatalf("%+v, %v; want a skew of (30-10)/20", result, err)
	}
}

func TestTraceCSVRoundTrip(t *testing.T) {
	trace, err := Generate(LoadSeason, 7, 5, 9)
	if err != nil {
		t.Fatal(err)
	}
	var buf bytes.Buffer
	if err := WriteTrace(&buf, trace); err != nil {
		t.Fatal(err)
	}
	again, err := ReadTrace(&buf)
	if err != nil || !reflect.DeepEqual(again.Rows, trace.Rows) {
		t.Fatalf("%v after %v, %v", again.Rows, trace.Rows, err)
	}
}

func TestInvalidTracesAreRejected(t *testing.T) {
	for _, text := range []string{"", "1,2\n", "1,2\n3,x\n", "1,2\n3,-1\n", "1,2\n3\n"} {
		if _, err := ReadTrace(strings.NewReader(text)); err == nil {
			t.Errorf("%q was accepted as a trace", text)
		}
	}
	if err := markQuiet(make([]bool, 3), "2-x"); err == nil {
		t.Error("a window without an end was accepted")
	}
}
