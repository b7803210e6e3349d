package membership

import (
	"github.com/cespare/xxhash/v2"

	"github.com/kingcupreel/kingcupreel/internal/kvstore"
)

// maxChanges is the number of latest changes that a view keeps for entries whose
// list is older.
const maxChanges = 64

// Change turns the list with hash From into the list with hash To. If Full is
// set, Changed replaces the list whatever its hash.
type Change struct {
	From, To uint64
	Full     bool
	Changed  []kvstore.VM
	Removed  []string
}

// hash returns the hash of a list: the sum of its VMs' hashes, so that their
// order does not matter.
func hash(vms map[string]kvstore.VM) uint64 {
	var sum uint64
	for _, vm := range vms {
		sum += xxhash.Sum64String(vm.ID + "\x00" + vm.DataCentre + "\x00" + vm.Role + "\x00" + vm.Address + "\x00" + string(vm.State))
	}
	return sum
}

// difference returns the change from one list to another.
func difference(from, to map[string]kvstore.VM) Change {
	c := Change{From: hash(from), To: hash(to)}
	for id, vm := range to {
		if from[id] != vm {
			c.Changed = append(c.Changed, vm)
		}
	}
	for id := range from {
		if _, ok := to[id]; !ok {
			c.Removed = append(c.Removed, id)
		}
	}
	return c
}

// Hash returns the hash of the view's list; 0 is that of the empty list.
func (v *View) Hash() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.hash
}

// Since returns the change from the list with hash from to the current list, or
// the whole current list if the view no longer has the changes between them.
func (v *View) Since(from uint64) Change {
	v.mu.Lock()
	defer v.mu.Unlock()
	start := -1
	for i, c := range v.changes {
		if c.From == from {
			start = i
		}
	}
	if start < 0 {
		c := difference(nil, v.vms)
		c.Full = true
		return c
	}
	changedIDs := map[string]bool{}
	for _, c := range v.changes[start:] {
		for _, vm := range c.Changed {
			changedIDs[vm.ID] = true
		}
		for _, id := range c.Removed {
			changedIDs[id] = true
		}
	}
	out := Change{From: from, To: v.hash}
	for id := range changedIDs {
		if vm, ok := v.vms[id]; ok {
			out.Changed = append(out.Changed, vm)
		} else {
			out.Removed = append(out.Removed, id)
		}
	}
	return out
}

// Apply applies a change that another entry sent. It returns false, and leaves
// the list unchanged, if the change does not start from the view's list or its
// result does not have the hash To.
func (v *View) Apply(c Change) bool {
	next, ok := v.listAfter(c)
	if ok {
		v.Set(next)
	}
	return ok
}

// listAfter returns the list that results from a change; false means that the
// change does not apply to the view's list.
func (v *View) listAfter(c Change) ([]kvstore.VM, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !c.Full && c.From != v.hash {
		return nil, false
	}
	next := map[string]kvstore.VM{}
	if !c.Full {
		for id, vm := range v.vms {
			next[id] = vm
		}
	}
	for _, id := range c.Removed {
		delete(next, id)
	}
	for _, vm := range c.Changed {
		next[vm.ID] = vm
	}
	if hash(next) != c.To {
		return nil, false
	}
	vms := make([]kvstore.VM, 0, len(next))
	for _, vm := range next {
		vms = append(vms, vm)
	}
	return vms, true
}
