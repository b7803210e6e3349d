package config

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
)

// Rejected describes an invalid record, which is not in force.
type Rejected struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
	Reason   string `json:"reason"`
	// InForce is the revision of the last valid record, which stays in force;
	// 0 means that there is none.
	InForce int64 `json:"in_force,omitempty"`
}

// Snapshot is the configuration at a revision. It is immutable; the zero value
// is the empty configuration at revision 0.
type Snapshot struct {
	// Revision orders snapshots: it is Base plus the service's highest revision
	// of any record, see RevisionOf.
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
	// Evacuations holds the evacuated data centres.
	Evacuations map[string]*Evacuation

	accountByHash  map[string]*ClientAccount
	operatorByHash map[string]*Operator
	byModel        map[string][]*Upstream
	byService      map[string][]*Upstream
	keyState       map[string]keyState
	lastValid      map[string]LastValid
}

// keyState is a key's current record and the object in force for it.
type keyState struct {
	record Record
	// object is in force and was decoded from the record valid; nil means that
	// no object is in force.
	object Object
	valid  Record
	// err says why the current record is invalid; nil means that it is valid.
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

// Evacuated reports whether a data centre is evacuated.
func (s *Snapshot) Evacuated(dataCentre string) bool { return s.Evacuations[dataCentre] != nil }

// GetsNoWork reports whether an upstream gets no new work, since it drains or its data centre
// is evacuated.
func (s *Snapshot) GetsNoWork(u *Upstream) bool { return u.Drain || s.Evacuated(u.DataCentre) }

// DataCentres returns the data centres of the upstreams, sorted.
func (s *Snapshot) DataCentres() []string {
	found := map[string]bool{}
	for _, u := range s.Upstreams {
		found[u.DataCentre] = true
	}
	return slices.Sorted(maps.Keys(found))
}

// ModelUpstreams returns the upstreams of a model that get new work, sorted by name.
func (s *Snapshot) ModelUpstreams(model string) []*Upstream { return s.byModel[model] }

// ServiceUpstreams returns the upstreams of a plain service that get new work, sorted by
// name.
func (s *Snapshot) ServiceUpstreams(service string) []*Upstream { return s.byService[service] }

// Record returns the current record of a key; false means that there is none.
func (s *Snapshot) Record(path string) (Record, bool) {
	state, ok := s.keyState[path]
	return state.record, ok
}

// Object returns the object in force under a key, or nil.
func (s *Snapshot) Object(path string) Object { return s.keyState[path].object }

// ServiceRevision returns the service's highest revision of any record.
func (s *Snapshot) ServiceRevision() int64 { return s.Revision - s.Base }

// IsNonIdempotent reports whether a call of the service must not run twice.
func (s *PlainService) IsNonIdempotent(method, path string) bool {
	for _, c := range s.NonIdempotent {
		if (c.Method == "*" || strings.EqualFold(c.Method, method)) && strings.HasPrefix(path, c.PathPrefix) {
			return true
		}
	}
	return false
}

// build makes a snapshot. Valid records that are unchanged since prev are not
// decoded again. If a record is invalid, the newest valid record of its key
// stays in force: the one stored below LastValidPrefix or the one in force in
// prev.
func build(prev *Snapshot, revision, base int64, records []Record, decode Decoder) *Snapshot {
	s := &Snapshot{
		Revision: revision, Base: base,
		Records: records,
		Groups:  map[string]*ModelGroup{}, Upstreams: map[string]*Upstream{},
		Accounts: map[string]*ClientAccount{}, Services: map[string]*PlainService{},
		Plans: map[string]*ExpertPlan{}, Operators: map[string]*Operator{}, Evacuations: map[string]*Evacuation{},
		accountByHash: map[string]*ClientAccount{}, operatorByHash: map[string]*Operator{},
		byModel: map[string][]*Upstream{}, byService: map[string][]*Upstream{},
		keyState: make(map[string]keyState, len(records)), lastValid: parseLastValid(records),
	}
	for _, r := range records {
		if IsInternal(r.Key) {
			s.keyState[r.Key] = keyState{record: r}
			continue
		}
		state := s.resolve(prev, r, decode)
		s.keyState[r.Key] = state
		if state.err != nil {
			s.Rejected = append(s.Rejected, Rejected{Key: r.Key, Revision: r.Revision, Reason: state.err.Error(), InForce: state.valid.Revision})
		}
		s.add(state.object)
	}
	s.index()
	return s
}

// parseLastValid returns the stored last valid records by the key that they
// belong to.
func parseLastValid(records []Record) map[string]LastValid {
	byKey := map[string]LastValid{}
	for _, r := range records {
		path, ok := strings.CutPrefix(r.Key, LastValidPrefix)
		var v LastValid
		if ok && json.Unmarshal(r.Value, &v) == nil {
			byKey[Prefix+path] = v
		}
	}
	return byKey
}

// resolve decodes a record and determines the object in force for its key.
func (s *Snapshot) resolve(prev *Snapshot, r Record, decode Decoder) keyState {
	previous, found := prev.keyState[r.Key]
	if found && previous.err == nil && previous.record.Revision == r.Revision && prev.Base == s.Base {
		previous.record = r
		return previous
	}
	obj, err := decodeRecord(r, decode)
	if err == nil {
		return keyState{record: r, object: obj, valid: r}
	}
	state := keyState{record: r, object: previous.object, valid: previous.valid, err: err}
	stored := s.lastValid[r.Key]
	if len(stored.Record) == 0 || (state.object != nil && stored.Revision <= state.valid.Revision) {
		return state
	}
	valid := Record{Key: r.Key, Value: stored.Record, Revision: stored.Revision}
	if obj, err := decodeRecord(valid, decode); err == nil {
		state.object, state.valid = obj, valid
	}
	return state
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
	case *Evacuation:
		s.Evacuations[o.Name] = o
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
		if s.GetsNoWork(u) {
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
