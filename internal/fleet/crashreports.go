package fleet

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/kvstore"
	"github.com/kingcupreel/kingcupreel/internal/quarantine"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

const (
	// crashReportInterval is how often an entry repeats one of its crash reports, for
	// entries that have started since or have missed it.
	crashReportInterval = 1 * time.Second
	// crashReportFanout is how many entries get each repetition.
	crashReportFanout = 4
	// storeRetryInterval is the time between two tries to store evidence.
	storeRetryInterval = 2 * time.Second
)

// CrashReports tells other entries which requests were in flight at crashes, and learns it
// from them. The evidence against those in quarantine is stored, so that entries that all
// end at once find it again.
type CrashReports struct {
	Self      string
	View      *View
	Datagrams *Datagrams
	KV        kvstore.KV
	Table     *quarantine.Table
	Clock     clockwork.Clock
	Log       *zap.Logger
}

// Send sends a report to every entry.
func (c *CrashReports) Send(r quarantine.Report) {
	m := wire.CrashReport(r)
	for _, p := range c.View.Members(RoleEntry) {
		if p.Name != c.Self {
			c.Datagrams.Send(p.Address, &m)
		}
	}
}

// Handle adds another entry's report.
func (c *CrashReports) Handle(m *wire.CrashReport) {
	r := quarantine.Report(*m)
	if c.Table.Add(r) {
		c.Log.Info("crash report received", zap.String("report", m.ID), zap.String("upstream", m.Upstream), zap.String("crash", m.Crash), zap.Int64("at_ms", m.AtMS), zap.Bool("cleared", m.Cleared), zap.Int("suspects", len(m.Suspects)), zap.Any("held", r.Held()))
	}
}

// Store stores the evidence against a request or part until its quarantine ends. While the
// key-value service doesn't take it, Store tries again.
func (c *CrashReports) Store(ctx context.Context, f quarantine.Fingerprint) {
	for tries := 1; c.Table.Quarantined(f); tries++ {
		err := c.storeOnce(ctx, f)
		if err == nil {
			return
		}
		if tries == 1 {
			c.Log.Warn("evidence not stored; trying again, and other entries still learn it from this one", zap.String("fingerprint", string(f)), zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return
		case <-c.Clock.After(storeRetryInterval):
		}
	}
}

func (c *CrashReports) storeOnce(ctx context.Context, f quarantine.Fingerprint) error {
	value, err := json.Marshal(c.Table.Evidence(f))
	if err != nil {
		return fault.Wrap(fault.Internal, err, "report this as a bug", "encoding the evidence")
	}
	lease, err := kvstore.Grant(ctx, c.KV, quarantine.Expiry)
	if err != nil {
		return err
	}
	_, err = c.KV.Put(ctx, kvstore.Put{Key: quarantinePrefix + string(f), Value: value, Expect: kvstore.AnyRevision, Lease: lease.ID})
	return err
}

// Remove removes the stored evidence against a part that has been cleared.
func (c *CrashReports) Remove(ctx context.Context, f quarantine.Fingerprint) {
	if _, err := c.KV.Delete(ctx, quarantinePrefix+string(f), kvstore.AnyRevision); err != nil && fault.KindOf(err) != fault.NotFound {
		c.Log.Warn("stored evidence not removed; it expires by itself", zap.String("fingerprint", string(f)), zap.Error(err))
	}
}

// Load adds stored evidence.
func (c *CrashReports) Load(value []byte) {
	var reports []quarantine.Report
	if err := json.Unmarshal(value, &reports); err != nil {
		c.Log.Warn("invalid evidence in the key-value service; ignoring it", zap.Error(err))
		return
	}
	for _, r := range reports {
		c.Table.Add(r)
	}
}

// Run repeats the relevant reports one after the other until ctx is done.
func (c *CrashReports) Run(ctx context.Context) {
	ticker := c.Clock.NewTicker(crashReportInterval)
	defer ticker.Stop()
	for next := 0; ; next++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		reports := c.Table.Relevant()
		if len(reports) == 0 {
			continue
		}
		m := wire.CrashReport(reports[next%len(reports)])
		peers := c.View.Members(RoleEntry)
		rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		for _, p := range peers[:min(crashReportFanout, len(peers))] {
			if p.Name != c.Self {
				c.Datagrams.Send(p.Address, &m)
			}
		}
	}
}
