// Package fleet lets the processes of a platform deployment find each other:
// each process registers in the key-value service under a lease, watches the
// registrations of the others, and exchanges small datagrams with them.
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
	"github.com/kingcupreel/kingcupreel/internal/socket"
)

// Prefixes of the keys that the processes of the fleet write to the key-value
// service.
const (
	Prefix       = "kingcupreel/"
	memberPrefix = Prefix + "members/"
	leaderPrefix = Prefix + "leaders/"
	// quarantinePrefix is the prefix of the evidence against requests and parts of prompts
	// in quarantine, by fingerprint.
	quarantinePrefix = Prefix + "quarantine/"
)

// LeaderKey returns the key that the leader of a rank group holds.
func LeaderKey(group string) string { return leaderPrefix + group }

// Role is the kind of a process.
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
	// Address is the address for connections and datagrams between processes,
	// IP:port, with the same port for TCP and UDP.
	Address string `json:"address"`
	// Upstream is the address of the upstream that a rank process manages.
	Upstream string `json:"upstream,omitempty"`
}

// View holds the registered processes and group leaders. It implements
// feed.Sink and is safe for concurrent use; its lock is a leaf.
type View struct {
	clock clockwork.Clock
	log   *zap.Logger
	// createdAt is when the process started.
	createdAt time.Time

	mu sync.Mutex
	// members holds the registered processes and those whose registrations ended
	// within expiryGrace; expiredAt is when the latter ended. Both are by name.
	members   map[string]Member
	expiredAt map[string]time.Time
	// seenAt is when each member's registration was first seen.
	seenAt map[string]time.Time
	// leaders holds the name of each group's leader.
	leaders map[string]string
	// onRegistrationEnd is called with the name of each process whose registration
	// ends.
	onRegistrationEnd func(name string)
	// onEvidence is called with the evidence against each request or part in quarantine.
	onEvidence func(value []byte)
	syncedAt   time.Time
	entryPeak  recentMax
}

// NewView returns an empty view.
func NewView(clock clockwork.Clock, log *zap.Logger) *View {
	return &View{clock: clock, log: log, createdAt: clock.Now(), members: map[string]Member{}, expiredAt: map[string]time.Time{}, seenAt: map[string]time.Time{}, leaders: map[string]string{}}
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
		if e.Deleted && strings.HasPrefix(e.Item.Key, quarantinePrefix) {
			continue // the table lets the evidence expire itself
		}
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

// applyItem applies one leader or member key. The caller holds mu.
func (v *View) applyItem(item kvstore.Item) {
	if group, ok := strings.CutPrefix(item.Key, leaderPrefix); ok {
		v.leaders[group] = string(item.Value)
		v.log.Info("group has a new leader", zap.String("group", group), zap.String("leader", string(item.Value)), zap.Int64("fence", item.CreateRevision))
		return
	}
	if strings.HasPrefix(item.Key, quarantinePrefix) && v.onEvidence != nil {
		v.onEvidence(item.Value)
		return
	}
	name, ok := strings.CutPrefix(item.Key, memberPrefix)
	if !ok {
		return
	}
	var m Member
	if err := json.Unmarshal(item.Value, &m); err != nil || m.Name != name || !socket.ValidAddress(m.Address) {
		v.log.Warn("invalid registration; ignoring it", zap.String("key", item.Key), zap.Error(err))
		return
	}
	v.members[name] = m
	delete(v.expiredAt, name)
	if v.seenAt[name].IsZero() {
		v.seenAt[name] = v.clock.Now()
	}
}

// expiryGrace is how long a process is still listed after its registration has
// ended. Registrations that expire during an outage of the key-value service
// are restored sooner than that, and sending datagrams to a dead process does
// no harm.
const expiryGrace = 10 * time.Second

// markExpired records the end of a registration and removes the members whose
// registrations ended more than expiryGrace ago. The caller holds mu.
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
			delete(v.seenAt, n)
		}
	}
}

// OnRegistrationEnd sets the function that is called for each registration that
// ends. It is set before the view is used. f must not block or call the view.
func (v *View) OnRegistrationEnd(f func(name string)) { v.onRegistrationEnd = f }

// OnEvidence sets the function that is called with the evidence that processes store of
// requests and parts in quarantine. It is set before the view is used. f must not block or
// call the view.
func (v *View) OnEvidence(f func(value []byte)) { v.onEvidence = f }

// Members returns the processes with a role, sorted by name.
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

// Get returns the process with a name.
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

// Synced reports whether the registrations have been read once.
func (v *View) Synced() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.syncedAt.IsZero()
}

const (
	// settleDelay is how long the registrations take to become complete when a
	// deployment starts: processes start within a second and register at once.
	settleDelay = 3 * time.Second
	// peakWindow is how long a count of entries is remembered. Registrations that
	// expire together during an outage of the key-value service are restored
	// sooner than that.
	peakWindow = 30 * time.Second
)

// EntryCount returns the highest number of entries within the last peakWindow,
// or 0 while the number is not known. Since it is the highest, a share of a
// limit that is computed from it is never too large.
func (v *View) EntryCount() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.syncedAt.IsZero() || v.clock.Since(v.syncedAt) < settleDelay {
		return 0
	}
	return v.entryPeak.max(v.clock.Now())
}

// restartDelay is how long an entry that has restarted under its name leaves permits unused that
// the process before it may have used within the same second.
const restartDelay = 1100 * time.Millisecond

// joinDelay is how long a new entry isn't counted among those that act in common: it doesn't act
// before settleDelay has passed, which lets it count all that have joined within a second.
const joinDelay = settleDelay - time.Second

// EntryNames returns the sorted names of the entries, or nil while the entry self can't act on
// them in common with the others: until settleDelay after it has first seen its registration,
// when the others know of it too. They have known an entry all along that finds itself registered
// when it starts: it waits for restartDelay after its start.
func (v *View) EntryNames(self string) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	seenAt, registered := v.seenAt[self]
	actsFrom := seenAt.Add(settleDelay)
	if !seenAt.After(v.syncedAt) {
		actsFrom = v.createdAt.Add(restartDelay)
	}
	now := v.clock.Now()
	if !registered || now.Before(actsFrom) {
		return nil
	}
	var names []string
	for name, m := range v.members {
		joined := v.seenAt[name].After(v.syncedAt) && now.Sub(v.seenAt[name]) < joinDelay
		if m.Role == RoleEntry && !joined {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// recordEntryCount records the current number of entries. The caller holds mu.
func (v *View) recordEntryCount() {
	n := 0
	for _, m := range v.members {
		if m.Role == RoleEntry {
			n++
		}
	}
	v.entryPeak.add(n, v.clock.Now())
}

// recentMax tracks the highest of the counts within the last peakWindow.
type recentMax struct{ samples []countSample }

type countSample struct {
	n int
	// replacedAt is when a newer count replaced this one; zero for the newest.
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
