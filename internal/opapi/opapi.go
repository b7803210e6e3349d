// Package opapi holds the types and paths of the operators' interface, shared
// by the entry and the command-line tool.
package opapi

import (
	"encoding/json"

	"github.com/kingcupreel/kingcupreel/internal/config"
)

// Paths of the operators' interface.
const (
	PathStatus = "/v1/status"
	PathEvents = "/v1/events"
	PathConfig = "/v1/config"
)

// UpstreamStatus is an entry's view of one upstream.
type UpstreamStatus struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Connected  bool   `json:"connected"`
	Leaving    bool   `json:"leaving"`
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

// ConfigRecord is one record as stored.
type ConfigRecord struct {
	Key      string          `json:"key"`
	Revision int64           `json:"revision"`
	Record   json.RawMessage `json:"record"`
}

// ConfigList is the configuration in force at an entry.
type ConfigList struct {
	Revision int64          `json:"revision"`
	Records  []ConfigRecord `json:"records"`
}

// Written answers a write.
type Written struct {
	Revision int64 `json:"revision"`
}
