package feed_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/feed"
	"github.com/kingcupreel/kingcupreel/internal/kvstore"
)

// service answers watches by a script.
type service struct {
	kvstore.KV
	mu      sync.Mutex
	eras    *kvstore.Eras
	watches []time.Duration
	script  []func() (kvstore.Batch, error)
	lists   int
}

func (s *service) Eras() *kvstore.Eras { return s.eras }

func (s *service) List(context.Context, string) (kvstore.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	era, _ := s.eras.Current()
	return kvstore.Listing{Revision: int64(10 * s.lists), Era: era, Items: []kvstore.Item{{Key: "p/a"}}}, nil
}

func (s *service) ListStale(ctx context.Context, prefix string) (kvstore.Listing, error) {
	return s.List(ctx, prefix)
}

func (s *service) Watch(ctx context.Context, _ string, _ int64, wait time.Duration) (kvstore.Batch, error) {
	s.mu.Lock()
	s.watches = append(s.watches, wait)
	if len(s.script) == 0 {
		s.mu.Unlock()
		<-ctx.Done()
		return kvstore.Batch{}, ctx.Err()
	}
	f := s.script[0]
	s.script = s.script[1:]
	s.mu.Unlock()
	return f()
}

// sink records the calls it receives, in order.
type sink struct {
	mu    sync.Mutex
	calls []string
}

func (s *sink) record(call string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, call)
}

func (s *sink) Replace(kvstore.Listing) { s.record("replace") }
func (s *sink) Apply(kvstore.Batch)     { s.record("apply") }

func (s *sink) SetReachable(ok bool) {
	if ok {
		s.record("reachable")
	} else {
		s.record("unreachable")
	}
}

func (s *sink) recorded() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.calls...)
}

// The sink is told that the service is reachable again before it receives the
// changes, and the first watch after a failure doesn't wait. A key whose
// deletion arrives then may have expired because of the outage; one that is
// deleted later did not.
func TestRecoveryIsReportedBeforeChanges(t *testing.T) {
	g := NewWithT(t)
	change := func() (kvstore.Batch, error) {
		return kvstore.Batch{Revision: 12, Events: []kvstore.Event{{Item: kvstore.Item{Key: "p/a"}}}}, nil
	}
	fail := func() (kvstore.Batch, error) {
		return kvstore.Batch{}, fault.New(fault.Unavailable, "", "the service is unavailable")
	}
	kv := &service{script: []func() (kvstore.Batch, error){change, fail, fail, change}}
	recorder := &sink{}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f := &feed.Feed{KV: kv, Prefix: "p/", Sink: recorder, WatchTimeout: time.Minute, Clock: clockwork.NewRealClock(), Log: zap.NewNop()}
	go f.Run(ctx)
	g.Eventually(recorder.recorded, "3s").Should(Equal([]string{"reachable", "replace", "apply", "unreachable", "reachable", "apply"}))
	kv.mu.Lock()
	defer kv.mu.Unlock()
	g.Expect(kv.watches[0]).To(BeNumerically(">", 40*time.Second))
	g.Expect(kv.watches[2]).To(BeNumerically("<", time.Second))
	g.Expect(kv.watches[3]).To(BeNumerically("<", time.Second))
}

// A service that has discarded the watched revision is listed again.
func TestDiscardedRevisionIsListedAgain(t *testing.T) {
	g := NewWithT(t)
	kv := &service{script: []func() (kvstore.Batch, error){
		func() (kvstore.Batch, error) {
			return kvstore.Batch{}, fault.New(fault.Stale, "", "the revision was discarded")
		},
	}}
	recorder := &sink{}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f := &feed.Feed{KV: kv, Prefix: "p/", Sink: recorder, Clock: clockwork.NewRealClock(), Log: zap.NewNop()}
	go f.Run(ctx)
	g.Eventually(recorder.recorded, "3s").Should(Equal([]string{"reachable", "replace", "replace"}))
}

// A new era of the service is a new listing, whichever call saw it first. Changes that a
// watch returns from the new era are not applied to the old listing.
func TestNewEraIsListedAgain(t *testing.T) {
	for name, watch := range map[string]func(kv *service) (kvstore.Batch, error){
		"seen by the watch": func(kv *service) (kvstore.Batch, error) {
			kv.eras.Observe(2)
			return kvstore.Batch{Revision: 11, Era: 2, Events: []kvstore.Event{{Item: kvstore.Item{Key: "p/a"}}}}, nil
		},
		"seen by another call": func(kv *service) (kvstore.Batch, error) {
			kv.eras.Observe(2)
			return kvstore.Batch{}, context.Canceled
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			kv := &service{eras: kvstore.NewEras()}
			kv.eras.Observe(1)
			kv.script = []func() (kvstore.Batch, error){func() (kvstore.Batch, error) { return watch(kv) }}
			recorder := &sink{}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			f := &feed.Feed{KV: kv, Prefix: "p/", Sink: recorder, Clock: clockwork.NewRealClock(), Log: zap.NewNop()}
			go f.Run(ctx)
			g.Eventually(recorder.recorded, "3s").Should(Equal([]string{"reachable", "replace", "replace"}))
			g.Consistently(recorder.recorded, "200ms").Should(HaveLen(3))
		})
	}
}

// A watch that is waiting ends when another call has seen a new era.
func TestNewEraEndsAWaitingWatch(t *testing.T) {
	g := NewWithT(t)
	kv := &service{eras: kvstore.NewEras()}
	kv.eras.Observe(1)
	recorder := &sink{}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go (&feed.Feed{KV: kv, Prefix: "p/", Sink: recorder, Clock: clockwork.NewRealClock(), Log: zap.NewNop()}).Run(ctx)
	g.Eventually(recorder.recorded, "3s").Should(Equal([]string{"reachable", "replace"}))
	kv.eras.Observe(2)
	g.Eventually(recorder.recorded, "3s").Should(Equal([]string{"reachable", "replace", "replace"}))
}
