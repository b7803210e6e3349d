package relay_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/feed"
	"github.com/kingcupreel/kingcupreel/internal/fleet"
	"github.com/kingcupreel/kingcupreel/internal/kvstore"
	"github.com/kingcupreel/kingcupreel/internal/relay"
	"github.com/kingcupreel/kingcupreel/internal/standin/kv"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

const prefix = "servers/"

// service is the key-value service as one process sees it. It counts the process's calls
// and can be cut off.
type service struct {
	kvstore.KV
	store *kv.Store
	eras  *kvstore.Eras
	calls atomic.Int64
	cut   atomic.Bool
	// silent makes watches wait in vain.
	silent atomic.Bool
}

func (s *service) call() error {
	s.calls.Add(1)
	if s.cut.Load() {
		return fault.New(fault.Unavailable, "", "cut off")
	}
	s.eras.Observe(s.store.Era())
	return nil
}

func (s *service) Eras() *kvstore.Eras { return s.eras }

func (s *service) List(_ context.Context, p string) (kvstore.Listing, error) {
	if err := s.call(); err != nil {
		return kvstore.Listing{}, err
	}
	return s.store.List(p), nil
}

func (s *service) ListStale(ctx context.Context, p string) (kvstore.Listing, error) {
	return s.List(ctx, p)
}

func (s *service) Watch(ctx context.Context, p string, after int64, wait time.Duration) (kvstore.Batch, error) {
	if err := s.call(); err != nil {
		return kvstore.Batch{}, err
	}
	timeout := time.After(wait)
	for {
		b, changed, err := s.store.Changes(p, after)
		if err != nil || len(b.Events) > 0 && !s.silent.Load() {
			return b, err
		}
		select {
		case <-changed:
		case <-timeout:
			return b, s.call()
		case <-ctx.Done():
			return kvstore.Batch{}, ctx.Err()
		}
	}
}

// sink records the keys that a feed has read.
type sink struct {
	mu   sync.Mutex
	keys map[string]string
}

func (s *sink) Replace(l kvstore.Listing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys = map[string]string{}
	for _, i := range l.Items {
		s.keys[i.Key] = string(i.Value)
	}
}

func (s *sink) Apply(b kvstore.Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range b.Events {
		if e.Deleted {
			delete(s.keys, e.Item.Key)
		} else {
			s.keys[e.Item.Key] = string(e.Item.Value)
		}
	}
}

func (*sink) SetReachable(bool) {}

func (s *sink) value(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys[key]
}

// process is an entry or a rank agent.
type process struct {
	member  fleet.Member
	service *service
	client  *relay.Client
	mirror  *relay.Mirror
	sink    *sink
	feed    *feed.Feed
	ctx     context.Context
	stop    context.CancelFunc
}

// deployment is a data centre of processes that know each other.
type deployment struct {
	t         *testing.T
	store     *kv.Store
	processes []*process
}

func deploy(t *testing.T, entries, ranks int) *deployment {
	t.Helper()
	d := &deployment{t: t, store: kv.NewStore(clockwork.NewRealClock())}
	var items []kvstore.Item
	var listeners []net.Listener
	for i := range entries + ranks {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
		m := fleet.Member{Name: fmt.Sprint("p", i), Role: fleet.RoleEntry, DataCentre: "a", Address: l.Addr().String()}
		if i >= entries {
			m.Role = fleet.RoleRank
		}
		value, err := json.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		items = append(items, kvstore.Item{Key: "kingcupreel/members/" + m.Name, Value: value})
		d.processes = append(d.processes, &process{member: m, service: &service{store: d.store, eras: kvstore.NewEras()}, sink: &sink{}})
	}
	for _, l := range listeners {
		l.Close()
	}
	for _, p := range d.processes {
		d.start(p, items)
	}
	for _, p := range d.processes {
		go p.feed.Run(p.ctx)
	}
	return d
}

func (d *deployment) start(p *process, items []kvstore.Item) {
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	d.t.Cleanup(cancel)
	clock := clockwork.NewRealClock()
	view := fleet.NewView(clock, zap.NewNop())
	view.Replace(kvstore.Listing{Items: items})
	p.client = relay.NewClient(ctx, p.service, p.member, view, clock, zap.NewNop())
	p.mirror = relay.NewMirror(p.sink)
	server := &relay.Server{Client: p.client, Clock: clock}
	server.Add(prefix, p.mirror)
	if p.member.Role == fleet.RoleEntry {
		mux := &wire.Mux{Funcs: map[wire.Kind]func(*wire.Conn, wire.Message){
			wire.KindStoreQuery: func(c *wire.Conn, m wire.Message) { server.Handle(ctx, c, m.(*wire.StoreQuery)) },
		}}
		if err := fleet.Serve(ctx, p.member.Address, mux, zap.NewNop()); err != nil {
			d.t.Fatal(err)
		}
	}
	p.ctx, p.feed = ctx, &feed.Feed{KV: p.client, Prefix: prefix, Sink: p.mirror, WatchTimeout: 5 * time.Second, Clock: clock, Log: zap.NewNop()}
}

