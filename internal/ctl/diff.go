package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/config/codec"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/opapi"
)

// change is one field that differs. From or To is empty if the object on that
// side lacks the field.
type change struct {
	Field string `json:"field"`
	From  string `json:"from,omitempty"`
	To    string `json:"to,omitempty"`
}

// recordDiff lists the changes that apply would make to one record.
type recordDiff struct {
	Kind    config.Kind `json:"kind"`
	Name    string      `json:"name"`
	Changes []change    `json:"changes"`
}

// compare lists the fields that differ between two objects, whatever their
// schema versions. Either object may be nil.
func compare(from, to config.Object) []change {
	a, b := flatten(from), flatten(to)
	fields := map[string]bool{}
	for f := range a {
		fields[f] = true
	}
	for f := range b {
		fields[f] = true
	}
	var changes []change
	for f := range fields {
		if a[f] != b[f] {
			changes = append(changes, change{Field: f, From: a[f], To: b[f]})
		}
	}
	slices.SortFunc(changes, func(x, y change) int { return strings.Compare(x.Field, y.Field) })
	return changes
}

// flatten returns an object's top-level fields, each as JSON.
func flatten(obj config.Object) map[string]string {
	fields := map[string]string{}
	if obj == nil {
		return fields
	}
	data, err := json.Marshal(obj)
	if err != nil {
		return fields
	}
	var raw map[string]json.RawMessage
	if json.Unmarshal(data, &raw) != nil {
		return fields
	}
	for f, v := range raw {
		fields[f] = string(v)
	}
	return fields
}

func printChanges(out io.Writer, changes []change) {
	for _, c := range changes {
		if c.From != "" {
			fmt.Fprintf(out, "  - %s: %s\n", c.Field, c.From)
		}
		if c.To != "" {
			fmt.Fprintf(out, "  + %s: %s\n", c.Field, c.To)
		}
	}
}

// readStored reads a record from the key-value service. An absent record has
// revision 0 and no content.
func (t *tool) readStored(ctx context.Context, key config.Key) (opapi.ConfigRecord, error) {
	r, err := t.client.Record(ctx, key)
	if fault.KindOf(err) == fault.NotFound {
		return opapi.ConfigRecord{Key: key.Path()}, nil
	}
	return r, err
}

// decodeStored decodes a stored record. It returns nil if the record is absent
// or invalid.
func decodeStored(record []byte) config.Object {
	if len(record) == 0 {
		return nil
	}
	obj, err := codec.DecodeAny(record)
	if err != nil {
		return nil
	}
	return obj
}

// mergeInto returns the object that results from writing the document over the
// stored record.
func (d *document) mergeInto(stored []byte) (config.Object, error) {
	written, err := codec.RecordToStore(stored, d.json)
	if err != nil {
		return nil, err
	}
	return codec.DecodeAny(written)
}

func (t *tool) diff(ctx context.Context) error {
	docs, err := loadDocuments(t.files)
	if err != nil {
		return err
	}
	diffs := []recordDiff{}
	for _, d := range docs {
		stored, err := t.readStored(ctx, d.object.Key())
		if err != nil {
			return err
		}
		after, err := d.mergeInto(stored.Record)
		if err != nil {
			return err
		}
		if changes := compare(decodeStored(stored.Record), after); len(changes) > 0 {
			diffs = append(diffs, recordDiff{d.object.Key().Kind, d.object.Key().Name, changes})
		}
	}
	err = t.print(diffs, func() {
		for _, d := range diffs {
			fmt.Fprintf(t.out, "%s %s\n", d.Kind, d.Name)
			printChanges(t.out, d.Changes)
		}
	})
	if err == nil && len(diffs) > 0 {
		return &exitError{ExitDiffers, fmt.Sprintf("%d records differ", len(diffs))}
	}
	return err
}
