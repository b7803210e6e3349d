package config_test

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/config/codec"
	v2 "github.com/kingcupreel/kingcupreel/internal/config/v2"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/kvstore"
	"github.com/kingcupreel/kingcupreel/internal/standin/kv"
)

func TestConfig(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "config")
}

// account returns a client account's record with a priority.
func account(name string, priority int) config.Record {
	o := &config.ClientAccount{Name: name, TokenSHA256: []string{config.HashToken(name)}, Priority: priority}
	value, err := v2.Encode(o)
	Expect(err).NotTo(HaveOccurred())
	return config.Record{Key: o.Key().Path(), Value: value}
}

func atRevision(r config.Record, revision int64) config.Record {
	r.Revision = revision
	return r
}

var _ = Describe("the store", func() {
	var store *config.Store
	BeforeEach(func() { store = config.NewStore(codec.Decode) })

	It("never goes to a lower revision", func() {
		Expect(store.Update(config.FullUpdate([]config.Record{atRevision(account("a", 2), 5)}))).To(Succeed())
		err := store.Update(config.FullUpdate([]config.Record{atRevision(account("a", 1), 4)}))
		Expect(fault.KindOf(err)).To(Equal(fault.Stale))
		Expect(store.Current().Accounts["a"].Priority).To(Equal(2))
	})

	It("refuses an update to a higher revision with an older record", func() {
		Expect(store.Update(config.FullUpdate([]config.Record{atRevision(account("a", 2), 5)}))).To(Succeed())
		restored := []config.Record{atRevision(account("a", 1), 3), atRevision(account("b", 1), 6)}
		Expect(fault.KindOf(store.Update(config.FullUpdate(restored)))).To(Equal(fault.Conflict))
		Expect(store.Current().Accounts["a"].Priority).To(Equal(2))
	})

	It("accepts an adopted older copy because of its higher base", func() {
		Expect(store.Update(config.FullUpdate([]config.Record{atRevision(account("a", 2), 5)}))).To(Succeed())
		store.MarkRestored(0)
		epoch := config.Record{Key: config.EpochKey, Value: config.EncodeEpoch(5), Revision: 4}
		Expect(store.Update(config.FullUpdate([]config.Record{atRevision(account("a", 1), 3), epoch}))).To(Succeed())
		Expect(store.Current().Revision).To(Equal(int64(9)))
		Expect(store.Current().Accounts["a"].Priority).To(Equal(1))
		Expect(store.Restored()).To(BeNil())
	})

	It("refuses changes when earlier ones are missing", func() {
		Expect(store.Update(config.FullUpdate([]config.Record{atRevision(account("a", 2), 5)}))).To(Succeed())
		gap := config.Update{From: 7, To: 8, Records: []config.Record{atRevision(account("b", 1), 8)}}
		Expect(fault.KindOf(store.Update(gap))).To(Equal(fault.Invalid))
	})

	It("keeps the last valid record in force and returns a write that stores it", func() {
		valid := atRevision(account("a", 2), 5)
		invalid := atRevision(account("a", 99), 6)
		Expect(store.Update(config.FullUpdate([]config.Record{valid}))).To(Succeed())
		Expect(store.Update(config.FullUpdate([]config.Record{invalid}))).To(Succeed())
		Expect(store.Current().Accounts["a"].Priority).To(Equal(2))
		Expect(store.Current().Rejected).To(HaveLen(1))
		Expect(store.Current().Rejected[0].Reason).To(ContainSubstring(`client-account "a": field priority; give 0 (lowest) to 9`))
		writes := store.Current().Repairs()
		Expect(writes).To(HaveLen(1))

		By("putting it into force in a store that starts from the service")
		lastValid := config.Record{Key: writes[0].Key, Value: writes[0].Value, Revision: 7}
		fresh := config.NewStore(codec.Decode)
		Expect(fresh.Update(config.FullUpdate([]config.Record{invalid, lastValid}))).To(Succeed())
		Expect(fresh.Current().Accounts["a"].Priority).To(Equal(2))
		Expect(fresh.Current().Repairs()).To(BeEmpty())

		By("clearing it when a valid record follows")
		Expect(fresh.Update(config.FullUpdate([]config.Record{atRevision(account("a", 3), 8), lastValid}))).To(Succeed())
		Expect(fresh.Current().Rejected).To(BeEmpty())
		Expect(fresh.Current().Repairs()).To(HaveLen(1))
		var cleared config.LastValid
		Expect(json.Unmarshal(fresh.Current().Repairs()[0].Value, &cleared)).To(Succeed())
		Expect(cleared.Record).To(BeEmpty())
	})

	// Guards against a process that ends, or that stops following the upstreams, because
	// another writer left one odd record among theirs.
	It("keeps the other upstreams beside an odd record", func() {
		upstream := func(name, spec string) config.Record {
			key := config.Key{Kind: config.KindUpstream, Name: name}
			return config.Record{Key: key.Path(), Value: []byte(`{"schemaVersion":2,"kind":"upstream","name":"` + name + `","spec":` + spec + `}`), Revision: 2}
		}
		const sound = `{"vm":"v","dataCentre":"d","address":"10.0.0.1:80","service":"s"}`
		const deep = 200_000
		for _, odd := range []string{
			strings.Repeat("[", deep) + strings.Repeat("]", deep), strings.Repeat(`{"vm":`, deep) + "1" + strings.Repeat("}", deep), strings.Repeat("[", deep),
			`{"vm":"v","dataCentre":"d","address":"10.0.0.9:65536","service":"s"}`, `{"vm":"v","dataCentre":"d","address":"10.0.0.9:0","service":"s"}`,
			`{"vm":"v","dataCentre":"d","address":"10.0.0.9","service":"s"}`,
			`{"vm":"v","dataCentre":"d","address":"10.0.0.9:80","group":"g","rank":9223372036854775807}`,
			`{"vm":"v","dataCentre":"d","address":"10.0.0.9:80","group":"g","rank":1` + strings.Repeat("0", 400) + `}`,
			`{"vm":"v","dataCentre":"d","address":"10.0.0.9:80","group":"g","rank":1e400}`, "null", "", "\xff",
		} {
			store := config.NewStore(codec.Decode)
			Expect(store.Update(config.FullUpdate([]config.Record{upstream("a", sound), upstream("odd", odd), upstream("b", sound)}))).To(Succeed())
			Expect(store.Current().Upstreams).To(And(HaveLen(2), HaveKey("a"), HaveKey("b")), "%.80s", odd)
			Expect(store.Current().Rejected).To(HaveLen(1))
			change := upstream("c", sound)
			change.Revision = 3
			Expect(store.Update(config.Update{From: 2, To: 3, Records: []config.Record{change}})).To(Succeed())
			Expect(store.Current().Upstreams).To(HaveLen(3), "%.80s", odd)
		}
	})

	It("sends an agent the records in its scope and the configuration's revision", func() {
		records := []config.Record{atRevision(account("a", 2), 1)}
		for n, group := range []string{"g", "g", "h"} {
			u := &config.Upstream{Name: fmt.Sprintf("u%d", n), DataCentre: "d", Address: "10.0.0.1:1", Group: group, Rank: n}
			value, err := v2.Encode(u)
			Expect(err).NotTo(HaveOccurred())
			records = append(records, config.Record{Key: u.Key().Path(), Value: value, Revision: int64(2 + n)})
		}
		Expect(store.Update(config.FullUpdate(records))).To(Succeed())
		agent := config.NewStore(codec.Decode)
		Expect(agent.Update(store.SinceFor("u0", 0, 0))).To(Succeed())
		Expect(agent.Current().Revision).To(Equal(int64(4)))
		Expect(agent.Current().Upstreams).To(HaveLen(2))
		Expect(agent.Current().Accounts).To(BeEmpty())

		By("sending no record for a change outside its scope")
		change := config.Update{From: 4, To: 5, Records: []config.Record{atRevision(account("a", 3), 5)}}
		Expect(store.Update(change)).To(Succeed())
		update := store.SinceFor("u0", 4, 0)
		Expect(update.Records).To(BeEmpty())
		Expect(agent.Update(update)).To(Succeed())
		Expect(agent.Current().Revision).To(Equal(int64(5)))
		Expect(agent.Current().Upstreams).To(HaveLen(2))
	})
})