func (d *deployment) put(key, value string) {
	d.t.Helper()
	if _, err := d.store.Put(kvstore.Put{Key: prefix + key, Value: []byte(value), Expect: kvstore.AnyRevision}); err != nil {
		d.t.Fatal(err)
	}
}

// expectEverywhere waits until all processes but the given ones have a value.
func (d *deployment) expectEverywhere(g Gomega, within, key, value string, except ...*process) {
	for _, p := range d.processes {
		skip := false
		for _, e := range except {
			skip = skip || e == p
		}
		if !skip {
			g.Eventually(func() string { return p.sink.value(prefix + key) }, within).Should(Equal(value), p.member.Name)
		}
	}
}

// watchers returns the processes that read the service themselves.
func (d *deployment) watchers() (list []*process) {
	for _, p := range d.processes {
		if p.member.Role == fleet.RoleEntry && p.client.IsWatcher() {
			list = append(list, p)
		}
	}
	return list
}

// Of twelve processes one reads the service, and a change costs one watch.
func TestCallsDontGrowWithTheProcesses(t *testing.T) {
	g := NewWithT(t)
	d := deploy(t, 6, 6)
	d.put("a", "1")
	d.expectEverywhere(g, "5s", "a", "1")
	g.Expect(len(d.watchers())).To(Equal(1))
	total := func() (n int64) {
		for _, p := range d.processes {
			n += p.service.calls.Load()
		}
		return n
	}
	before := total()
	for i := range 5 {
		d.put("a", fmt.Sprint("v", i))
		d.expectEverywhere(g, "1s", "a", fmt.Sprint("v", i))
	}
	g.Expect(total() - before).To(BeNumerically("<=", 5+1))
}

// A watcher stops, and the others learn of changes within two seconds.
func TestStoppedWatcherIsReplaced(t *testing.T) {
	g := NewWithT(t)
	d := deploy(t, 5, 3)
	d.put("a", "1")
	d.expectEverywhere(g, "5s", "a", "1")
	failed := d.watchers()[0]
	failed.stop()
	d.put("a", "2")
	d.expectEverywhere(g, "2s", "a", "2", failed)
}

// The watcher and another entry are turned away by the service while it serves the others.
func TestWatcherThatCantReachTheServiceIsReplaced(t *testing.T) {
	g := NewWithT(t)
	d := deploy(t, 5, 3)
	d.put("a", "1")
	d.expectEverywhere(g, "5s", "a", "1")
	cut := d.watchers()
	for _, p := range d.processes[:2] {
		if p != cut[0] {
			cut = append(cut, p)
			break
		}
	}
	for _, p := range cut {
		p.service.cut.Store(true)
	}
	d.put("a", "2") // ends the watches in progress
	d.expectEverywhere(g, "3s", "a", "2", cut...)
	d.put("a", "3")
	d.expectEverywhere(g, "3s", "a", "3")
}

// A watcher's connection to the service has gone silent. A process that reads from it
// hears from another entry how far the service is, and passes it over.
func TestWatcherThatLiesBehindIsPassedOver(t *testing.T) {
	g := NewWithT(t)
	d := deploy(t, 6, 0)
	d.put("a", "1")
	d.expectEverywhere(g, "5s", "a", "1")
	behind := d.watchers()[0]
	behind.service.silent.Store(true)
	d.put("a", "2")
	latest := kvstore.Position{Era: 1, Revision: 2} // as an entry elsewhere knows it
	for _, p := range d.processes {
		p.client.ObserveChange(prefix, p.mirror, latest)
	}
	d.expectEverywhere(g, "2s", "a", "2", behind)
}

// The service comes back from an older copy. Every process lists the keys of the new era,
// also those that never call the service.
func TestNewEraReachesEveryProcess(t *testing.T) {
	g := NewWithT(t)
	d := deploy(t, 4, 4)
	d.put("a", "1")
	d.expectEverywhere(g, "5s", "a", "1")
	d.store.Save()
	d.put("a", "2")
	d.put("b", "2")
	d.expectEverywhere(g, "2s", "b", "2")
	d.store.Revert()
	d.put("c", "3")
	d.expectEverywhere(g, "3s", "c", "3")
	d.expectEverywhere(g, "1s", "a", "1")
	d.expectEverywhere(g, "1s", "b", "")
}

// While the service is out for everybody, reads fail as they would without watchers.
func TestOutageIsSeenByEveryProcess(t *testing.T) {
	g := NewWithT(t)
	d := deploy(t, 3, 1)
	d.put("a", "1")
	d.expectEverywhere(g, "5s", "a", "1")
	for _, p := range d.processes {
		p.service.cut.Store(true)
	}
	d.put("a", "2")
	rank := d.processes[3]
	g.Eventually(func() error {
		_, err := rank.client.List(t.Context(), prefix)
		return err
	}, "5s").Should(HaveOccurred())
	for _, p := range d.processes {
		p.service.cut.Store(false)
	}
	d.expectEverywhere(g, "5s", "a", "2")
}
