package config

import (
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"slices"
	"strings"
	"sync"

	"github.com/kingcupreel/kingcupreel/internal/fault"
)

func validAddress(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
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

// Record is one stored record: the service's key, its bytes and revision.
type Record struct {
	Key      string
	Value    []byte
	Revision int64
}

// Decoder decodes a record of either form.
type Decoder func(key Key, data []byte) (Object, error)

// Rejected is a record that is not in force, with the reason.
type Rejected struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
	Reason   string `json:"reason"`
}

// Snapshot is the whole configuration at a revision. It is immutable; the
// zero value is the empty configuration at revision 0.
type Snapshot struct {
	Revision int64
	Records  []Record
	Rejected []Rejected

	Groups    map[string]*ModelGroup
	Upstreams map[string]*Upstream
	Accounts  map[string]*ClientAccount
	Services  map[string]*PlainService
	Plans     map[string]*ExpertPlan
	Operators map[string]*Operator

	accountByHash  map[string]*ClientAccount
	operatorByHash map[string]*Operator
	byModel        map[string][]*Upstream
	byService      map[string][]*Upstream
	objects        map[string]Object
}

// AccountByToken returns the client account of a bearer token, or nil.
func (s *Snapshot) AccountByToken(token string) *ClientAccount {
	return s.accountByHash[HashToken(token)]
}

// OperatorByToken returns the operator of a bearer token, or nil.
func (s *Snapshot) OperatorByToken(token string) *Operator {
	return s.operatorByHash[HashToken(token)]
}

// ModelUpstreams returns the upstreams that serve a model, by name.
func (s *Snapshot) ModelUpstreams(model string) []*Upstream { return s.byModel[model] }

// ServiceUpstreams returns the upstreams of a plain service, by name.
func (s *Snapshot) ServiceUpstreams(service string) []*Upstream { return s.byService[service] }

// IsNonIdempotent says whether a call of the service must not run twice.
func (s *PlainService) IsNonIdempotent(method, path string) bool {
	for _, c := range s.NonIdempotent {
		if (c.Method == "*" || strings.EqualFold(c.Method, method)) && strings.HasPrefix(path, c.PathPrefix) {
			return true
		}
	}
	return false
}

// build makes a snapshot. A record that can't be decoded is rejected and the
// last valid object of that key, from prev, stays in force.
func build(prev *Snapshot, revision int64, records []Record, decode Decoder) *Snapshot {
	s := &Snapshot{
		Revision: revision,
		Records:  records,
		Groups:   map[string]*ModelGroup{}, Upstreams: map[string]*Upstream{},
		Accounts: map[string]*ClientAccount{}, Services: map[string]*PlainService{},
		Plans: map[string]*ExpertPlan{}, Operators: map[string]*Operator{},
		accountByHash: map[string]*ClientAccount{}, operatorByHash: map[string]*Operator{},
		byModel: map[string][]*Upstream{}, byService: map[string][]*Upstream{},
		objects: map[string]Object{},
	}
	for _, r := range records {
		obj, err := decodeRecord(r, decode)
		if err != nil {
			s.Rejected = append(s.Rejected, Rejected{Key: r.Key, Revision: r.Revision, Reason: err.Error()})
			obj = prev.objects[r.Key]
		}
		if obj != nil {
			s.add(r.Key, obj)
		}
	}
	s.index()
	return s
}

func decodeRecord(r Record, decode Decoder) (Object, error) {
	key, err := ParseKey(r.Key)
	if err != nil {
		return nil, err
	}
	return decode(key, r.Value)
}

func (s *Snapshot) add(path string, obj Object) {
	s.objects[path] = obj
	switch o := obj.(type) {
	case *ModelGroup:
		s.Groups[o.Name] = o
	case *Upstream:
		s.Upstreams[o.Name] = o
	case *ClientAccount:
		s.Accounts[o.Name] = o
	case *PlainService:
		s.Services[o.Name] = o
	case *ExpertPlan:
		s.Plans[o.Name] = o
	case *Operator:
		s.Operators[o.Name] = o
	}
}

func (s *Snapshot) index() {
	for _, a := range s.Accounts {
		for _, h := range a.TokenSHA256 {
			s.accountByHash[h] = a
		}
	}
	for _, o := range s.Operators {
		for _, h := range o.TokenSHA256 {
			s.operatorByHash[h] = o
		}
	}
	for _, u := range s.Upstreams {
		if g := s.Groups[u.Group]; g != nil {
			s.byModel[g.Model] = append(s.byModel[g.Model], u)
		}
		if u.Service != "" {
			s.byService[u.Service] = append(s.byService[u.Service], u)
		}
	}
	for _, pools := range []map[string][]*Upstream{s.byModel, s.byService} {
		for _, pool := range pools {
			slices.SortFunc(pool, func(a, b *Upstream) int { return strings.Compare(a.Name, b.Name) })
		}
	}
}

// Store keeps the newest snapshot in force. It never goes to a lower
// revision.
type Store struct {
	decode Decoder

	mu       sync.Mutex // leaf lock; listeners are called without it
	current  *Snapshot
	onChange []func(*Snapshot)
}

// NewStore returns a store at revision 0.
func NewStore(decode Decoder) *Store {
	return &Store{decode: decode, current: &Snapshot{}}
}

// Current returns the snapshot in force.
func (s *Store) Current() *Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// OnChange registers a function that is called after each newer snapshot.
func (s *Store) OnChange(f func(*Snapshot)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onChange = append(s.onChange, f)
}

// Apply puts a snapshot into force if its revision is higher than the present
// one, and says whether it did.
func (s *Store) Apply(revision int64, records []Record) bool {
	snap, listeners := s.replace(revision, records)
	if snap == nil {
		return false
	}
	for _, f := range listeners {
		f(snap)
	}
	return true
}

func (s *Store) replace(revision int64, records []Record) (*Snapshot, []func(*Snapshot)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision <= s.current.Revision {
		return nil, nil
	}
	s.current = build(s.current, revision, records, s.decode)
	return s.current, slices.Clone(s.onChange)
}
