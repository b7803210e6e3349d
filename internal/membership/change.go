package membership

import (
	"github.com/cespare/xxhash/v2"

	"github.com/kingcupreel/kingcupreel/internal/kvstore"
)

// changeLimit is the number of changes that a view remembers for entries that
// are behind.
const changeLimit = 64

// Change turns the list of hash From into the list of hash To. A whole one
// replaces any list by Changed.
type Change struct {
	From, To uint64
	Whole    bool
	Changed  []kvstore.VM
	Removed  []string
}

// hash identifies a list, whatever its order: the sum of its VMs' hashes.
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

// Hash identifies the view's list; 0 is the empty list.
func (v *View) Hash() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.hash
}

// Since returns the change from the list of that hash to the present one, or
// the whole list when the view no longer knows that list.
func (v *View) Since(from uint64) Change {
	v.mu.Lock()
	defer v.mu.Unlock()
	at := -1
	for i, c := range v.changes {
		if c.From == from {
			at = i
		}
	}
	if at < 0 {
		c := difference(nil, v.vms)
		c.Whole = true
		return c
	}
	touched := map[string]bool{}
	for _, c := range v.changes[at:] {
		for _, vm := range c.Changed {
			touched[vm.ID] = true
		}
		for _, id := range c.Removed {
			touched[id] = true
		}
	}
	out := Change{From: from, To: v.hash}
	for id := range touched {
		if vm, ok := v.vms[id]; ok {
			out.Changed = append(out.Changed, vm)
		} else {
			out.Removed = append(out.Removed, id)
		}
	}
	return out
}

// Apply makes a change that another entry sent; false means that it does not
// follow from the view's list.
func (v *View) Apply(c Change) bool {
	next, ok := v.changed(c)
	if ok {
		v.Set(next)
	}
	return ok
}

func (v *View) changed(c Change) ([]kvstore.VM, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !c.Whole && c.From != v.hash {
		return nil, false
	}
	next := map[string]kvstore.VM{}
	if !c.Whole {
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