// TestStoresAgree checks that stores which apply listings and each other's
// updates in any order, late or repeatedly, never go back to a lower revision
// and hold the same records after the last update.
func TestStoresAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		service := kv.NewStore(clockwork.NewFakeClock())
		stores := make([]*config.Store, 4)
		for i := range stores {
			stores[i] = config.NewStore(codec.Decode)
		}
		saved := []config.Update{config.FullUpdate(nil)}
		highest := make([]int64, len(stores))
		storeIndex := rapid.IntRange(0, len(stores)-1)
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) { putService(t, service) },
			"delete": func(t *rapid.T) {
				key := config.Key{Kind: config.KindPlainService, Name: accountName.Draw(t, "name")}.Path()
				if _, err := service.Delete(key, kvstore.AnyRevision); err == nil {
					touchEpoch(t, service)
				}
			},
			"elsewhere": func(t *rapid.T) { _, _ = service.Put(kvstore.Put{Key: "claim/x", Expect: kvstore.AnyRevision}) },
			"read":      func(*rapid.T) { saved = append(saved, config.FullUpdate(listRecords(service))) },
			"apply": func(t *rapid.T) {
				applyUpdate(t, stores[storeIndex.Draw(t, "store")], saved[rapid.IntRange(0, len(saved)-1).Draw(t, "update")])
			},
			"announce": func(t *rapid.T) {
				to, from := stores[storeIndex.Draw(t, "to")], stores[storeIndex.Draw(t, "from")]
				update := from.Since(to.Current().Revision, to.Current().Base)
				saved = append(saved, update)
				applyUpdate(t, to, update)
			},
			"": func(t *rapid.T) {
				for i, s := range stores {
					if s.Current().Revision < highest[i] {
						t.Fatalf("store %d went from %d to %d", i, highest[i], s.Current().Revision)
					}
					highest[i] = s.Current().Revision
				}
			},
		})
		last := config.FullUpdate(listRecords(service))
		_ = stores[0].Update(last)
		for _, s := range stores[1:] {
			_ = s.Update(stores[0].Since(s.Current().Revision, s.Current().Base))
			if !reflect.DeepEqual(s.Current().Records, stores[0].Current().Records) {
				t.Fatalf("at revisions %d and %d:\n%v\n%v", s.Current().Revision, stores[0].Current().Revision, s.Current().Records, stores[0].Current().Records)
			}
		}
	})
}

// applyUpdate updates a store and fails on an error of kind Conflict, since the
// service was never restored.
func applyUpdate(t *rapid.T, s *config.Store, u config.Update) {
	if err := s.Update(u); fault.KindOf(err) == fault.Conflict {
		t.Fatalf("%v", err)
	}
}

var accountName = rapid.SampledFrom([]string{"a", "b", "c"})

func putService(t *rapid.T, service *kv.Store) {
	o := &config.PlainService{Name: accountName.Draw(t, "name")}
	value, err := v2.Encode(o)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := service.Put(kvstore.Put{Key: o.Key().Path(), Value: value, Expect: kvstore.AnyRevision}); err != nil {
		t.Fatal(err)
	}
}

func touchEpoch(t *rapid.T, service *kv.Store) {
	if _, err := service.Put(kvstore.Put{Key: config.EpochKey, Value: config.EncodeEpoch(0), Expect: kvstore.AnyRevision}); err != nil {
		t.Fatal(err)
	}
}

func listRecords(service *kv.Store) []config.Record {
	var records []config.Record
	for _, i := range service.List(config.Prefix).Items {
		records = append(records, config.Record{Key: i.Key, Value: i.Value, Revision: i.ModRevision})
	}
	return records
}
