package membership

import (
	"slices"

	"github.com/kingcupreel/kingcupreel/internal/kvstore"
)

const (
	// MaxLocalUpstreams and MaxRemoteUpstreams are the upstreams of one pool that an entry
	// connects to, in its own data centre and in the others together.
	MaxLocalUpstreams  = 12
	MaxRemoteUpstreams = 4
	// MinEntriesPerUpstream is the number of entries that connect to an upstream
	// whatever else they choose.
	MinEntriesPerUpstream = 2
)

// PoolMember is an upstream with the pool that it serves.
type PoolMember struct {
	Name       string
	DataCentre string
	Pool       string
}

// Subset returns the names of the upstreams that an entry connects to: a
// bounded number of each pool, by rendezvous hash with the entry's id, and those
// that it covers. So each upstream gets about the same number of entries and at
// least some, however few entries there are, and a change of one upstream or
// entry moves few other connections.
func Subset(members []PoolMember, entries []kvstore.VM, self, dataCentre string) map[string]bool {
	type part struct {
		pool string
		near bool
	}
	parts := map[part][]string{}
	for _, m := range members {
		p := part{m.Pool, m.DataCentre == dataCentre}
		parts[p] = append(parts[p], m.Name)
	}
	chosen := covered(members, entries, self, dataCentre)
	for p, names := range parts {
		n := MaxRemoteUpstreams
		if p.near {
			n = MaxLocalUpstreams
		}
		if len(names) > n {
			names = first(n, RendezvousOrder("upstream:"+self, names))
		}
		for _, name := range names {
			chosen[name] = true
		}
	}
	return chosen
}

// covered returns the upstreams that have self among their first entries, of
// those in their own data centre, or of all where there are none.
func covered(members []PoolMember, entries []kvstore.VM, self, dataCentre string) map[string]bool {
	groups := byDataCentre(entries)
	if !slices.Contains(groups[dataCentre], self) {
		groups[dataCentre] = append(groups[dataCentre], self)
	}
	var all []string
	for _, ids := range groups {
		all = append(all, ids...)
	}
	chosen := map[string]bool{}
	for _, m := range members {
		ids := groups[m.DataCentre]
		if len(ids) == 0 {
			ids = all
		} else if m.DataCentre != dataCentre {
			continue
		}
		if slices.Contains(first(MinEntriesPerUpstream, RendezvousOrder("cover:"+m.Name, ids)), self) {
			chosen[m.Name] = true
		}
	}
	return chosen
}
