package provider

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/config/codec"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/kvstore"
	"github.com/kingcupreel/kingcupreel/internal/membership"
	"github.com/kingcupreel/kingcupreel/internal/standin/kv"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

func TestProvider(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "provider")
}

// service is the key-value stand-in without a network. The next Put fails with
// failBefore, without taking effect, or with failAfter, once it has taken
// effect.
type service struct {
	kvstore.KV
	store                 *kv.Store
	eras                  *kvstore.Eras
	failBefore, failAfter error
	// meanwhile runs once, before a Put or a List returns its answer.
	meanwhile func()
}

// Eras implements kvstore.KV as if an answer of the store had just arrived.
func (s *service) Eras() *kvstore.Eras {
	if s.eras == nil {
		s.eras = kvstore.NewEras()
	}
	s.eras.Observe(s.store.Era())
	return s.eras
}

func (s *service) Get(_ context.Context, key string) (kvstore.Item, error) { return s.store.Get(key) }

func (s *service) List(_ context.Context, prefix string) (kvstore.Listing, error) {
	l := s.store.List(prefix)
	if s.meanwhile != nil {
		s.meanwhile()
		s.meanwhile = nil
	}
	return l, nil
}

func (s *service) Put(_ context.Context, p kvstore.Put) (int64, error) {
	if err := s.failBefore; err != nil {
		s.failBefore = nil
		return 0, err
	}
	revision, err := s.store.Put(p)
	if s.meanwhile != nil {
		s.meanwhile()
		s.meanwhile = nil
	}
	if s.failAfter != nil && err == nil {
		err, s.failAfter = s.failAfter, nil
		return 0, err
	}
	return revision, err
}

func (s *service) Watch(_ context.Context, prefix string, after int64, _ time.Duration) (kvstore.Batch, error) {
	b, _, err := s.store.Changes(prefix, after)
	return b, err
}

var _ = Describe("a write", func() {
	var s *service
	lost := fault.New(fault.Timeout, "", "no answer")
	put := func(value string, expect int64) (int64, error) {
		return Put(context.Background(), s, kvstore.Put{Key: "config/k", Value: []byte(value), Expect: expect})
	}
	BeforeEach(func() { s = &service{store: kv.NewStore(clockwork.NewFakeClock())} })

	It("is recognised when it took effect and the answer was lost", func() {
		s.failAfter = lost
		Expect(put("a", 0)).To(Equal(int64(1)))
	})
	It("is retried when it was lost before it took effect", func() {
		s.failBefore = lost
		Expect(put("a", 0)).To(Equal(int64(1)))
	})
	It("is a conflict when another write won", func() {
		Expect(put("a", 0)).To(Equal(int64(1)))
		_, err := put("b", 0)
		Expect(fault.KindOf(err)).To(Equal(fault.Conflict))
	})
	It("is a conflict when another write followed the one without an answer", func() {
		s.failAfter = lost
		s.meanwhile = func() { _, _ = s.store.Put(kvstore.Put{Key: "config/k", Value: []byte("b"), Expect: 1}) }
		_, err := put("a", 0)
		Expect(fault.KindOf(err)).To(Equal(fault.Conflict))
	})
})

// connect returns the peer's end of a connection to the puller, and the
// messages that the peer receives.
func connect(l *ConfigPuller) (*wire.Conn, chan wire.Message) {
	_, c, sent := dial(l)
	return c, sent
}

// dial returns the puller's end and the peer's end of a connection, and the
// messages that the peer receives.
func dial(l *ConfigPuller) (own, peer *wire.Conn, received chan wire.Message) {
	near, far := net.Pipe()
	sent := make(chan wire.Message, 16)
	pullerConn := wire.NewConn(near, l, wire.Options{})
	peerConn := wire.NewConn(far, &wire.Mux{Default: func(_ *wire.Conn, m wire.Message) { sent <- m }}, wire.Options{})
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go func() { _ = pullerConn.Run(ctx) }()
	go func() { _ = peerConn.Run(ctx) }()
	return pullerConn, peerConn, sent
}

