// Package v2 decodes and encodes configuration records of schema version 2,
// kingcupreel's own form: an envelope (schemaVersion, kind, name) and a spec
// with the fields of the typed model.
package v2

import (
	"bytes"
	"encoding/json"

	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/fault"
)

// SchemaVersion is the value of the field schemaVersion.
const SchemaVersion = 2

// Record is the envelope of an object.
type Record struct {
	SchemaVersion int             `json:"schemaVersion"`
	Kind          config.Kind     `json:"kind"`
	Name          string          `json:"name"`
	Spec          json.RawMessage `json:"spec"`
}

// Decode decodes a record and validates the object.
func Decode(data []byte) (config.Object, error) {
	var r Record
	if err := decodeStrict(data, &r); err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "use the fields schemaVersion, kind, name and spec", "decoding a record of schema version 2")
	}
	obj, err := newObject(r.Kind, r.Name)
	if err != nil {
		return nil, err
	}
	if err := decodeStrict(r.Spec, obj); err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "correct the field in the spec", "decoding the spec of %s %q", r.Kind, r.Name)
	}
	return obj, obj.Validate()
}

// Encode encodes an object as a record.
func Encode(obj config.Object) ([]byte, error) {
	spec, err := json.Marshal(obj)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "report this as a bug", "encoding %v", obj.Key())
	}
	k := obj.Key()
	return json.Marshal(Record{SchemaVersion: SchemaVersion, Kind: k.Kind, Name: k.Name, Spec: spec})
}

func newObject(kind config.Kind, name string) (config.Object, error) {
	switch kind {
	case config.KindModelGroup:
		return &config.ModelGroup{Name: name}, nil
	case config.KindUpstream:
		return &config.Upstream{Name: name}, nil
	case config.KindClientAccount:
		return &config.ClientAccount{Name: name}, nil
	case config.KindPlainService:
		return &config.PlainService{Name: name}, nil
	case config.KindExpertPlan:
		return &config.ExpertPlan{Name: name}, nil
	case config.KindOperator:
		return &config.Operator{Name: name}, nil
	case config.KindEvacuation:
		return &config.Evacuation{Name: name}, nil
	}
	return nil, fault.New(fault.Invalid, "use one of the documented kinds", "unknown kind %q", kind)
}

// decodeStrict decodes JSON and rejects unknown fields.
func decodeStrict(data []byte, out any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	return dec.Decode(out)
}
