// Package membership holds the VMs of a stand-alone deployment as the lagging VM
// list shows them, and keeps an entry connected to a few other entries. Its
// counterpart on the platform is package fleet.
//
// Lock order: Peers.mu before View.mu. Conn.Send may be called under either.
package membership

import (
	"slices"
	"strings"
	"sync"

	"github.com/kingcupreel/kingcupreel/internal/kvstore"
)

// RoleEntry is the role of an entry in the VM list.
const RoleEntry = "entry"

// View is the last VM list that was read; a failed read leaves it unchanged. The
// zero value is an empty list.
type View struct {
	mu       sync.Mutex
	vms      map[string]kvstore.VM
	hash     uint64
	changes  []Change // the latest changes, oldest first
	onChange []func()
}

// Set replaces the list and, if it differs, calls the listeners.
func (v *View) Set(vms []kvstore.VM) {
	for _, f := range v.replace(vms) {
		f()
	}
}

func (v *View) replace(vms []kvstore.VM) []func() {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := make(map[string]kvstore.VM, len(vms))
	changed := len(vms) != len(v.vms)
	for _, vm := range vms {
		next[vm.ID] = vm
		changed = changed || v.vms[vm.ID] != vm
	}
	if !changed {
		return nil
	}
	change := difference(v.vms, next)
	v.vms, v.hash = next, change.To
	v.changes = append(v.changes, change)
	if excess := len(v.changes) - maxChanges; excess > 0 {
		v.changes = slices.Clone(v.changes[excess:])
	}
	return slices.Clone(v.onChange)
}

// OnChange registers a function that is called after each change of the list.
func (v *View) OnChange(f func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.onChange = append(v.onChange, f)
}

// Leaving reports whether the list shows the VM as leaving.
func (v *View) Leaving(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.vms[id].State == kvstore.VMLeaving
}

// IsUnlisted reports whether the list lacks the VM. It returns false while the
// list is empty.
func (v *View) IsUnlisted(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	_, listed := v.vms[id]
	return len(v.vms) > 0 && !listed
}

// All returns the list, sorted by id.
func (v *View) All() []kvstore.VM {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make([]kvstore.VM, 0, len(v.vms))
	for _, vm := range v.vms {
		out = append(out, vm)
	}
	slices.SortFunc(out, func(a, b kvstore.VM) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Entries returns the VMs of live entries, sorted by id.
func (v *View) Entries() []kvstore.VM {
	return slices.DeleteFunc(v.All(), func(vm kvstore.VM) bool {
		return vm.Role != RoleEntry || vm.State != kvstore.VMLive
	})
}
