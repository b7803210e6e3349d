package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"sigs.k8s.io/yaml"

	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/config/codec"
	v1 "github.com/kingcupreel/kingcupreel/internal/config/v1"
	v2 "github.com/kingcupreel/kingcupreel/internal/config/v2"
	"github.com/kingcupreel/kingcupreel/internal/fault"
)

// revisionField is the field of a file that holds the record revision on which
// the operator's change is based. It isn't part of the record.
const revisionField = "revision"

// document is one record read from a file.
type document struct {
	file   string
	object config.Object
	json   []byte
	// baseRevision is the revision that the file is based on, or
	// noBaseRevision.
	baseRevision int64
}

// noBaseRevision is the base revision of a file that names none.
const noBaseRevision = -1

// loadDocuments reads and validates the records in the files.
func loadDocuments(files []string) ([]document, error) {
	var docs []document
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, fault.Wrap(fault.Invalid, err, "name a readable file", "reading records")
		}
		for _, part := range codec.SplitYAML(data) {
			doc, err := parseDocument(part)
			if err != nil {
				return nil, fault.Wrap(fault.Invalid, err, "correct the file", "%s", file)
			}
			doc.file = file
			docs = append(docs, doc)
		}
	}
	if len(docs) == 0 {
		return nil, fault.New(fault.Invalid, "write at least one record into the files", "no record found")
	}
	return docs, nil
}

func parseDocument(part []byte) (document, error) {
	record, err := codec.FromYAML(part)
	if err != nil {
		return document{}, err
	}
	record, baseRevision, err := extractBaseRevision(record)
	if err != nil {
		return document{}, err
	}
	obj, err := codec.DecodeAny(record)
	return document{object: obj, json: record, baseRevision: baseRevision}, err
}

// extractBaseRevision removes the revision field from a file's record.
func extractBaseRevision(record []byte) ([]byte, int64, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(record, &fields); err != nil {
		return nil, 0, fault.Wrap(fault.Invalid, err, "write the record as an object", "record")
	}
	raw, ok := fields[revisionField]
	if !ok {
		return record, noBaseRevision, nil
	}
	var baseRevision int64
	if err := json.Unmarshal(raw, &baseRevision); err != nil || baseRevision < 0 {
		return nil, 0, fault.New(fault.Invalid, "set revision to the one that kingcupreelctl get shows, or leave it out", "invalid field revision: %s", raw)
	}
	delete(fields, revisionField)
	record, err := json.Marshal(fields)
	return record, baseRevision, err
}

func (t *tool) validate(context.Context) error {
	docs, err := loadDocuments(t.files)
	if err != nil {
		return err
	}
	return t.print(map[string]int{"valid": len(docs)}, func() { fmt.Fprintf(t.out, "%d records are valid\n", len(docs)) })
}

// toYAML converts a record from JSON to a file for apply. A revision above 0
// becomes the file's revision field.
func toYAML(record []byte, revision int64) (string, error) {
	var fields map[string]any
	if err := json.Unmarshal(record, &fields); err != nil {
		return "", fault.Wrap(fault.Invalid, err, "correct the stored record", "record")
	}
	if revision > 0 {
		fields[revisionField] = revision
	}
	out, err := yaml.Marshal(fields)
	return string(out), err
}

// encode encodes an object in the given schema version.
func encode(obj config.Object, version int) ([]byte, error) {
	switch version {
	case codec.SchemaVersion1:
		return v1.Encode(obj)
	case codec.SchemaVersion2:
		return v2.Encode(obj)
	}
	return nil, fault.New(fault.Invalid, "use --to 1 or --to 2", "unknown schema version %d", version)
}

// convert prints record files in another schema version. With --stored it
// rewrites the stored records instead.
func (t *tool) convert(ctx context.Context) error {
	if t.rewriteStored {
		return t.convertStored(ctx)
	}
	docs, err := loadDocuments(t.files)
	if err != nil {
		return err
	}
	for i, d := range docs {
		record, err := encode(d.object, t.toVersion)
		if err != nil {
			return err
		}
		text, err := toYAML(record, max(d.baseRevision, 0))
		if err != nil {
			return err
		}
		if i > 0 {
			fmt.Fprintln(t.out, "---")
		}
		fmt.Fprint(t.out, text)
	}
	return nil
}

// convertStored rewrites the records stored in schema version 1 in version 2.
func (t *tool) convertStored(ctx context.Context) error {
	list, err := t.client.Config(ctx)
	if err != nil {
		return err
	}
	var results []writeResult
	for _, r := range schema1Records(list.Records) {
		obj, err := codec.DecodeAny(r.Record)
		if err != nil {
			return err
		}
		record, err := v2.Encode(obj)
		if err != nil {
			return err
		}
		written, err := t.client.Put(ctx, obj.Key(), record, r.Revision)
		if err != nil {
			return err
		}
		results = append(results, writeResult{Kind: obj.Key().Kind, Name: obj.Key().Name, Revision: written.Revision, Changed: true})
	}
	return t.printResults(results)
}
