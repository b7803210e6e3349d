package relay

import (
	"github.com/kingcupreel/kingcupreel/internal/fleet"
	"github.com/kingcupreel/kingcupreel/internal/membership"
)

// choose returns the watcher of a process's data centre. It returns false if the process
// reads the service itself: it is the watcher, or no entry of its data centre is left.
// Entries for which passedOver holds are not considered, the process itself among them.
func choose(self fleet.Member, entries []fleet.Member, passedOver func(name string) bool) (watcher string, ok bool) {
	var names []string
	for _, m := range entries {
		if m.DataCentre == self.DataCentre && !passedOver(m.Name) {
			names = append(names, m.Name)
		}
	}
	if len(names) == 0 {
		return "", false
	}
	watcher = membership.RendezvousOrder("relay:"+self.DataCentre, names)[0]
	return watcher, watcher != self.Name
}
