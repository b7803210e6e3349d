package dispatch

import "slices"

// SetEvacuated records whether the upstream's data centre is evacuated, and reports whether it
// has been given back. An upstream of an evacuated one gets no requests. It still counts as a
// rank of its group, which steps with it.
func (n *Node) SetEvacuated(evacuated bool) (givenBack bool) {
	givenBack = n.evacuated && !evacuated
	n.evacuated = evacuated
	return givenBack
}

// OnlyEvacuated reports whether evacuations leave the request no upstream: of those that it
// doesn't exclude, there are some and all are evacuated.
func (p *Pool) OnlyEvacuated(d Demand) bool {
	found := false
	for _, n := range p.nodes {
		if slices.Contains(d.Exclude, n.ID) {
			continue
		}
		if !n.evacuated {
			return false
		}
		found = true
	}
	return found
}
