package codec_test

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/config/codec"
	v1 "github.com/kingcupreel/kingcupreel/internal/config/v1"
	v2 "github.com/kingcupreel/kingcupreel/internal/config/v2"
)

var (
	name   = rapid.StringMatching(`[a-z0-9]([a-z0-9.-]{0,20}[a-z0-9])?`)
	hashes = rapid.SliceOfN(rapid.StringMatching(`[0-9a-f]{64}`), 1, 3)
	method = rapid.SampledFrom([]string{"GET", "POST", "DELETE", "*"})
	prefix = rapid.StringMatching(`/[a-z0-9/._~-]{0,20}`)
)

// object draws a valid object of a kind, including fields that only schema
// version 2 has.
func object(t *rapid.T, kind config.Kind) config.Object {
	n := name.Draw(t, "name")
	switch kind {
	case config.KindModelGroup:
		ranks := rapid.IntRange(1, 64).Draw(t, "ranks")
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		return &config.ModelGroup{Name: n, Model: rapid.String().Filter(func(s string) bool { return s != "" }).Draw(t, "model"), Ranks: ranks, Experts: rapid.IntRange(0, ranks*slots).Draw(t, "experts"), SlotsPerRank: slots}
	case config.KindUpstream:
		u := &config.Upstream{Name: n, VM: name.Draw(t, "vm"), DataCentre: name.Draw(t, "dc"), Address: "10.0.0.1:70", ChecksFencing: rapid.Bool().Draw(t, "fencing"), Drain: rapid.Bool().Draw(t, "drain")}
		if rapid.Bool().Draw(t, "rank?") {
			u.Group, u.Rank = name.Draw(t, "group"), rapid.IntRange(0, 63).Draw(t, "rank")
		} else {
			u.Service = name.Draw(t, "service")
		}
		return u
	case config.KindClientAccount:
		return &config.ClientAccount{Name: n, TokenSHA256: hashes.Draw(t, "hashes"), Priority: rapid.IntRange(0, 9).Draw(t, "priority"), Share: rapid.IntRange(0, 9).Draw(t, "share"), MaxInFlight: rapid.IntRange(0, 99).Draw(t, "max")}
	case config.KindPlainService:
		s := &config.PlainService{Name: n}
		for range rapid.IntRange(0, 3).Draw(t, "calls") {
			s.NonIdempotent = append(s.NonIdempotent, config.CallPattern{Method: method.Draw(t, "method"), PathPrefix: prefix.Draw(t, "prefix")})
		}
		return s
	case config.KindExpertPlan:
		p := &config.ExpertPlan{Name: n, Preset: rapid.SampledFrom([]string{"", "teranga", "tocka"}).Draw(t, "preset"), Stopped: rapid.Bool().Draw(t, "stopped")}
		if rapid.Bool().Draw(t, "new fields?") {
			p.SkewWeight = float64(rapid.IntRange(0, 10).Draw(t, "skew")) / 10
			p.BudgetBytes = rapid.Int64Range(0, 1<<40).Draw(t, "budget")
			p.QuietWindows = []config.QuietWindow{{From: "08:00", To: "12:30"}}
			p.Pinned = [][]int{{0, 1}, {2}}
		}
		return p
	case config.KindEvacuation:
		return &config.Evacuation{Name: n}
	}
	return &config.Operator{Name: n, TokenSHA256: hashes.Draw(t, "hashes")}
}

func decode(t rapid.TB, record []byte) config.Object {
	obj, err := codec.DecodeAny(record)
	if err != nil {
		t.Fatalf("decoding %s: %v", record, err)
	}
	return obj
}

// fields returns an object's fields by their names in schema version 2.
func fields(t rapid.TB, obj config.Object) map[string]any {
	data, err := json.Marshal(obj)
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]any{}
	if err := json.Unmarshal(data, &out); err != nil {
		t.Fatal(err)
	}
	return out
}

