package claim_test

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/claim"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/kvstore"
	"github.com/kingcupreel/kingcupreel/internal/standin/kv"
)

// faultyKV serves a stand-in's store in process, counts writes and loses the
// replies to the next loseReplies puts.
type faultyKV struct {
	kvstore.KV
	store       *kv.Store
	writes      int
	loseReplies int
}

func (*faultyKV) Eras() *kvstore.Eras { return nil }

func (f *faultyKV) Grant(_ context.Context, ttl time.Duration) (int64, error) {
	f.writes++
	return f.store.Grant(ttl), nil
}

func (f *faultyKV) Get(_ context.Context, key string) (kvstore.Item, error) {
	return f.store.Get(key)
}

func (f *faultyKV) Put(_ context.Context, p kvstore.Put) (int64, error) {
	f.writes++
	rev, err := f.store.Put(p)
	if f.loseReplies > 0 {
		f.loseReplies--
		return 0, fault.New(fault.Unavailable, "", "lost")
	}
	return rev, err
}

// keyAt returns a version 7 UUID with the timestamp t.
func keyAt(t time.Time) string {
	var u uuid.UUID
	ms := t.UnixMilli()
	for i := range 6 {
		u[i] = byte(ms >> (8 * (5 - i)))
	}
	u[6], u[8] = 0x70, 0x80
	return u.String()
}

var _ = Describe("Store", func() {
	var (
		ctx   = context.Background()
		clock *clockwork.FakeClock
		kvs   *faultyKV
		store *claim.Store
	)
	record := func(key, nonce string) claim.Record {
		return claim.Record{Account: "acc", Key: key, Generation: 1, Nonce: nonce}
	}
	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		kvs = &faultyKV{store: kv.NewStore(clock)}
		store = &claim.Store{KV: kvs, Clock: clock}
	})

	It("recognises its own write when the reply was lost", func() {
		kvs.loseReplies = 1
		stored, owned, err := store.Create(ctx, record("a", "n1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(owned).To(BeTrue())
		Expect(stored.Revision).NotTo(BeZero())
		stored, owned, err = store.Create(ctx, record("a", "n2"))
		Expect(err).NotTo(HaveOccurred())
		Expect(owned).To(BeFalse())
		Expect(stored.Record.Nonce).To(Equal("n1"))
	})

	It("uses two writes per call and one lease per ten minutes", func() {
		for _, key := range []string{"a", "b", "c", "d"} {
			stored, _, err := store.Create(ctx, record(key, key))
			Expect(err).NotTo(HaveOccurred())
			Expect(store.Complete(ctx, stored, claim.Answer{Status: 200})).To(Succeed())
		}
		Expect(kvs.writes).To(Equal(1 + 2*4))
	})

	It("keeps a claim for the retention and expires it soon after, without a write", func() {
		_, _, err := store.Create(ctx, record("a", "n"))
		Expect(err).NotTo(HaveOccurred())
		writes := kvs.writes
		clock.Advance(claim.Retention)
		_, err = store.Find(ctx, claim.ID{Account: "acc", Key: "a"})
		Expect(err).NotTo(HaveOccurred())
		clock.Advance(time.Hour)
		_, err = store.Find(ctx, claim.ID{Account: "acc", Key: "a"})
		Expect(fault.KindOf(err)).To(Equal(fault.NotFound))
		Expect(kvs.writes).To(Equal(writes))
	})

	It("replaces a lease that the service no longer has", func() {
		_, _, err := store.Create(ctx, record("a", "n"))
		Expect(err).NotTo(HaveOccurred())
		kvs.store.Revoke(1)
		_, owned, err := store.Create(ctx, record("b", "n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(owned).To(BeTrue())
	})

	It("rejects a key whose timestamp is past the retention or in the future", func() {
		now := clock.Now()
		Expect(claim.CheckKey("order-17", now)).To(Succeed())
		Expect(claim.CheckKey(keyAt(now), now)).To(Succeed())
		Expect(fault.KindOf(claim.CheckKey(keyAt(now.Add(-claim.Retention)), now))).To(Equal(fault.Stale))
		Expect(fault.KindOf(claim.CheckKey(keyAt(now.Add(time.Hour)), now))).To(Equal(fault.Invalid))
	})
})
