package membership

import (
	"cmp"
	"slices"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcupreel/kingcupreel/internal/kvstore"
)

const (
	// WatchersPerDataCentre is the number of entries in each data centre that
	// watch the key-value service.
	WatchersPerDataCentre = 3
	// neighbourCount is the number of other entries in its data centre, watchers
	// or not, that an entry keeps connected to.
	neighbourCount = 3
)

// RendezvousOrder returns ids ordered by their rendezvous hash with a salt. Every
// process computes the same order, and removing an id leaves the order of the
// others unchanged.
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

// firstN returns at most n of the ids.
func firstN(n int, ids []string) []string { return ids[:min(n, len(ids))] }

// byDataCentre returns the entries' ids by data centre.
func byDataCentre(entries []kvstore.VM) map[string][]string {
	groups := map[string][]string{}
	for _, vm := range entries {
		groups[vm.DataCentre] = append(groups[vm.DataCentre], vm.ID)
	}
	return groups
}

// Watchers returns the ids of a data centre's watchers, the first in rendezvous
// order.
func Watchers(entries []kvstore.VM, dataCentre string) []string {
	return firstN(WatchersPerDataCentre, RendezvousOrder("watch:"+dataCentre, byDataCentre(entries)[dataCentre]))
}

// IsWatcher reports whether the entry self is one of its data centre's watchers.
// An entry that is not listed watches the service for itself.
func IsWatcher(entries []kvstore.VM, self, dataCentre string) bool {
	listed := slices.ContainsFunc(entries, func(vm kvstore.VM) bool { return vm.ID == self })
	return !listed || slices.Contains(Watchers(entries, dataCentre), self)
}

// isFirstWatcher reports whether the entry self is the first of its data centre's
// watchers, or not listed.
func isFirstWatcher(entries []kvstore.VM, self, dataCentre string) bool {
	watchers := Watchers(entries, dataCentre)
	return IsWatcher(entries, self, dataCentre) && (!slices.Contains(watchers, self) || watchers[0] == self)
}

// Duty states which tasks an entry has for its data centre. It is updated at every
// change of the view.
type Duty struct {
	watcher, firstWatcher atomic.Bool
}

// NewDuty returns the duty of the entry self.
func NewDuty(view *View, self, dataCentre string) *Duty {
	d := &Duty{}
	update := func() {
		entries := view.Entries()
		d.watcher.Store(IsWatcher(entries, self, dataCentre))
		d.firstWatcher.Store(isFirstWatcher(entries, self, dataCentre))
	}
	view.OnChange(update)
	update()
	return d
}

// Watches reports whether the entry watches the key-value service.
func (d *Duty) Watches() bool { return d.watcher.Load() }

// ReadsVMList reports whether the entry reads the VM list.
func (d *Duty) ReadsVMList() bool { return d.firstWatcher.Load() }

// PeerIDs returns the sorted ids of the entries that self keeps connected to: its
// data centre's watchers, a few other entries of its data centre and, if self is
// a watcher, one watcher of every other data centre. Their number does not grow
// with the number of entries in the fleet.
func PeerIDs(entries []kvstore.VM, self, dataCentre string) []string {
	groups := byDataCentre(entries)
	targets := Watchers(entries, dataCentre)
	others := slices.DeleteFunc(slices.Clone(groups[dataCentre]), func(id string) bool { return id == self })
	targets = append(targets, firstN(neighbourCount, RendezvousOrder("neighbour:"+self, others))...)
	if IsWatcher(entries, self, dataCentre) {
		for dc := range groups {
			if dc != dataCentre {
				targets = append(targets, firstN(1, RendezvousOrder("remote:"+self, Watchers(entries, dc)))...)
			}
		}
	}
	slices.Sort(targets)
	targets = slices.Compact(targets)
	return slices.DeleteFunc(targets, func(id string) bool { return id == self })
}
