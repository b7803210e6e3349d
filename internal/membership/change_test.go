package membership

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/kingcupreel/kingcupreel/internal/kvstore"
)

// TestChangesConverge checks that a view that applies another view's changes,
// whatever its own list, has the same list afterwards.
func TestChangesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var source, copied View
		ids := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		states := rapid.SampledFrom([]kvstore.VMState{kvstore.VMLive, kvstore.VMLeaving})
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			source.Set(rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) kvstore.VM {
				return kvstore.VM{ID: ids.Draw(t, "id"), State: states.Draw(t, "state")}
			}), 0, 4, func(vm kvstore.VM) string { return vm.ID }).Draw(t, "list"))
			if !rapid.Bool().Draw(t, "pull") {
				continue
			}
			if !copied.Apply(source.Since(copied.Hash())) || copied.Hash() != source.Hash() {
				t.Fatalf("%v became %v", source.All(), copied.All())
			}
		}
	})
}

func TestApplyRejectsChangeOfAnotherList(t *testing.T) {
	var v View
	v.Set([]kvstore.VM{{ID: "a"}})
	if v.Apply(Change{From: 1, To: 2, Changed: []kvstore.VM{{ID: "b"}}}) {
		t.Fatal("a change of another list was applied")
	}
}

func TestDutyFollowsTheView(t *testing.T) {
	var v View
	duties := map[string]*Duty{}
	var vms []kvstore.VM
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		duties[id] = NewDuty(&v, id, "dc1")
		vms = append(vms, kvstore.VM{ID: id, DataCentre: "dc1", Role: RoleEntry, State: kvstore.VMLive})
	}
	if !duties["a"].Watches() || !duties["a"].ReadsVMList() {
		t.Fatal("an entry that is not listed has to watch the service and read the VM list itself")
	}
	for len(vms) > 0 {
		v.Set(vms)
		watchers, readers := 0, 0
		reader := -1
		for i, vm := range vms {
			if duties[vm.ID].Watches() {
				watchers++
			}
			if duties[vm.ID].ReadsVMList() {
				readers++
				reader = i
			}
		}
		if watchers != min(len(vms), WatchersPerDataCentre) || readers != 1 {
			t.Fatalf("of %d entries %d watch and %d read the VM list", len(vms), watchers, readers)
		}
		vms = append(vms[:reader:reader], vms[reader+1:]...)
	}
}
