package lease

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/kvstore"
	"github.com/kingcupreel/kingcupreel/internal/standin/kv"
)

// service adapts the key-value stand-in. It can be unavailable and can lose the
// answers of writes.
type service struct {
	kvstore.KV
	store       *kv.Store
	eras        *kvstore.Eras
	unavailable bool
	loseAnswers bool
}

var errUnavailable = fault.New(fault.Unavailable, "try again", "the service is unavailable")

// Eras implements kvstore.KV as if an answer of the store had just arrived.
func (s *service) Eras() *kvstore.Eras {
	s.eras.Observe(s.store.Era())
	return s.eras
}

func (s *service) List(_ context.Context, prefix string) (kvstore.Listing, error) {
	return s.store.List(prefix), nil
}

func (s *service) Get(_ context.Context, key string) (kvstore.Item, error) { return s.store.Get(key) }

func (s *service) Grant(_ context.Context, ttl time.Duration) (int64, error) {
	if s.unavailable {
		return 0, errUnavailable
	}
	return s.store.Grant(ttl), nil
}

func (s *service) Put(_ context.Context, p kvstore.Put) (int64, error) {
	rev, err := s.store.Put(p)
	if s.loseAnswers {
		return 0, errUnavailable
	}
	return rev, err
}

func (s *service) KeepAlive(_ context.Context, id int64) error {
	if s.unavailable {
		return errUnavailable
	}
	return s.store.KeepAlive(id)
}

func (s *service) Revoke(_ context.Context, id int64) error {
	s.store.Revoke(id)
	return nil
}

const ttl = 12 * time.Second

func newFixture() (*service, *clockwork.FakeClock, func(process string) *Holder) {
	clock := clockwork.NewFakeClock()
	s := &service{store: kv.NewStore(clock), eras: kvstore.NewEras()}
	return s, clock, func(process string) *Holder {
		return &Holder{KV: s, Clock: clock, Key: "lease/g", Process: process, TTL: ttl}
	}
}

func TestEachHolderHasAHigherFencingNumber(t *testing.T) {
	s, clock, holder := newFixture()
	a, b := holder("a"), holder("b")
	if err := a.Refresh(t.Context()); err != nil || !a.Held() {
		t.Fatalf("a: %v, held %v", err, a.Held())
	}
	if err := b.Refresh(t.Context()); fault.KindOf(err) != fault.Conflict || b.Held() {
		t.Fatalf("b while a holds the lease: %v, held %v", err, b.Held())
	}
	clock.Advance(ttl + time.Second)
	s.store.ExpireLeases()
	if a.Held() {
		t.Fatal("a relies on an expired lease")
	}
	if err := b.Refresh(t.Context()); err != nil || b.Fence() <= a.Fence() {
		t.Fatalf("b after a: %v, fencing number %d after %d", err, b.Fence(), a.Fence())
	}
	if err := a.Refresh(t.Context()); fault.KindOf(err) != fault.NotFound || a.Held() {
		t.Fatalf("a after b: %v, held %v", err, a.Held())
	}
}

func TestRenewalKeepsFencingNumber(t *testing.T) {
	s, clock, holder := newFixture()
	a := holder("a")
	for range 20 {
		if err := a.Refresh(t.Context()); err != nil || !a.Held() {
			t.Fatalf("%v, held %v", err, a.Held())
		}
		clock.Advance(ttl / 2)
		s.store.ExpireLeases()
	}
	if process, fence, err := ReadHolder(t.Context(), s, "lease/g"); process != "a" || fence != a.Fence() || err != nil {
		t.Fatalf("holder %q with fencing number %d, %v", process, fence, err)
	}
}

func TestOutageEndsHoldBeforeLeaseExpires(t *testing.T) {
	s, clock, holder := newFixture()
	a := holder("a")
	_ = a.Refresh(t.Context())
	s.unavailable = true
	clock.Advance(ttl - ttl/safetyMarginDivisor)
	if err := a.Refresh(t.Context()); err == nil || a.Held() {
		t.Fatalf("%v, held %v", err, a.Held())
	}
	if _, err := s.store.Get("lease/g"); err != nil {
		t.Fatalf("the lease expired before its holder stopped relying on it: %v", err)
	}
}

func TestLostAnswerOfAcquireIsReadBack(t *testing.T) {
	s, _, holder := newFixture()
	a := holder("a")
	s.loseAnswers = true
	if err := a.Refresh(t.Context()); err != nil || !a.Held() {
		t.Fatalf("%v, held %v", err, a.Held())
	}
	if _, fence, _ := ReadHolder(t.Context(), s, "lease/g"); fence != a.Fence() {
		t.Fatalf("fencing number %d, but %d in the service", a.Fence(), fence)
	}
}

func TestRevisionWithoutHolderIsBelowNextFencingNumber(t *testing.T) {
	s, _, holder := newFixture()
	a, b := holder("a"), holder("b")
	_ = a.Refresh(t.Context())
	a.Release(t.Context())
	process, floor, err := ReadHolder(t.Context(), s, "lease/g")
	if process != "" || err != nil {
		t.Fatalf("%q, %v", process, err)
	}
	if _ = b.Refresh(t.Context()); b.Fence() <= floor {
		t.Fatalf("fencing number %d is not above %d", b.Fence(), floor)
	}
}

// The service comes back from a copy made before a acquired the lease, and gives the id of
// a's lease out again, to b. a stops at once and neither renews nor ends b's lease, and
// b's fencing number is higher although its revision is not.
func TestLeaseEndsWithItsEra(t *testing.T) {
	s, _, holder := newFixture()
	a, b := holder("a"), holder("b")
	s.store.Save()
	if _, err := s.store.Put(kvstore.Put{Key: "other", Expect: kvstore.AnyRevision}); err != nil {
		t.Fatal(err)
	}
	if err := a.Refresh(t.Context()); err != nil || !a.Held() {
		t.Fatalf("a: %v, held %v", err, a.Held())
	}
	before := a.Position()
	s.store.Revert()
	if a.Held() {
		t.Fatal("a relies on a lease of an earlier era")
	}
	if err := b.Refresh(t.Context()); err != nil || !b.Held() {
		t.Fatalf("b: %v, held %v", err, b.Held())
	}
	if b.Position().Revision >= before.Revision || b.Fence() <= before.FencingNumber() {
		t.Fatalf("b holds the lease at %+v with fencing number %d, a held it at %+v with %d", b.Position(), b.Fence(), before, before.FencingNumber())
	}
	if err := a.Refresh(t.Context()); fault.KindOf(err) != fault.NotFound {
		t.Fatalf("a renews with %v", err)
	}
	s.unavailable = true
	if err := a.Renew(t.Context()); fault.KindOf(err) != fault.NotFound {
		t.Fatalf("a renews a lease that it doesn't hold: %v", err)
	}
	s.unavailable = false
	a.Release(t.Context())
	if process, fence, err := ReadHolder(t.Context(), s, "lease/g"); process != "b" || fence != b.Fence() || err != nil {
		t.Fatalf("holder %q with fencing number %d, %v", process, fence, err)
	}
}