// TestBothSchemaVersionsDecodeAlike checks that an object which schema version 1
// can express decodes to the same object from both versions.
func TestBothSchemaVersionsDecodeAlike(t *testing.T) {
	for _, kind := range config.Kinds {
		expressed := 0
		rapid.Check(t, func(t *rapid.T) {
			obj := object(t, kind)
			record, err := v2.Encode(obj)
			if err != nil {
				t.Fatal(err)
			}
			if got := decode(t, record); !reflect.DeepEqual(got, obj) {
				t.Fatalf("schema version 2: %+v became %+v", obj, got)
			}
			old, err := v1.Encode(obj)
			if err != nil {
				return
			}
			if got := decode(t, old); !reflect.DeepEqual(got, obj) {
				t.Fatalf("schema version 1: %+v became %+v by %s", obj, got, old)
			}
			expressed++
		})
		if expressed == 0 {
			t.Errorf("no object of kind %s was expressed in schema version 1", kind)
		}
	}
}

// version2Fields lists the fields that schema version 1 doesn't have.
var version2Fields = map[config.Kind][]string{
	config.KindUpstream:   {"drain"},
	config.KindExpertPlan: {"skewWeight", "budgetBytes", "quietWindows", "pinned"},
}

// TestVersion1WriteKeepsVersion2Fields checks that a write of schema version 1
// over any record replaces that version's fields and keeps the others.
func TestVersion1WriteKeepsVersion2Fields(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kind := rapid.SampledFrom(config.Kinds).Draw(t, "kind")
		present, written := object(t, kind), object(t, kind)
		old, err := v1.Encode(written)
		if err != nil {
			return
		}
		stored, err := v2.Encode(present)
		if err != nil {
			t.Fatal(err)
		}
		merged, err := codec.RecordToStore(stored, old)
		if err != nil {
			t.Fatal(err)
		}
		obj := decode(t, merged)
		if obj.Key() != written.Key() {
			t.Fatalf("written %v, stored %v", written.Key(), obj.Key())
		}
		want := fields(t, written)
		for _, f := range version2Fields[written.Key().Kind] {
			delete(want, f)
			if v, ok := fields(t, present)[f]; ok {
				want[f] = v
			}
		}
		if got := fields(t, obj); !reflect.DeepEqual(got, want) {
			t.Fatalf("present %+v, version 1 write %+v: got %v, want %v", present, written, got, want)
		}
	})
}

// FuzzDecode checks that a record that decodes keeps its fields when it is
// encoded and decoded again, and that no input makes the decoder panic.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		`{"schemaVersion":2,"kind":"model-group","name":"g","spec":{"model":"m","ranks":2,"experts":4,"slotsPerRank":2}}`,
		`{"schemaVersion":2,"kind":"upstream","name":"u","spec":{"vm":"v","dataCentre":"d","address":"10.0.0.1:7","group":"g","drain":true}}`,
		`{"schemaVersion":2,"kind":"expert-plan","name":"g","spec":{"preset":"tocka","pinned":[[0],[1,2]],"quietWindows":[{"from":"23:00","to":"01:00"}]}}`,
		`{"schemaVersion":2,"kind":"plain-service","name":"s","spec":null}`,
		`{"version":1,"type":"app","id":"s","once_only":"POST /orders, * /x"}`,
		`{"version":1,"type":"backend","id":"u","machine":"v","zone":"d","addr":"10.0.0.1:7","pool":"g","index":1}`,
		fmt.Sprintf(`{"version":1,"type":"tenant","id":"a","token_hashes":"%064d","class":3}`, 0),
		`{"version":1,"schemaVersion":2}`, `{"schemaVersion":2,"kind":"operator","name":"","spec":{}}`, `[]`, `nul`, `{"version":1,"type":"pool","size":1e99}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		obj, err := codec.DecodeAny(data)
		if err != nil {
			return
		}
		record, err := v2.Encode(obj)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := codec.DecodeAny(record)
		if err != nil {
			t.Fatalf("%s became %s, which does not decode: %v", data, record, err)
		}
		if !reflect.DeepEqual(fields(t, decoded), fields(t, obj)) {
			t.Fatalf("%s became %s", data, record)
		}
	})
}
