package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/netip"
	"slices"
	"strings"

	"github.com/kingcupreel/kingcupreel/internal/fault"
)

// Keys below Prefix that hold no operator's record.
const (
	// EpochKey holds an Epoch. Writing it gives a deletion a revision.
	EpochKey = Prefix + "epoch"
	// LastValidPrefix holds, below it, the last valid record of each key
	// whose present record is invalid.
	LastValidPrefix = Prefix + "last-valid/"
)

// Epoch is the value of EpochKey. Base is added to the service's revisions; it
// grows when an operator adopts a service that was restored from an older copy.
type Epoch struct {
	Base int64 `json:"base"`
}

// LastValid is a record that stays in force while the record under its key is
// invalid. An empty Record means that there is none.
type LastValid struct {
	Revision int64  `json:"revision"`
	Record   []byte `json:"record"`
}

// Record is one stored record: the service's key, its bytes and the service's
// revision of its last write.
type Record struct {
	Key      string
	Value    []byte
	Revision int64
}

// Decoder decodes a record of either form.
type Decoder func(key Key, data []byte) (Object, error)

// IsInternal says whether a key holds no operator's record.
func IsInternal(path string) bool {
	return path == EpochKey || strings.HasPrefix(path, LastValidPrefix)
}

// ParseKey parses a key of the key-value service.
func ParseKey(path string) (Key, error) {
	rest, ok := strings.CutPrefix(path, Prefix)
	kind, name, found := strings.Cut(rest, "/")
	if !ok || !found || !slices.Contains(Kinds, Kind(kind)) {
		return Key{}, fault.New(fault.Invalid, "use config/<kind>/<name>", "key %q", path)
	}
	return Key{Kind: Kind(kind), Name: name}, nil
}

// HashToken returns the hex SHA-256 of a bearer token, as records hold it.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

func validAddress(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}

// RevisionOf returns the configuration's revision that a set of records has,
// and its base. The revision is the base plus the highest revision of any
// record, so that it depends on the records alone and not on when they were
// read; writes outside Prefix leave it alone.
func RevisionOf(records []Record) (revision, base int64) {
	for _, r := range records {
		revision = max(revision, r.Revision)
		if r.Key == EpochKey {
			base = baseOf(r)
		}
	}
	return base + revision, base
}

// baseOf reads the epoch's base; an unreadable epoch counts as base 0.
func baseOf(r Record) int64 {
	var e Epoch
	if json.Unmarshal(r.Value, &e) != nil {
		return 0
	}
	return e.Base
}
