package fleet_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/fleet"
	"github.com/kingcupreel/kingcupreel/internal/kvstore"
	"github.com/kingcupreel/kingcupreel/internal/quarantine"
	"github.com/kingcupreel/kingcupreel/internal/standin/kv"
	"github.com/kingcupreel/kingcupreel/internal/wire"
	"github.com/kingcupreel/kingcupreel/platform"
)

// reporter is one entry's exchange of crash reports.
type reporter struct {
	*fleet.CrashReports
	address string
}

func newReporter(t *testing.T, ctx context.Context, name string) *reporter {
	t.Helper()
	probe, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	address := probe.LocalAddr().String()
	probe.Close()
	datagrams, err := fleet.ListenDatagrams(address, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	clock := clockwork.NewRealClock()
	r := &reporter{address: address, CrashReports: &fleet.CrashReports{
		Self: name, View: fleet.NewView(clock, zap.NewNop()), Datagrams: datagrams, Table: quarantine.NewTable(clock), Clock: clock, Log: zap.NewNop(),
	}}
	go datagrams.Run(ctx, func(_ netip.AddrPort, m wire.Message) { r.Handle(m.(*wire.CrashReport)) })
	return r
}

func (r *reporter) knows(others ...*reporter) {
	var items []kvstore.Item
	for _, o := range append(others, r) {
		value, _ := json.Marshal(fleet.Member{Name: o.Self, Role: fleet.RoleEntry, Address: o.address})
		items = append(items, kvstore.Item{Key: "kingcupreel/members/" + o.Self, Value: value})
	}
	r.View.Replace(kvstore.Listing{Items: items})
}

// What one entry sees of crashes reaches the others at once, and one that starts later soon.
func TestCrashReportsReachOtherEntries(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	a, b, late := newReporter(t, ctx, "a"), newReporter(t, ctx, "b"), newReporter(t, ctx, "late")
	a.knows(b)
	bad := quarantine.Suspect{Parts: quarantine.PartFingerprints([]string{"bad"})}
	first := time.Now().Add(-time.Minute)
	for i, crash := range []string{"u1/1", "u2/1", "u3/1"} {
		r := quarantine.Report{ID: crash, Upstream: crash, Crash: crash, AtMS: first.Add(time.Duration(i) * time.Second).UnixMilli(), Suspects: []quarantine.Suspect{bad}}
		a.Table.Add(r)
		a.Send(r)
	}
	g.Eventually(func() error { return b.Table.Check(bad) }, "5s").Should(HaveOccurred())
	b.knows(late)
	go b.Run(ctx)
	g.Eventually(func() error { return late.Table.Check(bad) }, "10s").Should(HaveOccurred())
}

// All entries end at once, for instance by a loss of power, after a part was convicted: they
// find the evidence in the key-value service when they start again.
func TestEvidenceOutlivesAllEntries(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	state := kv.NewStore(clockwork.NewRealClock())
	srv := httptest.NewServer(kv.NewServer(state).Handler())
	defer srv.Close()
	before, after := newReporter(t, ctx, "before"), newReporter(t, ctx, "after")
	before.KV = platform.NewStore(srv.URL, time.Second)
	bad := quarantine.Suspect{Fingerprint: "request", Parts: quarantine.PartFingerprints([]string{"bad", "innocent"})}
	for i := range 3 {
		crash := fmt.Sprint("u", i)
		before.Table.Add(quarantine.Report{ID: crash, Upstream: crash, Crash: crash, AtMS: time.Now().Add(time.Duration(i-4) * time.Second).UnixMilli(), Suspects: []quarantine.Suspect{bad}})
	}
	part := bad.Parts[0]
	g.Expect(before.Table.TakeConvicted()).To(ContainElement(part))
	before.Store(ctx, part)
	after.View.OnEvidence(after.Load)
	listing := state.List("kingcupreel/")
	g.Expect(listing.Items).To(HaveLen(1))
	g.Expect(listing.Items[0].Lease).NotTo(BeZero(), "it ends with the quarantine")
	after.View.Replace(kvstore.Listing{Items: append(listing.Items, kvstore.Item{Key: "kingcupreel/quarantine/x", Value: []byte("?")})})
	g.Expect(after.Table.Check(quarantine.Suspect{Parts: []quarantine.Fingerprint{part}})).NotTo(Succeed())
	g.Expect(after.Table.Check(quarantine.Suspect{Parts: bad.Parts[1:]})).To(Succeed())
	before.Remove(ctx, part)
	g.Expect(state.List("kingcupreel/").Items).To(BeEmpty())
}

// Guards against evidence that is lost since the key-value service was away at the conviction:
// an entry that starts later would send what is in quarantine.
func TestEvidenceIsStoredOnceTheStoreIsBack(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	state := kv.NewStore(clockwork.NewRealClock())
	store := kv.NewServer(state).Handler()
	var away atomic.Bool
	var refused atomic.Int32
	away.Store(true)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if away.Load() {
			refused.Add(1)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		store.ServeHTTP(w, r)
	}))
	defer srv.Close()
	c := newReporter(t, ctx, "c")
	c.KV = platform.NewStore(srv.URL, time.Second)
	bad := quarantine.Suspect{Parts: quarantine.PartFingerprints([]string{"bad", "cleared"})}
	for i := range 3 {
		crash := fmt.Sprint("u", i)
		c.Table.Add(quarantine.Report{ID: crash, Upstream: crash, Crash: crash, AtMS: time.Now().Add(time.Duration(i-4) * time.Second).UnixMilli(), Suspects: []quarantine.Suspect{bad}})
	}
	for _, part := range bad.Parts {
		go c.Store(ctx, part)
	}
	g.Eventually(refused.Load, "10s").Should(BeNumerically(">=", 2))
	c.Table.Add(quarantine.Report{ID: "success", AtMS: time.Now().UnixMilli(), Suspects: []quarantine.Suspect{{Parts: bad.Parts[1:]}}, Cleared: true})
	away.Store(false)
	items := func() []kvstore.Item { return state.List("kingcupreel/").Items }
	g.Eventually(items, "10s").Should(HaveLen(1))
	g.Expect(items()[0].Key).To(HaveSuffix(string(bad.Parts[0])))
	g.Consistently(items, "3s").Should(HaveLen(1))
}
