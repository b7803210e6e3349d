package membership

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/kingcupreel/kingcupreel/internal/platform"
)

// A view that takes another's changes, from whatever list it has, ends with the
// same list.
func TestChangesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var source, copied View
		ids := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		states := rapid.SampledFrom([]platform.VMState{platform.VMLive, platform.VMLeaving})
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			source.Set(rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) platform.VM {
				return platform.VM{ID: ids.Draw(t, "id"), State: states.Draw(t, "state")}
			}), 0, 4, func(vm platform.VM) string { return vm.ID }).Draw(t, "list"))
			if !rapid.Bool().Draw(t, "pull") {
				continue
			}
			if !copied.Apply(source.Since(copied.Hash())) || copied.Hash() != source.Hash() {
				t.Fatalf("%v became %v", source.All(), copied.All())
			}
		}
	})
}

func TestApplyRefusesAGap(t *testing.T) {
	var v View
	v.Set([]platform.VM{{ID: "a"}})
	if v.Apply(Change{From: 1, To: 2, Changed: []platform.VM{{ID: "b"}}}) {
		t.Fatal("a change of another list was applied")
	}
}
