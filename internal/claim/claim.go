// Package claim ensures that a non-idempotent call runs at most once. The
// caller identifies the call by an idempotency key. Before the entry dispatches
// the call, it creates a claim in the key-value service, on the condition that
// none exists. The claim names one agent and its incarnation. A later request
// with the same key finds the claim and queries that agent.
//
// Runner is the entry's part and Ledger the agent's. Store reads and writes the
// claims in the key-value service. None of them opens a socket.
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

// Prefix is the key prefix of all claims in the key-value service.
const Prefix = "claims/"

const (
	// Retention is the minimum time for which a claim is kept.
	Retention = 7 * 24 * time.Hour
	// MaxSkew is the assumed maximum difference between the wall clocks of two
	// processes.
	MaxSkew = 1 * time.Minute
)

// ID identifies a call by its client account and the idempotency key that the
// client chose.
type ID struct {
	Account string
	Key     string
}

// Path returns the claim's key in the key-value service.
func (id ID) Path() string {
	sum := sha256.Sum256([]byte(id.Account + "\x00" + id.Key))
	return Prefix + hex.EncodeToString(sum[:])
}

// BodyHash returns a hex-encoded hash of a call's service, method, path and
// body. Calls with the same idempotency key must have the same hash.
func BodyHash(service, method, path string, body []byte) string {
	h := sha256.New()
	for _, s := range []string{service, method, path} {
		h.Write([]byte(s))
		h.Write([]byte{0})
	}
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// Answer is the stored answer to a call that has ended.
type Answer struct {
	Outcome     outcome.Outcome `json:"outcome"`
	Status      int             `json:"status,omitempty"`
	ContentType string          `json:"content_type,omitempty"`
	Body        []byte          `json:"body,omitempty"`
	// BodyDropped is set if the answer had a body, which is not stored because
	// it alone, or the stored bodies together, exceeded a size limit.
	BodyDropped bool `json:"body_dropped,omitempty"`
	// Message says why the call did not complete.
	Message string `json:"message,omitempty"`
}

// Record is a claim as stored in the key-value service.
type Record struct {
	Account  string `json:"account"`
	Key      string `json:"key"`
	BodyHash string `json:"body_hash"`
	// Generation starts at 1 and is incremented each time the claim is
	// reassigned to another agent.
	Generation uint32 `json:"generation"`
	// Upstream and Incarnation identify the only agent that may run the call.
	Upstream    string `json:"upstream"`
	Incarnation string `json:"incarnation"`
	// Nonce lets the writer recognise its own write when it reads the claim
	// back.
	Nonce string `json:"nonce"`
	// ClaimedMS is the time of the claim by the writer's wall clock, in Unix
	// milliseconds.
	ClaimedMS int64 `json:"claimed_ms"`
	// Answer is set once the call has completed.
	Answer *Answer `json:"answer,omitempty"`
}

// ID returns the call's identity.
func (r *Record) ID() ID { return ID{r.Account, r.Key} }

func (r *Record) encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "report this as a bug", "encoding a claim")
	}
	return data, nil
}

func decode(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return r, fault.Wrap(fault.Internal, err, "report this as a bug", "decoding a claim")
	}
	return r, nil
}

// KeyTime returns the timestamp of a key that is a version 7 UUID. It returns
// false for any other key.
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

// CheckKey returns an error if the key carries a timestamp that is older than
// the retention, because its claim may have been deleted, or that lies in the
// future, because the key would stay valid after its claim is deleted.
func CheckKey(key string, now time.Time) error {
	createdAt, ok := KeyTime(key)
	switch {
	case !ok:
		return nil
	case now.Sub(createdAt) > Retention-MaxSkew:
		return fault.New(fault.Stale, "check with the service whether the call took effect, then use a new key", "the Idempotency-Key is older than %v", Retention)
	case createdAt.Sub(now) > MaxSkew:
		return fault.New(fault.Invalid, "generate the key on a host with a correct clock", "the Idempotency-Key's time is in the future")
	}
	return nil
}
