package gateway

import (
	"time"

	"github.com/kingcupreel/kingcupreel/internal/admission"
	"github.com/kingcupreel/kingcupreel/internal/dispatch"
	"github.com/kingcupreel/kingcupreel/internal/fault"
)

// An operator evacuates a data centre: its upstreams get no further requests. What was sent
// before goes on.

// evacuatedRetryAfter is the delay before a caller may retry a request for which evacuations
// leave no upstream. An evacuation lasts until an operator takes it back; a caller that comes
// sooner finds nothing new, and one that comes later may miss its end.
const evacuatedRetryAfter = 5 * time.Second

var errEvacuated = fault.New(fault.Unavailable, "try again later; an operator takes the evacuation back", "all data centres with upstreams of the service are evacuated")

// errEvacuatedMeanwhile ends an attempt before anything is sent.
var errEvacuatedMeanwhile = fault.New(fault.Unavailable, "try another upstream", "the upstream's data centre was evacuated before the request was sent")

// SetEvacuated sets which data centres are evacuated. It is called again at each change.
// Requests that wait for a service without any other upstream are refused. The upstreams of a
// data centre that is given back count as cold unless they have said lately whether they are:
// they may have turned cold while nothing was sent there.
func (p *Pools) SetEvacuated(evacuated func(dataCentre string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evacuated = evacuated
	for _, m := range p.members {
		if m.node.SetEvacuated(evacuated(m.DataCentre)) {
			p.countAsCold(m)
		}
	}
	for service := range p.waiting {
		p.refuseEvacuated(service)
		p.startWaiting(service, false)
	}
}

// InDataCentre returns the number of upstreams in use in a data centre.
func (p *Pools) InDataCentre(dataCentre string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, m := range p.members {
		if m.DataCentre == dataCentre {
			n++
		}
	}
	return n
}

// refuseEvacuated refuses the requests that wait for a service whose upstreams are all
// evacuated. The caller holds mu.
func (p *Pools) refuseEvacuated(service string) {
	if w := p.waiting[service]; w != nil && p.pool(service).OnlyEvacuated(dispatch.Demand{}) {
		w.RefuseAll(admission.Evacuated)
	}
}

// onlyEvacuated reports whether evacuations leave a request no upstream of the service.
func (p *Pools) onlyEvacuated(service string, d dispatch.Demand) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool(service).OnlyEvacuated(d)
}

// maySend returns an error if the upstream may not be sent a request that was picked before.
func (m *Member) maySend() error {
	m.pools.mu.Lock()
	defer m.pools.mu.Unlock()
	if m.pools.evacuated(m.DataCentre) {
		return errEvacuatedMeanwhile
	}
	return nil
}
