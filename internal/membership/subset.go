package membership

import (
	"slices"

	"github.com/kingcupreel/kingcupreel/internal/kvstore"
)

const (
	// MaxLocalUpstreams and MaxRemoteUpstreams limit the upstreams of one pool
	// that an entry selects, in its own data centre and in all others together.
	// The upstreams that it covers come on top: see MinEntriesPerUpstream.
	MaxLocalUpstreams  = 12
	MaxRemoteUpstreams = 4
	// MinEntriesPerUpstream is the minimum number of entries that connect to an
	// upstream, if its data centre has as many.
	MinEntriesPerUpstream = 2
)

// PoolMember is an upstream and the pool that it belongs to.
type PoolMember struct {
	Name       string
	DataCentre string
	Pool       string
}

// Subset returns the names of the upstreams that the entry self connects to: a
// bounded number of each pool, selected by rendezvous hash with the entry's id,
// and the upstreams that the entry covers. Thereby all upstreams get about the
// same number of entries, every upstream gets at least one however few entries
// there are, and adding or removing an upstream or entry changes few other
// connections.
func Subset(members []PoolMember, entries []kvstore.VM, self, dataCentre string) map[string]bool {
	type poolSide struct {
		pool  string
		local bool
	}
	candidates := map[poolSide][]string{}
	for _, m := range members {
		side := poolSide{m.Pool, m.DataCentre == dataCentre}
		candidates[side] = append(candidates[side], m.Name)
	}
	chosen := coveredUpstreams(members, entries, self, dataCentre)
	for side, names := range candidates {
		limit := MaxRemoteUpstreams
		if side.local {
			limit = MaxLocalUpstreams
		}
		if len(names) > limit {
			names = firstN(limit, RendezvousOrder("upstream:"+self, names))
		}
		for _, name := range names {
			chosen[name] = true
		}
	}
	return chosen
}

// coveredUpstreams returns the upstreams that the entry self has to connect to so
// that every upstream is reached: those that have self among their first
// MinEntriesPerUpstream entries in rendezvous order. The order is that of the
// entries in the upstream's data centre, or of all entries if it has none.
func coveredUpstreams(members []PoolMember, entries []kvstore.VM, self, dataCentre string) map[string]bool {
	groups := byDataCentre(entries)
	if !slices.Contains(groups[dataCentre], self) {
		groups[dataCentre] = append(groups[dataCentre], self)
	}
	var allIDs []string
	for _, ids := range groups {
		allIDs = append(allIDs, ids...)
	}
	chosen := map[string]bool{}
	for _, m := range members {
		ids := groups[m.DataCentre]
		if len(ids) == 0 {
			ids = allIDs
		} else if m.DataCentre != dataCentre {
			continue
		}
		if slices.Contains(firstN(MinEntriesPerUpstream, RendezvousOrder("cover:"+m.Name, ids)), self) {
			chosen[m.Name] = true
		}
	}
	return chosen
}