func record(name string, revision int64) config.Record {
	value := fmt.Sprintf(`{"schemaVersion":2,"kind":"plain-service","name":%q,"spec":{}}`, name)
	return config.Record{Key: "config/plain-service/" + name, Value: []byte(value), Revision: revision}
}

var _ = Describe("a configuration puller", func() {
	var l *ConfigPuller
	var clock *clockwork.FakeClock
	revision := func() int64 { return l.Store.Current().Revision }
	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		l = NewConfigPuller(config.NewStore(codec.Decode), "", clock)
	})

	It("pulls once from a peer that is ahead", func() {
		c, sent := connect(l)
		Expect(c.Send(&wire.ConfigState{Revision: 5})).To(Succeed())
		Expect(c.Send(&wire.ConfigState{Revision: 5})).To(Succeed())
		Eventually(sent).Should(Receive(Equal(&wire.ConfigPull{})))
		sendUpdate(c, config.FullUpdate([]config.Record{record("a", 5)}))
		Eventually(revision).Should(Equal(int64(5)))
		Expect(sent).To(BeEmpty())
	})

	It("applies an update only when all its parts have arrived", func() {
		own, _, _ := dial(l)
		l.Receive(own, &wire.ConfigState{Revision: 6})
		first := wire.ConfigRecord(record("a", 5))
		second := wire.ConfigRecord(record("b", 6))
		l.Receive(own, &wire.ConfigUpdate{To: 6, Full: true, Part: 1, Parts: 2, Records: []wire.ConfigRecord{first}})
		Expect(revision()).To(BeZero())
		l.Receive(own, &wire.ConfigUpdate{To: 6, Full: true, Part: 2, Parts: 2, Records: []wire.ConfigRecord{second}})
		Expect(revision()).To(Equal(int64(6)))
		Expect(l.Store.Current().Services).To(HaveLen(2))
	})

	It("rejects an older snapshot from a peer", func() {
		Expect(l.Store.Update(config.FullUpdate([]config.Record{record("a", 5)}))).To(Succeed())
		c, sent := connect(l)
		Expect(c.Send(&wire.ConfigState{Revision: 7})).To(Succeed())
		Eventually(sent).Should(Receive())
		sendUpdate(c, config.FullUpdate([]config.Record{record("a", 4)}))
		Expect(c.Send(&wire.ConfigState{Revision: 4})).To(Succeed())
		Expect(c.Send(&wire.ConfigState{Revision: 8})).To(Succeed())
		Eventually(sent).Should(Receive(Equal(&wire.ConfigPull{Revision: 5})))
		Expect(revision()).To(Equal(int64(5)))
	})

	It("asks another peer when one gives no answer", func() {
		mute, _ := connect(l)
		Expect(mute.Send(&wire.ConfigState{Revision: 5})).To(Succeed())
		c, sent := connect(l)
		Eventually(func() bool {
			l.mu.Lock()
			defer l.mu.Unlock()
			return l.pull.conn != nil
		}).Should(BeTrue())
		clock.Advance(pullTimeout)
		Expect(c.Send(&wire.ConfigState{Revision: 5})).To(Succeed())
		Eventually(sent).Should(Receive(Equal(&wire.ConfigPull{})))
	})
})

var _ = Describe("a source", func() {
	It("gives a deletion by another tool a revision of its own", func() {
		s := &service{store: kv.NewStore(clockwork.NewFakeClock())}
		for _, name := range []string{"a", "b"} {
			r := record(name, 0)
			_, err := s.store.Put(kvstore.Put{Key: r.Key, Value: r.Value})
			Expect(err).NotTo(HaveOccurred())
		}
		x := NewExchange(config.NewStore(codec.Decode), &membership.View{}, clockwork.NewFakeClock())
		source := &Source{KV: s, Exchange: x, IsWatcher: func() bool { return true }, Log: zap.NewNop(), pendingDeletions: map[string]int64{}}
		poll := func() { Expect(source.poll(context.Background())).To(Succeed()) }
		poll()
		Expect(x.Store.Current().Revision).To(Equal(int64(2)))
		_, err := s.store.Delete("config/plain-service/b", kvstore.AnyRevision)
		Expect(err).NotTo(HaveOccurred())
		poll()
		Expect(x.Store.Current().Revision).To(Equal(int64(2)), "a deletion alone does not change the revision")
		poll()
		Expect(x.Store.Current().Revision).To(Equal(int64(4)))
		Expect(x.Store.Current().Services).To(HaveLen(1))
		poll()
		Expect(x.Store.Current().Revision).To(Equal(int64(4)), "one epoch write is enough")
	})
})

