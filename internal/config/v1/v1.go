// Package v1 decodes configuration records of schema version 1 into the types of
// package config, and encodes those types as such records. Schema version 1 is the
// record format of the organisation that the users' team was spun off from; schema
// version 2 is kingcupreel's own. The specification of schema version 1 isn't known
// yet, so this package assumes a format: a flat JSON object with "version": 1,
// "type", "id" and attributes in snake_case, as docs/OPERATIONS.md describes it.
// Some fields exist only in schema version 2.
package v1

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/fault"
)

// SchemaVersion is the value of the field version.
const SchemaVersion = 1

// The record types of schema version 1.
const (
	typePool      = "pool"
	typeBackend   = "backend"
	typeTenant    = "tenant"
	typeApp       = "app"
	typePlacement = "placement"
	typeAdmin     = "admin"
	typeEvacuated = "evacuated"
)

// Record is a record of schema version 1, with the attributes of all types. Each
// group of fields below ID belongs to one type or to a few: see object.
type Record struct {
	Version int    `json:"version"`
	Type    string `json:"type"`
	ID      string `json:"id"`

	Model   string `json:"model,omitempty"`
	Size    int    `json:"size,omitempty"`
	Experts int    `json:"experts,omitempty"`
	Slots   int    `json:"slots,omitempty"`

	Machine string `json:"machine,omitempty"`
	Zone    string `json:"zone,omitempty"`
	Addr    string `json:"addr,omitempty"`
	Pool    string `json:"pool,omitempty"`
	Index   int    `json:"index,omitempty"`
	App     string `json:"app,omitempty"`
	Fenced  bool   `json:"fenced,omitempty"`

	TokenHashes string `json:"token_hashes,omitempty"`
	Class       int    `json:"class,omitempty"`
	Weight      int    `json:"weight,omitempty"`
	Concurrency int    `json:"concurrency,omitempty"`

	// OnceOnly lists "METHOD /prefix" pairs, separated by commas.
	OnceOnly string `json:"once_only,omitempty"`

	Profile string `json:"profile,omitempty"`
	Frozen  bool   `json:"frozen,omitempty"`
}

// Decode decodes a record and validates the object.
func Decode(data []byte) (config.Object, error) {
	var r Record
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&r); err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "correct the attribute", "decoding a record of schema version 1")
	}
	obj, err := r.object()
	if err != nil {
		return nil, err
	}
	return obj, obj.Validate()
}

func (r *Record) object() (config.Object, error) {
	switch r.Type {
	case typePool:
		return &config.ModelGroup{Name: r.ID, Model: r.Model, Ranks: r.Size, Experts: r.Experts, SlotsPerRank: r.Slots}, nil
	case typeBackend:
		return &config.Upstream{
			Name: r.ID, VM: r.Machine, DataCentre: r.Zone, Address: r.Addr,
			Group: r.Pool, Rank: r.Index, Service: r.App, ChecksFencing: r.Fenced,
		}, nil
	case typeTenant:
		return &config.ClientAccount{
			Name: r.ID, TokenSHA256: splitList(r.TokenHashes), Priority: r.Class,
			Share: r.Weight, MaxInFlight: r.Concurrency,
		}, nil
	case typeApp:
		return &config.PlainService{Name: r.ID, NonIdempotent: parseCalls(r.OnceOnly)}, nil
	case typePlacement:
		return &config.ExpertPlan{Name: r.ID, Preset: r.Profile, Stopped: r.Frozen}, nil
	case typeAdmin:
		return &config.Operator{Name: r.ID, TokenSHA256: splitList(r.TokenHashes)}, nil
	case typeEvacuated:
		return &config.Evacuation{Name: r.ID}, nil
	}
	return nil, fault.New(fault.Invalid, "use pool, backend, tenant, app, placement, admin or evacuated", "unknown type %q", r.Type)
}

func splitList(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(s, ",")
}

func parseCalls(s string) []config.CallPattern {
	var calls []config.CallPattern
	for _, item := range splitList(s) {
		method, prefix, _ := strings.Cut(strings.TrimSpace(item), " ")
		calls = append(calls, config.CallPattern{Method: method, PathPrefix: prefix})
	}
	return calls
}
