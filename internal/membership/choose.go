package membership

import (
	"cmp"
	"slices"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcupreel/kingcupreel/internal/kvstore"
)

const (
	// WatchersPerDataCentre is the number of entries of a data centre that
	// watch the key-value service.
	WatchersPerDataCentre = 3
	// neighbours is the number of other entries of its data centre that an
	// entry keeps connected to.
	neighbours = 3
)

// RendezvousOrder orders ids by rendezvous hash with a salt: every process computes the
// same order, and a lost id moves no other.
func RendezvousOrder(salt string, ids []string) []string {
	type scored struct {
		id    string
		score uint64
	}
	list := make([]scored, 0, len(ids))
	for _, id := range ids {
		list = append(list, scored{id, xxhash.Sum64String(salt + "\x00" + id)})
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	out := make([]string, 0, len(list))
	for _, s := range list {
		out = append(out, s.id)
	}
	return out
}

// first returns at most n of the ids.
func first(n int, ids []string) []string { return ids[:min(n, len(ids))] }

// byDataCentre groups the entries' ids.
func byDataCentre(entries []kvstore.VM) map[string][]string {
	groups := map[string][]string{}
	for _, vm := range entries {
		groups[vm.DataCentre] = append(groups[vm.DataCentre], vm.ID)
	}
	return groups
}

// Watchers returns the ids of a data centre's watchers.
func Watchers(entries []kvstore.VM, dataCentre string) []string {
	return first(WatchersPerDataCentre, RendezvousOrder("watch:"+dataCentre, byDataCentre(entries)[dataCentre]))
}

// IsWatcher says whether the VM watches for its data centre. An entry that the
// list does not show watches for itself.
func IsWatcher(entries []kvstore.VM, self, dataCentre string) bool {
	listed := slices.ContainsFunc(entries, func(vm kvstore.VM) bool { return vm.ID == self })
	return !listed || slices.Contains(Watchers(entries, dataCentre), self)
}

// isFirstWatcher says whether the VM is the first of its data centre's watchers,
// or not listed.
func isFirstWatcher(entries []kvstore.VM, self, dataCentre string) bool {
	watchers := Watchers(entries, dataCentre)
	return IsWatcher(entries, self, dataCentre) && (!slices.Contains(watchers, self) || watchers[0] == self)
}

// Duty is what a VM does for its data centre as the view has it. It follows the
// view's changes.
type Duty struct {
	watcher, first atomic.Bool
}

// NewDuty returns the duty of a VM.
func NewDuty(view *View, self, dataCentre string) *Duty {
	d := &Duty{}
	update := func() {
		entries := view.Entries()
		d.watcher.Store(IsWatcher(entries, self, dataCentre))
		d.first.Store(isFirstWatcher(entries, self, dataCentre))
	}
	view.OnChange(update)
	update()
	return d
}

// Watches says whether the VM watches the key-value service.
func (d *Duty) Watches() bool { return d.watcher.Load() }

// ReadsVMList says whether the VM reads the platform's VM list.
func (d *Duty) ReadsVMList() bool { return d.first.Load() }

// PeerIDs returns the ids of the entries that self keeps connected to: its data
// centre's watchers, a few neighbours, and, for a watcher, one watcher of every
// other data centre. Their number does not grow with the fleet's entries.
func PeerIDs(entries []kvstore.VM, self, dataCentre string) []string {
	groups := byDataCentre(entries)
	targets := Watchers(entries, dataCentre)
	near := slices.DeleteFunc(slices.Clone(groups[dataCentre]), func(id string) bool { return id == self })
	targets = append(targets, first(neighbours, RendezvousOrder("neighbour:"+self, near))...)
	if IsWatcher(entries, self, dataCentre) {
		for dc := range groups {
			if dc != dataCentre {
				targets = append(targets, first(1, RendezvousOrder("remote:"+self, Watchers(entries, dc)))...)
			}
		}
	}
	slices.Sort(targets)
	targets = slices.Compact(targets)
	return slices.DeleteFunc(targets, func(id string) bool { return id == self })
}
