// Package fleet lets the processes of a platform deployment know each other:
// each registers in the key-value service under a lease, follows the others'
// registrations, and exchanges small datagrams with them.
package fleet

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/kvstore"
)

// Keys of the key-value service that the fleet's processes write.
const (
	Prefix       = "kingcupreel/"
	memberPrefix = Prefix + "members/"
	leaderPrefix = Prefix + "leaders/"
)

// LeaderKey is the key that the leader of a rank group holds.
func LeaderKey(group string) string { return leaderPrefix + group }

// Role is what a process does.
type Role string

// The roles.
const (
	RoleEntry Role = "entry"
	RoleRank  Role = "rank"
)

// Member is a process of the deployment.
type Member struct {
	Name       string `json:"name"`
	Role       Role   `json:"role"`
	DataCentre string `json:"data_centre"`
	// Address is the inner protocol's, IP:port, for TCP and UDP alike.
	Address string `json:"address"`
	// Upstream is the address of the upstream that a rank process looks after.
	Upstream string `json:"upstream,omitempty"`
}

// View is what the registrations show. It implements feed.Sink and is safe for
// concurrent use; its lock is a leaf.
type View struct {
	clock clockwork.Clock
	log   *zap.Logger

	mu        sync.Mutex
	members   map[string]Member
	expiredAt map[string]time.Time
	leaders   map[string]string
	// onRegistrationEnd is told the name of a process whose registration ends.
	onRegistrationEnd func(name string)
	syncedAt          time.Time
	entryPeak         recentMax
}

// NewView returns an empty view.
func NewView(clock clockwork.Clock, log *zap.Logger) *View {
	return &View{clock: clock, log: log, members: map[string]Member{}, expiredAt: map[string]time.Time{}, leaders: map[string]string{}}
}

// Replace implements feed.Sink.
func (v *View) Replace(l kvstore.Listing) {
	v.mu.Lock()
	defer v.mu.Unlock()
	previous := v.members
	v.members, v.leaders = map[string]Member{}, map[string]string{}
	for _, item := range l.Items {
		v.applyItem(item)
	}
	for name, m := range previous {
		if _, registered := v.members[name]; !registered {
			v.members[name] = m
			v.markExpired(name)
		}
	}
	if v.syncedAt.IsZero() {
		v.syncedAt = v.clock.Now()
	}
	v.recordEntryCount()
}

// Apply implements feed.Sink.
func (v *View) Apply(b kvstore.Batch) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range b.Events {
		if e.Deleted {
			v.markExpired(strings.TrimPrefix(e.Item.Key, memberPrefix))
			delete(v.leaders, strings.TrimPrefix(e.Item.Key, leaderPrefix))
			v.log.Info("registration ended", zap.String("key", e.Item.Key), zap.Int64("revision", e.Item.ModRevision))
			continue
		}
		v.applyItem(e.Item)
	}
	v.recordEntryCount()
}

// SetReachable implements feed.Sink.
func (*View) SetReachable(bool) {}

// applyItem takes one item. The caller holds mu.
func (v *View) applyItem(item kvstore.Item) {
	if group, ok := strings.CutPrefix(item.Key, leaderPrefix); ok {
		v.leaders[group] = string(item.Value)
		v.log.Info("group has a leader", zap.String("group", group), zap.String("leader", string(item.Value)), zap.Int64("fence", item.CreateRevision))
		return
	}
	name, ok := strings.CutPrefix(item.Key, memberPrefix)
	if !ok {
		return
	}
	var m Member
	if err := json.Unmarshal(item.Value, &m); err != nil || m.Name != name || m.Address == "" {
		v.log.Warn("registration passed over", zap.String("key", item.Key), zap.Error(err))
		return
	}
	v.members[name] = m
	delete(v.expiredAt, name)
}

// expiryGrace is how long a process whose registration has ended is still
// taken for alive: registrations that lapse with an outage of the service are
// back sooner, and a datagram to a dead process harms nobody.
const expiryGrace = 10 * time.Second

// markExpired notes the end of a registration, and forgets those that ended long ago.
// The caller holds mu.
func (v *View) markExpired(name string) {
	now := v.clock.Now()
	if _, known := v.members[name]; known && v.expiredAt[name].IsZero() {
		v.expiredAt[name] = now
		if v.onRegistrationEnd != nil {
			v.onRegistrationEnd(name)
		}
	}
	for n, at := range v.expiredAt {
		if now.Sub(at) > expiryGrace {
			delete(v.members, n)
			delete(v.expiredAt, n)
		}
	}
}

// OnRegistrationEnd registers the function that is told of each registration that ends.
// It is set before the view is used, and must not block or call the view.
func (v *View) OnRegistrationEnd(f func(name string)) { v.onRegistrationEnd = f }

// Members returns the processes of a role, by name.
func (v *View) Members(role Role) []Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	var list []Member
	for _, m := range v.members {
		if m.Role == role {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// Get returns the process of a name.
func (v *View) Get(name string) (Member, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	m, ok := v.members[name]
	return m, ok
}

// Leader returns the name of the process that leads a group, "" for none.
func (v *View) Leader(group string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.leaders[group]
}

// Synced says whether the registrations have been read.
func (v *View) Synced() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.syncedAt.IsZero()
}

const (
	// settleDelay is how long the registrations of a deployment that starts take
	// to come in: processes start within a second and register at once.
	settleDelay = 3 * time.Second
	// peakWindow is how long a count is remembered: registrations that lapse
	// together with the service's outage come back sooner.
	peakWindow = 30 * time.Second
)

// EntryCount returns the number of entries, or 0 while it isn't known. It is the
// highest of the last peakMemory: a share computed from it is never too large.
func (v *View) EntryCount() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.syncedAt.IsZero() || v.clock.Since(v.syncedAt) < settleDelay {
		return 0
	}
	return v.entryPeak.max(v.clock.Now())
}

// recordEntryCount records the number of entries. The caller holds mu.
func (v *View) recordEntryCount() {
	n := 0
	for _, m := range v.members {
		if m.Role == RoleEntry {
			n++
		}
	}
	v.entryPeak.add(n, v.clock.Now())
}

// recentMax is the highest of the counts of the last peakMemory.
type recentMax struct{ samples []countSample }

type countSample struct {
	n int
	// replacedAt is when another count took its place; zero for the last.
	replacedAt time.Time
}

func (p *recentMax) add(n int, now time.Time) {
	if len(p.samples) > 0 {
		p.samples[len(p.samples)-1].replacedAt = now
	}
	p.samples = append(p.samples, countSample{n: n})
}

func (p *recentMax) max(now time.Time) int {
	for len(p.samples) > 1 && now.Sub(p.samples[0].replacedAt) > peakWindow {
		p.samples = p.samples[1:]
	}
	most := 0
	for _, c := range p.samples {
		most = max(most, c.n)
	}
	return most
}
