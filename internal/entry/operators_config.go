package entry

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/config/codec"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/kvstore"
	"github.com/kingcupreel/kingcupreel/internal/opapi"
	"github.com/kingcupreel/kingcupreel/internal/provider"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// listConfig returns the records of the snapshot in force, without internal
// ones.
func (e *Entry) listConfig(*http.Request) (any, error) {
	snap := e.opts.Store.Current()
	list := opapi.ConfigList{Revision: snap.Revision}
	for _, r := range snap.Records {
		if !config.IsInternal(r.Key) {
			list.Records = append(list.Records, configRecord(r))
		}
	}
	return list, nil
}

// configRecord converts a record for the answer. A value that is not valid JSON
// is returned as a string.
func configRecord(r config.Record) opapi.ConfigRecord {
	raw := json.RawMessage(r.Value)
	if !json.Valid(raw) {
		raw, _ = json.Marshal(string(r.Value))
	}
	return opapi.ConfigRecord{Key: r.Key, Revision: r.Revision, Record: raw}
}

func parseKey(r *http.Request) (config.Key, error) {
	key := config.Key{Kind: config.Kind(r.PathValue("kind")), Name: r.PathValue("name")}
	if _, err := config.ParseKey(key.Path()); err != nil {
		return key, fault.Wrap(fault.NotFound, err, "use one of the documented kinds", "unknown kind %q", key.Kind)
	}
	return key, nil
}

// getConfig reads one record from the key-value service, which may be newer
// than the one in force here.
func (e *Entry) getConfig(r *http.Request) (any, error) {
	key, err := parseKey(r)
	if err != nil {
		return nil, err
	}
	item, err := e.opts.KV.Get(r.Context(), key.Path())
	if fault.KindOf(err) == fault.NotFound {
		return nil, fault.New(fault.NotFound, "check kind and name with kingcupreelctl get", "no record %s %q", key.Kind, key.Name)
	}
	if err != nil {
		return nil, err
	}
	return configRecord(config.Record{Key: item.Key, Value: item.Value, Revision: item.ModRevision}), nil
}

func parseExpect(r *http.Request) (int64, error) {
	expect, err := strconv.ParseInt(r.URL.Query().Get("expect"), 10, 64)
	if err != nil || expect < 0 {
		return 0, fault.New(fault.Invalid, "set expect to the record's revision, or to 0 for a new record", "invalid parameter expect: %q", r.URL.Query().Get("expect"))
	}
	return expect, nil
}

// putConfig writes a record if the stored one has the expected revision.
func (e *Entry) putConfig(w http.ResponseWriter, r *http.Request) (any, error) {
	key, err := parseKey(r)
	if err != nil {
		return nil, err
	}
	expect, err := parseExpect(r)
	if err != nil {
		return nil, err
	}
	body, err := e.readRecord(w, r, key)
	if err != nil {
		return nil, err
	}
	value, err := e.mergeStored(r, key, body, expect)
	if err != nil {
		return nil, err
	}
	revision, err := provider.Put(r.Context(), e.opts.KV, kvstore.Put{Key: key.Path(), Value: value, Expect: expect})
	return e.newWriteResponse(revision), describeConflict(err, key, expect)
}

// checkNotRestored returns an error if the key-value service was restored to an
// older state, since a write could not come into force until an operator adopts
// that state.
func (e *Entry) checkNotRestored() error {
	err := e.opts.Store.Restored()
	if err == nil {
		return nil
	}
	return fault.New(fault.Unavailable, fault.As(err).Remedy, "%s", fault.As(err).Message)
}

// readRecord reads and validates the record of a write.
func (e *Entry) readRecord(w http.ResponseWriter, r *http.Request, key config.Key) ([]byte, error) {
	if err := e.checkNotRestored(); err != nil {
		return nil, err
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, codec.MaxRecord))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, fault.New(fault.TooLarge, "split the record", "record over %d bytes", codec.MaxRecord)
	}
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "send the whole record", "reading the record")
	}
	obj, err := codec.Decode(key, body)
	if err == nil {
		err = e.checkEvacuation(obj)
	}
	return body, err
}

// checkEvacuation returns an error if an object evacuates a data centre without upstreams.
func (e *Entry) checkEvacuation(obj config.Object) error {
	evacuation, ok := obj.(*config.Evacuation)
	if !ok {
		return nil
	}
	known := e.opts.Store.Current().DataCentres()
	if slices.Contains(known, evacuation.Name) {
		return nil
	}
	return fault.New(fault.Invalid, "name a data centre of the upstreams' records", "no upstream is in data centre %q; known: %s", evacuation.Name, strings.Join(known, ", "))
}

// mergeStored returns the record to store. A record in schema version 1 keeps
// those fields of the stored record that only version 2 has.
func (e *Entry) mergeStored(r *http.Request, key config.Key, body []byte, expect int64) ([]byte, error) {
	version, err := codec.Version(body)
	if err != nil || version != codec.SchemaVersion1 || expect == 0 {
		return body, err
	}
	item, err := e.opts.KV.Get(r.Context(), key.Path())
	if err != nil && fault.KindOf(err) != fault.NotFound {
		return nil, err
	}
	return codec.RecordToStore(item.Value, body)
}

// newWriteResponse returns the answer to a write at the given revision of the
// key-value service.
func (e *Entry) newWriteResponse(revision int64) opapi.WriteResponse {
	return opapi.WriteResponse{Revision: e.opts.Store.Current().Base + revision, RecordRevision: revision}
}

// describeConflict replaces the error of a conditional write that lost a race
// by one for the operator.
func describeConflict(err error, key config.Key, expect int64) error {
	if fault.KindOf(err) != fault.Conflict {
		return err
	}
	return fault.New(fault.Conflict, "read the record again and apply your change to it", "%s %q is no longer at revision %d", key.Kind, key.Name, expect)
}

// deleteConfig removes a record and then writes the epoch, which gives the
// removal a revision.
func (e *Entry) deleteConfig(r *http.Request) (any, error) {
	key, err := parseKey(r)
	if err != nil {
		return nil, err
	}
	expect, err := parseExpect(r)
	if err != nil {
		return nil, err
	}
	if err := e.checkNotRestored(); err != nil {
		return nil, err
	}
	if err := provider.Delete(r.Context(), e.opts.KV, key.Path(), expect); err != nil {
		return nil, describeConflict(err, key, expect)
	}
	revision, err := provider.TouchEpoch(r.Context(), e.opts.KV)
	return e.newWriteResponse(revision), err
}

// adopt brings the configuration in the restored key-value service into force
// at all processes.
func (e *Entry) adopt(r *http.Request) (any, error) {
	highest, restored := e.opts.Store.Current().Revision, e.opts.Store.Restored() != nil
	replies, _ := e.queryAll(r.Context(), e.entryTargets(), func(nonce uint64) wire.Message { return &wire.StatusRequest{Nonce: nonce} })
	for _, reply := range replies {
		for _, p := range decodeProcesses(reply.message) {
			highest = max(highest, p.Revision)
			restored = restored || p.Restored != ""
		}
	}
	if !restored {
		return nil, fault.New(fault.Invalid, "adopt only when status shows restored", "no entry reports that the key-value service was restored")
	}
	revision, err := provider.RaiseEpochBase(r.Context(), e.opts.KV, highest)
	return opapi.WriteResponse{Revision: highest + revision, RecordRevision: revision}, err
}
