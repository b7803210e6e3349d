package config

import (
	"bytes"
	"encoding/json"
	"strings"
)

// Write is a write that a watcher owes the key-value service. Expect is the
// key's revision, 0 for a new key.
type Write struct {
	Key    string
	Value  []byte
	Expect int64
}

// Repairs returns the writes that make what is in force last in the service:
// the last valid record of each invalid one, and the end of those that are no
// longer needed. It depends on the snapshot alone, so that watchers which write
// at once write the same.
func (s *Snapshot) Repairs() []Write {
	var writes []Write
	for _, r := range s.Rejected {
		h := s.held[r.Key]
		kept := s.lastValid[r.Key]
		if h.object != nil && (kept.Revision != h.valid.Revision || !bytes.Equal(kept.Record, h.valid.Value)) {
			writes = append(writes, s.lastValidWrite(r.Key, LastValid{h.valid.Revision, h.valid.Value}))
		}
	}
	for path, kept := range s.lastValid {
		if h, ok := s.held[path]; len(kept.Record) > 0 && (!ok || h.err == nil) {
			writes = append(writes, s.lastValidWrite(path, LastValid{}))
		}
	}
	return writes
}

func (s *Snapshot) lastValidWrite(path string, v LastValid) Write {
	key := LastValidPrefix + strings.TrimPrefix(path, Prefix)
	value, _ := json.Marshal(v)
	return Write{Key: key, Value: value, Expect: s.held[key].record.Revision}
}

// TouchEpoch returns the write that gives a deletion a revision.
func (s *Snapshot) TouchEpoch() Write {
	return Write{Key: EpochKey, Value: EncodeEpoch(s.Base), Expect: s.held[EpochKey].record.Revision}
}

// EncodeEpoch returns the value of EpochKey with a base.
func EncodeEpoch(base int64) []byte {
	value, _ := json.Marshal(Epoch{Base: base})
	return value
}
