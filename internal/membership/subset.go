package membership

const (
	// NearUpstreams and FarUpstreams are the upstreams of one pool that an entry
	// connects to, in its own data centre and in the others together.
	NearUpstreams = 12
	FarUpstreams  = 4
)

// PoolMember is an upstream with the pool that it serves.
type PoolMember struct {
	Name       string
	DataCentre string
	Pool       string
}

// Subset returns the names of the upstreams that an entry connects to: a
// bounded number of each pool, by rendezvous hash with the entry's id. So each
// upstream gets about the same number of entries, and a change of one upstream
// or entry moves no other connection.
func Subset(members []PoolMember, self, dataCentre string) map[string]bool {
	type part struct {
		pool string
		near bool
	}
	parts := map[part][]string{}
	for _, m := range members {
		p := part{m.Pool, m.DataCentre == dataCentre}
		parts[p] = append(parts[p], m.Name)
	}
	chosen := map[string]bool{}
	for p, names := range parts {
		n := FarUpstreams
		if p.near {
			n = NearUpstreams
		}
		if len(names) > n {
			names = first(n, Rank("upstream:"+self, names))
		}
		for _, name := range names {
			chosen[name] = true
		}
	}
	return chosen
}
