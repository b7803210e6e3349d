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
	// plannerLeasePrefix is the prefix of the planners' leases; the group's
	// name follows.
	plannerLeasePrefix = "lease/planner/"
	// candidatesPerGroup is the number of entries that compete for a group's
	// lease.
	candidatesPerGroup = 2
	// rankAnswerTimeout bounds the wait for the ranks' answers.
	rankAnswerTimeout = 1 * time.Second
	// leaseReadTimeout bounds a read of a lease on behalf of an agent.
	leaseReadTimeout = 2 * time.Second
	// planScanInterval is the mean interval at which the configuration is
	// checked for new plan records.
	planScanInterval = 1 * time.Second
	// rolloutPollFactor is how many times as often the ranks are queried during
	// a rollout.
	rolloutPollFactor = 5
)

// planners holds the group planners of an entry. Its lock is a leaf lock.
type planners struct {
	settings       settings.Planner
	mu             sync.Mutex
	groups         map[string]*groupPlanner
	pendingQueries map[uint64]chan *wire.MapAnswer
}

func newPlanners() *planners {
	return &planners{groups: map[string]*groupPlanner{}, pendingQueries: map[uint64]chan *wire.MapAnswer{}}
}

// registerPlannerRoutes registers the handlers of the agents' messages about
// expert maps.
func (e *Entry) registerPlannerRoutes() {
	e.agentMux.Funcs[wire.KindMapAnswer] = func(_ *wire.Conn, m wire.Message) { e.planners.handleMapAnswer(m.(*wire.MapAnswer)) }
	e.agentMux.Funcs[wire.KindFenceQuery] = func(c *wire.Conn, m wire.Message) { go e.answerFenceQuery(c, m.(*wire.FenceQuery)) }
}

// answerFenceQuery reads a planner's lease for an agent that received an order
// with a fencing number it does not know. If the key-value service does not
// answer, no answer is sent and the agent refuses the order.
func (e *Entry) answerFenceQuery(c *wire.Conn, m *wire.FenceQuery) {
	ctx, cancel := context.WithTimeout(context.Background(), leaseReadTimeout)
	defer cancel()
	process, fence, err := lease.ReadHolder(ctx, e.opts.KV, plannerLeasePrefix+m.Group)
	if err != nil {
		e.count("planner.lease_unread")
		return
	}
	_ = c.Send(&wire.FenceInfo{Nonce: m.Nonce, Group: m.Group, Fence: fence, Holder: process})
}

// RunPlanners competes for the lease of every group with an expert-plan record,
// and plans for the groups whose lease it holds, until ctx is done.
func (e *Entry) RunPlanners(ctx context.Context, s settings.Planner) {
	e.planners.settings = s
	var candidateFor []string
	for ctx.Err() == nil {
		snap := e.opts.Store.Current()
		var groups []string
		for group := range snap.Plans {
			e.startPlanner(ctx, group)
			if e.isCandidateFor(group) {
				groups = append(groups, group)
			}
		}
		slices.Sort(groups)
		if !slices.Equal(groups, candidateFor) {
			e.links.reconcile(ctx, e)
			candidateFor = groups
		}
		select {
		case <-ctx.Done():
		case <-time.After(planScanInterval/2 + rand.N(planScanInterval)):
		}
	}
}

// addPlannedRanks adds every rank of the groups that the entry is a planner
// candidate for to the upstreams that it connects to.
func (e *Entry) addPlannedRanks(s *config.Snapshot, wanted map[string]bool) {
	for name, u := range s.Upstreams {
		if s.Plans[u.Group] != nil && s.Groups[u.Group] != nil && e.isCandidateFor(u.Group) {
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
	g.holder = lease.Holder{KV: e.opts.KV, Clock: clockwork.NewRealClock(), Key: plannerLeasePrefix + group, Process: e.opts.Hello.Process, TTL: e.planners.settings.LeaseTTL}
	e.planners.groups[group] = g
	go g.run(ctx)
}

func (e *Entry) stopPlanner(group string) {
	e.planners.mu.Lock()
	defer e.planners.mu.Unlock()
	delete(e.planners.groups, group)
}

// isCandidateFor reports whether this entry is one of those that compete for a
// group's lease. An entry that the VM list does not show competes for all
// groups; a draining one for none.
func (e *Entry) isCandidateFor(group string) bool {
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
	return slices.Contains(ranked[:min(candidatesPerGroup, len(ranked))], e.opts.Peers.Self)
}

func (p *planners) handleMapAnswer(m *wire.MapAnswer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case p.pendingQueries[m.Nonce] <- m:
	default:
	}
}

// open registers a query with up to size answers and returns its nonce and the
// channel for them.
func (p *planners) open(size int) (uint64, chan *wire.MapAnswer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	nonce := rand.Uint64()
	c := make(chan *wire.MapAnswer, size)
	p.pendingQueries[nonce] = c
	return nonce, c
}

func (p *planners) close(nonce uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pendingQueries, nonce)
}

// queryRanks sends a message to the group's ranks and returns the answers by
// rank. Ranks that do not answer in time are missing.
func (e *Entry) queryRanks(ctx context.Context, group string, message func(nonce uint64) wire.Message) map[int]*wire.MapAnswer {
	links := slices.DeleteFunc(e.links.all(), func(l *link) bool { return l.upstream.Group != group })
	nonce, replies := e.planners.open(len(links))
	defer e.planners.close(nonce)
	outstanding := 0
	for _, l := range links {
		if l.send(message(nonce)) == nil {
			outstanding++
		}
	}
	answers := map[int]*wire.MapAnswer{}
	timer := time.NewTimer(rankAnswerTimeout)
	defer timer.Stop()
	for ; outstanding > 0; outstanding-- {
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

// listPlans returns the state of each group planner, for the operators.
func (e *Entry) listPlans(*http.Request) (any, error) {
	e.planners.mu.Lock()
	groups := make([]*groupPlanner, 0, len(e.planners.groups))
	for _, g := range e.planners.groups {
		groups = append(groups, g)
	}
	e.planners.mu.Unlock()
	out := opapi.Plans{Plans: []opapi.Plan{}}
	for _, g := range groups {
		out.Plans = append(out.Plans, g.planStatus())
	}
	sort.Slice(out.Plans, func(i, j int) bool { return strings.Compare(out.Plans[i].Group, out.Plans[j].Group) < 0 })
	return out, nil
}

// planRecords returns a group's records; false means that the group or its plan
// is no longer configured.
func (e *Entry) planRecords(group string) (*config.ModelGroup, *config.ExpertPlan, bool) {
	snap := e.opts.Store.Current()
	return snap.Groups[group], snap.Plans[group], snap.Groups[group] != nil && snap.Plans[group] != nil
}
