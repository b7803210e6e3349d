package config

// scope selects the records that an upstream's agent needs: its own, its model
// group, the group's other ranks and expert plan, or its plain service.
type scope struct {
	snapshot *Snapshot
	upstream *Upstream
}

// includes reports whether the agent needs the record of a key.
func (c scope) includes(path string) bool {
	key, err := ParseKey(path)
	if c.upstream == nil || err != nil {
		return false
	}
	switch key.Kind {
	case KindUpstream:
		u := c.snapshot.Upstreams[key.Name]
		return u != nil && (u.Name == c.upstream.Name || (u.Group != "" && u.Group == c.upstream.Group))
	case KindModelGroup, KindExpertPlan:
		return key.Name == c.upstream.Group
	case KindPlainService:
		return key.Name == c.upstream.Service
	}
	return false
}

// restrictTo returns the part of the update that the agent of an upstream needs.
// Records of upstreams outside its scope become removals, since the agent may
// still hold them from the time when they were in its group. A change of the
// agent's own record may change its scope, so it is then sent all records in
// scope.
func (u Update) restrictTo(s *Snapshot, upstream string) Update {
	c := scope{s, s.Upstreams[upstream]}
	ownKey := Key{KindUpstream, upstream}.Path()
	out := Update{Base: u.Base, From: u.From, To: u.To, Full: u.Full, Partial: true, Removed: u.Removed}
	for _, r := range u.Records {
		if r.Key == ownKey && !u.Full {
			return Update{Base: s.Base, To: s.Revision, Full: true, Records: s.Records}.restrictTo(s, upstream)
		}
		key, err := ParseKey(r.Key)
		switch {
		case c.includes(r.Key):
			out.Records = append(out.Records, r)
		case err == nil && key.Kind == KindUpstream && !u.Full:
			out.Removed = append(out.Removed, r.Key)
		}
	}
	return out
}
