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

// MaxRecord is the maximum size of a record in bytes, since the key-value
// service holds values of up to 1 MiB.
const MaxRecord = 1 << 20

// SchemaVersion1 and SchemaVersion2 are the schema versions of records.
// Version 2 is kingcupreel's own.
const (
	SchemaVersion1 = v1.SchemaVersion
	SchemaVersion2 = v2.SchemaVersion
)

// versionFields holds the schema version: version 1 stores it in Version,
// version 2 in SchemaVersion.
type versionFields struct {
	SchemaVersion int `json:"schemaVersion"`
	Version       int `json:"version"`
}

// Version returns a record's schema version, 1 or 2.
func Version(data []byte) (int, error) {
	if len(data) > MaxRecord {
		return 0, fault.New(fault.TooLarge, "split the record", "record is %d bytes long, the limit is %d bytes", len(data), MaxRecord)
	}
	var v versionFields
	if err := json.Unmarshal(data, &v); err != nil {
		return 0, fault.Wrap(fault.Invalid, err, "write the record as a JSON or YAML object", "record")
	}
	switch {
	case v.SchemaVersion == v2.SchemaVersion && v.Version == 0:
		return v2.SchemaVersion, nil
	case v.Version == v1.SchemaVersion && v.SchemaVersion == 0:
		return v1.SchemaVersion, nil
	}
	return 0, fault.New(fault.Invalid, "set schemaVersion: 2, or version: 1 for a record of schema version 1", "record has no known schema version")
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
		return nil, fault.New(fault.Invalid, "store the record under its own kind and name", "record of %v is stored under the key of %v", obj.Key(), key)
	}
	return obj, nil
}

// FromYAML converts a YAML or JSON document into JSON.
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

// RecordToStore returns the record to store when record overwrites present. A
// record of schema version 1 can't express all fields of an object, so the
// present object's values of those fields are kept. If that needs a field which
// schema version 1 lacks, the result is a record of schema version 2. present is
// empty if there is no present record; if it can't be decoded, record is returned
// unchanged.
func RecordToStore(present, record []byte) ([]byte, error) {
	version, err := Version(record)
	if err != nil {
		return nil, err
	}
	if version == v2.SchemaVersion || len(present) == 0 {
		return record, nil
	}
	presentObj, err := DecodeAny(present)
	if err != nil {
		return record, nil
	}
	writtenObj, err := v1.Decode(record)
	if err != nil {
		return nil, err
	}
	merged := v1.Merge(presentObj, writtenObj)
	if _, err := v1.Encode(merged); err == nil {
		return record, nil
	}
	return v2.Encode(merged)
}
