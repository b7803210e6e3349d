// Package opapi holds the types and paths of the operators' interface, shared
// by the entry and the command-line tool.
package opapi

import (
	"encoding/json"

	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/timeline"
)

// Paths of the operators' interface.
const (
	// PathStatus is the entry's own state, PathDeployment that of every
	// process that it can reach.
	PathStatus     = "/v1/status"
	PathQuarantine = "/v1/quarantine"
	PathDeployment = "/v1/deployment"
	PathEvents     = "/v1/events"
	PathConfig     = "/v1/config"
	// PathAdopt puts what a restored service holds into force.
	PathAdopt = "/v1/adopt"
	// PathPlan is the state of the expert plans.
	PathPlan = "/v1/plan"
)

// UpstreamStatus is an entry's view of one upstream.
type UpstreamStatus struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Connected  bool   `json:"connected"`
	Leaving    bool   `json:"leaving"`
	Drain      bool   `json:"drain"`
	Revision   int64  `json:"revision"`
	InFlight   int    `json:"in_flight"`
	Running    int    `json:"running"`
	Queued     int    `json:"queued"`
	Capacity   int    `json:"capacity"`
}

// Status is an entry's state.
type Status struct {
	Process    string            `json:"process"`
	DataCentre string            `json:"data_centre"`
	Revision   int64             `json:"revision"`
	Draining   bool              `json:"draining"`
	Rejected   []config.Rejected `json:"rejected,omitempty"`
	Upstreams  []UpstreamStatus  `json:"upstreams"`
}

// Connected returns the number of upstreams that the entry is connected to.
func (s *Status) Connected() int {
	n := 0
	for _, u := range s.Upstreams {
		if u.Connected {
			n++
		}
	}
	return n
}

// ProcessStatus is the state of one process of the deployment.
type ProcessStatus struct {
	Process    string `json:"process"`
	Role       string `json:"role"`
	DataCentre string `json:"data_centre"`
	// Upstream is set for an agent.
	Upstream string `json:"upstream,omitempty"`
	Revision int64  `json:"revision"`
	// StalenessMS is how long ago the revision was known to be the newest;
	// -1 means not known. Agents don't report it.
	StalenessMS int64 `json:"staleness_ms"`
	// Draining is set for a process that is stopping, Drain for an upstream
	// whose record says so.
	Draining bool `json:"draining"`
	Drain    bool `json:"drain"`
	// Load of an agent's upstream. InFlight adds up all entries.
	InFlight int `json:"in_flight"`
	Running  int `json:"running"`
	Queued   int `json:"queued"`
	Capacity int `json:"capacity"`
	// Rejected are the records that are not in force at an entry.
	Rejected []config.Rejected `json:"rejected,omitempty"`
	// Restored says why an entry takes no changes: the key-value service went
	// back to an older copy.
	Restored string `json:"restored,omitempty"`
}

// Missing is a process that could not be asked.
type Missing struct {
	Process string `json:"process"`
	Reason  string `json:"reason"`
}

// Deployment is the state of all processes.
type Deployment struct {
	// Revision is that of the entry that was asked.
	Revision  int64           `json:"revision"`
	Processes []ProcessStatus `json:"processes"`
	Missing   []Missing       `json:"missing,omitempty"`
}

// Timeline is the merged event rings of all processes, in causal order.
type Timeline struct {
	Events []timeline.Event `json:"events"`
	// Upstreams names the upstream of each agent's process.
	Upstreams map[string]string `json:"upstreams"`
	Missing   []Missing         `json:"missing,omitempty"`
}

// ConfigRecord is one record as stored.
type ConfigRecord struct {
	Key string `json:"key"`
	// Revision is what a write of the record has to expect.
	Revision int64           `json:"revision"`
	Record   json.RawMessage `json:"record"`
}

// ConfigList is the configuration in force at an entry.
type ConfigList struct {
	Revision int64          `json:"revision"`
	Records  []ConfigRecord `json:"records"`
}

// WriteResponse answers a write.
type WriteResponse struct {
	// Revision is the configuration's revision that has the write.
	Revision int64 `json:"revision"`
	// RecordRevision is what the next write of the record has to expect.
	RecordRevision int64 `json:"record_revision"`
}