var _ = Describe("a listing", func() {
	It("does not indicate a restore when a peer's newer update arrives first", func() {
		s := &service{store: kv.NewStore(clockwork.NewFakeClock())}
		x := NewExchange(config.NewStore(codec.Decode), &membership.View{}, clockwork.NewFakeClock())
		source := &Source{KV: s, Exchange: x, IsWatcher: func() bool { return true }, Log: zap.NewNop(), pendingDeletions: map[string]int64{}}
		s.meanwhile = func() {
			Expect(x.Store.Update(config.FullUpdate([]config.Record{record("a", 5)}))).To(Succeed())
		}
		Expect(source.list(context.Background())).To(Succeed())
		Expect(x.Store.Restored()).To(BeNil())
		Expect(source.list(context.Background())).To(Succeed())
		Expect(x.Store.Restored()).NotTo(BeNil(), "the service is behind the configuration that was in force before the listing")
	})
})

var _ = Describe("a service that comes back from an older copy", func() {
	It("is noticed although its revision has passed the watched one", func() {
		s := &service{store: kv.NewStore(clockwork.NewFakeClock())}
		write := func(name string) {
			r := record(name, 0)
			_, err := s.store.Put(kvstore.Put{Key: r.Key, Value: r.Value, Expect: kvstore.AnyRevision})
			Expect(err).NotTo(HaveOccurred())
		}
		write("a")
		s.store.Save()
		write("b")
		x := NewExchange(config.NewStore(codec.Decode), &membership.View{}, clockwork.NewFakeClock())
		source := &Source{KV: s, Exchange: x, IsWatcher: func() bool { return true }, Log: zap.NewNop(), pendingDeletions: map[string]int64{}}
		Expect(source.poll(context.Background())).To(Succeed())
		s.store.Revert()
		write("c")
		write("d")
		Expect(source.poll(context.Background())).To(Succeed())
		Expect(x.Store.Restored()).NotTo(BeNil())
		Expect(x.Store.Current().Services).To(HaveLen(2), "what was in force stays in force")
	})
})

var _ = Describe("an entry that does not watch", func() {
	It("reads the service at a start without peers, and when it receives no announcements", func() {
		clock := clockwork.NewFakeClock()
		x := NewExchange(config.NewStore(codec.Decode), &membership.View{}, clock)
		source := &Source{Exchange: x, IsWatcher: func() bool { return false }}
		Expect(source.mustFollow()).To(BeFalse())
		clock.Advance(startDelay + startJitter)
		Expect(source.mustFollow()).To(BeTrue())

		Expect(x.Store.Update(config.FullUpdate([]config.Record{record("a", 5)}))).To(Succeed())
		x.PeerAge.Observe(0)
		clock.Advance(staleAfter)
		Expect(source.mustFollow()).To(BeFalse())
		clock.Advance(staleJitter)
		Expect(source.mustFollow()).To(BeTrue())
		x.PeerAge.Observe(0)
		Expect(source.mustFollow()).To(BeFalse())
	})
})

var _ = Describe("an age", func() {
	It("is passed between processes whose clocks disagree", func() {
		far, near := clockwork.NewFakeClockAt(time.Unix(1e9, 0)), clockwork.NewFakeClock()
		a, b := NewAge(far), NewAge(near)
		b.Observe(fromWire(a.wire()))
		_, known := b.Get()
		Expect(known).To(BeFalse())
		a.Observe(0)
		far.Advance(3 * time.Second)
		b.Observe(fromWire(a.wire()))
		near.Advance(time.Second)
		age, known := b.Get()
		Expect(known).To(BeTrue())
		Expect(age).To(Equal(4 * time.Second))
	})
})
