package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"

	"github.com/kingcupreel/kingcupreel/internal/fault"
)

// Keys below Prefix that the processes write themselves.
const (
	// EpochKey holds an Epoch. It is also written after a deletion, to raise the
	// configuration's revision.
	EpochKey = Prefix + "epoch"
	// LastValidPrefix is the prefix of the last valid records of the keys whose
	// current record is invalid.
	LastValidPrefix = Prefix + "last-valid/"
)

// Epoch is the value of EpochKey. Base is added to the service's revisions. It
// grows when an operator adopts the records of a service that was restored from
// an older copy.
type Epoch struct {
	Base int64 `json:"base"`
}

// LastValid is a record that stays in force while the record under its key is
// invalid. An empty Record means that there is none. Revision is the service's
// revision of the record's write.
type LastValid struct {
	Revision int64  `json:"revision"`
	Record   []byte `json:"record"`
}

// Record is one stored record: its key, its bytes and the service's revision of
// its last write.
type Record struct {
	Key      string
	Value    []byte
	Revision int64
}

// Decoder decodes a record of any schema version.
type Decoder func(key Key, data []byte) (Object, error)

// IsInternal reports whether the processes write the key themselves, so that it
// holds no record of an operator.
func IsInternal(path string) bool {
	return path == EpochKey || strings.HasPrefix(path, LastValidPrefix)
}

// ParseKey parses a key of the key-value service.
func ParseKey(path string) (Key, error) {
	rest, ok := strings.CutPrefix(path, Prefix)
	kind, name, found := strings.Cut(rest, "/")
	if !ok || !found || !slices.Contains(Kinds, Kind(kind)) {
		return Key{}, fault.New(fault.Invalid, "use config/<kind>/<name>", "invalid key %q", path)
	}
	return Key{Kind: Kind(kind), Name: name}, nil
}

// HashToken returns the hex SHA-256 of a bearer token, as records hold it.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// RevisionOf returns the revision and the base of a configuration that consists
// of the records. The revision is the base plus the service's highest revision
// of any record. It depends only on the records, not on when they were read, and
// writes outside Prefix do not change it.
func RevisionOf(records []Record) (revision, base int64) {
	for _, r := range records {
		revision = max(revision, r.Revision)
		if r.Key == EpochKey {
			base = epochBase(r)
		}
	}
	return base + revision, base
}

// epochBase returns the base in an epoch's record, or 0 if it can't be decoded.
func epochBase(r Record) int64 {
	var e Epoch
	if json.Unmarshal(r.Value, &e) != nil {
		return 0
	}
	return e.Base
}
