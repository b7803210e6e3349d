package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/lease"
	"github.com/kingcupreel/kingcupreel/internal/membership"
	"github.com/kingcupreel/kingcupreel/internal/opapi"
	"github.com/kingcupreel/kingcupreel/internal/settings"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

const (
	// plannerLeasePrefix is where the planners' leases are, by group.
	plannerLeasePrefix = "lease/planner/"
	// plannersPerGroup is how many entries stand for a group's lease.
	plannersPerGroup = 2
	// rankTimeout bounds the wait for the ranks' answers.
	rankTimeout = 1 * time.Second
	// leaseReadTimeout bounds a read of the lease for an agent.
	leaseReadTimeout = 2 * time.Second
	// planScan is how often the records are looked through for new plans.
	planScan = 1 * time.Second
	// moveParts is how much more often the ranks are asked during a move.
	moveParts = 5
)

// planners are the group planners of an entry. Its lock is a leaf.
type planners struct {
	settings settings.Planner
	mu       sync.Mutex
	groups   map[string]*groupPlanner
	waits    map[uint64]chan *wire.MapAnswer
}

func newPlanners() *planners {
	return &planners{groups: map[string]*groupPlanner{}, waits: map[uint64]chan *wire.MapAnswer{}}
}

// routePlanner registers the messages of agents about expert maps.
func (e *Entry) routePlanner() {
	e.agentMux.Funcs[wire.KindMapAnswer] = func(_ *wire.Conn, m wire.Message) { e.planners.answered(m.(*wire.MapAnswer)) }
	e.agentMux.Funcs[wire.KindFenceAsk] = func(c *wire.Conn, m wire.Message) { go e.readLease(c, m.(*wire.FenceAsk)) }
}

// readLease reads a planner's lease for an agent that was asked to obey a
// fencing number it does not know. Without an answer from the service the
// agent gets none, and refuses the order.
func (e *Entry) readLease(c *wire.Conn, m *wire.FenceAsk) {
	ctx, cancel := context.WithTimeout(context.Background(), leaseReadTimeout)
	defer cancel()
	process, fence, err := lease.ReadHolder(ctx, e.opts.KV, plannerLeasePrefix+m.Group)
	if err != nil {
		e.count("planner.lease_unread")
		return
	}
	_ = c.Send(&wire.FenceInfo{Nonce: m.Nonce, Group: m.Group, Fence: fence, Holder: process})
}

// RunPlanners stands for the lease of every group with an expert-plan record
// until ctx is done.
func (e *Entry) RunPlanners(ctx context.Context, s settings.Planner) {
	e.planners.settings = s
	var stands []string
	for ctx.Err() == nil {
		snap := e.opts.Store.Current()
		var now []string
		for group := range snap.Plans {
			e.startPlanner(ctx, group)
			if e.standsFor(group) {
				now = append(now, group)
			}
		}
		slices.Sort(now)
		if !slices.Equal(now, stands) {
			e.links.reconcile(ctx, e)
			stands = now
		}
		select {
		case <-ctx.Done():
		case <-time.After(planScan/2 + rand.N(planScan)):
		}
	}
}

// addPlannedRanks adds every rank of the groups that the entry stands for to
// the upstreams that it connects to.
func (e *Entry) addPlannedRanks(s *config.Snapshot, wanted map[string]bool) {
	for name, u := range s.Upstreams {
		if s.Plans[u.Group] != nil && s.Groups[u.Group] != nil && e.standsFor(u.Group) {
			wanted[name] = true
		}
	}
}

func (e *Entry) startPlanner(ctx context.Context, group string) {
	e.planners.mu.Lock()
	defer e.planners.mu.Unlock()
	if e.planners.groups[group] != nil {
		return
	}
	g := &groupPlanner{entry: e, group: group}
	g.holder = lease.Holder{KV: e.opts.KV, Clock: clockwork.NewRealClock(), Key: plannerLeasePrefix + group, Process: e.opts.Hello.Process, TTL: e.planners.settings.Lease}
	e.planners.groups[group] = g
	go g.run(ctx)
}

func (e *Entry) stopPlanner(group string) {
	e.planners.mu.Lock()
	defer e.planners.mu.Unlock()
	delete(e.planners.groups, group)
}

// standsFor says whether this entry is one of those that stand for a group's
// lease. An entry that the VM list does not show stands for all.
func (e *Entry) standsFor(group string) bool {
	if e.Draining() || e.opts.View == nil || e.opts.Peers == nil {
		return !e.Draining()
	}
	var ids []string
	for _, vm := range e.opts.View.Entries() {
		ids = append(ids, vm.ID)
	}
	if !slices.Contains(ids, e.opts.Peers.Self) {
		return true
	}
	ranked := membership.RendezvousOrder("planner:"+group, ids)
	return slices.Contains(ranked[:min(plannersPerGroup, len(ranked))], e.opts.Peers.Self)
}

func (p *planners) answered(m *wire.MapAnswer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case p.waits[m.Nonce] <- m:
	default:
	}
}

func (p *planners) open(size int) (uint64, chan *wire.MapAnswer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	nonce := rand.Uint64()
	c := make(chan *wire.MapAnswer, size)
	p.waits[nonce] = c
	return nonce, c
}

func (p *planners) close(nonce uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waits, nonce)
}

// askRanks sends a message to the group's ranks and returns the answers by
// rank; ranks that do not answer in time are missing.
func (e *Entry) askRanks(ctx context.Context, group string, message func(nonce uint64) wire.Message) map[int]*wire.MapAnswer {
	links := slices.DeleteFunc(e.links.all(), func(l *link) bool { return l.upstream.Group != group })
	nonce, replies := e.planners.open(len(links))
	defer e.planners.close(nonce)
	waiting := 0
	for _, l := range links {
		if l.send(message(nonce)) == nil {
			waiting++
		}
	}
	answers := map[int]*wire.MapAnswer{}
	timer := time.NewTimer(rankTimeout)
	defer timer.Stop()
	for ; waiting > 0; waiting-- {
		select {
		case a := <-replies:
			answers[a.Rank] = a
		case <-timer.C:
			return answers
		case <-ctx.Done():
			return answers
		}
	}
	return answers
}

// plans answers the operators.
func (e *Entry) plans(*http.Request) (any, error) {
	e.planners.mu.Lock()
	groups := make([]*groupPlanner, 0, len(e.planners.groups))
	for _, g := range e.planners.groups {
		groups = append(groups, g)
	}
	e.planners.mu.Unlock()
	out := opapi.Plans{Plans: []opapi.Plan{}}
	for _, g := range groups {
		out.Plans = append(out.Plans, g.seen())
	}
	sort.Slice(out.Plans, func(i, j int) bool { return strings.Compare(out.Plans[i].Group, out.Plans[j].Group) < 0 })
	return out, nil
}

// records returns a group's records, or false when it has no plan any more.
func (e *Entry) records(group string) (*config.ModelGroup, *config.ExpertPlan, bool) {
	snap := e.opts.Store.Current()
	return snap.Groups[group], snap.Plans[group], snap.Groups[group] != nil && snap.Plans[group] != nil
}
