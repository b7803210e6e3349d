package config

import (
	"encoding/json"
	"slices"
	"strings"
)

// Rejected is a record that is not in force, with the reason.
type Rejected struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
	Reason   string `json:"reason"`
	// InForce is the revision of the last valid record, which stays in force;
	// 0 means that there is none.
	InForce int64 `json:"in_force,omitempty"`
}

// Snapshot is the whole configuration at a revision. It is immutable; the
// zero value is the empty configuration at revision 0.
type Snapshot struct {
	// Revision orders snapshots: see RevisionOf. Base is the part of it that
	// is added to the service's revisions.
	Revision int64
	Base     int64
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
	held           map[string]held
	lastValid      map[string]LastValid
}

// held is a key's present record and what is in force for it.
type held struct {
	record Record
	// object is in force and was decoded from valid; nil means none.
	object Object
	valid  Record
	// err says why the present record is not in force.
	err error
}

// AccountByToken returns the client account of a bearer token, or nil.
func (s *Snapshot) AccountByToken(token string) *ClientAccount {
	return s.accountByHash[HashToken(token)]
}

// OperatorByToken returns the operator of a bearer token, or nil.
func (s *Snapshot) OperatorByToken(token string) *Operator {
	return s.operatorByHash[HashToken(token)]
}

// ModelUpstreams returns the upstreams that serve a model and don't drain, by
// name.
func (s *Snapshot) ModelUpstreams(model string) []*Upstream { return s.byModel[model] }

// ServiceUpstreams returns the upstreams of a plain service that don't drain,
// by name.
func (s *Snapshot) ServiceUpstreams(service string) []*Upstream { return s.byService[service] }

// Record returns the stored record of a key; false means that there is none.
func (s *Snapshot) Record(path string) (Record, bool) {
	h, ok := s.held[path]
	return h.record, ok
}

// Object returns the object in force under a key, or nil.
func (s *Snapshot) Object(path string) Object { return s.held[path].object }

// ServiceRevision is the highest revision of any record at the service.
func (s *Snapshot) ServiceRevision() int64 { return s.Revision - s.Base }

// IsNonIdempotent says whether a call of the service must not run twice.
func (s *PlainService) IsNonIdempotent(method, path string) bool {
	for _, c := range s.NonIdempotent {
		if (c.Method == "*" || strings.EqualFold(c.Method, method)) && strings.HasPrefix(path, c.PathPrefix) {
			return true
		}
	}
	return false
}

// build makes a snapshot. Records that prev holds are not decoded again. Where
// a record is invalid, the newest valid one of that key stays in force: the one
// that the service keeps, or the one that prev had.
func build(prev *Snapshot, revision, base int64, records []Record, decode Decoder) *Snapshot {
	s := &Snapshot{
		Revision: revision, Base: base,
		Records: records,
		Groups:  map[string]*ModelGroup{}, Upstreams: map[string]*Upstream{},
		Accounts: map[string]*ClientAccount{}, Services: map[string]*PlainService{},
		Plans: map[string]*ExpertPlan{}, Operators: map[string]*Operator{},
		accountByHash: map[string]*ClientAccount{}, operatorByHash: map[string]*Operator{},
		byModel: map[string][]*Upstream{}, byService: map[string][]*Upstream{},
		held: make(map[string]held, len(records)), lastValid: lastValidOf(records),
	}
	for _, r := range records {
		if IsInternal(r.Key) {
			s.held[r.Key] = held{record: r}
			continue
		}
		h := s.hold(prev, r, decode)
		s.held[r.Key] = h
		if h.err != nil {
			s.Rejected = append(s.Rejected, Rejected{Key: r.Key, Revision: r.Revision, Reason: h.err.Error(), InForce: h.valid.Revision})
		}
		s.add(h.object)
	}
	s.index()
	return s
}

func lastValidOf(records []Record) map[string]LastValid {
	kept := map[string]LastValid{}
	for _, r := range records {
		path, ok := strings.CutPrefix(r.Key, LastValidPrefix)
		var v LastValid
		if ok && json.Unmarshal(r.Value, &v) == nil {
			kept[Prefix+path] = v
		}
	}
	return kept
}

// hold decides what is in force for a record.
func (s *Snapshot) hold(prev *Snapshot, r Record, decode Decoder) held {
	before, known := prev.held[r.Key]
	if known && before.err == nil && before.record.Revision == r.Revision && prev.Base == s.Base {
		before.record = r
		return before
	}
	obj, err := decodeRecord(r, decode)
	if err == nil {
		return held{record: r, object: obj, valid: r}
	}
	h := held{record: r, object: before.object, valid: before.valid, err: err}
	kept := s.lastValid[r.Key]
	if len(kept.Record) == 0 || (h.object != nil && kept.Revision <= h.valid.Revision) {
		return h
	}
	valid := Record{Key: r.Key, Value: kept.Record, Revision: kept.Revision}
	if obj, err := decodeRecord(valid, decode); err == nil {
		h.object, h.valid = obj, valid
	}
	return h
}

func decodeRecord(r Record, decode Decoder) (Object, error) {
	key, err := ParseKey(r.Key)
	if err != nil {
		return nil, err
	}
	return decode(key, r.Value)
}

func (s *Snapshot) add(obj Object) {
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
		if u.Drain {
			continue
		}
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
