package v1

import (
	"encoding/json"
	"strings"

	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/fault"
)

// Encode encodes an object in schema version 1. It returns an error of kind
// Mismatch if the object has a field or value that this version can't express.
func Encode(obj config.Object) ([]byte, error) {
	r, err := recordOf(obj)
	if err != nil {
		return nil, err
	}
	return json.Marshal(r)
}

func recordOf(obj config.Object) (*Record, error) {
	r := &Record{Version: SchemaVersion, ID: obj.Key().Name}
	switch o := obj.(type) {
	case *config.ModelGroup:
		r.Type = typePool
		r.Model, r.Size, r.Experts, r.Slots = o.Model, o.Ranks, o.Experts, o.SlotsPerRank
	case *config.Upstream:
		r.Type = typeBackend
		r.Machine, r.Zone, r.Addr = o.VM, o.DataCentre, o.Address
		r.Pool, r.Index, r.App, r.Fenced = o.Group, o.Rank, o.Service, o.ChecksFencing
		return r, mismatchIf(o.Drain, obj, "drain")
	case *config.ClientAccount:
		r.Type = typeTenant
		r.TokenHashes = strings.Join(o.TokenSHA256, ",")
		r.Class, r.Weight, r.Concurrency = o.Priority, o.Share, o.MaxInFlight
	case *config.PlainService:
		r.Type = typeApp
		return r, encodeCalls(r, o)
	case *config.ExpertPlan:
		r.Type = typePlacement
		r.Profile, r.Frozen = o.Preset, o.Stopped
		hasVersion2Fields := o.SkewWeight != 0 || o.BudgetBytes != 0 || len(o.QuietWindows) > 0 || len(o.Pinned) > 0
		return r, mismatchIf(hasVersion2Fields, obj, "skewWeight, budgetBytes, quietWindows or pinned")
	case *config.Operator:
		r.Type = typeAdmin
		r.TokenHashes = strings.Join(o.TokenSHA256, ",")
	case *config.Evacuation:
		r.Type = typeEvacuated
	}
	return r, nil
}

// mismatchIf returns an error of kind Mismatch if cond is true, which means that
// schema version 1 can't express the object's field.
func mismatchIf(cond bool, obj config.Object, field string) error {
	if !cond {
		return nil
	}
	k := obj.Key()
	return fault.New(fault.Mismatch, "keep the record in schema version 2", "%s %q: schema version 1 can't express %s", k.Kind, k.Name, field)
}

func encodeCalls(r *Record, s *config.PlainService) error {
	items := make([]string, 0, len(s.NonIdempotent))
	for _, c := range s.NonIdempotent {
		item := c.Method + " " + c.PathPrefix
		unencodable := strings.ContainsAny(c.Method, " ,") || strings.Contains(c.PathPrefix, ",") || strings.TrimSpace(item) != item
		if err := mismatchIf(unencodable, s, "a method with a space, or a path prefix with a comma or a space at its end"); err != nil {
			return err
		}
		items = append(items, item)
	}
	r.OnceOnly = strings.Join(items, ",")
	return nil
}

// Merge returns the object that results when an object written in schema version
// 1 replaces present: the fields that this version has are taken from written,
// the others from present. present may be nil.
func Merge(present, written config.Object) config.Object {
	switch w := written.(type) {
	case *config.Upstream:
		if p, ok := present.(*config.Upstream); ok && p != nil {
			merged := *w
			merged.Drain = p.Drain
			return &merged
		}
	case *config.ExpertPlan:
		if p, ok := present.(*config.ExpertPlan); ok && p != nil {
			merged := *p
			merged.Name, merged.Preset, merged.Stopped = w.Name, w.Preset, w.Stopped
			return &merged
		}
	}
	return written
}
