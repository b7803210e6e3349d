package config

import (
	"bytes"
	"encoding/json"
	"strings"
)

// Write is a pending write to the key-value service. Expect is the revision
// that the key must have; 0 means that it must not exist.
type Write struct {
	Key    string
	Value  []byte
	Expect int64
}

// Repairs returns the writes that bring the records below LastValidPrefix up to
// date: they store the last valid record of each key whose current record is
// invalid, and clear those no longer needed. The writes depend only on the
// snapshot, so that watchers that write concurrently write the same values.
func (s *Snapshot) Repairs() []Write {
	var writes []Write
	for _, r := range s.Rejected {
		state := s.keyState[r.Key]
		stored := s.lastValid[r.Key]
		if state.object != nil && (stored.Revision != state.valid.Revision || !bytes.Equal(stored.Record, state.valid.Value)) {
			writes = append(writes, s.lastValidWrite(r.Key, LastValid{state.valid.Revision, state.valid.Value}))
		}
	}
	for path, stored := range s.lastValid {
		if state, ok := s.keyState[path]; len(stored.Record) > 0 && (!ok || state.err == nil) {
			writes = append(writes, s.lastValidWrite(path, LastValid{}))
		}
	}
	return writes
}

func (s *Snapshot) lastValidWrite(path string, v LastValid) Write {
	key := LastValidPrefix + strings.TrimPrefix(path, Prefix)
	value, _ := json.Marshal(v)
	return Write{Key: key, Value: value, Expect: s.keyState[key].record.Revision}
}

// TouchEpoch returns a write of EpochKey with its base unchanged. It raises the
// configuration's revision after a deletion, which leaves no record with a
// revision of its own.
func (s *Snapshot) TouchEpoch() Write {
	return Write{Key: EpochKey, Value: EncodeEpoch(s.Base), Expect: s.keyState[EpochKey].record.Revision}
}

// EncodeEpoch returns the value of EpochKey for a base.
func EncodeEpoch(base int64) []byte {
	value, _ := json.Marshal(Epoch{Base: base})
	return value
}
