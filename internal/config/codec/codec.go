// Package codec decodes configuration records of every schema version into
// the typed model, from JSON or YAML.
package codec

import (
	"bytes"
	"encoding/json"

	"sigs.k8s.io/yaml"

	"github.com/kingcupreel/kingcupreel/internal/config"
	v1 "github.com/kingcupreel/kingcupreel/internal/config/v1"
	v2 "github.com/kingcupreel/kingcupreel/internal/config/v2"
	"github.com/kingcupreel/kingcupreel/internal/fault"
)

// MaxRecord bounds a record, in bytes: the key-value service holds values up
// to a megabyte.
const MaxRecord = 1 << 20

// OldVersion is the schema version of the old form, NewVersion that of ours.
const (
	OldVersion = v1.SchemaVersion
	NewVersion = v2.SchemaVersion
)

// version finds the schema version; the two forms name it differently.
type version struct {
	SchemaVersion int `json:"schemaVersion"`
	Version       int `json:"version"`
}

// Version returns a record's schema version, 1 or 2.
func Version(data []byte) (int, error) {
	if len(data) > MaxRecord {
		return 0, fault.New(fault.TooLarge, "split the record", "record of %d bytes, limit %d", len(data), MaxRecord)
	}
	var v version
	if err := json.Unmarshal(data, &v); err != nil {
		return 0, fault.Wrap(fault.Invalid, err, "write the record as a JSON or YAML object", "record")
	}
	switch {
	case v.SchemaVersion == v2.SchemaVersion && v.Version == 0:
		return v2.SchemaVersion, nil
	case v.Version == v1.SchemaVersion && v.SchemaVersion == 0:
		return v1.SchemaVersion, nil
	}
	return 0, fault.New(fault.Invalid, "set schemaVersion: 2, or version: 1 for the old form", "record has no known schema version")
}

// DecodeAny decodes a record of any version from JSON.
func DecodeAny(data []byte) (config.Object, error) {
	v, err := Version(data)
	if err != nil {
		return nil, err
	}
	if v == v1.SchemaVersion {
		return v1.Decode(data)
	}
	return v2.Decode(data)
}

// Decode is a config.Decoder: it decodes a stored record and checks that it
// belongs to its key.
func Decode(key config.Key, data []byte) (config.Object, error) {
	obj, err := DecodeAny(data)
	if err != nil {
		return nil, err
	}
	if obj.Key() != key {
		return nil, fault.New(fault.Invalid, "store the record under its own kind and name", "record of %v under key %v", obj.Key(), key)
	}
	return obj, nil
}

// FromYAML turns a YAML or JSON document into JSON.
func FromYAML(data []byte) ([]byte, error) {
	out, err := yaml.YAMLToJSON(data)
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "correct the YAML", "record")
	}
	return out, nil
}

// SplitYAML splits a file into its YAML documents.
func SplitYAML(data []byte) [][]byte {
	var docs [][]byte
	for _, d := range bytes.Split(data, []byte("\n---\n")) {
		if len(bytes.TrimSpace(d)) > 0 {
			docs = append(docs, d)
		}
	}
	return docs
}

// RecordToStore returns the record to store for a write over the present record: a
// record of the old form keeps the present object's fields that it can't
// express, and becomes one of the new form for it. present is empty for none;
// one that can't be decoded keeps nothing.
func RecordToStore(present, record []byte) ([]byte, error) {
	version, err := Version(record)
	if err != nil {
		return nil, err
	}
	if version == v2.SchemaVersion || len(present) == 0 {
		return record, nil
	}
	before, err := DecodeAny(present)
	if err != nil {
		return record, nil
	}
	obj, err := v1.Decode(record)
	if err != nil {
		return nil, err
	}
	merged := v1.Merge(before, obj)
	if _, err := v1.Encode(merged); err == nil {
		return record, nil
	}
	return v2.Encode(merged)
}
