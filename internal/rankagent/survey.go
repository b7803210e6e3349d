package rankagent

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/ranks"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

const (
	// surveyTimeout bounds the leader's reading of a group's selections. Agents that
	// don't answer in time are missing from the reading.
	surveyTimeout = 120 * time.Millisecond
	// branchTimeout bounds the queries of an agent to the others in its branch. It
	// is shorter than surveyTimeout so that the agent's own answer is in time.
	branchTimeout = 80 * time.Millisecond
)

// survey reads the selections of the whole group since the previous survey. The result
// has one rank per branch, with the selections of the whole branch.
func (g *group) survey() map[int]*wire.RankState {
	ctx, cancel := context.WithTimeout(g.ctx, surveyTimeout)
	defer cancel()
	heads := map[*peer][]string{} // the other agents of each branch, by its first agent
	for _, branch := range splitIntoBranches(g.rankedPeers()) {
		heads[branch[0]] = agentNames(branch[1:])
	}
	return g.indexByRank(gather(ctx, slices.Collect(maps.Keys(heads)), func(p *peer) *wire.RankState {
		if p.member.Name == g.a.Self.Name {
			return g.a.readBranch(ctx, g, true, false, heads[p])
		}
		return g.call(p, func(n uint64) wire.Message {
			return &wire.RankQuery{Nonce: n, Selections: true, IncludeAgents: heads[p]}
		})
	}))
}

// rankedPeers returns the agents whose ranks are known, sorted by rank.
func (g *group) rankedPeers() []*peer {
	g.refresh()
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []*peer
	for _, rank := range slices.Sorted(maps.Keys(g.agentByRank)) {
		if p := g.peers[g.agentByRank[rank]]; p != nil {
			list = append(list, p)
		}
	}
	return list
}

func agentNames(peers []*peer) []string {
	list := make([]string, 0, len(peers))
	for _, p := range peers {
		list = append(list, p.member.Name)
	}
	return list
}

// gather calls f for all peers in parallel and returns the answers that arrive before
// ctx is done.
func gather(ctx context.Context, peers []*peer, f func(*peer) *wire.RankState) map[*peer]*wire.RankState {
	var mu sync.Mutex
	all := map[*peer]*wire.RankState{}
	var wg sync.WaitGroup
	for _, p := range peers {
		wg.Go(func() {
			st := f(p)
			mu.Lock()
			defer mu.Unlock()
			all[p] = st
		})
	}
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
	mu.Lock()
	defer mu.Unlock()
	return maps.Clone(all)
}

// readBranch reads the agent's own rank and adds to its selections those of the ranks of
// other agents.
func (a *Agent) readBranch(ctx context.Context, peers *group, withSelections, withLists bool, agents []string) *wire.RankState {
	reply := make(chan *wire.RankState, 1)
	go func() { reply <- a.read(ctx, withSelections, withLists) }()
	var list []ranks.Selections
	if len(agents) > 0 {
		list = peers.collectSelections(ctx, agents)
	}
	st := <-reply
	if st.SelectionsValid {
		list = append(list, st.Selections)
	}
	if sum, ok := ranks.SumSelections(list); ok && st.OK {
		st.Selections, st.SelectionsValid = sum, true
	}
	return st
}

// collectSelections reads the selections of other agents' ranks.
func (g *group) collectSelections(ctx context.Context, agents []string) []ranks.Selections {
	ctx, cancel := context.WithTimeout(ctx, branchTimeout)
	defer cancel()
	g.refresh()
	var peers []*peer
	for _, name := range agents {
		if p := g.peer(name); p != nil {
			peers = append(peers, p)
		}
	}
	var list []ranks.Selections
	for _, st := range gather(ctx, peers, func(p *peer) *wire.RankState {
		return g.call(p, func(n uint64) wire.Message { return &wire.RankQuery{Nonce: n, Selections: true} })
	}) {
		if st != nil && st.OK && st.SelectionsValid {
			list = append(list, st.Selections)
		}
	}
	return list
}
