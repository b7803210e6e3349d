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
	// surveyTimeout bounds the leader's reading of what a group chooses. An agent
	// that doesn't answer within it is missing from the reading.
	surveyTimeout = 120 * time.Millisecond
	// branchTimeout leaves an agent that asks others time to answer within
	// surveyTimeout.
	branchTimeout = 80 * time.Millisecond
)

// survey reads what the whole group chose since the survey before. Its answers are
// those of one rank a branch, with the choices of the branch.
func (g *group) survey() map[int]*wire.RankState {
	ctx, cancel := context.WithTimeout(g.ctx, surveyTimeout)
	defer cancel()
	heads := map[*peer][]string{}
	for _, branch := range branched(g.known()) {
		heads[branch[0]] = names(branch[1:])
	}
	return g.byRankOf(gather(ctx, slices.Collect(maps.Keys(heads)), func(p *peer) *wire.RankState {
		if p.member.Name == g.a.Self.Name {
			return g.a.readBranch(ctx, g, true, false, heads[p])
		}
		return g.ask(p, func(n uint64) wire.Message { return &wire.RankAsk{Nonce: n, Selections: true, Others: heads[p]} })
	}))
}

// known returns the agents whose ranks are known, in the order of their ranks.
func (g *group) known() []*peer {
	g.refresh()
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []*peer
	for _, rank := range slices.Sorted(maps.Keys(g.byRank)) {
		if p := g.peers[g.byRank[rank]]; p != nil {
			list = append(list, p)
		}
	}
	return list
}

func names(peers []*peer) []string {
	list := make([]string, 0, len(peers))
	for _, p := range peers {
		list = append(list, p.member.Name)
	}
	return list
}

// gather calls f for each peer at once and returns the answers that come before
// ctx is done; all of them where it never is.
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

// readBranch reads the own rank and adds what the ranks of other agents chose.
func (a *Agent) readBranch(ctx context.Context, others *group, chosen, lists bool, agents []string) *wire.RankState {
	reply := make(chan *wire.RankState, 1)
	go func() { reply <- a.read(ctx, chosen, lists) }()
	var list []ranks.Selections
	if len(agents) > 0 {
		list = others.chosenAt(ctx, agents)
	}
	st := <-reply
	if st.Fresh {
		list = append(list, st.Selections)
	}
	if sum, ok := ranks.SumSelections(list); ok && st.OK {
		st.Selections, st.Fresh = sum, true
	}
	return st
}

// chosenAt asks agents what their ranks chose.
func (g *group) chosenAt(ctx context.Context, agents []string) []ranks.Selections {
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
		return g.ask(p, func(n uint64) wire.Message { return &wire.RankAsk{Nonce: n, Selections: true} })
	}) {
		if st != nil && st.OK && st.Fresh {
			list = append(list, st.Selections)
		}
	}
	return list
}
