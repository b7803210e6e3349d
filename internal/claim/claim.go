// Package claim keeps a non-idempotent call from running twice. A caller names
// the call by an idempotency key. Before the call is dispatched, the entry
// records a claim in the key-value service by create-if-absent; the claim names
// one agent and its incarnation. Whoever meets the claim later asks that agent.
//
// Runner is the entry's side, Store the claims in the key-value service and
// Ledger the agent's side. All three are free of sockets.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/google/uuid"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
)

// Prefix is where the key-value service holds the claims.
const Prefix = "claims/"

const (
	// Retention is how long a claim is kept at least.
	Retention = 7 * 24 * time.Hour
	// MaxSkew bounds the difference between two processes' wall clocks.
	MaxSkew = 1 * time.Minute
)

// ID names a call: a client account and the idempotency key that it chose.
type ID struct {
	Account string
	Key     string
}

// Path returns the claim's key in the key-value service.
func (id ID) Path() string {
	sum := sha256.Sum256([]byte(id.Account + "\x00" + id.Key))
	return Prefix + hex.EncodeToString(sum[:])
}

// BodyHash returns a hash of the call, hex. Two calls with one key must agree
// in it.
func BodyHash(service, method, path string, body []byte) string {
	h := sha256.New()
	for _, s := range []string{service, method, path} {
		h.Write([]byte(s))
		h.Write([]byte{0})
	}
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// Answer is the kept answer to a call that ended.
type Answer struct {
	Outcome     outcome.Outcome `json:"outcome"`
	Status      int             `json:"status,omitempty"`
	ContentType string          `json:"content_type,omitempty"`
	Body        []byte          `json:"body,omitempty"`
	// BodyDropped says that the answer had a body that was too large to keep.
	BodyDropped bool `json:"body_dropped,omitempty"`
	// Message says why the call did not complete.
	Message string `json:"message,omitempty"`
}

// Record is a claim as the key-value service holds it.
type Record struct {
	Account  string `json:"account"`
	Key      string `json:"key"`
	BodyHash string `json:"body_hash"`
	// Generation counts from 1 and grows each time the claim moves.
	Generation uint32 `json:"generation"`
	// Upstream and Incarnation name the one agent that may run the call.
	Upstream    string `json:"upstream"`
	Incarnation string `json:"incarnation"`
	// Nonce tells the writer its own write from another's.
	Nonce string `json:"nonce"`
	// ClaimedMS is the writer's wall clock, in Unix milliseconds.
	ClaimedMS int64 `json:"claimed_ms"`
	// Answer is set once the call has completed.
	Answer *Answer `json:"answer,omitempty"`
}

// ID returns the call's name.
func (r *Record) ID() ID { return ID{r.Account, r.Key} }

func (r *Record) encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "report this", "encoding a claim")
	}
	return data, nil
}

func decode(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return r, fault.Wrap(fault.Internal, err, "report this", "decoding a claim")
	}
	return r, nil
}

// KeyTime returns the time in a key that is a UUID of version 7; false means
// that the key carries none.
func KeyTime(key string) (time.Time, bool) {
	u, err := uuid.Parse(key)
	if err != nil || u.Version() != 7 {
		return time.Time{}, false
	}
	var ms int64
	for _, b := range u[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), true
}

// CheckKey refuses a key whose own time is past the retention, since its claim
// may be gone, or in the future, since it would outlive its claim.
func CheckKey(key string, now time.Time) error {
	made, ok := KeyTime(key)
	switch {
	case !ok:
		return nil
	case now.Sub(made) > Retention-MaxSkew:
		return fault.New(fault.Stale, "check with the service whether the call took effect, then use a new key", "the Idempotency-Key is older than %v", Retention)
	case made.Sub(now) > MaxSkew:
		return fault.New(fault.Invalid, "make the key with a correct clock", "the Idempotency-Key's time is in the future")
	}
	return nil
}
