// Package opapi defines the paths and the JSON types of the operators'
// interface, for the entry and the command-line tool.
package opapi

import (
	"encoding/json"

	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/timeline"
)

// Paths of the operators' interface.
const (
	// PathStatus returns the entry's own state, PathDeployment that of every
	// process that the entry can reach.
	PathStatus     = "/v1/status"
	PathQuarantine = "/v1/quarantine"
	PathDeployment = "/v1/deployment"
	PathEvents     = "/v1/events"
	PathConfig     = "/v1/config"
	// PathAdopt puts the records of a key-value service that was restored from
	// an older copy into force.
	PathAdopt = "/v1/adopt"
	// PathPlan returns the state of expert planning.
	PathPlan = "/v1/plan"
)

// UpstreamStatus is an entry's view of one upstream.
type UpstreamStatus struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Connected  bool   `json:"connected"`
	Leaving    bool   `json:"leaving"`
	Drain      bool   `json:"drain"`
	// Evacuated is set if the upstream's data centre is evacuated.
	Evacuated bool  `json:"evacuated,omitempty"`
	Revision  int64 `json:"revision"`
	InFlight  int   `json:"in_flight"`
	Running   int   `json:"running"`
	Queued    int   `json:"queued"`
	Capacity  int   `json:"capacity"`
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
	// StalenessMS is the time since the revision was last known to be the
	// newest, in milliseconds; -1 means unknown. Agents don't report it.
	StalenessMS int64 `json:"staleness_ms"`
	// Draining is set for a process that is stopping, Drain for an upstream
	// whose record orders it to drain.
	Draining bool `json:"draining"`
	Drain    bool `json:"drain"`
	// Evacuated is set for an upstream whose data centre is evacuated.
	Evacuated bool `json:"evacuated,omitempty"`
	// InFlight, Running, Queued and Capacity are the load of an agent's
	// upstream. InFlight is summed over all entries.
	InFlight int `json:"in_flight"`
	Running  int `json:"running"`
	Queued   int `json:"queued"`
	Capacity int `json:"capacity"`
	// Rejected lists the records that are not in force at an entry.
	Rejected []config.Rejected `json:"rejected,omitempty"`
	// Restored is set while an entry applies no changes because the key-value
	// service was restored from an older copy. It explains the reason.
	Restored string `json:"restored,omitempty"`
}

// Missing is a process that could not be queried.
type Missing struct {
	Process string `json:"process"`
	Reason  string `json:"reason"`
}

// Deployment is the state of all processes.
type Deployment struct {
	// Revision is the configuration's revision at the queried entry.
	Revision  int64           `json:"revision"`
	Processes []ProcessStatus `json:"processes"`
	Missing   []Missing       `json:"missing,omitempty"`
}

// Timeline holds the events of all processes in causal order.
type Timeline struct {
	Events []timeline.Event `json:"events"`
	// Upstreams maps the processes of agents to their upstreams.
	Upstreams map[string]string `json:"upstreams"`
	Missing   []Missing         `json:"missing,omitempty"`
}

// ConfigRecord is one record as stored.
type ConfigRecord struct {
	Key string `json:"key"`
	// Revision is the revision that a write of the record must expect.
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
	// Revision is the configuration's revision that includes the write.
	Revision int64 `json:"revision"`
	// RecordRevision is the revision that the next write of the record must
	// expect.
	RecordRevision int64 `json:"record_revision"`
}
